// In which order service returns after a start, group by group. No I/O, no clock.
//
//   stage       lets in                          waits for                              at most
//   shut        nothing                          a list that names a live node          5 s, with nodes known
//                                                of the group                           from before
//   any reads   reads of any age                 positions of half of its replicas,     2 s
//                                                or its primary's word
//   owed reads  and bounded and session reads    its primary, by its own word or by     5 s; without end
//   while
//                                                two others, and not contested          that is contested
//   writes      and fresh reads, repeatable and  more than half of the keepers          10 s
//               referenced writes
//   all         and once-only txns
//
// What has not come by then is given up on, and said so: a router whose peers and nodes tell nothing serves,
// as it would without stages. One wait has no end but a newer list, the node's own word, or an operator's:
// that of a primary that is *contested*: two claim to be it, or one does that a list names which is no newer
// than the one by which another was last known to be it. What is written to the wrong one of two is lost. To
// find out nodes are asked, each by a part of the routers at a time.
//
// A group goes through this once a start; what happens to it later is the decision module's. A primary that
// changes later is confirmed, for the next start, once its own word and the list agree. It guards
// against trusting an older list after a loss of power. Hurts for at most the times above, where nodes don't
// tell what is waited for.
#pragma once

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

enum class Stage { closed, anyReads, consistentReads, writes, all };
std::string_view nameOf(Stage stage);

// Who was last known as a group's primary, and by lists up to which version.
struct Primary {
  NodeId node;
  ListVersion version = 0;
  bool operator==(const Primary&) const = default;
};

enum class TransitionReason { evidence, timedOut, forced };
std::string_view nameOf(TransitionReason why);

struct StageTransition {
  GroupId group = 0;
  Stage from = Stage::closed, to = Stage::closed;
  TransitionReason reason = TransitionReason::evidence;
  Duration waited;
};

class RecoveryStages {
 public:
  // `mayAsk`: nodes can be asked for their standing. `seed`: routers that start together ask at other times.
  RecoveryStages(std::vector<TransactionClass> types, unsigned routers, bool mayAsk, std::uint64_t seed);

  // --- Evidence. Lists come as the drains that bind have changed them.
  void onEndpointList(Instant now, EndpointUpdateKind kind, ListVersion version,
                      const std::vector<EndpointEntry*>& entries);
  // This router's disk, or another router, knows of this primary.
  void onKnownPrimary(GroupId group, const Primary& primary);
  void setQuorumReached(bool reached) { keepers_ = reached; }
  // By an operator: every group is at this stage at least, whatever it waits for. None: no more.
  void force(std::optional<Stage> stage) { forced_ = stage; }

  // Which changes are due, by what nodes were seen to be.
  std::vector<StageTransition> decide(Instant now, const PeerObservations& seen);
  // Nodes to be asked now, for groups that wait for what they may tell.
  std::vector<NodeId> takeReportRequests() { return std::exchange(asks_, {}); }
  // Primaries that were confirmed since it was last asked, for the disk and for others.
  std::vector<std::pair<GroupId, Primary>> takeConfirmed() { return std::exchange(confirmed_, {}); }
  // When decide() is due though nothing comes in; never: it is not.
  Instant due() const { return due_; }

  // Groups that no list names are the module's to refuse.
  bool admits(GroupId group, std::size_t type) const;

  struct GroupStatus {
    Stage stage = Stage::closed;
    Instant since;
    std::string_view awaits;      // empty: nothing
    std::vector<NodeId> claimed;  // contested by these
  };
  GroupStatus statusOf(GroupId group) const;
  std::vector<GroupId> groups() const;
  bool isFinished() const;  // all groups let all in

 private:
  struct Member {
    bool live = false, primary = false;  // as the list has it
    Instant askAt;                       // when it may be asked next
  };
  struct Group {
    std::map<NodeId, Member> members;
    Stage stage = Stage::closed;
    Instant since;
    bool listed = false;           // by discovery since this start; else only by what was known before
    std::optional<Primary> known;  // from before, or from others
    std::vector<NodeId> claimed;
  };
  std::optional<NodeId> primaryOf(Group& group, const PeerObservations& seen) const;
  std::optional<TransitionReason> next(Instant now, Group& group, const PeerObservations& seen);
  void ask(Instant now, Group& group, const PeerObservations& seen);
  void confirm(GroupId id, Group& group, const NodeId& primary);
  Duration spacing() const;
  void dueBy(Instant at);

  std::vector<TransactionClass> types_;
  unsigned routers_;
  bool mayAsk_, keepers_ = false;
  std::optional<Stage> forced_;
  std::mt19937_64 chance_;
  std::map<GroupId, Group> groups_;
  ListVersion version_ = 0;
  std::vector<NodeId> asks_;
  std::vector<std::pair<GroupId, Primary>> confirmed_;
  Instant due_;
};

}  // namespace gulltrestle::recovery
