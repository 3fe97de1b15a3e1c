// Restores service in stages after a start, separately for each group. No I/O, no clock.
//
//   stage            admits                           waits for                              at most
//   closed           nothing                          an endpoint list with a live node of   5 s, with nodes
//                                                     the group                              of the restored
//                                                                                            list
//   anyReads         reads of any age                 positions of half of its replicas,     2 s
//                                                     or its primary's own report
//   consistentReads  also bounded and session reads   its primary, by its own report or by   5 s; no limit
//                                                     two peers, and not contested           while contested
//   writes           also linearizable reads,         more than half of the voters           10 s
//                    idempotent and deduplicated
//                    writes
//   all              also at-most-once transactions
//
// When a wait reaches its limit the group advances, and the transition records the timeout: a router whose
// peers and nodes report nothing serves as it would without stages. The one wait without a limit is that for
// a *contested* primary; it ends with a newer list, the node's own report, or an operator's command. A
// primary is contested if two nodes report themselves as primary, or if one does while the endpoint list is
// no newer than the list under which another node was last known as the primary. Writes sent to the wrong one
// of the two are lost. Load reports are requested from the nodes, from each by some of the routers at a time.
//
// A group passes through the stages once per start; the routing module handles later changes. A primary that
// changes later is confirmed, for the next start, once its own report and the endpoint list agree. This
// prevents the router from trusting an outdated list after a power loss. Trade-off: where nodes do not
// report, service is delayed by at most the times above.
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

// Recovery stages in ascending order: each admits everything that the previous one admits, and more.
enum class Stage { closed, anyReads, consistentReads, writes, all };
// The name of the stage in settings, status documents and logs.
std::string_view nameOf(Stage stage);

// The last known primary of a group.
struct Primary {
  NodeId node;
  ListVersion version = 0;  // newest endpoint list at the time when the node was known as primary
  bool operator==(const Primary&) const = default;
};

// A primary that this router has confirmed, to be stored on disk and sent to its peers.
struct ConfirmedPrimary {
  GroupId group = 0;
  Primary primary;
};

// Why a group advanced to its next stage.
enum class TransitionReason {
  evidence,  // the stage's condition was met
  timedOut,
  forced,  // an operator's command
};
// The name of the reason in logs.
std::string_view nameOf(TransitionReason reason);

// A group's advance to its next stage.
struct StageTransition {
  GroupId group = 0;
  Stage from = Stage::closed, to = Stage::closed;
  TransitionReason reason = TransitionReason::evidence;
  Duration waited;
};

// Configuration of the recovery stages.
struct RecoveryStagesConfig {
  std::vector<TransactionClass> classes;
  unsigned routers = 1;            // number of routers that may start at the same time
  bool mayRequestReports = false;  // whether load reports can be requested from nodes
  std::uint64_t seed = 0;          // for the times of requests, which differ between routers
};

// Tracks the stages of all groups at one router. Used by cluster/recovery_service.h.
class RecoveryStages {
 public:
  explicit RecoveryStages(RecoveryStagesConfig config);

  // --- Evidence

  // Processes a received list, to which the known drains have been applied (recovery/drain_registry.h).
  void onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                      const std::vector<EndpointEntry*>& entries);
  // Records a primary that was stored on this router's disk or reported by another router.
  void onKnownPrimary(GroupId group, const Primary& primary);
  // Sets whether more than half of the voters are reachable.
  void setQuorumReached(bool isReached) { isQuorumReached_ = isReached; }
  // Advances every group to at least this stage, on an operator's command, regardless of its wait. nullopt
  // withdraws the command.
  void force(std::optional<Stage> stage) { forced_ = stage; }

  // --- Decisions

  // Applies and returns the transitions that are due according to the observations of nodes.
  [[nodiscard]] std::vector<StageTransition> decide(Instant now, const PeerObservations& observations);
  // Returns the nodes from which a load report has to be requested now, for groups that wait for one.
  [[nodiscard]] std::vector<NodeId> takeReportRequests() { return std::exchange(reportRequests_, {}); }
  // Returns the primaries confirmed since the last call.
  [[nodiscard]] std::vector<ConfirmedPrimary> takeConfirmed() { return std::exchange(confirmed_, {}); }
  // When decide() is due next if no further evidence arrives; never if it is not due.
  Instant nextDue() const { return nextDue_; }

  // Whether the group admits transactions of the class with this index in the configuration. The routing
  // module rejects transactions for groups that the endpoint list does not contain.
  bool admits(GroupId group, std::size_t classIndex) const;

  // The state of a group for status documents.
  struct GroupStatus {
    Stage stage = Stage::closed;
    Instant since;
    std::string_view waitingFor;     // condition that the stage waits for; empty if there is none
    std::vector<NodeId> contenders;  // candidates for a contested primary; empty if it is not contested
  };
  GroupStatus statusOf(GroupId group) const;
  std::vector<GroupId> groups() const;
  bool isFinished() const;  // whether every group has reached Stage::all

 private:
  struct Member {
    bool isLive = false, isPrimary = false;  // according to the endpoint list
    Instant nextRequestAt;                   // earliest time of the next request for a load report
  };
  struct Group {
    std::map<NodeId, Member> members;
    Stage stage = Stage::closed;
    Instant since;
    bool isListed = false;                // by discovery since this start, not only by a restored list
    std::optional<Primary> knownPrimary;  // from before this start, or from other routers
    std::vector<NodeId> contenders;       // candidates for a contested primary
  };
  void updateMember(Instant now, const EndpointEntry& entry, bool isRestored);
  void removeUnlisted();

  // Returns the primary unless it is unknown or contested. If it is contested, sets the group's contenders.
  std::optional<NodeId> primaryOf(Group& group, const PeerObservations& observations) const;
  // Whether the only node that reports itself as primary may predate the last known primary.
  bool mayBeOutdated(const NodeId& reported, const Group& group, const PeerObservations& observations) const;

  // Applies all transitions of the group that are due.
  void advance(Instant now, GroupId id, Group& group, const PeerObservations& observations,
               std::vector<StageTransition>& transitions);
  // Why the group may advance to its next stage; nullopt if it may not yet.
  std::optional<TransitionReason> reasonToAdvance(Instant now, Group& group,
                                                  const PeerObservations& observations);
  bool hasPositions(const Group& group, const PeerObservations& observations) const;
  // Returns timedOut once the wait has reached its limit. Otherwise returns nullopt and schedules decide()
  // for that time.
  std::optional<TransitionReason> timedOutAfter(Duration maxWait, Instant now, const Group& group);

  void confirmListed(GroupId id, Group& group, const PeerObservations& observations);
  void confirm(GroupId id, Group& group, const NodeId& primary);
  void requestReports(Instant now, Group& group, const PeerObservations& observations);
  // Whether a report from the node could advance the group.
  bool needsReport(const NodeId& node, const Member& member, const Group& group,
                   const PeerObservations& observations) const;
  // Interval between two requests from this router to one node.
  Duration requestInterval() const;
  // Makes decide() due at `when` at the latest.
  void scheduleDecision(Instant when);

  std::vector<TransactionClass> classes_;
  unsigned routers_;
  bool mayRequestReports_;
  bool isQuorumReached_ = false;
  std::optional<Stage> forced_;
  std::mt19937_64 random_;
  std::map<GroupId, Group> groups_;
  ListVersion newestVersion_ = 0;  // newest version of any endpoint list that was not restored
  std::vector<NodeId> reportRequests_;
  std::vector<ConfirmedPrimary> confirmed_;
  Instant nextDue_;
};

}  // namespace gulltrestle::recovery
