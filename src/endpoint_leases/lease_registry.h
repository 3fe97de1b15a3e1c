// Which streams are tries of one txn, and what is known of its earlier ones: whether a stream that asks may
// be put to the module at all, as what, or what it gets instead. Server choice, whether a txn is sent again
// and what is rejected are the module's, which is told the earlier tries (Earlier). No I/O, no clock.
//
// A txn goes by the id that its client gave it. Its states, and what a further stream with its id gets:
//
//   state      what it is                        a later try of it            any other stream
//   asked      a stream waits, nothing granted   takes the place of the one   denied: refused, or rolled
//                                                that waits                   back where it may not run twice
//   granted    a grant is out, no end is told    waits a moment for the end,  denied likewise
//                                                then goes on as may-have-run
//   between    its last try ended, and another   goes on, with what is known  denied likewise; a new txn
//              may come                          of the earlier ones          where nothing was granted
//   over       it had its final answer           the same answer once more    a new txn if it may run again
//                                                                             or never ran; else denied
//   (unknown)  never seen, or by another start   taken as new; with a later try's count or another start's
//              of this program, or forgotten     grant, as one that may have run unless nothing was written
//
// A later try is one whose count is above the last that was seen. What may not run twice is remembered until
// its client's time is up by its type's deadline; where there is no room for that, no such txn is taken.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "endpoint_leases/attempt_outcome.h"
#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

using StreamKey = std::uint64_t;  // a stream's own number; never 0

enum class FinalOutcome { committed, rejected, rolledBack };

// How a proxy is placed: it asks once a request, and what ends without effect is over; or once a try, and the
// next try may go on.
enum class ProxyPlacement { request, attempts };

struct LeaseRequest {
  std::string id;
  std::size_t type = 0;                // row of the types
  unsigned attempt = 1;                // the proxy's count, from 1
  Written written = Written::unknown;  // by the earlier tries
  std::string token;                   // of the last grant that the proxy knows of; empty: none
  Duration remainingTime;
};

struct LeaseDecision {
  enum class Action {
    take,   // put it to the module
    wait,   // ask again at `until`: an earlier try's end is awaited
    answer  // it gets `outcome` without the module
  } action = Action::take;
  PriorAttempts earlier;  // take
  Instant until;          // wait
  FinalOutcome outcome = FinalOutcome::rejected;
  std::string_view reason;       // answer
  StreamKey supersedes = 0;      // take: this stream waited for the same txn, and gets refused
  StreamKey endsUnreported = 0;  // take: this stream's grant counts as ended, and may have run
};

struct Bounds {
  std::size_t most = 65536;  // txns that are remembered, of those that may not run twice, and of all others
};

class LeaseRegistry {
 public:
  // `start`: names this start of the program in tokens; no other start has the same.
  LeaseRegistry(std::vector<TransactionClass> types, ProxyPlacement placement, Bounds bounds,
                std::string start);

  // A stream asks. Called again for one that was told to wait.
  LeaseDecision asked(Instant now, StreamKey stream, const LeaseRequest& ask);
  // The stream that asks has been granted an attempt at the node. Returns the grant's token.
  std::string granted(Instant now, const std::string& id, StreamKey stream, const NodeId& node);
  // That attempt ended so.
  void ended(Instant now, const std::string& id, StreamKey stream, AttemptOutcome how);
  // The stream gets its answer by the module; it is the txn's final one unless another try may come.
  void answered(Instant now, const std::string& id, StreamKey stream, FinalOutcome outcome);
  // The stream is over without one: its proxy gave up, or its connection is gone.
  void left(Instant now, const std::string& id, StreamKey stream);

  // Forgets what has had its time. Returns when there will be more to forget; never: nothing is left.
  Instant forget(Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { asked, granted, between, over };
  struct Entry {
    State state = State::asked;
    std::size_t type = 0;
    StreamKey stream = 0;  // that asks or has the grant; 0: none
    unsigned attempt = 1, grants = 0;
    Instant firstAt;  // when its first try came; never: not known
    Instant mayHaveRunAt, grantedAt, until;
    std::vector<NodeId> tried;
    std::string token;  // of the last grant
    FinalOutcome outcome = FinalOutcome::rejected;
    std::optional<std::pair<StreamKey, Instant>> crossing;  // a try that waits for the end, and until when
  };
  Entry* of(const std::string& id, StreamKey stream);
  Entry& begin(Instant now, StreamKey stream, const LeaseRequest& ask);
  LeaseDecision taken(Instant now, const Entry& entry) const;
  LeaseDecision unknown(Instant now, StreamKey stream, const LeaseRequest& ask);
  LeaseDecision refused(const Entry& entry, std::string_view why) const;
  void remember(Instant now, const std::string& id, Entry& entry, State state);
  bool mayRepeat(std::size_t type) const { return types_[type].effect == Effect::idempotent; }

  std::vector<TransactionClass> types_;
  ProxyPlacement placement_;
  Bounds bounds_;
  std::string start_;
  std::unordered_map<std::string, Entry> entries_;
  // When entries that are between or over may go, oldest first; those that may repeat, and those that may
  // not.
  std::deque<std::pair<Instant, std::string>> repeatables_, others_;
};

}  // namespace gulltrestle::endpoint_leases
