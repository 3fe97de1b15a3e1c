// A model of groups of nodes and the routers before them: the project's own ledgers, levels and module, run
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

#include "degradation/admission_table.h"
#include "tools/fleet_model/node_model.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::fleet_model {

// A txn type of the modelled traffic.
struct TrafficClass {
  TransactionClass type;
  double share = 0;  // of the txns
  Duration work;     // in the mean, of a node's one core; from half to one and a half of that
};

// Who decides what is refused in an overload.
enum class LoadShedding { byLevels, byModule, nobody };

// What happens beside the load. Times in seconds from the start; below 0: never.
struct FaultPlan {
  double behindFrom = -1, behindTo = -1;  // all replicas stand still with the log
  double newsLate = 0;                    // what nodes tell of their position is so old
  double drainAt = -1;                    // a replica is listed as draining
  double restartAt = -1;                  // all routers start anew, knowing nothing
  unsigned comeAgain = 0;                 // refused clients ask again at once, so many times
  // Clients ask again whatever went wrong, at any router, until their whole wait is over; as they are told to
  // or, where they don't heed that, at once.
  bool insist = false, heed = true;
  Duration again = Duration::millis(100);  // how soon that is
  double listLate = 0;                     // lists tell what was so long ago
  // A part of the routers, or of the nodes, loses power, and each is back at some time of this window after.
  struct Loss {
    double at = -1, part = 1, backFrom = 0.5, backTo = 3;
  };
  Loss routersLost, nodesLost;
  Duration logLost;  // of replicas that lose power: the end of their log
  // Nodes that are taken out for work: listed as draining, off, and back, cold, if they go off at all.
  struct Outage {
    std::size_t node = 0;
    double leaves = 0, off = 0, back = 0;
  };
  std::vector<Outage> outages;
  // Nothing passes between a part of the routers and a part of the nodes.
  struct Cut {
    double from = -1, to = -1, routers = 0.3, nodes = 0.3;
  };
  Cut cut;
};

struct FleetParameters {
  std::vector<TrafficClass> kinds;
  std::size_t routers = 1;
  NodeParameters machines;
  bool probes = false;     // nodes may be asked for their position
  double uneven = 0;       // some routers and groups get so many times the mean more; 0: all the same
  unsigned sessions = 50;  // that read what they wrote
  LoadShedding refusing = LoadShedding::byLevels;
  // Built-in faults: what routers are told of their number, 0: the truth; that nodes start warm.
  std::size_t believedRouters = 0;
  bool believedWarm = false;
  bool ramp = false;  // routers that start let in few at first (recovery/admission_ramp.h)
  FaultPlan trouble;
  std::uint64_t seed = 1;
};

// What truly happened.
struct RuleViolations {
  std::uint64_t late = 0;        // final answers past the client's time
  std::uint64_t unanswered = 0;  // txns without one, of routers that went on
  std::uint64_t twice = 0;       // once-only txns that ran more than once
  std::uint64_t refused = 0;     // once-only txns that ran and were refused
  std::uint64_t stale = 0;       // reads answered from data older than allowed
  std::uint64_t drained = 0;     // attempts to a node a second after it was told to drain
  std::uint64_t sum() const { return late + unanswered + twice + refused + stale + drained; }
};

// What happened in one second.
struct Second {
  double asked = 0, earned = 0;  // value, by when it was first asked for
  unsigned txns = 0, committed = 0,
           late = 0;  // first asked for in it; answered at last; past the latency target
  unsigned attempts = 0, probes = 0, connections = 0, refused = 0;
};

struct Result {
  double value = 0;                       // answered within the latency target over asked for
  double worst = 1;                       // the least part of a 10 s window's txns that was committed
  unsigned changes = 0, mostAMinute = 0;  // of levels: of all routers; of the first one in a minute
  unsigned mostLevel = 0;
  std::uint64_t right = 0, wrong = 0;  // refusals by a level, by an observer who sees the nodes' queues
  std::vector<std::pair<double, unsigned>> levels;  // of the first router, by the second at which it changed
  RuleViolations broken;
  std::vector<Second> seconds;
  std::vector<std::pair<double, double>> kinds;  // a row a txn type: value asked for, and earned
  std::uint64_t fellOver = 0;                    // cold nodes that were pushed over
};

class Fleet {
 public:
  explicit Fleet(FleetParameters sheet);
  ~Fleet();

  // `demand`: by the second, as a multiple of what the nodes can do.
  Result run(double seconds, const std::function<double(double)>& demand);

 private:
  struct Router;
  struct AttemptEnd {
    Instant at;
    std::size_t router;
    unsigned start;  // of the router
    transactions::AttemptId job;
    std::size_t node;
    unsigned nodeStart;
    AttemptOutcome how;
    bool operator<(const AttemptEnd& other) const { return at > other.at; }
  };
  // What one client wants, over all its tries.
  struct ClientRequest {
    std::size_t kind = 0;
    GroupId group = 1;
    std::uint64_t session = 0;
    Instant firstAt;
    unsigned tries = 0;
  };

  bool reaches(double at) const;
  void takeOut();  // for work
  void lose(std::size_t node, Instant back, Duration logLost);
  void strike();  // what the sheet's troubles bring in this step
  void start(std::size_t router);
  void stop(std::size_t router);
  void publish();
  void list(Router& router, const std::vector<transactions::ResolvedEndpoint>& list);
  void ask();
  void ask(ClientRequest wish);
  void askAgain(ClientRequest wish, Duration after);
  void turn();
  void carry(Router& router, transactions::AttemptId job, const NodeId& node);
  void finish(const AttemptEnd& end);
  void answered(Router& router, transactions::OwnerId owner, bool committed, bool refused,
                Duration retryAfter);
  void judge(const ClientRequest& wish);
  bool isCut(const Router& router, std::size_t node) const;
  Instant appliedBy(const NodeModel::Node& node) const;
  Second& secondOf(Instant at);
  double seconds() const;

  FleetParameters sheet_;
  std::mt19937_64 chance_;
  Instant begin_, now_;
  double capacity_ = 0;  // txns a second
  NodeModel nodes_;
  std::vector<std::unique_ptr<Router>> routers_;  // null: it is down
  std::vector<unsigned> starts_;                  // of each
  std::vector<double> shares_, groupShares_;      // of the txns that come to each router, to each group
  std::multimap<Instant, std::size_t> comeUp_;    // routers that are down
  std::priority_queue<AttemptEnd> ends_;
  std::multimap<Instant, ClientRequest> again_;
  // Lists, by when routers hear of them.
  std::multimap<Instant, std::vector<transactions::ResolvedEndpoint>> published_;
  std::vector<transactions::ResolvedEndpoint> last_;  // what discovery tells now
  std::set<Instant> tellAt_;                          // when nodes that were down are back
  std::map<std::uint64_t, Instant> commits_;          // the last of each session
  std::pair<double, double> window_;                  // asked for and committed in this one
  double asked_ = 0, earned_ = 0;
  unsigned changesBefore_ = 0;
  Result result_;
};

}  // namespace gulltrestle::fleet_model
