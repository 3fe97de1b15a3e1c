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

class Round {
 public:
  enum class State { rests, reads, writes };

  // `draw`: of this start. `most`: that a round may last.
  Round(std::size_t keepers, std::uint64_t draw, Span most);

  State state() const { return state_; }
  const Ballot& ballot() const { return ballot_; }

  // Begins one if it rests and may. True: all keepers are to be asked to promise ballot().
  bool begin(Instant now);
  void promised(Instant now, KeeperNumber keeper, const Ballot& ballot, const Held& held);
  // More than half have promised: what they hold that is newest, once a round. The caller writes: it changes
  // only what is settled, and else hands on what it read, unchanged. So nobody ever holds what is more than
  // one change ahead of what is settled.
  struct Read {
    Held held;
    bool isSettled = false;
  };
  std::optional<Read> takeRead();
  // All keepers are to be asked to take this, which has the round's ballot.
  const Held& write(const Stamp& stamp, std::string value);
  void accepted(Instant now, KeeperNumber keeper, const Ballot& ballot);
  void refused(Instant now, const Ballot& ballot, const Ballot& promised);
  // What has been settled by this round, once.
  std::optional<Held> takeSettled();

  // Gives up what lasted too long. Returns when there is more to do; never: nothing is.
  Instant due(Instant now);

 private:
  void rest(Instant now);

  std::size_t keepers_;
  std::uint64_t draw_;
  Span most_, pause_;
  std::mt19937_64 chance_;
  State state_ = State::rests;
  Ballot ballot_;
  std::uint64_t highest_ = 0;  // number of a round that is known of
  std::map<KeeperNumber, Held> read_;
  std::set<KeeperNumber> wrote_;
  bool readTaken_ = false;
  Held own_;
  std::optional<Held> settled_;
  Instant until_, restsUntil_;
};

}  // namespace gulltrestle::maintenance
