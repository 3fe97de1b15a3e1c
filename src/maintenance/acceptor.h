// A voter's part in agreeing on the maintenance plan: a Paxos acceptor for a single register whose value is
// replaced by round after round. A value that a majority of the voters has accepted in one round is chosen;
// any two majorities share a voter, so a round that a majority has promised knows what was chosen before. No
// I/O, no clock.
//
//   state       what it is                               replies to
//   complete    the disk holds all that it ever          prepare and accept requests with a ballot at or
//               promised                                 above the highest that it promised
//   incomplete  the disk was lost or is an old copy      accept requests alone; once one is durable it is
//                                                        complete
//
// A reply is sent once the state that it reports is durable. Guards against a voter that lost its state:
// while incomplete it counts in no prepare quorum, so the value that it lost is read from others, and the
// next accept request brings it the value. That a round which it had promised to reject comes to it again is
// ruled out by time: it takes part again only once it votes (idempotency/voting_member.h: after the retention
// time), and rounds last a fraction of that. Limit: where a majority of the disks is lost at once nothing is
// chosen any more until operators start over.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Owned by the maintenance service of a voter, which makes its state durable and delivers its replies.
class Acceptor {
 public:
  // `stored`: the last serialized() state on disk; empty: none was ever written. `isComplete`: whether that
  // includes all that it ever promised.
  Acceptor(const std::string& stored, bool isComplete);

  // The reply to a prepare or an accept request.
  struct AcceptorReply {
    enum class Kind { promised, accepted, rejected } kind = Kind::rejected;
    Ballot ballot;           // of the request
    Ballot promised;         // rejected: the highest ballot that was promised here
    AcceptedValue accepted;  // promised: the value that was accepted here last
  };

  // What a request led to. Neither: there is no reply.
  struct RequestOutcome {
    bool needsWrite = false;  // serialized() is to be made durable; onWritten() returns the reply
    std::optional<AcceptorReply> rejection;  // the reply, to be sent at once
  };
  // Phase 1.
  [[nodiscard]] RequestOutcome prepare(const Ballot& ballot);
  // Phase 2.
  [[nodiscard]] RequestOutcome accept(const AcceptedValue& proposed);
  // The oldest write that has not been reported yet is durable, or has failed. Returns the reply to the
  // request behind it; none where it failed: the proposer begins another round.
  std::optional<AcceptorReply> onWritten(bool durable);

  // The disk turned out not to hold all that this voter ever promised.
  void markIncomplete() { isComplete_ = isDurablyComplete_ = false; }
  // Whether it is complete by what is durable: only then heartbeat replies of this voter make a lease.
  bool isComplete() const { return isDurablyComplete_; }
  // The accepted value that is durable.
  const AcceptedValue& accepted() const { return durableValue_; }
  // The state to be stored, with all requests up to now.
  std::string serialized() const;

 private:
  struct PendingWrite {
    AcceptorReply reply;
    AcceptedValue accepted;  // the accepted value with that write
  };
  RequestOutcome replyWhenDurable(AcceptorReply reply);
  RequestOutcome rejected(const Ballot& ballot) const;

  bool isComplete_, isDurablyComplete_;
  Ballot promised_;
  AcceptedValue accepted_, durableValue_;
  std::deque<PendingWrite> pendingWrites_;  // in the order of the writes
};

}  // namespace gulltrestle::maintenance
