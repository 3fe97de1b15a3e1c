#include "degradation_service/degradation_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::degradation_service {

namespace {

using config::ConfigError;
using config::ConfigSection;

// A level that an operator sets, and who did: a name is wanted, as others will wonder.
degradation::Level set(ConfigSection& top, const std::string& key, std::string& by) {
  ConfigSection section = top.section(key);
  const auto level = static_cast<degradation::Level>(section.whole("level", 0, 0, degradation::kMostLevel));
  if (!section.has("level")) throw ConfigError(section.path("level"), "is missing");
  by = section.text("by", "");
  if (by.empty()) throw ConfigError(section.path("by"), "is missing: who sets it");
  section.end();
  return level;
}

AdmissionPolicy admitOf(ConfigSection& row, const std::string& type, AdmissionPolicy otherwise) {
  const std::string word = row.text(type, std::string(degradation::nameOf(otherwise)));
  for (const AdmissionPolicy admit : {AdmissionPolicy::all, AdmissionPolicy::withReadyReplica,
                                      AdmissionPolicy::withSpareCapacity, AdmissionPolicy::none})
    if (degradation::nameOf(admit) == word) return admit;
  throw ConfigError(row.path(type), "'" + word + "' is none of all, ready, spare, none");
}

DegradationConfig read(const json::Value& all, const std::vector<TransactionClass>& types,
                       const std::vector<std::string>& typeNames) {
  ConfigSection top(all, "");
  DegradationConfig setup;
  auto& bounds = setup.bounds;
  bounds.up = top.number("up", bounds.up, 0.05, 10);
  bounds.down = top.number("down", bounds.down, 0.01, 10);
  if (bounds.down >= bounds.up) throw ConfigError("down", "is not below up");
  bounds.shortestStay = top.millis("shortest_stay_ms", bounds.shortestStay, 500, 3'600'000);
  bounds.calm = top.millis("calm_ms", bounds.calm, 500, 3'600'000);
  bounds.trial = top.millis("trial_ms", bounds.trial, 500, 3'600'000);
  bounds.mostChanges = static_cast<unsigned>(top.whole("most_changes_a_minute", bounds.mostChanges, 1, 60));
  bounds.trialShare = top.number("trial_share", bounds.trialShare, 0.01, 1);
  if (top.has("pin")) bounds.pinned = set(top, "pin", setup.pinnedBy);
  if (top.has("cap")) bounds.cap = set(top, "cap", setup.cappedBy);
  setup.statusFile = top.text("status_file", "");
  setup.statusEvery = top.millis("status_every_ms", setup.statusEvery, 100, 3'600'000);
  setup.table = degradation::defaultAdmissionTable(types);
  ConfigSection table = top.section("table");
  for (std::size_t at = 0; at < setup.table.size(); ++at) {
    ConfigSection row = table.section(std::to_string(at + 1));
    for (std::size_t type = 0; type < types.size(); ++type)
      setup.table[at].admission[type] = admitOf(row, typeNames[type], setup.table[at].admission[type]);
    row.end();
  }
  table.end();
  top.end();
  try {
    degradation::validate(setup.table, types);
  } catch (const degradation::InvalidAdmissionTable& bad) { throw ConfigError("table", bad.what()); }
  return setup;
}

}  // namespace

DegradationConfig readDegradationConfig(std::string_view text, const std::vector<TransactionClass>& types,
                                        const std::vector<std::string>& typeNames) {
  return read(config::readText(text), types, typeNames);
}

DegradationConfig readDegradationConfigFile(const std::string& path,
                                            const std::vector<TransactionClass>& types,
                                            const std::vector<std::string>& typeNames) {
  return read(config::readFile(path), types, typeNames);
}

}  // namespace gulltrestle::degradation_service
