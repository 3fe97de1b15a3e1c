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

// Every router, voters included, has a stream to each voter; more voters add little safety.
constexpr std::size_t kMaxVoters = 9;
// Minimum ratio of the retention time to the longest deadline. Votes on an idempotency key must outlast its
// transaction and the client's retries by a wide margin.
constexpr double kMinRetentionFactor = 4;
// Maximum ratio of the proposal timeout to the retention time. A proposal round must end well before an
// acceptor that lost its state votes again (maintenance/acceptor.h).
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

void readVoters(ConfigSection& root, ClusterConfig& config) {
  ConfigSection voters = root.section("keepers");
  if (voters.keys().empty()) throw ConfigError("keepers", "is empty, expected at least one voter");
  if (voters.keys().size() > kMaxVoters) throw ConfigError("keepers", "has more than 9 voters");
  if (voters.keys().size() % 2 == 0)
    throw ConfigError(
        "keepers",
        "has an even number of voters, expected an odd one: the extra voter adds no fault tolerance");
  for (const auto& name : voters.keys()) {
    config.voters.push_back(
        {name, config::readAddress(voters.path(name), voters.read(StringField{name, ""}))});
    config.routers.insert(name);
  }
  std::sort(config.voters.begin(), config.voters.end(), [](auto& a, auto& b) { return a.name < b.name; });
}

// Returns the former voter lists, oldest first, followed by the current one.
std::vector<idempotency::VoterList> readVoterLists(ConfigSection& root, const json::Value& document,
                                                   const ClusterConfig& config) {
  constexpr const char* kKey = "keepers_before";
  constexpr const char* kFault = "is not an array of arrays of names";
  std::vector<idempotency::VoterList> lists;
  if (root.has(kKey)) {
    const json::Value& former = *document.find(kKey);
    if (former.kind != json::Value::Kind::array) throw ConfigError(kKey, kFault);
    for (const auto& list : former.items) lists.push_back({lists.size() + 1, readNames(list, kKey, kFault)});
  }
  lists.push_back({lists.size() + 1, {}});
  for (const auto& voter : config.voters) lists.back().names.insert(voter.name);
  if (const auto fault = idempotency::validateVoterLists(lists)) throw ConfigError(kKey, *fault);
  return lists;
}

void readStoreFolder(ConfigSection& root, const std::string& name, ClusterConfig& config) {
  const bool isVoter = std::any_of(config.voters.begin(), config.voters.end(),
                                   [&](auto& voter) { return voter.name == name; });
  config.storeFolder = root.read(StringField{"store", ""});
  if (isVoter && config.storeFolder.empty())
    throw ConfigError("store", "is missing: a voter requires a persistent folder");
  if (!isVoter) config.storeFolder.clear();
}

void readClaimTimes(ConfigSection& root, Duration longestDeadline, ClusterConfig& config) {
  auto& retention = config.votingMember.retention;
  retention = root.read(MillisecondsField{"retention_ms", retention, 1000, kWeekMillis});
  if (retention < longestDeadline * kMinRetentionFactor)
    throw ConfigError("retention_ms",
                      "is less than 4 times the longest deadline of an at-most-once transaction, " +
                          std::to_string(longestDeadline.inMicros() / 1000) + " ms");
  auto& coordinator = config.coordinator;
  coordinator.voterCount = config.voters.size();
  coordinator.retention = retention;
  coordinator.maxVoteWait =
      root.read(MillisecondsField{"longest_wait_ms", coordinator.maxVoteWait, 10, 60'000});
  coordinator.retryAfter = root.read(MillisecondsField{"come_back_ms", coordinator.retryAfter, 0, 60'000});
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
    throw ConfigError("force.stage", "'" + stage + "' is not one of any_reads, owed_reads, writes and all");
  config.forcedBy = force.read(StringField{"by", ""});
  if (config.forcedBy.empty())
    throw ConfigError("force.by", "is missing: expected the operator's name, which is logged");
  force.rejectUnknownKeys();
}

void readMaintenance(ConfigSection section, ClusterConfig& config) {
  config.requestFolder = section.read(StringField{"folder", ""});
  config.announceFile = section.read(StringField{"announce_file", ""});
  maintenance::MaintenanceLimits& bounds = config.maintenance;
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

ClusterConfig read(const json::Value& document, const std::string& name, Duration longestDeadline) {
  ConfigSection root(document, "");
  ClusterConfig config;
  readVoters(root, config);
  if (root.has("routers"))
    config.routers.merge(readNames(*document.find("routers"), "routers", "is not an array of names"));
  config.voterLists = readVoterLists(root, document, config);
  if (!config.routers.contains(name))
    throw ConfigError("routers", "'" + name + "', the name of this router, is not a member");
  readStoreFolder(root, name, config);
  readClaimTimes(root, longestDeadline, config);
  readLimits(root.section("limits"), config);
  const auto defaultRate = static_cast<std::size_t>(config.initialRatePerNode);
  config.initialRatePerNode =
      static_cast<double>(root.read(IntegerField{"first_txns", defaultRate, 1, 1'000'000}));
  config.statusFile = root.read(StringField{"status_file", ""});
  config.statusInterval =
      root.read(MillisecondsField{"status_every_ms", config.statusInterval, 50, 3'600'000});
  if (root.has("force")) readForcedStage(root.section("force"), config);
  readMaintenance(root.section("work"), config);
  root.rejectUnknownKeys();
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
