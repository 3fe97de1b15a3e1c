// A model of the routers of an installation, their clients and the groups of nodes behind them: the project's
// own transaction tables, degradation controllers and routers run in simulated time against queues. No
// socket, no wall clock; the same result for the same seed. It knows what truly happened, and counts
// violations of the rules.
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

// A transaction class of the modelled traffic.
struct TrafficClass {
  TransactionClass type;
  double share = 0;   // of the transactions
  Duration meanWork;  // of a node's one core; each transaction takes from half to one and a half of it
};

// Who decides what is rejected in an overload.
enum class LoadShedding { byLevels, byModule, nobody };

// What happens beside the load. Times in seconds from the start; below 0: never.
struct FaultPlan {
  double replicationStopsAt = -1, replicationResumesAt = -1;  // of all replicas
  double loadReportDelay = 0;                                 // positions that nodes report are so old
  double drainAt = -1;                                        // a replica is listed as draining
  double restartAt = -1;                                      // all routers restart without any state
  unsigned maxRetriesAfterRejection = 0;                      // at once, as new transactions
  // Clients retry whatever failed, at any router, until the deadline of their first attempt: after the time
  // that a rejection names or, where they don't obey that, after retryDelay.
  bool retriesUntilDeadline = false, obeysRetryAfter = true;
  Duration retryDelay = Duration::millis(100);
  double endpointListDelay = 0;  // until routers receive a list
  // A fraction of the routers, or of the nodes, loses power, and each is back at some time of this window
  // after it.
  struct Loss {
    double at = -1, fraction = 1, backFrom = 0.5, backTo = 3;
  };
  Loss routersLost, nodesLost;
  Duration logLost;  // of replicas that lose power: the end of their log
  // A node that is taken out for maintenance: listed as draining, off, and back, cold, if it goes off at all.
  struct Outage {
    std::size_t node = 0;
    double drainsAt = 0, offAt = 0, backAt = 0;
  };
  std::vector<Outage> outages;
  // Nothing passes between a fraction of the routers and a fraction of the nodes.
  struct Partition {
    double from = -1, to = -1, routers = 0.3, nodes = 0.3;
  };
  Partition partition;
};

// What is modelled.
struct FleetParameters {
  std::vector<TrafficClass> trafficClasses;
  std::size_t routers = 1;
  NodeParameters nodeParameters;
  bool allowsHealthChecks = false;
  double imbalance = 0;    // some routers and groups get so many times the mean more; 0: all the same
  unsigned sessions = 50;  // of clients that read what they wrote
  LoadShedding loadShedding = LoadShedding::byLevels;
  // Built-in faults: the number of routers that routers believe in, 0: the true one; nodes count as warm.
  std::size_t believedRouters = 0;
  bool believesNodesWarm = false;
  bool hasAdmissionRamp = false;  // routers that start (recovery/admission_ramp.h)
  FaultPlan faults;
  std::uint64_t seed = 1;
};

// How often a rule was truly violated.
struct RuleViolations {
  std::uint64_t late = 0;                    // final answers past the deadline
  std::uint64_t unanswered = 0;              // transactions without one, of routers that went on
  std::uint64_t executedTwice = 0;           // at-most-once transactions that ran more than once
  std::uint64_t rejectedAfterExecution = 0;  // at-most-once transactions that ran and were rejected
  std::uint64_t stale = 0;                   // reads answered from data older than allowed
  std::uint64_t sentToDrained = 0;           // attempts to a node a second after it was drained
  std::uint64_t sum() const {
    return late + unanswered + executedTwice + rejectedAfterExecution + stale + sentToDrained;
  }
};

// What happened in one second.
struct Second {
  double valueRequested = 0, valueServed = 0;  // of transactions that were first submitted in it
  // First submitted in it; of these committed at last, and past their latency target.
  unsigned txns = 0, committed = 0, late = 0;
  unsigned attempts = 0, healthChecks = 0, connections = 0, rejected = 0;
};

// The result of one run.
struct Result {
  double value = 0;                   // served within the latency target, as a fraction of the requested
  double worstCommittedFraction = 1;  // of a 10 s window's transactions, the least that were committed
  unsigned levelChanges = 0, maxLevelChangesPerMinute = 0;  // of all routers; of the first one
  unsigned maxLevel = 0;
  // Rejections by a level, as judged by an observer who sees the nodes' queues.
  std::uint64_t correctRejections = 0, wrongRejections = 0;
  std::vector<std::pair<double, unsigned>> levels;  // of the first router, by the second of each change
  RuleViolations violations;
  std::vector<Second> seconds;
  std::vector<std::pair<double, double>> kinds;  // value requested and served, by traffic class
  std::uint64_t collapsedNodes = 0;              // cold nodes that fell over under load
};

// The model. One for each run.
class Fleet {
 public:
  explicit Fleet(FleetParameters parameters);
  ~Fleet();

  // `demand`: by the second, as a multiple of what the nodes can serve.
  Result run(double seconds, const std::function<double(double)>& demand);

 private:
  struct Router;
  // An attempt that a node has queued, by when it ends.
  struct AttemptEnd {
    Instant at;
    std::size_t router;
    unsigned routerIncarnation;
    transactions::AttemptId attempt;
    std::size_t node;
    unsigned nodeIncarnation;
    AttemptOutcome outcome;
    bool operator<(const AttemptEnd& other) const { return at > other.at; }
  };
  // What one client wants, over all its attempts.
  struct ClientRequest {
    std::size_t trafficClass = 0;
    GroupId group = 1;
    std::uint64_t session = 0;
    Instant firstSubmittedAt;
    unsigned attempts = 0;
  };

  // --- Faults and lists (fleet.cpp)
  // Whether this step is the one in which that second begins.
  bool isReached(double second) const;
  void injectFaults();
  void applyOutages();
  void loseNode(std::size_t node, Instant backAt, Duration logLost);
  void startRouter(std::size_t router);
  void stopRouter(std::size_t router);
  void publishEndpointList();
  void deliverEndpointList(Router& router, const std::vector<transactions::ResolvedEndpoint>& list);
  void endRouterTurns();
  // --- Results (fleet.cpp): at the end of a window, of a step, and of the run
  void closeWindow();
  void recordLevel();
  void recordTotals();
  Second& secondOf(Instant at);
  double seconds() const;

  // --- Requests and attempts (fleet_requests.cpp)
  void generateRequest();
  void submit(ClientRequest request);
  // While there is time for it.
  void retryLater(ClientRequest request, Duration after);
  void executeAttempt(Router& router, transactions::AttemptId attempt, const NodeId& node);
  void finishAttempt(const AttemptEnd& end);
  void onAnswer(Router& router, transactions::OwnerId owner, bool isCommitted, bool isRejected,
                Duration retryAfter);
  void judgeRejection(const ClientRequest& request);
  bool isPartitioned(const Router& router, std::size_t node) const;
  Instant appliedPosition(const NodeModel::Node& node) const;

  FleetParameters parameters_;
  std::mt19937_64 random_;
  Instant begin_, now_;
  double capacity_ = 0;  // transactions a second
  NodeModel nodes_;
  std::vector<std::unique_ptr<Router>> routers_;    // null: it is down
  std::vector<unsigned> incarnations_;              // of each router
  std::vector<double> routerShares_, groupShares_;  // of the transactions, by router and by group
  std::multimap<Instant, std::size_t> routersBackAt_;
  std::priority_queue<AttemptEnd> attemptEnds_;
  std::multimap<Instant, ClientRequest> retries_;
  // By when routers receive them.
  std::multimap<Instant, std::vector<transactions::ResolvedEndpoint>> publishedLists_;
  std::vector<transactions::ResolvedEndpoint> currentList_;  // as a router that starts receives it
  std::set<Instant> nodesBackAt_;
  std::map<std::uint64_t, Instant> lastCommits_;  // by session
  std::pair<double, double> window_;              // transactions submitted and committed in this one
  double windowBegin_ = 0;                        // in seconds
  std::deque<Instant> recentChanges_;             // of the first router's level, within a minute
  unsigned recordedLevel_ = 0;                    // of the first router
  double valueRequested_ = 0, valueServed_ = 0;
  unsigned levelChangesBefore_ = 0;  // of routers that have stopped
  Result result_;
};

}  // namespace gulltrestle::fleet_model
