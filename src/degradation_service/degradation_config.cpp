#include "degradation_service/degradation_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::degradation_service {

namespace {

using config::BadKey;
using config::Section;

// A level that an operator sets, and who did: a name is wanted, as others will wonder.
degradation::Level set(Section& top, const std::string& key, std::string& by) {
  Section section = top.section(key);
  const auto level = static_cast<degradation::Level>(section.whole("level", 0, 0, degradation::kMostLevel));
  if (!section.has("level")) throw BadKey(section.path("level"), "is missing");
  by = section.text("by", "");
  if (by.empty()) throw BadKey(section.path("by"), "is missing: who sets it");
  section.end();
  return level;
}

Admit admitOf(Section& row, const std::string& type, Admit otherwise) {
  const std::string word = row.text(type, std::string(degradation::nameOf(otherwise)));
  for (const Admit admit : {Admit::all, Admit::ready, Admit::spare, Admit::none})
    if (degradation::nameOf(admit) == word) return admit;
  throw BadKey(row.path(type), "'" + word + "' is none of all, ready, spare, none");
}

Setup read(const json::Value& all, const std::vector<TxnType>& types,
           const std::vector<std::string>& typeNames) {
  Section top(all, "");
  Setup setup;
  auto& bounds = setup.bounds;
  bounds.up = top.number("up", bounds.up, 0.05, 10);
  bounds.down = top.number("down", bounds.down, 0.01, 10);
  if (bounds.down >= bounds.up) throw BadKey("down", "is not below up");
  bounds.shortestStay = top.millis("shortest_stay_ms", bounds.shortestStay, 500, 3'600'000);
  bounds.calm = top.millis("calm_ms", bounds.calm, 500, 3'600'000);
  bounds.trial = top.millis("trial_ms", bounds.trial, 500, 3'600'000);
  bounds.mostChanges = static_cast<unsigned>(top.whole("most_changes_a_minute", bounds.mostChanges, 1, 60));
  bounds.trialShare = top.number("trial_share", bounds.trialShare, 0.01, 1);
  if (top.has("pin")) bounds.pinned = set(top, "pin", setup.pinnedBy);
  if (top.has("cap")) bounds.cap = set(top, "cap", setup.cappedBy);
  setup.statusFile = top.text("status_file", "");
  setup.statusEvery = top.millis("status_every_ms", setup.statusEvery, 100, 3'600'000);
  setup.table = degradation::tableOf(types);
  Section table = top.section("table");
  for (std::size_t at = 0; at < setup.table.size(); ++at) {
    Section row = table.section(std::to_string(at + 1));
    for (std::size_t type = 0; type < types.size(); ++type)
      setup.table[at].admits[type] = admitOf(row, typeNames[type], setup.table[at].admits[type]);
    row.end();
  }
  table.end();
  top.end();
  try {
    degradation::check(setup.table, types);
  } catch (const degradation::BadTable& bad) { throw BadKey("table", bad.what()); }
  return setup;
}

}  // namespace

Setup readSetup(std::string_view text, const std::vector<TxnType>& types,
                const std::vector<std::string>& typeNames) {
  return read(config::readText(text), types, typeNames);
}

Setup readSetupFile(const std::string& path, const std::vector<TxnType>& types,
                    const std::vector<std::string>& typeNames) {
  return read(config::readFile(path), types, typeNames);
}

}  // namespace gulltrestle::degradation_service
