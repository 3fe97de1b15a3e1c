// How a keeper changes what is settled: a round reads from more than half of the keepers, changes what it
// read, and writes it to more than half. No I/O, no clock.
//
//   state   what it is                                          goes to
//   rests   nothing is wanted, or it waits for its turn         reads: something is wanted and the rest over
//   reads   it has asked all to promise                         writes: more than half did, and the caller
//                                                               has changed what the newest of them held
//   writes  it has asked all to take the changed value          rests, settled: more than half have it
//                                                               durable
//   either  a keeper has promised a higher round, or the        rests, for a pause that is drawn and doubles
//           time is up
//
// Two that try at once end each other's rounds; the pause parts them. A round that lasted too long is given
// up: what it read may be old, and keepers that forgot rely on that (maintenance/acceptor.h).
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

class ProposalRound {
 public:
  enum class State { idle, preparing, accepting };

  // `draw`: of this start. `most`: that a round may last.
  ProposalRound(std::size_t keepers, std::uint64_t draw, Duration most);

  State state() const { return state_; }
  const Ballot& ballot() const { return ballot_; }

  // Begins one if it rests and may. True: all keepers are to be asked to promise ballot().
  bool begin(Instant now);
  void onPromise(Instant now, VoterIndex keeper, const Ballot& ballot, const AcceptedValue& held);
  // More than half have promised: what they hold that is newest, once a round. The caller writes: it changes
  // only what is settled, and else hands on what it read, unchanged. So nobody ever holds what is more than
  // one change ahead of what is settled.
  struct PreparedValue {
    AcceptedValue held;
    bool isChosen = false;
  };
  std::optional<PreparedValue> takePrepared();
  // All keepers are to be asked to take this, which has the round's ballot.
  const AcceptedValue& propose(const ValueVersion& stamp, std::string value);
  void onAccepted(Instant now, VoterIndex keeper, const Ballot& ballot);
  void onRejected(Instant now, const Ballot& ballot, const Ballot& promised);
  // Kind has been settled by this round, once.
  std::optional<AcceptedValue> takeChosen();

  // Gives up what lasted too long. Returns when there is more to do; never: nothing is.
  Instant runTimers(Instant now);

 private:
  void rest(Instant now);

  std::size_t keepers_;
  std::uint64_t draw_;
  Duration most_, pause_;
  std::mt19937_64 chance_;
  State state_ = State::idle;
  Ballot ballot_;
  std::uint64_t highest_ = 0;  // number of a round that is known of
  std::map<VoterIndex, AcceptedValue> read_;
  std::set<VoterIndex> wrote_;
  bool readTaken_ = false;
  AcceptedValue own_;
  std::optional<AcceptedValue> settled_;
  Instant until_, restsUntil_;
};

}  // namespace gulltrestle::maintenance
