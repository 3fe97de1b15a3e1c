// In which order service returns after a start, group by group. No I/O, no clock.
//
//   stage            admits                           waits for                              at most
//   closed           nothing                          a list that names a live node          5 s, with nodes
//                                                     of the group                           known from
//                                                     before
//   anyReads         reads of any age                 positions of half of its replicas,     2 s
//                                                     or its primary's own report
//   consistentReads  and bounded and session reads    its primary, by its own report or by   5 s; without end
//                                                     two peers, and not contested           while contested
//   writes           and linearizable reads,          more than half of the voters           10 s
//                    idempotent and deduplicated
//                    writes
//   all              and at-most-once txns
//
// What has not come by then is given up on, and reported so: a router whose peers and nodes report nothing
// serves, as it would without stages. One wait has no end but a newer list, the node's own report, or an
// operator's command: that of a primary that is *contested*: two claim to be it, or one does that a list
// names which is no newer than the one by which another was last known to be it. What is written to the wrong
// one of two is lost. To find out nodes are asked, each by a part of the routers at a time.
//
// A group goes through this once a start; what happens to it later is the routing module's. A primary that
// changes later is confirmed, for the next start, once its own report and the list agree. It guards against
// trusting an older list after a loss of power. The cost is at most the times above, where nodes don't report
// what is waited for.
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

// Who was last known as a group's primary, and by lists up to which version.
struct Primary {
  NodeId node;
  ListVersion version = 0;
  bool operator==(const Primary&) const = default;
};

// A primary that this router has confirmed, for the disk and for its peers.
struct ConfirmedPrimary {
  GroupId group = 0;
  Primary primary;
};

// Why a group went on: what it waited for came, or did not within its time, or an operator said so.
enum class TransitionReason { evidence, timedOut, forced };
// As logs have it.
std::string_view nameOf(TransitionReason reason);

// A group went on to its next stage.
struct StageTransition {
  GroupId group = 0;
  Stage from = Stage::closed, to = Stage::closed;
  TransitionReason reason = TransitionReason::evidence;
  Duration waited;
};

// The stages of all groups at one router. Used by cluster/recovery_service.h.
class RecoveryStages {
 public:
  // `mayAsk`: nodes can be asked for a load report. `seed`: routers that start together ask at other times.
  RecoveryStages(std::vector<TransactionClass> classes, unsigned routers, bool mayAsk, std::uint64_t seed);

  // --- Evidence

  // A list came, already changed by the drains that bind (recovery/drain_registry.h).
  void onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                      const std::vector<EndpointEntry*>& entries);
  // This router's disk, or another router, knows of this primary.
  void onKnownPrimary(GroupId group, const Primary& primary);
  // Whether more than half of the voters can be reached.
  void setQuorumReached(bool isReached) { isQuorumReached_ = isReached; }
  // By an operator: every group is at this stage at least, whatever it waits for. None: no more.
  void force(std::optional<Stage> stage) { forced_ = stage; }

  // --- Decisions

  // Which transitions are due, by what was observed of nodes.
  std::vector<StageTransition> decide(Instant now, const PeerObservations& observations);
  // Nodes to be asked now, for groups that wait for what they may report.
  std::vector<NodeId> takeReportRequests() { return std::exchange(reportRequests_, {}); }
  // Primaries that were confirmed since the last call.
  std::vector<ConfirmedPrimary> takeConfirmed() { return std::exchange(confirmed_, {}); }
  // When decide() is due though nothing comes in; never: it is not.
  Instant due() const { return due_; }

  // Whether txns of that class (its row in the table of classes) are admitted to the group. Groups that no
  // list names are the routing module's to reject.
  bool admits(GroupId group, std::size_t row) const;

  // For status documents.
  struct GroupStatus {
    Stage stage = Stage::closed;
    Instant since;
    std::string_view awaits;      // empty: nothing
    std::vector<NodeId> claimed;  // contested by these
  };
  GroupStatus statusOf(GroupId group) const;
  std::vector<GroupId> groups() const;
  bool isFinished() const;  // all groups admit all

 private:
  struct Member {
    bool isLive = false, isPrimary = false;  // as the list has it
    Instant mayAskAt;                        // when it may be asked next
  };
  struct Group {
    std::map<NodeId, Member> members;
    Stage stage = Stage::closed;
    Instant since;
    bool isListed = false;                // by discovery since this start; else only by what was stored
    std::optional<Primary> knownPrimary;  // from before, or from others
    std::vector<NodeId> claimants;        // that contest who is the primary
  };
  void updateMember(Instant now, const EndpointEntry& entry, bool isRestored);
  void removeUnlisted();

  // Who is primary, beyond doubt. Sets the group's claimants where that is contested.
  std::optional<NodeId> primaryOf(Group& group, const PeerObservations& observations) const;
  // Whether the only claimant may be an older primary than the one that was last known.
  bool isDoubted(const NodeId& claimant, const Group& group, const PeerObservations& observations) const;

  // Goes through all transitions of the group that are due.
  void advance(Instant now, GroupId id, Group& group, const PeerObservations& observations,
               std::vector<StageTransition>& transitions);
  // Why the group may go on to its next stage; none: not yet.
  std::optional<TransitionReason> reasonToAdvance(Instant now, Group& group,
                                                  const PeerObservations& observations);
  bool hasPositions(const Group& group, const PeerObservations& observations) const;
  // Timed out, or none, and it is due then.
  std::optional<TransitionReason> timedOutAfter(Duration maxWait, Instant now, const Group& group);

  void confirmListed(GroupId id, Group& group, const PeerObservations& observations);
  void confirm(GroupId id, Group& group, const NodeId& primary);
  void requestReports(Instant now, Group& group, const PeerObservations& observations);
  // Whether the node's report could help the group on.
  bool isReportWanted(const NodeId& node, const Member& member, const Group& group,
                      const PeerObservations& observations) const;
  // Between two requests of this router to one node.
  Duration requestInterval() const;
  void dueBy(Instant when);

  std::vector<TransactionClass> classes_;
  unsigned routers_;
  bool mayAsk_, isQuorumReached_ = false;
  std::optional<Stage> forced_;
  std::mt19937_64 random_;
  std::map<GroupId, Group> groups_;
  ListVersion version_ = 0;  // the newest list's
  std::vector<NodeId> reportRequests_;
  std::vector<ConfirmedPrimary> confirmed_;
  Instant due_;
};

}  // namespace gulltrestle::recovery
