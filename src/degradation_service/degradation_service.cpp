#include "degradation_service/degradation_service.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gulltrestle::degradation_service {

namespace {

using degradation::DegradationController;

// How often the state is logged while any group is at a level above 0.
constexpr Duration kLogInterval = Duration::millis(30'000);
// Maximum number of groups in one log line; the status document lists all of them.
constexpr std::size_t kMaxLoggedGroups = 20;

// The fraction of a class's transactions since the start that were rejected on arrival.
double rejectedFraction(const DegradationController::Counts& counts) {
  const auto total = counts.answered + counts.abandoned + counts.rejected;
  return total > 0 ? static_cast<double>(counts.rejected) / static_cast<double>(total) : 0;
}

std::string formatDecimal(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

double rounded(double value) { return std::stod(formatDecimal(value)); }

// The number of classes of a group that are reported.
std::size_t reportedClassCount(const DegradationController::GroupState& state,
                               const std::vector<std::string>& classNames) {
  return std::min(state.countsByClass.size(), classNames.size());
}

nlohmann::ordered_json groupStatus(GroupId group, const DegradationController::GroupState& state,
                                   const std::vector<std::string>& classNames, Instant now) {
  nlohmann::ordered_json status;
  status["group"] = group;
  status["level"] = state.level;
  status["trial"] = state.trialFraction > 0;
  status["cause"] = nameOf(state.cause);
  status["for_ms"] = state.since == Instant() ? 0 : (now - state.since).inMicros() / 1000;
  status["wait"] = rounded(state.standingWait);
  for (std::size_t type = 0; type < reportedClassCount(state, classNames); ++type) {
    const DegradationController::Counts& counts = state.countsByClass[type];
    status["types"][classNames[type]] = {{"answered", counts.answered},
                                         {"given_up", counts.abandoned},
                                         {"refused", counts.rejected},
                                         {"share_refused", rounded(rejectedFraction(counts))}};
  }
  return status;
}

void addViolations(nlohmann::ordered_json& status, const invariants::Invariants& invariants) {
  for (const auto check : {invariants::Check::send, invariants::Check::retry, invariants::Check::close,
                           invariants::Check::start})
    status["violations"][std::string(nameOf(check))] = invariants.count(check);
  if (invariants.totalCount() == 0) return;
  const invariants::Violation& last = invariants.lastViolation();
  status["last_violation"] = {{"check", nameOf(last.check)}, {"rule", last.rule}, {"subject", last.subject}};
}

// The key and value of one group in the `levels.state` log line.
std::string groupLogEntry(GroupId group, const DegradationController::GroupState& state,
                          const std::vector<std::string>& classNames) {
  std::string entry = " group" + std::to_string(group) + "=" + std::to_string(state.level) +
                      (state.trialFraction > 0 ? "t" : "");
  for (std::size_t type = 0; type < reportedClassCount(state, classNames); ++type)
    if (const double fraction = rejectedFraction(state.countsByClass[type]); fraction > 0)
      entry += "," + classNames[type] + ":" + formatDecimal(fraction);
  return entry;
}

}  // namespace

DegradationService::DegradationService(transactions::TransactionTable& transactions, DegradationConfig config,
                                       std::vector<std::string> classNames, std::uint64_t seed,
                                       std::function<DegradationConfig()> readConfig, Log log)
    : transactions_(transactions),
      config_(std::move(config)),
      classNames_(std::move(classNames)),
      readConfig_(std::move(readConfig)),
      log_(std::move(log)),
      controller_(config_.bounds, seed) {
  enable();
  log_("event=levels.enabled up=" + formatDecimal(config_.bounds.raiseAbove) +
       " down=" + formatDecimal(config_.bounds.lowerBelow) + operatorKeys());
}

void DegradationService::enable() {
  transactions_.enableDegradation(controller_, config_.table,
                                  [this](const degradation::Change& change) { logChange(change); });
}

// The levels that operators have set, as keys at the end of a log line.
std::string DegradationService::operatorKeys() const {
  std::string keys;
  if (config_.bounds.pinnedLevel)
    keys +=
        " pinned=" + std::to_string(*config_.bounds.pinnedLevel) + " pinned_by=\"" + config_.pinnedBy + "\"";
  if (!config_.cappedBy.empty())
    keys += " cap=" + std::to_string(config_.bounds.maxLevel) + " capped_by=\"" + config_.cappedBy + "\"";
  return keys;
}

void DegradationService::logChange(const degradation::Change& change) {
  log_("event=levels.changed group=" + std::to_string(change.group) + " from=" + std::to_string(change.from) +
       " to=" + std::to_string(change.to) + " cause=" + std::string(nameOf(change.cause)) +
       " wait=" + formatDecimal(change.wait) + " txns=" + std::to_string(change.txns) + operatorKeys());
}

void DegradationService::reloadConfig() {
  try {
    config_ = readConfig_();
    controller_.setBounds(config_.bounds);
    enable();
    log_("event=levels.config_reloaded" + operatorKeys());
  } catch (const std::exception& error) {
    log_("event=levels.config_rejected reason=\"" + std::string(error.what()) + "\"");
  }
}

std::string DegradationService::status(Instant now) const {
  nlohmann::ordered_json document;
  document["time_ms"] = now.inMicros() / 1000;
  degradation::Level highest = 0;
  for (const auto& [group, state] : controller_.states()) highest = std::max(highest, state.level);
  document["level"] = highest;
  if (config_.bounds.pinnedLevel)
    document["pinned"] = {{"level", *config_.bounds.pinnedLevel}, {"by", config_.pinnedBy}};
  if (!config_.cappedBy.empty())
    document["cap"] = {{"level", config_.bounds.maxLevel}, {"by", config_.cappedBy}};
  addViolations(document, transactions_.invariants());
  document["groups"] = nlohmann::ordered_json::array();
  for (const auto& [group, state] : controller_.states())
    document["groups"].push_back(groupStatus(group, state, classNames_, now));
  return document.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

void DegradationService::endTurn() {
  const Instant now = transactions_.now();
  if (statusWrittenAt_ != Instant() && now - statusWrittenAt_ < config_.statusInterval) return;
  statusWrittenAt_ = now;
  const bool isLogDue = loggedAt_ == Instant() || now - loggedAt_ >= kLogInterval;
  const bool isWritten = config_.statusFile.empty() || writeStatusFile(now);
  if (!isLogDue) return;
  // The gateway continues without the document; the failure is logged once per log interval.
  if (!isWritten) log_("event=levels.status_failed file=\"" + config_.statusFile + "\"");
  logDegradedGroups(now);
}

// Writes a temporary file and renames it, so that readers always find a complete document.
bool DegradationService::writeStatusFile(Instant now) const {
  const std::string temporary = config_.statusFile + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << status(now);
  file.close();
  return file && std::rename(temporary.c_str(), config_.statusFile.c_str()) == 0;
}

void DegradationService::logDegradedGroups(Instant now) {
  std::string groupEntries;
  std::size_t degradedGroups = 0;
  for (const auto& [group, state] : controller_.states()) {
    if (state.level == 0) continue;
    ++degradedGroups;
    if (degradedGroups <= kMaxLoggedGroups) groupEntries += groupLogEntry(group, state, classNames_);
  }
  if (degradedGroups == 0) return;
  loggedAt_ = now;
  log_("event=levels.state degraded=" + std::to_string(degradedGroups) + groupEntries + operatorKeys());
}

}  // namespace gulltrestle::degradation_service
