// The acceptor role of a voter in the consensus on the maintenance plan: a Paxos acceptor for a single
// register whose value is replaced by successive rounds. A value that a majority of the voters has accepted
// in one round is chosen. Any two majorities share a voter, so a round that a majority has promised knows the
// value that was chosen before. No I/O, no clock.
//
//   state       condition                                replies to
//   complete    the disk holds everything that it ever   prepare and accept requests with a ballot at or
//               promised                                 above the highest that it promised
//   incomplete  the disk was lost or is an old copy      accept requests only; becomes complete once one is
//                                                        durable
//
// A reply is sent once the state that it reports is durable. This protects against a voter that lost its
// state: while incomplete it is not part of any prepare quorum, so the lost value is read from other voters,
// and the next accept request restores it. A round that the voter had promised to reject cannot reach it
// again: it takes part only once it votes (idempotency/voting_member.h: after the retention time), and rounds
// last a fraction of that time. Limitation: if a majority of the disks is lost at the same time, no further
// value is chosen until operators start over.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Owned by the maintenance service of a voter, which makes the state durable and sends the replies.
class Acceptor {
 public:
  // `stored`: the last serialized() state on disk; empty if none was ever written. `isComplete`: whether it
  // includes every promise that this voter ever made.
  Acceptor(const std::string& stored, bool isComplete);

  // The reply to a prepare or an accept request.
  struct AcceptorReply {
    enum class Kind { promised, accepted, rejected } kind = Kind::rejected;
    Ballot ballot;           // ballot of the request
    Ballot promised;         // rejected: highest ballot promised by this acceptor
    AcceptedValue accepted;  // promised: value last accepted by this acceptor
  };

  // The effect of a request. If neither field is set, there is no reply.
  struct RequestOutcome {
    bool needsWrite = false;  // serialized() has to be made durable; onWritten() then returns the reply
    std::optional<AcceptorReply> rejection;  // reply to be sent immediately
  };
  // Phase 1 of the consensus.
  [[nodiscard]] RequestOutcome prepare(const Ballot& ballot);
  // Phase 2 of the consensus.
  [[nodiscard]] RequestOutcome accept(const AcceptedValue& proposed);
  // Reports that the oldest pending write is durable or has failed. Returns the reply to the request that
  // caused it, or nullopt if the write failed: the proposer then starts another round.
  std::optional<AcceptorReply> onWritten(bool durable);

  // Called when the disk turns out to lack promises that this voter made.
  void markIncomplete() { isComplete_ = isDurablyComplete_ = false; }
  // Whether the durable state is complete. Heartbeat replies of this voter count towards a lease only then.
  bool isComplete() const { return isDurablyComplete_; }
  // The durable accepted value.
  const AcceptedValue& accepted() const { return durableValue_; }
  // The state to be stored, including the effects of all requests so far.
  std::string serialized() const;

 private:
  struct PendingWrite {
    AcceptorReply reply;
    AcceptedValue accepted;  // accepted value that the write makes durable
  };
  RequestOutcome replyWhenDurable(AcceptorReply reply);
  RequestOutcome rejected(const Ballot& ballot) const;

  bool isComplete_, isDurablyComplete_;
  Ballot promised_;
  AcceptedValue accepted_, durableValue_;
  std::deque<PendingWrite> pendingWrites_;  // in write order
};

}  // namespace gulltrestle::maintenance
