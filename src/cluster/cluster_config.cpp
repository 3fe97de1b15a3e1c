#include "cluster/cluster_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::cluster {

namespace {

using config::ConfigError;
using config::ConfigSection;
using config::IntegerField;
using config::MillisecondsField;
using config::StringField;

// Each router talks to all voters, and the voters to each other; more of them add little safety.
constexpr std::size_t kMaxVoters = 9;
// Retention is at least so many times the longest deadline: votes on an idempotency key must outlast its
// transaction, and the client's retries, by a good deal.
constexpr double kMinRetentionFactor = 4;
// A proposal round ends well before an acceptor that lost its state votes again (maintenance/acceptor.h).
constexpr double kMaxProposalTimeoutFraction = 0.25;
constexpr std::int64_t kWeekMillis = 7 * 24 * 3'600'000LL, kDayMillis = 24 * 3'600'000LL;

std::set<std::string> readNames(const json::Value& list, const char* key, const char* fault) {
  std::set<std::string> names;
  if (list.kind != json::Value::Kind::array) throw ConfigError(key, fault);
  for (const auto& name : list.items) {
    if (name.kind != json::Value::Kind::string || name.text.empty()) throw ConfigError(key, fault);
    names.insert(name.text);
  }
  return names;
}

void readVoters(ConfigSection& top, ClusterConfig& config) {
  ConfigSection voters = top.section("keepers");
  if (voters.keys().empty()) throw ConfigError("keepers", "names none");
  if (voters.keys().size() > kMaxVoters) throw ConfigError("keepers", "are more than 9");
  if (voters.keys().size() % 2 == 0)
    throw ConfigError("keepers", "are an even number: one of them is of no use");
  for (const auto& name : voters.keys()) {
    config.voters.push_back(
        {name, config::readAddress(voters.path(name), voters.read(StringField{name, ""}))});
    config.routers.insert(name);
  }
  std::sort(config.voters.begin(), config.voters.end(), [](auto& a, auto& b) { return a.name < b.name; });
}

// The former voter lists, the oldest first, and the present one.
std::vector<idempotency::VoterList> readVoterLists(ConfigSection& top, const json::Value& all,
                                                   const ClusterConfig& config) {
  constexpr const char* kKey = "keepers_before";
  constexpr const char* kFault = "is no list of lists of names";
  std::vector<idempotency::VoterList> lists;
  if (top.has(kKey)) {
    const json::Value& former = *all.find(kKey);
    if (former.kind != json::Value::Kind::array) throw ConfigError(kKey, kFault);
    for (const auto& list : former.items) lists.push_back({lists.size() + 1, readNames(list, kKey, kFault)});
  }
  lists.push_back({lists.size() + 1, {}});
  for (const auto& voter : config.voters) lists.back().names.insert(voter.name);
  if (const auto fault = idempotency::faultIn(lists)) throw ConfigError(kKey, *fault);
  return lists;
}

void readStoreFolder(ConfigSection& top, const std::string& name, ClusterConfig& config) {
  const bool isVoter = std::any_of(config.voters.begin(), config.voters.end(),
                                   [&](auto& voter) { return voter.name == name; });
  config.storeFolder = top.read(StringField{"store", ""});
  if (isVoter && config.storeFolder.empty())
    throw ConfigError("store", "is missing: a keeper needs a folder that lasts");
  if (!isVoter) config.storeFolder.clear();
}

void readClaimTimes(ConfigSection& top, Duration longestDeadline, ClusterConfig& config) {
  auto& retention = config.votingMember.retention;
  retention = top.read(MillisecondsField{"retention_ms", retention, 1000, kWeekMillis});
  if (retention < longestDeadline * kMinRetentionFactor)
    throw ConfigError("retention_ms",
                      "is under 4 times the longest expiry of a txn that may run only once, " +
                          std::to_string(longestDeadline.inMicros() / 1000) + " ms");
  auto& coordinator = config.coordinator;
  coordinator.voterCount = config.voters.size();
  coordinator.retention = retention;
  coordinator.maxVoteWait =
      top.read(MillisecondsField{"longest_wait_ms", coordinator.maxVoteWait, 10, 60'000});
  coordinator.retryAfter = top.read(MillisecondsField{"come_back_ms", coordinator.retryAfter, 0, 60'000});
}

void readLimits(ConfigSection limits, ClusterConfig& config) {
  auto& votingMember = config.votingMember;
  votingMember.maxClaims = limits.read(IntegerField{"ids", votingMember.maxClaims, 1000, 100'000'000});
  votingMember.maxValueBytes =
      limits.read(IntegerField{"value_bytes", votingMember.maxValueBytes, 0, 64 * 1024});
  config.coordinator.maxClaims =
      limits.read(IntegerField{"open_claims", config.coordinator.maxClaims, 10, 1'000'000});
  config.maxConnections = limits.read(IntegerField{"connections", 2 * config.routers.size(), 1, 10'000});
  limits.rejectUnknownKeys();
}

void readForcedStage(ConfigSection force, ClusterConfig& config) {
  const std::string stage = force.read(StringField{"stage", ""});
  for (const auto candidate : {recovery::Stage::anyReads, recovery::Stage::consistentReads,
                               recovery::Stage::writes, recovery::Stage::all})
    if (stage == recovery::nameOf(candidate)) config.forcedStage = candidate;
  if (!config.forcedStage)
    throw ConfigError("force.stage", "'" + stage + "' is none of any_reads, owed_reads, writes and all");
  config.forcedBy = force.read(StringField{"by", ""});
  if (config.forcedBy.empty())
    throw ConfigError("force.by", "is missing: whose word it is goes into the log");
  force.rejectUnknownKeys();
}

void readMaintenance(ConfigSection section, ClusterConfig& config) {
  config.requestFolder = section.read(StringField{"folder", ""});
  config.announceFile = section.read(StringField{"announce_file", ""});
  maintenance::Bounds& bounds = config.maintenance;
  bounds.notifiesDiscovery = !config.announceFile.empty();
  const auto readCount = [&](const char* key, unsigned defaultValue) {
    return static_cast<unsigned>(section.read(IntegerField{key, defaultValue, 1, 100}));
  };
  bounds.maxNodesOutPerGroup = readCount("out_of_group", bounds.maxNodesOutPerGroup);
  bounds.maxMachinesInProgress = readCount("at_once", bounds.maxMachinesInProgress);
  bounds.maxRoutersOut = readCount("routers_out", bounds.maxRoutersOut);
  bounds.maxAttempts = readCount("tries", bounds.maxAttempts);
  bounds.announceTimeout =
      section.read(MillisecondsField{"announce_ms", bounds.announceTimeout, 1000, kDayMillis});
  bounds.drainTimeout = section.read(MillisecondsField{"leave_ms", bounds.drainTimeout, 1000, kDayMillis});
  bounds.returnTimeout =
      section.read(MillisecondsField{"come_back_ms", bounds.returnTimeout, 1000, kDayMillis});
  bounds.warmUpDuration = section.read(MillisecondsField{"warm_ms", bounds.warmUpDuration, 0, kDayMillis});
  bounds.maxReplicationLag =
      section.read(MillisecondsField{"caught_up_ms", bounds.maxReplicationLag, 0, kDayMillis});
  bounds.retryDelay = section.read(MillisecondsField{"rest_ms", bounds.retryDelay, 0, kDayMillis});
  section.rejectUnknownKeys();
  config.proposalTimeout =
      std::min(config.proposalTimeout, config.votingMember.retention * kMaxProposalTimeoutFraction);
}

ClusterConfig read(const json::Value& all, const std::string& name, Duration longestDeadline) {
  ConfigSection top(all, "");
  ClusterConfig config;
  readVoters(top, config);
  if (top.has("routers"))
    config.routers.merge(readNames(*all.find("routers"), "routers", "is no list of names"));
  config.voterLists = readVoterLists(top, all, config);
  if (!config.routers.contains(name))
    throw ConfigError("routers", "'" + name + "', this router, is not among them");
  readStoreFolder(top, name, config);
  readClaimTimes(top, longestDeadline, config);
  readLimits(top.section("limits"), config);
  const auto defaultRate = static_cast<std::size_t>(config.initialRatePerNode);
  config.initialRatePerNode =
      static_cast<double>(top.read(IntegerField{"first_txns", defaultRate, 1, 1'000'000}));
  config.statusFile = top.read(StringField{"status_file", ""});
  config.statusInterval =
      top.read(MillisecondsField{"status_every_ms", config.statusInterval, 50, 3'600'000});
  if (top.has("force")) readForcedStage(top.section("force"), config);
  readMaintenance(top.section("work"), config);
  top.rejectUnknownKeys();
  return config;
}

}  // namespace

std::string ClusterConfig::voterListText() const {
  std::string text = std::to_string(voterLists.size()) + ":";
  for (const auto& voter : voters) text += " " + voter.name;
  return text;
}

ClusterConfig readClusterConfig(std::string_view text, const std::string& name, Duration longestDeadline) {
  return read(config::parseDocument(text), name, longestDeadline);
}
ClusterConfig readClusterConfigFile(const std::string& path, const std::string& name,
                                    Duration longestDeadline) {
  return read(config::loadDocument(path), name, longestDeadline);
}

}  // namespace gulltrestle::cluster
