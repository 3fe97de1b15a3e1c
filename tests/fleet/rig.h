// A fleet of real processes of the program on loopback: routers, some of them keepers, a relay on every link
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

struct Shape {
  std::size_t routers = 3, keepers = 3;
  std::size_t spares = 0;  // of the other routers, that may become keepers
  bool direct = false;     // no relays: for measuring
  bool settles = true;     // with the file of the fleet; else each router stands by itself
  bool lyingDisk = false;  // a built-in fault
  // never: the node is in this process, and keeps what ran; else it is a process, which may lose its power.
  Syncs node = Syncs::never;
  bool clocksDiffer = false;         // each start's clock of the day is off by up to ten minutes
  std::size_t slowClock = SIZE_MAX;  // a built-in fault: this router's running clock, once it is told
  bool announces = true;             // what is out to discovery
  bool hidesLoss = false;  // a built-in fault: a node that is lost is still listed, and tells that it serves
  std::string discovery;   // of stand-in nodes that speak HTTP: routers are external processors for them
};

enum class FinalOutcome { committed, refused, rolledBack, none };

struct Asked {  // in a client's book
  std::string id, value;
  std::size_t router = 0;
  FinalOutcome outcome = FinalOutcome::none;
  bool over = false, excused = false;  // excused: its router was killed or stopped meanwhile
  Duration took;
};

enum class Flow { open, cut, deafThere, deafBack };  // of a relay: deaf: what is sent that way waits

class Rig {
 public:
  Rig(event_loop::EventLoop& loop, std::uint64_t seed, Shape shape);
  ~Rig();

  std::mt19937_64 chance;
  std::size_t pick(std::size_t n) { return chance() % n; }
  std::size_t routers() const { return shape_.routers; }
  std::size_t keepers() const { return shape_.keepers; }

  // --- Processes
  void start(std::size_t router);
  void startAll();
  void kill(std::size_t router);  // its files stay as the system has them
  void stop(std::size_t router);  // SIGSTOP
  void goOn(std::size_t router);  // SIGCONT
  bool isUp(std::size_t router) const;
  // Ends by itself within 10 s of being started: its exit code; -1: it runs. For one that must not start.
  int endsWith(std::size_t router);
  // Another process of this one's name, on other ports: its number from then on.
  std::size_t twin(std::size_t router);
  // --- Their files of the fleet, from the next start or reading on
  void belong(std::set<std::size_t> routers) { belong_ = std::move(routers); }
  void keepersAre(std::set<std::size_t> keepers) { lists_.push_back(std::move(keepers)); }
  // As an operator: puts a request into a keeper's folder. Returns its name.
  std::string request(std::size_t keeper, const std::string& text);
  // Its answer; empty: none yet.
  std::string answered(std::size_t keeper, const std::string& name) const;
  void force(std::string stage) { forced_ = std::move(stage); }
  void forgetListsBefore() { lists_.erase(lists_.begin(), lists_.end() - 1); }
  void writeFleet(std::size_t router);
  void readAnew(std::size_t router);  // SIGHUP
  // Power is lost at these, all in one moment: what they had not synced is there in part.
  void losePower(const std::vector<std::size_t>& routers);
  void clockStands();                               // of the router that has that fault
  void loseDisk(std::size_t router);                // of one that is killed
  std::string processor(std::size_t router) const;  // its address
  std::string folder(std::size_t router) const { return path_ + "/store" + std::to_string(router); }
  std::string announced(std::size_t router) const;  // what discovery is told by it
  std::string work(std::size_t router) const { return path_ + "/work" + std::to_string(router); }
  std::string logFile(std::size_t router) const { return path_ + "/r" + std::to_string(router) + ".log"; }
  std::string log(std::size_t router) const;  // all that it wrote

  // --- Links: from a router to a keeper
  void flow(std::size_t router, std::size_t keeper, Flow how);
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
  std::size_t ask(std::size_t router, const std::string& id);
  const Asked& asked(std::size_t row) const { return *book_[row]; }
  std::size_t open() const { return open_; }
  std::size_t rows() const { return book_.size(); }

  // What broke, in a sentence; empty: nothing. Call when no question is open.
  std::string judge() const;
  std::string died() const;  // which router ended by itself; empty: none
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
  event_loop::Task askAt(std::shared_ptr<Asked> asked);
  template <typename Serve>
  event_loop::Task acceptAll(event_loop::Descriptor listener, Serve serve);
  void configure(std::size_t i);
  void excuse(std::size_t router);
  void tear(const std::string& file);

  event_loop::EventLoop& loop_;
  Shape shape_;
  std::vector<std::set<std::size_t>> lists_;  // of keepers, the present one last
  std::set<std::size_t> belong_;
  std::string forced_;
  std::string path_, node_, discovery_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::uint64_t version_ = 1;
  std::string state_ = "up";
  std::vector<event_loop::Stream*> watchers_;
  std::unique_ptr<PgNode> inner_;
  int nodeProcess_ = -1;
  std::vector<std::shared_ptr<Asked>> book_;
  std::size_t open_ = 0, requests_ = 0;
  bool keep_ = false;
};

}  // namespace gulltrestle::fleet
