// The cluster's configuration with each kind of fault, the command line, and a voter's answers to peers that
// it rejects and to false reports. Run as `setups CASE`: prints the case's trace.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "cli/command_line.h"
#include "cluster/claim_dispatcher.h"
#include "cluster/cluster_config.h"
#include "cluster/status_document.h"
#include "maintenance/operator_requests.h"
#include "scratch.h"
#include "store/store.h"
#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::cluster;
using trace::ms;

namespace {

// Reads the configuration as the router `name` and prints what was read, or the error.
void readConfiguration(const std::string& text, const std::string& name = "a") {
  try {
    const ClusterConfig config = readClusterConfig(text, name, ms(3000));
    std::cout << "taken: keepers " << config.voterListText() << "; routers " << config.routers.size()
              << "; store '" << config.storeFolder << "'; connections " << config.maxConnections << "\n";
  } catch (const config::ConfigError& error) { std::cout << error.what() << "\n"; }
}

void clusterConfiguration() {
  const std::string three = R"("keepers":{"c":"127.0.0.1:3","a":"127.0.0.1:1","b":"127.0.0.1:2"})";
  readConfiguration("{" + three + R"(,"store":"/s"})");
  readConfiguration("{" + three + R"(,"store":"/s","routers":["d","e"]})", "d");
  readConfiguration("{}");
  readConfiguration(R"({"keepers":{"a":"127.0.0.1:1","b":"127.0.0.1:2"}})");
  readConfiguration(R"({"keepers":{"a":"nowhere"}})");
  readConfiguration("{" + three + "}");
  readConfiguration("{" + three + R"(,"store":"/s"})", "z");
  readConfiguration("{" + three + R"(,"store":"/s","routers":"d"})");
  readConfiguration("{" + three + R"(,"store":"/s","routers":["d",4]})");
  readConfiguration("{" + three + R"(,"store":"/s","retention_ms":11999})");
  readConfiguration("{" + three + R"(,"store":"/s","limits":{"ids":10}})");
  readConfiguration("{" + three + R"(,"store":"/s","retentoin_ms":60000})");
  readConfiguration("{" + three + R"(,"store":"/s")");
  readConfiguration("{" + three + R"(,"store":"/s","first_txns":0})");
  readConfiguration("{" + three + R"(,"store":"/s","force":{"stage":"most","by":"kim"}})");
  readConfiguration("{" + three + R"(,"store":"/s","force":{"stage":"all"}})");
  readConfiguration("{" + three + R"(,"store":"/s","work":{"out_of_group":0}})");
  readConfiguration("{" + three + R"(,"store":"/s","work":{"at_once":2,"anounce_ms":5000}})");
  readConfiguration("{" + three + R"(,"store":"/s","work":{"folder":"/w","leave_ms":5000}})");
  readConfiguration("{" + three + R"(,"store":"/s","keepers_before":[["a","b","d"],["a","d","c"]]})");
  readConfiguration("{" + three + R"(,"store":"/s","keepers_before":["a","b","d"]})");
  readConfiguration("{" + three + R"(,"store":"/s","keepers_before":[["a","e","d"]]})");
  readConfiguration("{" + three + R"(,"store":"/s","keepers_before":[["a","b","c","d","e"]]})");
}

// Runs the command line in-process and prints its arguments, its output and its exit code.
class CommandRunner {
 public:
  // `base`: a folder whose path is printed as BASE.
  explicit CommandRunner(std::string base) : base_(std::move(base)) {}

  void run(std::vector<const char*> arguments) const {
    std::ostringstream out, errors;
    arguments.insert(arguments.begin(), "gulltrestle");
    const int code = cli::run(static_cast<int>(arguments.size()), arguments.data(), out, errors);
    std::string printed = "--";
    for (std::size_t i = 1; i < arguments.size(); ++i) printed += std::string(" ") + arguments[i];
    printed += "\n" + out.str() + errors.str();
    for (std::size_t at; (at = printed.find(base_)) != std::string::npos;)
      printed.replace(at, base_.size(), "BASE");
    std::cout << printed << "exit " << code << "\n";
  }

 private:
  std::string base_;
};

// One committed claim, one that is not, and the start of another voter.
void fillStore(const std::string& folder) {
  store::Store store(folder, "r1", 5, {{1, {"r1"}}});
  idempotency::ClaimRecord claim;
  claim.id = "b1";
  claim.token.router = "r2";
  claim.isCommitted = true;
  claim.value = "abc";
  store.write({claim});
  claim.id = "b2";
  claim.isCommitted = false;
  store.write({claim, idempotency::VoterStartRecord{.voter = "r3", .incarnation = {.number = 4}}});
}

void storeCommands(const CommandRunner& commands, const std::string& folder) {
  commands.run({"serve"});
  commands.run({"store"});
  commands.run({"store", "check", folder.c_str()});
  commands.run({"store", "create", folder.c_str()});
  commands.run({"store", "create", folder.c_str(), "--keeper", "r1"});
  commands.run({"store", "create", folder.c_str(), "--keeper", "r1"});
  commands.run({"store", "check", folder.c_str()});
  fillStore(folder);
  commands.run({"store", "check", folder.c_str()});
  commands.run({"store", "show", folder.c_str(), "--most", "1"});
  std::filesystem::resize_file(folder + "/claims.db", 5000);
  commands.run({"store", "check", folder.c_str()});
  commands.run({"status", folder.c_str()});
}

// Parses an operator's request and prints it with the number of its machines, or the error.
void parseRequest(const std::string& text) {
  std::cout << text << "\n";
  try {
    std::cout << "  " << maintenance::readOperatorRequest(text).machines.size() << " machines\n";
  } catch (const maintenance::InvalidRequest& error) { std::cout << "  " << error.what() << "\n"; }
}

void operatorRequests() {
  parseRequest("{");
  parseRequest(R"({"machines":{}})");
  parseRequest(R"({"by":"kim","machines":{"m1":{"node":["a"]}}})");
  parseRequest(R"({"by":"kim","machines":{"m1":{"nodes":"a"}}})");
  parseRequest(R"({"by":"kim","machines":{"m1":{"nodes":["a"],"takes_ms":5000,"within_ms":4000}}})");
  parseRequest(R"({"by":"kim","what":"end"})");
  parseRequest(R"({"by":"kim","what":"done"})");
  parseRequest(
      R"({"by":"kim","machines":{"m1":{"zone":"z","nodes":["a","b"],"routers":["r4"],"takes_ms":5000}}})");
}

void workCommands(const CommandRunner& commands, const std::string& folder, const std::string& statusFile) {
  commands.run({"work", "ask", folder.c_str(), "nowhere.json", "--by", "kim"});
  commands.run({"work", "done", folder.c_str(), "--by", "kim"});
  std::ofstream(statusFile) << "{}";
  commands.run({"work", "list", statusFile.c_str()});
  std::ofstream(statusFile) <<
      R"({"work":{"version":7,"clear":7,"foreman":true,"lease_ms":2500,"machines":[
    {"machine":"m1","phase":"leaves","why":"all routers know","by":"kim","tries":1,"awaits":"nothing out there: r3"},
    {"machine":"m2","phase":"over","why":"it serves","by":"kim","tries":0}]}})";
  commands.run({"work", "list", statusFile.c_str()});
}

void commandLine() {
  const std::string base = scratchFolder("commands"), folder = base + "/s";
  const CommandRunner commands(base);
  storeCommands(commands, folder);
  operatorRequests();
  workCommands(commands, folder, base + "/status.json");
  std::filesystem::remove_all(base);
}

// A voter's claim dispatcher, with other routers' messages delivered to it by hand.
class World final : public Effects {
 public:
  World()
      : transactions_(trace::defaultConfig({trace::transactionClass(ReadLevel::write, Effect::atMostOnce)}),
                      7, 1 << 20, [] {}) {
    const ClusterConfig config = readClusterConfig(
        R"({"keepers":{"a":"127.0.0.1:1","b":"127.0.0.1:2","c":"127.0.0.1:3"},"routers":["d"],"store":"/s"})",
        "a", ms(2000));
    idempotency::StoredState stored;
    stored.ownStarts = {{1, 50}};
    stored.isComplete = true;
    stored.voterLists.current = config.voterLists.back();
    dispatcher_ = std::make_unique<ClaimDispatcher>(transactions_, RoutingConfig{}, config,
                                                    LocalRouter{"a", 99, stored}, *this);
  }
  // Prints what happens, and delivers the message.
  void deliver(PeerStreamId stream, const std::string& title, const std::string& bytes) {
    std::cout << title << "\n";
    dispatcher_->onMessage(stream, bytes);
  }
  // All writes in flight end.
  void endWrites(bool areDurable) {
    std::cout << (areDurable ? "durable\n" : "the disk fails\n");
    for (const StoreWriteId write : std::exchange(tickets_, {})) dispatcher_->onWritten(write, areDurable);
  }
  ClaimDispatcher& dispatcher() { return *dispatcher_; }
  std::string status() const {
    store::StoreStatistics disk;
    disk.fileBytes = 20480;
    disk.lastFault = "disk I/O error";
    return statusOf(transactions_.now(), *dispatcher_, &disk, {});
  }

 private:
  void sendToVoter(idempotency::VoterIndex keeper, const PeerMessage&) override {
    std::cout << "  to keeper " << keeper << "\n";
  }
  void reply(PeerStreamId stream, const PeerReply& reply) override {
    std::cout << "  to stream " << stream << ": ";
    if (const auto* heard = std::get_if<GreetingReply>(&reply))
      std::cout << "heard " << heard->number << ", knew " << heard->previousVoterIncarnation.number << "\n";
    else if (const auto* seen = std::get_if<ObservationReport>(&reply))
      std::cout << "saw " << seen->nodes.size() << " nodes, " << (seen->hasRecovered ? "serves" : "starts")
                << "\n";
    else if (const auto* entered = std::get_if<JoinReply>(&reply))
      std::cout << "entered " << entered->newest.number << " drawn " << entered->newest.draw << "\n";
    else if (const auto* reports = std::get_if<HeartbeatReply>(&reply)) {
      for (const auto& report : reports->reports)
        std::cout << report.router << " " << report.incarnation.number << " "
                  << static_cast<int>(report.liveness) << "; ";
      std::cout << "\n";
    } else
      std::cout << "vote on " << std::get<VoteReply>(reply).number << ": "
                << static_cast<int>(std::get<VoteReply>(reply).vote.kind) << "\n";
  }
  void rejectStream(PeerStreamId stream, std::string_view reason) override {
    std::cout << "  stream " << stream << " refused: " << reason << "\n";
  }
  StoreWriteId write(std::vector<idempotency::DiskChange> changes) override {
    std::cout << "  to disk: " << changes.size() << "\n";
    tickets_.push_back(++last_);
    return last_;
  }
  void terminate() override { std::cout << "  ends itself\n"; }
  void announce(std::uint64_t version, const std::set<std::string>& out) override {
    std::cout << "  announces plan " << version << ", out " << out.size() << "\n";
  }
  void log(std::string_view event, const std::string& fields) override {
    std::cout << "  " << event << " " << fields << "\n";
  }
  transactions::TransactionTable transactions_;
  std::unique_ptr<ClaimDispatcher> dispatcher_;
  std::vector<StoreWriteId> tickets_;
  StoreWriteId last_ = 0;
};

const std::string kVoterList = "1: a b c";

void rejectBeforeJoin(World& world) {
  world.deliver(1, "nonsense", "\xff\xff\xff");
  world.deliver(1, "an empty word", "");
  world.deliver(1, "a claim before a greeting", encoded(PeerMessage(Claim{"b1", 1})));
  world.deliver(1, "a stranger greets", encoded(PeerMessage(Greeting{"z", kVoterList, 5, {}})));
  world.deliver(1, "a router with another list", encoded(PeerMessage(Greeting{"d", "1: a b", 5, {}})));
  world.deliver(1, "a router greets", encoded(PeerMessage(Greeting{"d", kVoterList, 5, {}})));
  world.endWrites(true);
  world.deliver(1, "it claims and has not entered", encoded(PeerMessage(Claim{"b1", 1})));
  world.deliver(1, "it enters by a number from the future", encoded(PeerMessage(JoinRequest{1'000'000'000})));
  world.endWrites(true);
  world.deliver(1, "it enters, and the disk fails", encoded(PeerMessage(JoinRequest{1})));
  world.endWrites(false);
  world.deliver(1, "it greets again", encoded(PeerMessage(Greeting{"d", kVoterList, 5, {}})));
  world.endWrites(true);
  world.deliver(1, "it claims, and the keeper has not heard the others",
                encoded(PeerMessage(Claim{"b1", 1})));
}

void rejectWithoutQuorum(World& world) {
  std::cout << "a keeper answers with nonsense: ";
  try {
    world.dispatcher().onReply(1, "\xff\xff");
  } catch (const MalformedMessage& bad) { std::cout << bad.what() << "\n"; }
  std::cout << "one answers\n";
  world.dispatcher().onReply(1, encoded(PeerReply(GreetingReply{1, {}, {}})));
  world.deliver(1, "it claims", encoded(PeerMessage(Claim{"b1", 2})));
  world.endWrites(false);
}

void rejectRestartedVoter(World& world) {
  world.deliver(2, "a keeper greets, and its start can't be kept",
                encoded(PeerMessage(Greeting{"b", kVoterList, 6, {3, 60}})));
  world.endWrites(false);
  world.deliver(3, "it greets again", encoded(PeerMessage(Greeting{"b", kVoterList, 6, {3, 60}})));
  world.endWrites(true);
  world.deliver(3, "it enters", encoded(PeerMessage(JoinRequest{1})));
  world.endWrites(true);
  world.deliver(3, "it claims the same", encoded(PeerMessage(Claim{"b1", 1})));
  world.dispatcher().onStreamEnded(3);
  world.deliver(3, "a claim on a stream that ended", encoded(PeerMessage(Claim{"b2", 2})));
}

void rejectSecondProcess(World& world) {
  world.deliver(4, "another process of the name d greets",
                encoded(PeerMessage(Greeting{"d", kVoterList, 8, {}})));
  world.endWrites(true);
  world.deliver(4, "it enters by the same number", encoded(PeerMessage(JoinRequest{1})));
  world.endWrites(true);
  world.deliver(4, "it enters by the next one", encoded(PeerMessage(JoinRequest{2})));
  world.deliver(1, "the first claims meanwhile", encoded(PeerMessage(Claim{"b4", 3})));
  world.endWrites(true);
  world.deliver(1, "the first beats", encoded(PeerMessage(Heartbeat{1, {4, 0, 0}})));
  world.deliver(4, "the second beats", encoded(PeerMessage(Heartbeat{1, {4, 0, 0}})));
}

void rejectRemovedRouter(World& world) {
  std::cout << "d is taken off the list\n";
  const ClusterConfig withoutRouter = readClusterConfig(
      R"({"keepers":{"a":"127.0.0.1:1","b":"127.0.0.1:2","c":"127.0.0.1:3"},"routers":["e"],"store":"/s"})",
      "a", ms(2000));
  world.dispatcher().reloadConfig(withoutRouter);
  world.deliver(5, "it greets", encoded(PeerMessage(Greeting{"d", kVoterList, 8, {}})));
  std::cout << "another keeper knows a start of this one that its disk doesn't\n";
  world.dispatcher().onReply(2, encoded(PeerReply(GreetingReply{1, {9, 70}, {}})));
  world.endWrites(true);
}

void rejectedPeers() {
  World world;
  rejectBeforeJoin(world);
  rejectWithoutQuorum(world);
  rejectRestartedVoter(world);
  rejectSecondProcess(world);
  rejectRemovedRouter(world);
}

// Applies a report of the voter `by`.
void report(World& world, idempotency::VoterIndex by, const std::string& title,
            const ObservationReport& observations) {
  std::cout << title << "\n";
  world.dispatcher().onReply(by, encoded(PeerReply(observations)));
  world.dispatcher().endTurn();
}

recovery::Observation observation(const NodeId& node, Role role, std::int64_t positionMillis) {
  return {node, Instant(), role, Instant() + ms(positionMillis), ms(3)};
}

// The primary p and its replica a.
std::vector<transactions::ResolvedEndpoint> primaryAndReplica() {
  std::vector<transactions::ResolvedEndpoint> list;
  for (const NodeId node : {"p", "a"}) {
    list.emplace_back();
    list.back().entry.node = node;
    list.back().entry.group = 1;
    list.back().entry.primary = node == "p";
  }
  return list;
}

// Runs the status command on the world's status document.
void printStatus(const World& world) {
  const auto path = std::filesystem::path(scratch()) / ("gulltrestle-status-" + std::to_string(getpid()));
  std::ofstream(path) << world.status();
  std::ostringstream out, errors;
  const std::string file = path.string();
  const char* arguments[] = {"gulltrestle", "status", file.c_str()};
  const int code = cli::run(3, arguments, out, errors);
  std::cout << out.str() << "exit " << code << "\n";
  std::filesystem::remove(path);
}

// Voters that report falsely on nodes, and what the status command prints of it.
void falseObservations() {
  World world;
  auto list = primaryAndReplica();
  world.dispatcher().amendEndpointList(EndpointUpdateKind::snapshot, 5, list);
  world.dispatcher().endTurn();
  report(world, 1, "one tells that the replica is a year ahead",
         {{observation("a", Role::replica, 1 << 30)}, false});
  report(world, 2, "another tells the truth: what both reach is proven",
         {{observation("a", Role::replica, 10)}, false});
  report(world, 1, "one tells that the replica is the primary",
         {{observation("a", Role::primary, 20)}, false});
  report(world, 1, "one tells of a node that no list names", {{observation("z", Role::primary, 20)}, false});
  std::cout << "one tells of a primary by a list from the future\n";
  world.dispatcher().onReply(1, encoded(PeerReply(PrimaryUpdates{{1, {"a", 1'000'000}}})));
  world.dispatcher().endTurn();
  std::cout << "the node that the list names says that it is the primary\n";
  world.dispatcher().recovery().onLoadReport("p", {Role::primary, Instant() + ms(30), {}});
  world.dispatcher().endTurn();
  printStatus(world);
  std::cout << "an operator decides\n";
  ClusterConfig forced;
  forced.forcedStage = recovery::Stage::all;
  forced.forcedBy = "kim";
  world.dispatcher().reloadConfig(forced);
  world.dispatcher().endTurn();
  printStatus(world);
}

// Two voters report a replica before any endpoint list is there: with the list its position is proven.
void observationsBeforeList() {
  World world;
  for (const idempotency::VoterIndex by : {1, 2}) {
    std::cout << "one tells of a replica\n";
    world.dispatcher().onReply(
        by, encoded(PeerReply(ObservationReport{{observation("a", Role::replica, 10)}, false})));
    world.dispatcher().endTurn();
  }
  std::cout << "a list names it\n";
  std::vector<transactions::ResolvedEndpoint> list(1);
  list.back().entry.node = "a";
  list.back().entry.group = 1;
  world.dispatcher().amendEndpointList(EndpointUpdateKind::snapshot, 5, list);
  world.dispatcher().endTurn();
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{
      {"cluster-configuration", clusterConfiguration},
      {"command-line", commandLine},
      {"rejected-peers", rejectedPeers},
      {"false-observations", falseObservations},
      {"observations-before-list", observationsBeforeList}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
