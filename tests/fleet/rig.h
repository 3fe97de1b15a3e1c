// A fleet of real processes of the program on loopback: routers, some of them voters, a relay on every link
// between them, a stand-in node that logs what ran, discovery, and clients that repeat their ids anywhere.
// Everything but the routers lives in this process, on one loop. What was seen is judged afterwards, by the
// node's log and the clients' books alone.
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

// How the fleet is made, and which faults are injected into it.
struct FleetOptions {
  std::size_t routers = 3, voters = 3;
  std::size_t spareVoters = 0;  // of the other routers, that may become voters
  bool direct = false;          // no relays: for measuring
  bool usesVoters = true;       // else each router stands by itself
  // never: the node is in this process, and keeps what ran; else it is a process, which may lose its power.
  Syncs node = Syncs::never;
  bool clocksDiffer = false;        // each start's wall clock is off by up to ten minutes
  bool announcesExclusions = true;  // routers notify discovery of the nodes that maintenance excludes
  // Of stand-in nodes that speak HTTP: routers are external processors for them.
  std::string discovery;

  // --- Injected faults
  bool hasLyingDisk = false;               // disks report a sync that they have not done
  std::size_t slowClockRouter = SIZE_MAX;  // this router's monotonic clock all but stops at stallClock()
  bool hidesNodeLoss = false;              // a node that is lost stays listed, and reports that it serves
};

// How a client's request ended.
enum class FinalOutcome { committed, refused, rolledBack, none };

// A client's request, and what came of it.
struct ClientRequest {
  std::string id, value;
  std::size_t router = 0;
  FinalOutcome outcome = FinalOutcome::none;
  bool isOver = false;
  bool isExcused = false;  // its router was killed or stopped meanwhile: there may be no answer
  Duration duration;
};

// What a relay does with the bytes of its connections.
enum class Flow {
  open,
  cut,              // connections are closed
  blockedToVoter,   // what the router sends waits
  blockedFromVoter  // what the voter sends waits
};

// The fleet, its links, its node and its clients, on one event loop. Faults are placed by calls; what was
// seen is judged by verdict().
class Rig {
 public:
  Rig(event_loop::EventLoop& loop, std::uint64_t seed, FleetOptions options);
  ~Rig();

  std::mt19937_64 chance;
  std::size_t pick(std::size_t n) { return chance() % n; }
  std::size_t routers() const { return options_.routers; }
  std::size_t voters() const { return options_.voters; }

  // --- Processes
  void start(std::size_t router);
  void startAll();
  void kill(std::size_t router);    // its files stay as the system has them
  void stop(std::size_t router);    // SIGSTOP
  void resume(std::size_t router);  // SIGCONT
  bool isUp(std::size_t router) const;
  // Ends by itself within 10 s of being started: its exit code; -1: it runs. For one that must not start.
  int exitCode(std::size_t router);
  // Another process of this one's name, on other ports: its number from then on.
  std::size_t twin(std::size_t router);
  // --- Their files of the fleet, from the next start or reading on
  void setMembers(std::set<std::size_t> routers) { members_ = std::move(routers); }
  void setVoters(std::set<std::size_t> voters) { voterLists_.push_back(std::move(voters)); }
  // As an operator: puts a request into a voter's folder. Returns its name.
  std::string putOperatorRequest(std::size_t voter, const std::string& text);
  // Its answer; empty: none yet.
  std::string operatorAnswer(std::size_t voter, const std::string& name) const;
  void force(std::string stage) { forced_ = std::move(stage); }
  void forgetFormerVoterLists() { voterLists_.erase(voterLists_.begin(), voterLists_.end() - 1); }
  void writeFleet(std::size_t router);
  void reloadConfig(std::size_t router);  // SIGHUP
  // Power is lost at these, all in one moment: what they had not synced is there in part.
  void losePower(const std::vector<std::size_t>& routers);
  void stallClock();                                // of the router that has that fault
  void loseDisk(std::size_t router);                // of one that is killed
  std::string processor(std::size_t router) const;  // its address
  std::string folder(std::size_t router) const { return path_ + "/store" + std::to_string(router); }
  std::string announced(std::size_t router) const;  // what discovery is told by it
  std::string work(std::size_t router) const { return path_ + "/work" + std::to_string(router); }
  std::string logFile(std::size_t router) const { return path_ + "/r" + std::to_string(router) + ".log"; }
  std::string log(std::size_t router) const;  // all that it wrote

  // --- Links: from a router to a voter
  void flow(std::size_t router, std::size_t voter, Flow how);
  void flowAll(Flow how);

  // --- The node and its list
  // What discovery tells from now on, also those that watch; a version that goes back is told to new ones
  // alone.
  void list(std::uint64_t version, const std::string& state);
  PgNode& node() { return *inner_; }  // where it is in this process
  void startNode();
  void losePowerOfNode();
  std::uint64_t writes() const { return ranAll().size(); }
  int ran(const std::string& id) const;

  // --- Clients
  // Asks, and writes what came of it into the book. Returns its row.
  std::size_t sendRequest(std::size_t router, const std::string& id);
  const ClientRequest& clientRequest(std::size_t row) const { return *clientRequests_[row]; }
  std::size_t open() const { return open_; }
  std::size_t requestCount() const { return clientRequests_.size(); }

  // What broke, in a sentence; empty: nothing. Call when no question is open.
  std::string verdict() const;
  std::string crashedRouter() const;  // which router ended by itself; empty: none
  std::string path() const { return path_; }
  std::string document(std::size_t router) const;  // its status
  double cpuSeconds(std::size_t router) const;     // that its process has used
  // The folder of logs is left where something broke.
  void keep() { keep_ = true; }

 private:
  struct Process;
  struct Relay;
  std::vector<std::string> ranAll() const;  // as the node's log has it
  void killNode();
  event_loop::Task serveDiscovery(event_loop::Descriptor descriptor);
  event_loop::Task serveRelay(Relay& relay, event_loop::Descriptor descriptor);
  event_loop::Task runClientRequest(std::shared_ptr<ClientRequest> clientRequest);
  template <typename Serve>
  event_loop::Task acceptAll(event_loop::Descriptor listener, Serve serve);
  void configure(std::size_t i);
  void excuse(std::size_t router);
  void tear(const std::string& file);

  event_loop::EventLoop& loop_;
  FleetOptions options_;
  std::vector<std::set<std::size_t>> voterLists_;  // of voters, the present one last
  std::set<std::size_t> members_;
  std::string forced_;
  std::string path_, node_, discovery_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::uint64_t version_ = 1;
  std::string state_ = "up";
  std::vector<event_loop::Stream*> watchers_;
  std::unique_ptr<PgNode> inner_;
  int nodeProcess_ = -1;
  std::vector<std::shared_ptr<ClientRequest>> clientRequests_;
  std::size_t open_ = 0, operatorRequestCount_ = 0;
  bool keep_ = false;
};

}  // namespace gulltrestle::fleet
