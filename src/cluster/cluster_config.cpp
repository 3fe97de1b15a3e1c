#include "cluster/cluster_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::cluster {

namespace {

using config::ConfigError;
using config::ConfigSection;

// A keeper talks to each of the others, and each router to all of them; more don't make it safer.
constexpr std::size_t kMostKeepers = 9;
// The votes for a txn must outlast it, and what a client may repeat, by a good deal.
constexpr double kRetentionAtLeast = 4;

std::set<std::string> namesOf(const json::Value& list, const char* key, const char* fault) {
  std::set<std::string> names;
  if (list.kind != json::Value::Kind::list) throw ConfigError(key, fault);
  for (const auto& name : list.items) {
    if (name.kind != json::Value::Kind::text || name.text.empty()) throw ConfigError(key, fault);
    names.insert(name.text);
  }
  return names;
}

// Those before, the oldest first, and the present one.
std::vector<idempotency::VoterList> listsOf(ConfigSection& top, const json::Value& all,
                                            const ClusterConfig& setup) {
  constexpr const char* kKey = "keepers_before";
  constexpr const char* kFault = "is no list of lists of names";
  std::vector<idempotency::VoterList> lists;
  if (top.has(kKey)) {
    const json::Value& before = *all.find(kKey);
    if (before.kind != json::Value::Kind::list) throw ConfigError(kKey, kFault);
    for (const auto& list : before.items) lists.push_back({lists.size() + 1, namesOf(list, kKey, kFault)});
  }
  lists.push_back({lists.size() + 1, {}});
  for (const auto& place : setup.voters) lists.back().names.insert(place.name);
  if (const auto fault = idempotency::faultIn(lists); !fault.empty()) throw ConfigError(kKey, fault);
  return lists;
}

void readWork(ConfigSection work, ClusterConfig& setup) {
  setup.workFolder = work.text("folder", "");
  setup.announceFile = work.text("announce_file", "");
  maintenance::Bounds& bounds = setup.work;
  bounds.notifiesDiscovery = !setup.announceFile.empty();
  const auto few = [&](const char* key, unsigned otherwise) {
    return static_cast<unsigned>(work.whole(key, otherwise, 1, 100));
  };
  bounds.maxNodesOutPerGroup = few("out_of_group", bounds.maxNodesOutPerGroup);
  bounds.maxMachinesInProgress = few("at_once", bounds.maxMachinesInProgress);
  bounds.maxRoutersOut = few("routers_out", bounds.maxRoutersOut);
  bounds.maxAttempts = few("tries", bounds.maxAttempts);
  constexpr std::int64_t kLongest = 24 * 3'600'000LL;
  bounds.announceTimeout = work.millis("announce_ms", bounds.announceTimeout, 1000, kLongest);
  bounds.drainTimeout = work.millis("leave_ms", bounds.drainTimeout, 1000, kLongest);
  bounds.returnTimeout = work.millis("come_back_ms", bounds.returnTimeout, 1000, kLongest);
  bounds.warmUpDuration = work.millis("warm_ms", bounds.warmUpDuration, 0, kLongest);
  bounds.maxReplicationLag = work.millis("caught_up_ms", bounds.maxReplicationLag, 0, kLongest);
  bounds.retryDelay = work.millis("rest_ms", bounds.retryDelay, 0, kLongest);
  work.end();
  // Keepers that forgot rely on rounds that end well before they vote again (maintenance/acceptor.h).
  setup.mostRound = std::min(setup.mostRound, setup.votingMember.retention * 0.25);
}

ClusterConfig read(const json::Value& all, const std::string& name, Duration longest) {
  ConfigSection top(all, "");
  ClusterConfig setup;
  ConfigSection keepers = top.section("keepers");
  if (keepers.keys().empty()) throw ConfigError("keepers", "names none");
  if (keepers.keys().size() > kMostKeepers) throw ConfigError("keepers", "are more than 9");
  if (keepers.keys().size() % 2 == 0)
    throw ConfigError("keepers", "are an even number: one of them is of no use");
  for (const auto& key : keepers.keys()) {
    setup.voters.push_back({key, config::readAddress(keepers.path(key), keepers.text(key, ""))});
    setup.routers.insert(key);
  }
  std::sort(setup.voters.begin(), setup.voters.end(), [](auto& a, auto& b) { return a.name < b.name; });
  if (top.has("routers")) {
    setup.routers.merge(namesOf(*all.find("routers"), "routers", "is no list of names"));
  }
  setup.lists = listsOf(top, all, setup);
  if (!setup.routers.contains(name))
    throw ConfigError("routers", "'" + name + "', this router, is not among them");
  const bool isKeeper = std::any_of(setup.voters.begin(), setup.voters.end(),
                                    [&](auto& keeper) { return keeper.name == name; });
  setup.folder = top.text("store", "");
  if (isKeeper && setup.folder.empty())
    throw ConfigError("store", "is missing: a keeper needs a folder that lasts");
  if (!isKeeper) setup.folder.clear();
  auto& retention = setup.votingMember.retention;
  retention = top.millis("retention_ms", retention, 1000, 7 * 24 * 3'600'000LL);
  if (retention < longest * kRetentionAtLeast)
    throw ConfigError("retention_ms",
                      "is under 4 times the longest expiry of a txn that may run only once, " +
                          std::to_string(longest.inMicros() / 1000) + " ms");
  setup.coordinator.voterCount = setup.voters.size();
  setup.coordinator.retention = retention;
  setup.coordinator.maxVoteWait = top.millis("longest_wait_ms", setup.coordinator.maxVoteWait, 10, 60'000);
  setup.coordinator.retryAfter = top.millis("come_back_ms", setup.coordinator.retryAfter, 0, 60'000);
  ConfigSection limits = top.section("limits");
  setup.votingMember.maxClaims = limits.whole("ids", setup.votingMember.maxClaims, 1000, 100'000'000);
  setup.votingMember.maxValueBytes =
      limits.whole("value_bytes", setup.votingMember.maxValueBytes, 0, 64 * 1024);
  setup.coordinator.maxClaims = limits.whole("open_claims", setup.coordinator.maxClaims, 10, 1'000'000);
  setup.mostConnections = limits.whole("connections", 2 * setup.routers.size(), 1, 10'000);
  limits.end();
  setup.firstTxns =
      static_cast<double>(top.whole("first_txns", static_cast<std::size_t>(setup.firstTxns), 1, 1'000'000));
  setup.statusFile = top.text("status_file", "");
  setup.statusEvery = top.millis("status_every_ms", setup.statusEvery, 50, 3'600'000);
  if (top.has("force")) {
    ConfigSection force = top.section("force");
    const std::string stage = force.text("stage", "");
    for (const auto one : {recovery::Stage::anyReads, recovery::Stage::consistentReads,
                           recovery::Stage::writes, recovery::Stage::all})
      if (stage == recovery::nameOf(one)) setup.forced = one;
    if (!setup.forced)
      throw ConfigError("force.stage", "'" + stage + "' is none of any_reads, owed_reads, writes and all");
    setup.forcedBy = force.text("by", "");
    if (setup.forcedBy.empty())
      throw ConfigError("force.by", "is missing: whose word it is goes into the log");
    force.end();
  }
  readWork(top.section("work"), setup);
  top.end();
  return setup;
}

}  // namespace

std::string ClusterConfig::list() const {
  std::string out = std::to_string(lists.size()) + ":";
  for (const auto& place : voters) out += " " + place.name;
  return out;
}

ClusterConfig readClusterConfig(std::string_view text, const std::string& name, Duration longest) {
  return read(config::readText(text), name, longest);
}
ClusterConfig readClusterConfigFile(const std::string& path, const std::string& name, Duration longest) {
  return read(config::readFile(path), name, longest);
}

}  // namespace gulltrestle::cluster
