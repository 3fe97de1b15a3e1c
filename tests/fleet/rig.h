// A test fleet of real gulltrestle processes on loopback: routers, some of them voters; a relay on every link
// between them; a fake node that logs the transactions that it ran; discovery; and clients that repeat their
// transaction ids at any router. Everything but the routers runs in this process, on one event loop. The run
// is checked afterwards, by the node's log and the recorded client requests alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pg_node.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

// The composition of the fleet, and the faults injected into it.
struct FleetOptions {
  std::size_t routers = 3, voters = 3;
  std::size_t spareVoters = 0;  // further routers that may become voters
  bool hasDirectLinks = false;  // no relays, for measurements
  bool usesVoters = true;       // false: routers coordinate nothing with each other
  // never: the node is in this process and keeps what it ran; else it is a process of its own, at which a
  // power loss can be simulated.
  SyncMode nodeSyncMode = SyncMode::never;
  bool clocksDiffer = false;        // each start's wall clock is off by up to ten minutes
  bool announcesExclusions = true;  // routers tell discovery which nodes maintenance excludes
  // Address of the discovery of fake nodes that speak HTTP, for which the routers are external processors;
  // empty: the fleet's own.
  std::string discovery;

  // --- Injected faults
  bool hasLyingDisk = false;  // disks report syncs that they have not done
  // The router whose monotonic clock runs 100 times too slowly from stallClock() on.
  std::size_t slowClockRouter = SIZE_MAX;
  bool hidesNodeLoss = false;  // a lost node stays listed and reports that it is up
};

// How a client's request ended.
enum class FinalOutcome { committed, refused, rolledBack, none };

// A client's request and its result.
struct ClientRequest {
  std::string id, value;
  std::size_t router = 0;
  FinalOutcome outcome = FinalOutcome::none;
  bool isOver = false;
  bool mayLackAnswer = false;  // its router was killed or stopped meanwhile
  Duration duration;
};

// How a relay treats the bytes of its connections.
enum class Flow {
  open,
  cut,              // connections are closed
  blockedToVoter,   // bytes from the router are held back
  blockedFromVoter  // bytes from the voter are held back
};

// The fleet, its links, its node and its clients, on one event loop. Faults are injected by calls;
// findViolation() checks the run.
class TestFleet {
 public:
  TestFleet(event_loop::EventLoop& loop, std::uint64_t seed, FleetOptions options);
  ~TestFleet();

  std::mt19937_64 random;
  std::size_t pick(std::size_t count) { return random() % count; }
  std::size_t routers() const { return options_.routers; }
  std::size_t voters() const { return options_.voters; }

  // --- Processes
  void start(std::size_t router);
  void startAll();
  void kill(std::size_t router);    // its files stay as the kernel has them
  void stop(std::size_t router);    // SIGSTOP
  void resume(std::size_t router);  // SIGCONT
  bool isUp(std::size_t router) const;
  // The exit code of a router that exits within 10 s; -1: it still runs, -2: a signal ended it. For routers
  // that must not start, or that shut down.
  int exitCode(std::size_t router);
  // Adds a process with the name of this router, on other ports. Returns its index.
  std::size_t addDuplicate(std::size_t router);
  // --- Cluster configuration: takes effect when it is next written and read
  void setMembers(std::set<std::size_t> routers) { members_ = std::move(routers); }
  void setVoters(std::set<std::size_t> voters) { voterLists_.push_back(std::move(voters)); }
  // Writes an operator request to a voter's maintenance folder. Returns its name.
  std::string putOperatorRequest(std::size_t voter, const std::string& text);
  // The answer to that request; empty: none yet.
  std::string operatorAnswer(std::size_t voter, const std::string& name) const;
  void forceStage(std::string stage) { forcedStage_ = std::move(stage); }
  void forgetFormerVoterLists() { voterLists_.erase(voterLists_.begin(), voterLists_.end() - 1); }
  void writeClusterConfig(std::size_t router);
  void reloadConfig(std::size_t router);  // SIGHUP
  // Power loss at all of these routers at once: of what they had not synced, any part survives.
  void losePower(const std::vector<std::size_t>& routers);
  void stallClock();                                       // of options.slowClockRouter
  void loseDisk(std::size_t router);                       // of a router that was killed
  std::string processorAddress(std::size_t router) const;  // address of its external processor
  std::string storeFolder(std::size_t router) const { return path_ + "/store" + std::to_string(router); }
  std::string announcement(std::size_t router) const;  // what it tells discovery
  std::string maintenanceFolder(std::size_t router) const { return path_ + "/work" + std::to_string(router); }
  std::string logPath(std::size_t router) const { return path_ + "/r" + std::to_string(router) + ".log"; }
  std::string log(std::size_t router) const;  // the contents of its log file

  // --- Links: from a router to a voter
  void setFlow(std::size_t router, std::size_t voter, Flow flow);
  void setAllFlows(Flow flow);

  // --- The node and its list
  // The endpoint list that discovery serves from now on, also to open streams; a version older than the last
  // one reaches new connections only.
  void publishList(std::uint64_t version, const std::string& state);
  PgNode& node() { return *localNode_; }  // only with SyncMode::never
  void startNode();
  void losePowerOfNode();
  std::uint64_t writeCount() const { return executedIds().size(); }
  int runCount(const std::string& id) const;

  // --- Clients
  // Sends a request and records its result. Returns its index for clientRequest().
  std::size_t sendRequest(std::size_t router, const std::string& id);
  const ClientRequest& clientRequest(std::size_t index) const { return *clientRequests_[index]; }
  std::size_t openRequestCount() const { return openRequestCount_; }
  std::size_t requestCount() const { return clientRequests_.size(); }

  // The first violated guarantee, as a sentence; empty: none. Call when no request is open.
  std::string findViolation() const;
  std::string crashedRouter() const;  // a router that exited unexpectedly; empty: none
  std::string path() const { return path_; }
  std::string statusDocument(std::size_t router) const;  // its status document
  double cpuSeconds(std::size_t router) const;           // CPU time that its process has used
  // Keeps the folder with logs and stores, for the analysis of a failed run.
  void keepFiles() { keepsFiles_ = true; }

 private:
  struct Process;
  struct Relay;
  std::vector<std::string> executedIds() const;  // in the order of the node's log
  void killNode();
  event_loop::Task serveDiscovery(event_loop::Descriptor descriptor);
  event_loop::Task serveRelay(Relay& relay, event_loop::Descriptor descriptor);
  event_loop::Task runClientRequest(std::shared_ptr<ClientRequest> clientRequest);
  template <typename Serve>
  event_loop::Task acceptAll(event_loop::Descriptor listener, Serve serve);
  void writeConfig(std::size_t router);
  void allowMissingAnswers(std::size_t router);
  void tearFile(const std::string& file);

  event_loop::EventLoop& loop_;
  FleetOptions options_;
  std::vector<std::set<std::size_t>> voterLists_;  // the current one last
  std::set<std::size_t> members_;
  std::string forcedStage_;
  std::string path_, nodeAddress_, discoveryAddress_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::uint64_t listVersion_ = 1;
  std::string nodeState_ = "up";
  std::vector<event_loop::Stream*> watchers_;
  std::unique_ptr<PgNode> localNode_;
  int nodePid_ = -1;
  std::vector<std::shared_ptr<ClientRequest>> clientRequests_;
  std::size_t openRequestCount_ = 0, operatorRequestCount_ = 0;
  bool keepsFiles_ = false;
};

}  // namespace gulltrestle::fleet
