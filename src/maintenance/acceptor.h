// A keeper's part in settling the plan: one register that keepers change together, in rounds. Kind is held by
// more than half of them is settled; any two such sets share a keeper, so a round that has asked more than
// half knows what was settled before. No I/O, no clock.
//
//   state     what it is                                  answers
//   whole     its disk has all that it ever promised      reads and writes of rounds at or above the highest
//                                                         that it promised
//   learning  its disk was lost or is an old copy         writes alone; once one is durable it is whole
//
// An answer comes once what it says is durable. Guards against a keeper that forgot: while it learns it
// counts in no reading, so what it forgot is read from others; a write brings it what is settled now. That a
// round which it had promised not to hear comes to it again is ruled out by time: it takes part again only
// when it votes (idempotency/voting_member.h: after the time of retention), and rounds last a part of that.
// Hurts where more than half of the disks are lost at once: nothing is settled any more, until operators
// begin anew.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

class Acceptor {
 public:
  // `kept`: as text() had it, from the disk; empty: nothing was ever written there. `whole`: whether that is
  // all that it ever promised.
  Acceptor(const std::string& kept, bool whole);

  struct AcceptorReply {
    enum class Kind { promised, accepted, rejected } kind = Kind::rejected;
    Ballot ballot;       // the round's
    Ballot promised;     // refused: the highest that was promised here
    AcceptedValue held;  // promised: what is held here
  };
  // A round reads. `true`: the answer comes by wrote(); false: there is none, or `refused` tells why.
  bool prepare(const Ballot& ballot, std::optional<AcceptorReply>& refused);
  // A round writes.
  bool accept(const AcceptedValue& held, std::optional<AcceptorReply>& refused);
  // The disk has all up to the oldest change that was not told yet. The answer to what asked for it; none
  // where it failed: whoever asked begins another round.
  std::optional<AcceptorReply> onWritten(bool durable);

  // Its disk is not what it was taken for.
  void markIncomplete() { whole_ = durablyWhole_ = false; }
  // On disk, too: what it tells routers counts.
  bool isComplete() const { return durablyWhole_; }
  // Kind is held, durable.
  const AcceptedValue& accepted() const { return durable_; }
  // For the disk: all of it, as it is to be from now on.
  std::string text() const;

 private:
  struct Waiting {
    AcceptorReply answer;
    AcceptedValue held;
  };
  void wait(AcceptorReply answer);

  bool whole_, durablyWhole_;
  Ballot promised_;
  AcceptedValue held_, durable_;
  std::deque<Waiting> waiting_;
};

}  // namespace gulltrestle::maintenance
