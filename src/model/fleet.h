// A model of one group of nodes and the routers before it: the project's own ledgers, levels and module, run
// in simulated time against queues. No socket, no wall clock; the same result for the same seed. It knows
// what truly happened, and counts what broke a rule.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "core/ledger.h"
#include "levels/table.h"

namespace gulltrestle::model {

// A txn type of the modelled traffic.
struct Kind {
  TxnType type;
  double share = 0;  // of the txns
  Span work;         // in the mean, of a node's one core; from half to one and a half of that
};

// Who decides what is refused in an overload.
enum class Refusing { byLevels, byModule, nobody };

// What happens beside the load. Times in seconds from the start; below 0: never.
struct Trouble {
  double behindFrom = -1, behindTo = -1;  // all replicas stand still with the log
  double newsLate = 0;                    // what nodes tell of their position is so old
  double drainAt = -1;                    // a replica is listed as draining
  double restartAt = -1;                  // all routers start anew, knowing nothing
  unsigned comeAgain = 0;                 // declined clients ask again at once, so many times
};

struct Sheet {
  std::vector<Kind> kinds;
  std::size_t routers = 1, replicas = 2;
  unsigned sessions = 50;           // that read what they wrote
  Span queue = Span::millis(2000);  // a node turns away what would wait for longer
  Span lag = Span::millis(40);      // of replicas
  Refusing refusing = Refusing::byLevels;
  Trouble trouble;
  std::uint64_t seed = 1;
};

// What truly happened.
struct Broken {
  std::uint64_t late = 0;        // final answers past the client's time
  std::uint64_t unanswered = 0;  // txns without one, of routers that went on
  std::uint64_t twice = 0;       // once-only txns that ran more than once
  std::uint64_t declined = 0;    // once-only txns that ran and were declined
  std::uint64_t stale = 0;       // reads answered from data older than allowed
  std::uint64_t drained = 0;     // submissions to a node a second after it was told to drain
  std::uint64_t sum() const { return late + unanswered + twice + declined + stale + drained; }
};

struct Result {
  double value = 0;                       // answered within the SLA time over asked for
  double worst = 1;                       // the least part of a 10 s window's txns that was committed
  unsigned changes = 0, mostAMinute = 0;  // of levels: of all routers; of the first one in a minute
  unsigned mostLevel = 0;
  std::uint64_t right = 0, wrong = 0;  // refusals by a level, by an observer who sees the nodes' queues
  std::vector<std::pair<double, unsigned>> levels;  // of the first router, by the second at which it changed
  Broken broken;
};

class Fleet {
 public:
  explicit Fleet(Sheet sheet);
  ~Fleet();

  // `demand`: by the second, as a multiple of what the nodes can do.
  Result run(double seconds, const std::function<double(double)>& demand);

 private:
  struct Router;
  struct Node {
    NodeId id;
    bool primary = false, draining = false;
    Instant busyUntil, toldToDrain;
  };
  struct Ending {
    Instant at;
    std::size_t router;
    int start;
    core::Job job;
    std::size_t node;
    bool operator<(const Ending& other) const { return at > other.at; }
  };
  struct Again {
    Instant at;
    std::size_t kind;
    unsigned tries;
  };

  void start();
  void list(Router& router);
  void ask();
  void ask(std::size_t kind, unsigned tries);
  void carry(Router& router, core::Job job, const NodeId& node);
  void finish(const Ending& end);
  void answered(Router& router, core::OwnerId owner, bool committed, bool declined);
  void judge(std::size_t kind);
  Instant appliedBy(const Node& node) const;
  double seconds() const;

  Sheet sheet_;
  std::mt19937_64 chance_;
  Instant begin_, now_;
  double capacity_ = 0;  // txns a second
  int starts_ = 0;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::priority_queue<Ending> ends_;
  std::deque<Again> again_;
  std::map<std::uint64_t, Instant> commits_;  // the last of each session
  std::pair<double, double> window_;          // asked for and committed in this one
  double asked_ = 0, earned_ = 0;
  unsigned changesBefore_ = 0;
  Result result_;
};

}  // namespace gulltrestle::model
