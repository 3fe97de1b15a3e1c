// The order in which service returns after a start, group by group. No I/O, no clock.
//
//   stage            admits                           waits for                              at most
//   closed           nothing                          a list that names a live node          5 s, with nodes
//                                                     of the group                           known from
//                                                     before
//   anyReads         reads of any age                 positions of half of its replicas,     2 s
//                                                     or its primary's own report
//   consistentReads  and bounded and session reads    its primary, by its own report or by   5 s; no limit
//                                                     two peers, and not contested           while contested
//   writes           and linearizable reads,          more than half of the voters           10 s
//                    idempotent and deduplicated
//                    writes
//   all              and at-most-once transactions
//
// A wait that reaches its limit ends, and the transition says so: a router whose peers and nodes report
// nothing serves, as it would without stages. One wait has no limit, and ends by a newer list, the node's own
// report, or an operator's command: that for a primary that is *contested*. That is, two nodes report to be
// it, or one does that is named by a list no newer than the one by which another was last known to be it.
// Writes to the wrong one of two are lost. Nodes are requested to report, each by some of the routers at a
// time.
//
// A group goes through the stages once a start; later changes are the routing module's. A primary that
// changes later is confirmed, for the next start, once its own report and the list agree. This guards against
// trusting an older list after a loss of power. The cost is at most the times above, where nodes don't
// report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "recovery/drain_registry.h"
#include "recovery/peer_observations.h"

namespace gulltrestle::recovery {

// Each admits what the one before does, and more.
enum class Stage { closed, anyReads, consistentReads, writes, all };
// As settings, status documents and logs have it.
std::string_view nameOf(Stage stage);

// The last known primary of a group.
struct Primary {
  NodeId node;
  ListVersion version = 0;  // the newest endpoint list when it was
  bool operator==(const Primary&) const = default;
};

// A primary that this router has confirmed, for the disk and for its peers.
struct ConfirmedPrimary {
  GroupId group = 0;
  Primary primary;
};

// Why a group went on to its next stage.
enum class TransitionReason {
  evidence,  // what it waited for came
  timedOut,
  forced,  // by an operator
};
// As logs have it.
std::string_view nameOf(TransitionReason reason);

// A group went on to its next stage.
struct StageTransition {
  GroupId group = 0;
  Stage from = Stage::closed, to = Stage::closed;
  TransitionReason reason = TransitionReason::evidence;
  Duration waited;
};

// From the settings.
struct RecoveryStagesConfig {
  std::vector<TransactionClass> classes;
  unsigned routers = 1;            // that may start together
  bool mayRequestReports = false;  // nodes can be asked for a load report
  std::uint64_t seed = 0;          // of the times of requests, which differ from router to router
};

// The stages of all groups at one router. Used by cluster/recovery_service.h.
class RecoveryStages {
 public:
  explicit RecoveryStages(RecoveryStagesConfig config);

  // --- Evidence

  // A list came, with the drains that are known here applied to it (recovery/drain_registry.h).
  void onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                      const std::vector<EndpointEntry*>& entries);
  // This router's disk, or another router, knows of this primary.
  void onKnownPrimary(GroupId group, const Primary& primary);
  // Whether more than half of the voters can be reached.
  void setQuorumReached(bool isReached) { isQuorumReached_ = isReached; }
  // An operator forces every group to this stage at least, whatever it waits for; none: no longer.
  void force(std::optional<Stage> stage) { forced_ = stage; }

  // --- Decisions

  // Makes the transitions that are due, by what was observed of nodes, and returns them.
  [[nodiscard]] std::vector<StageTransition> decide(Instant now, const PeerObservations& observations);
  // Nodes to be asked for a load report now, for groups that wait for it.
  [[nodiscard]] std::vector<NodeId> takeReportRequests() { return std::exchange(reportRequests_, {}); }
  // Primaries that were confirmed since the last call.
  [[nodiscard]] std::vector<ConfirmedPrimary> takeConfirmed() { return std::exchange(confirmed_, {}); }
  // When decide() is due without further evidence; never: it is not.
  Instant nextDue() const { return nextDue_; }

  // Whether transactions of that class, by its index among the configured ones, are admitted to the group.
  // Groups that no list names are the routing module's to reject.
  bool admits(GroupId group, std::size_t classIndex) const;

  // For status documents.
  struct GroupStatus {
    Stage stage = Stage::closed;
    Instant since;
    std::string_view awaits;         // empty: nothing
    std::vector<NodeId> contenders;  // of a contested primary; empty: it is not
  };
  GroupStatus statusOf(GroupId group) const;
  std::vector<GroupId> groups() const;
  bool isFinished() const;  // all groups admit all

 private:
  struct Member {
    bool isLive = false, isPrimary = false;  // as the list has it
    Instant nextRequestAt;                   // for a load report, at the earliest
  };
  struct Group {
    std::map<NodeId, Member> members;
    Stage stage = Stage::closed;
    Instant since;
    bool isListed = false;                // by discovery since this start; else only by a restored list
    std::optional<Primary> knownPrimary;  // from before this start, or from other routers
    std::vector<NodeId> contenders;       // of a contested primary
  };
  void updateMember(Instant now, const EndpointEntry& entry, bool isRestored);
  void removeUnlisted();

  // The primary, where it is not contested. Sets the group's contenders where it is.
  std::optional<NodeId> primaryOf(Group& group, const PeerObservations& observations) const;
  // Whether the only node that reports to be the primary may be an older one than the last known.
  bool mayBeOutdated(const NodeId& reported, const Group& group, const PeerObservations& observations) const;

  // Goes through all transitions of the group that are due.
  void advance(Instant now, GroupId id, Group& group, const PeerObservations& observations,
               std::vector<StageTransition>& transitions);
  // Why the group may go on to its next stage; none: not yet.
  std::optional<TransitionReason> reasonToAdvance(Instant now, Group& group,
                                                  const PeerObservations& observations);
  bool hasPositions(const Group& group, const PeerObservations& observations) const;
  // Timed out; or none, and decide() is due when it is.
  std::optional<TransitionReason> timedOutAfter(Duration maxWait, Instant now, const Group& group);

  void confirmListed(GroupId id, Group& group, const PeerObservations& observations);
  void confirm(GroupId id, Group& group, const NodeId& primary);
  void requestReports(Instant now, Group& group, const PeerObservations& observations);
  // Whether the node's report could advance the group.
  bool isReportWanted(const NodeId& node, const Member& member, const Group& group,
                      const PeerObservations& observations) const;
  // Between two requests from this router to one node.
  Duration requestInterval() const;
  void dueBy(Instant when);

  std::vector<TransactionClass> classes_;
  unsigned routers_;
  bool mayRequestReports_;
  bool isQuorumReached_ = false;
  std::optional<Stage> forced_;
  std::mt19937_64 random_;
  std::map<GroupId, Group> groups_;
  ListVersion newestVersion_ = 0;  // of endpoint lists
  std::vector<NodeId> reportRequests_;
  std::vector<ConfirmedPrimary> confirmed_;
  Instant nextDue_;
};

}  // namespace gulltrestle::recovery
