#include "degradation_service/degradation_service.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gulltrestle::degradation_service {

namespace {

// How often the state is logged while service is reduced anywhere.
constexpr Duration kLogPause = Duration::millis(30'000);
// Groups in one log line; the status document has them all.
constexpr std::size_t kMostLogged = 20;

// The part of a txn type's txns that was refused as it came, since the start.
double refusedOf(const degradation::DegradationController::Counts& counts) {
  const auto asked = counts.answered + counts.gaveUp + counts.refused;
  return asked > 0 ? static_cast<double>(counts.refused) / static_cast<double>(asked) : 0;
}

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

}  // namespace

DegradationService::DegradationService(transactions::TransactionTable& ledger, DegradationConfig setup,
                                       std::vector<std::string> typeNames, std::uint64_t seed,
                                       std::function<DegradationConfig()> read, Log log)
    : ledger_(ledger),
      setup_(std::move(setup)),
      typeNames_(std::move(typeNames)),
      read_(std::move(read)),
      log_(std::move(log)),
      levels_(setup_.bounds, seed) {
  ledger_.enableDegradation(levels_, setup_.table,
                            [this](const degradation::Change& change) { changed(change); });
  log_("event=levels.on up=" + figure(setup_.bounds.up) + " down=" + figure(setup_.bounds.down) + by());
}

std::string DegradationService::by() const {
  std::string out;
  if (setup_.bounds.pinned)
    out += " pinned=" + std::to_string(*setup_.bounds.pinned) + " pinned_by=\"" + setup_.pinnedBy + "\"";
  if (!setup_.cappedBy.empty())
    out += " cap=" + std::to_string(setup_.bounds.cap) + " capped_by=\"" + setup_.cappedBy + "\"";
  return out;
}

void DegradationService::changed(const degradation::Change& change) {
  log_("event=levels.changed group=" + std::to_string(change.group) + " from=" + std::to_string(change.from) +
       " to=" + std::to_string(change.to) + " cause=" + std::string(nameOf(change.cause)) +
       " wait=" + figure(change.wait) + " txns=" + std::to_string(change.txns) + by());
}

void DegradationService::reloadConfig() {
  try {
    DegradationConfig anew = read_();
    setup_ = std::move(anew);
    levels_.setBounds(setup_.bounds);
    ledger_.enableDegradation(levels_, setup_.table,
                              [this](const degradation::Change& change) { changed(change); });
    log_("event=levels.read_anew" + by());
  } catch (const std::exception& bad) {
    log_("event=levels.not_taken why=\"" + std::string(bad.what()) + "\"");
  }
}

std::string DegradationService::status(Instant now) const {
  nlohmann::ordered_json all;
  all["time_ms"] = now.inMicros() / 1000;
  degradation::Level highest = 0;
  for (const auto& [id, group] : levels_.states()) highest = std::max(highest, group.level);
  all["level"] = highest;
  if (setup_.bounds.pinned) all["pinned"] = {{"level", *setup_.bounds.pinned}, {"by", setup_.pinnedBy}};
  if (!setup_.cappedBy.empty()) all["cap"] = {{"level", setup_.bounds.cap}, {"by", setup_.cappedBy}};
  const auto& invariants = ledger_.invariants();
  for (const auto check : {invariants::Check::send, invariants::Check::repeat, invariants::Check::close,
                           invariants::Check::start})
    all["violations"][std::string(nameOf(check))] = invariants.count(check);
  if (invariants.all() > 0)
    all["last_violation"] = {{"check", nameOf(invariants.last().check)},
                             {"rule", invariants.last().rule},
                             {"subject", invariants.last().subject}};
  all["groups"] = nlohmann::ordered_json::array();
  for (const auto& [id, group] : levels_.states()) {
    nlohmann::ordered_json one;
    one["group"] = id;
    one["level"] = group.level;
    one["trial"] = group.trial > 0;
    one["cause"] = nameOf(group.cause);
    one["for_ms"] = group.since == Instant() ? 0 : (now - group.since).inMicros() / 1000;
    one["wait"] = std::stod(figure(group.wait));
    for (std::size_t type = 0; type < group.types.size() && type < typeNames_.size(); ++type) {
      const auto& counts = group.types[type];
      one["types"][typeNames_[type]] = {{"answered", counts.answered},
                                        {"given_up", counts.gaveUp},
                                        {"refused", counts.refused},
                                        {"share_refused", std::stod(figure(refusedOf(counts)))}};
    }
    all["groups"].push_back(std::move(one));
  }
  return all.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

// Written beside and renamed, so that whoever reads finds a whole one. Where that fails the log says so once
// a pause, and service goes on.
void DegradationService::endTurn() {
  const Instant now = ledger_.now();
  if (toldAt_ != Instant() && now - toldAt_ < setup_.statusEvery) return;
  toldAt_ = now;
  const bool logs = loggedAt_ == Instant() || now - loggedAt_ >= kLogPause;
  if (!setup_.statusFile.empty()) {
    const std::string beside = setup_.statusFile + ".new";
    std::ofstream file(beside, std::ios::binary | std::ios::trunc);
    file << status(now);
    file.close();
    if ((!file || std::rename(beside.c_str(), setup_.statusFile.c_str()) != 0) && logs)
      log_("event=levels.status_failed file=\"" + setup_.statusFile + "\"");
  }
  if (!logs) return;
  std::string line;
  std::size_t reduced = 0;
  for (const auto& [id, group] : levels_.states()) {
    if (group.level == 0 || ++reduced > kMostLogged) continue;
    line += " group" + std::to_string(id) + "=" + std::to_string(group.level) + (group.trial > 0 ? "t" : "");
    for (std::size_t type = 0; type < group.types.size() && type < typeNames_.size(); ++type)
      if (const double share = refusedOf(group.types[type]); share > 0)
        line += "," + typeNames_[type] + ":" + figure(share);
  }
  if (reduced == 0) return;
  loggedAt_ = now;
  log_("event=levels.now reduced=" + std::to_string(reduced) + line + by());
}

}  // namespace gulltrestle::degradation_service
