// Discrete-time simulation of a fleet: clients, routers and groups of nodes. The routers run the project's
// own transaction tables, degradation controllers and routing in simulated time; nodes are modelled as
// queues. It uses no sockets and no wall clock, and the result is the same for the same seed. The model knows
// the true state of all parts and counts violations of the five rules (RuleViolations).
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
  double share = 0;   // relative share of all transactions
  Duration meanWork;  // CPU time on a node's single core; each transaction takes 0.5 to 1.5 times as long
};

// Which component rejects transactions during an overload: the degradation levels, the routing module's own
// load shedding, or none.
enum class LoadShedding { byLevels, byModule, none };

// The faults to inject. Times are in seconds since the start of the run; a negative time means never.
struct FaultPlan {
  double replicationStopsAt = -1, replicationResumesAt = -1;  // of all replicas
  double loadReportDelay = 0;             // age of the positions that nodes report, in seconds
  double drainAt = -1;                    // the last replica is listed as draining
  double restartAt = -1;                  // all routers restart without any state
  unsigned maxRetriesAfterRejection = 0;  // clients retry immediately, as new transactions
  // Clients retry all failed requests, at any router, until the deadline of their first attempt. They wait
  // for the retry-after time of a rejection or, if they don't obey it, for retryDelay.
  bool retriesUntilDeadline = false, obeysRetryAfter = true;
  Duration retryDelay = Duration::millis(100);
  double endpointListDelay = 0;  // seconds until routers receive an endpoint update
  // A fraction of the routers, or of the nodes, loses power at time `at`. Each restarts at a random time
  // between restartFrom and restartTo seconds later.
  struct PowerLoss {
    double at = -1, fraction = 1, restartFrom = 0.5, restartTo = 3;
  };
  PowerLoss routerPowerLoss, nodePowerLoss;
  Duration lostLog;  // how much of the end of its log a replica loses with its power
  // Maintenance of a node: it is listed as draining, then stopped, then restarted with cold caches. If
  // stopsAt is never reached, it is only drained.
  struct Outage {
    std::size_t node = 0;
    double drainsAt = 0, stopsAt = 0, restartsAt = 0;
  };
  std::vector<Outage> outages;
  // A network partition between a fraction of the routers and a fraction of the nodes.
  struct Partition {
    double from = -1, to = -1, routers = 0.3, nodes = 0.3;
  };
  Partition partition;
};

// Parameters of a simulated fleet.
struct FleetParameters {
  std::vector<TrafficClass> trafficClasses;
  std::size_t routers = 1;
  NodeParameters nodeParameters;
  bool allowsHealthChecks = false;
  // Some routers get this multiple of the base load in addition, and some groups a part of it; 0: uniform.
  double imbalance = 0;
  unsigned sessions = 50;  // number of client sessions that read their own writes
  LoadShedding loadShedding = LoadShedding::byLevels;
  // Deliberate misconfigurations, to test the checks: the number of routers that routers are configured with
  // (0: the true number), and routers that treat restarted nodes as warm.
  std::size_t configuredRouters = 0;
  bool assumesNodesWarm = false;
  bool hasAdmissionRamp = false;  // for routers after a start, see recovery/admission_ramp.h
  FaultPlan faults;
  std::uint64_t seed = 1;
};

// Number of true violations of each rule.
struct RuleViolations {
  std::uint64_t late = 0;           // final answers after the deadline
  std::uint64_t unanswered = 0;     // transactions without a final answer, at routers that were not stopped
  std::uint64_t executedTwice = 0;  // at-most-once transactions that were executed more than once
  std::uint64_t rejectedAfterExecution = 0;  // at-most-once transactions that were executed and rejected
  std::uint64_t stale = 0;                   // reads answered from data older than allowed
  std::uint64_t sentToDrained = 0;           // attempts to a node more than a second after it was drained
  std::uint64_t sum() const {
    return late + unanswered + executedTwice + rejectedAfterExecution + stale + sentToDrained;
  }
};

// Statistics of one second.
struct Second {
  double valueRequested = 0, valueServed = 0;  // of transactions first submitted in this second
  // Transactions first submitted in this second; how many of them were committed eventually, and how many of
  // those after their latency target.
  unsigned txns = 0, committed = 0, late = 0;
  unsigned attempts = 0, healthChecks = 0, connections = 0, rejected = 0;
};

// The result of one run.
struct Result {
  // Served value as a fraction of the requested value; late answers count in part.
  double value = 0;
  double worstCommittedFraction = 1;                        // lowest committed fraction of a 10 s window
  unsigned levelChanges = 0, maxLevelChangesPerMinute = 0;  // of all routers; of the first router
  unsigned maxLevel = 0;
  // Rejections by a degradation level, classified by the true queue lengths of the nodes.
  std::uint64_t correctRejections = 0, wrongRejections = 0;
  // Level changes of the first router: time in seconds and new level.
  std::vector<std::pair<double, unsigned>> levels;
  RuleViolations violations;
  std::vector<Second> seconds;
  std::vector<std::pair<double, double>> valueByClass;  // requested and served value of each traffic class
  std::uint64_t collapsedNodes = 0;                     // number of cold nodes that collapsed under load
};

// The simulation. An instance serves for one run.
class Fleet {
 public:
  explicit Fleet(FleetParameters parameters);
  ~Fleet();

  // Simulates `seconds` seconds. `demand` maps the time in seconds to the load as a multiple of the capacity
  // of all nodes.
  Result run(double seconds, const std::function<double(double)>& demand);

 private:
  struct Router;
  // The end of an attempt that is queued at a node. Ordered such that a priority queue yields the earliest.
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
  // A request of a client, including its retries.
  struct ClientRequest {
    std::size_t trafficClass = 0;
    GroupId group = 1;
    std::uint64_t session = 0;
    Instant firstSubmittedAt;
    unsigned attempts = 0;
  };

  // --- Faults and endpoint lists (fleet.cpp)
  // Returns true in the simulation step in which this time is reached; false for a negative time.
  bool isReached(double second) const;
  void injectFaults();
  void applyOutages();
  void stopNode(std::size_t node, Instant restartsAt, Duration lostLog);
  void startRouter(std::size_t router);
  void stopRouter(std::size_t router);
  void publishEndpointList();
  void deliverEndpointList(Router& router, const std::vector<transactions::ResolvedEndpoint>& list);
  void endRouterTurns();
  // --- Results (fleet.cpp), recorded at the end of each window, of each step and of the run
  void closeWindow();
  void recordLevel();
  void recordTotals();
  Second& secondOf(Instant at);
  double seconds() const;

  // --- Requests and attempts (fleet_requests.cpp)
  void generateRequest();
  void submit(ClientRequest request);
  // Schedules a retry, unless the deadline would be reached first.
  void retryLater(ClientRequest request, Duration after);
  void executeAttempt(Router& router, transactions::AttemptId attempt, const NodeId& node);
  void finishAttempt(const AttemptEnd& end);
  void onAnswer(Router& router, transactions::OwnerId owner, bool isCommitted, bool isRejected,
                Duration retryAfter);
  void classifyRejection(const ClientRequest& request);
  bool isPartitioned(const Router& router, std::size_t node) const;
  Instant appliedPosition(const NodeModel::Node& node) const;

  FleetParameters parameters_;
  std::mt19937_64 random_;
  Instant startTime_, now_;
  double capacity_ = 0;  // of all nodes, in transactions per second
  NodeModel nodes_;
  std::vector<std::unique_ptr<Router>> routers_;    // null while the router is stopped
  std::vector<unsigned> incarnations_;              // of each router
  std::vector<double> routerShares_, groupShares_;  // relative shares of the transactions
  std::multimap<Instant, std::size_t> routerRestarts_;
  std::priority_queue<AttemptEnd> attemptEnds_;
  std::multimap<Instant, ClientRequest> retries_;
  // Keyed by the time at which routers receive them.
  std::multimap<Instant, std::vector<transactions::ResolvedEndpoint>> publishedLists_;
  std::vector<transactions::ResolvedEndpoint> currentList_;  // the list that a starting router receives
  std::set<Instant> nodeRestarts_;
  std::map<std::uint64_t, Instant> lastCommits_;  // by session
  std::pair<double, double> window_;   // transactions submitted and committed in the current window
  double windowStart_ = 0;             // in seconds
  std::deque<Instant> recentChanges_;  // level changes of the first router in the last minute
  unsigned recordedLevel_ = 0;         // last recorded level of the first router
  double requestedValue_ = 0, servedValue_ = 0;
  unsigned levelChangesOfStoppedRouters_ = 0;
  Result result_;
};

}  // namespace gulltrestle::fleet_model
