// Tests cluster configurations with each kind of error, the command line, and a voter's replies to peers that
// it rejects and to false observations. Run as `setups CASE`: prints the trace of the case.
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

// Reads the configuration as the router `name` and prints the result or the error.
void readConfiguration(const std::string& text, const std::string& name = "a") {
  try {
    const ClusterConfig config = readClusterConfig(text, name, ms(3000));
    std::cout << "accepted: voters " << config.voterListText() << "; routers " << config.routers.size()
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

// Writes a committed claim, an uncommitted one, and an incarnation of another voter.
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

// A voter's claim dispatcher. The test delivers the messages of other routers and completes the disk writes.
class VoterHarness final : public Effects {
 public:
  VoterHarness()
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
  // Prints the title and delivers the message.
  void deliver(PeerStreamId stream, const std::string& title, const std::string& bytes) {
    std::cout << title << "\n";
    dispatcher_->onMessage(stream, bytes);
  }
  // Completes all writes in flight.
  void endWrites(bool areDurable) {
    std::cout << (areDurable ? "durable\n" : "the disk write fails\n");
    for (const StoreWriteId write : std::exchange(pendingWrites_, {}))
      dispatcher_->onWritten(write, areDurable);
  }
  ClaimDispatcher& dispatcher() { return *dispatcher_; }
  std::string status() const {
    store::StoreStatistics disk;
    disk.fileBytes = 20480;
    disk.lastError = "disk I/O error";
    return statusDocument(transactions_.now(), *dispatcher_, &disk, {});
  }

 private:
  void sendToVoter(idempotency::VoterIndex voter, const PeerMessage&) override {
    std::cout << "  to voter " << voter << "\n";
  }
  void reply(PeerStreamId stream, const PeerReply& reply) override {
    std::cout << "  to stream " << stream << ": ";
    if (const auto* greeting = std::get_if<GreetingReply>(&reply))
      std::cout << "greeted as incarnation " << greeting->number << ", previous "
                << greeting->previousVoterIncarnation.number << "\n";
    else if (const auto* observations = std::get_if<ObservationReport>(&reply))
      std::cout << "observed " << observations->nodes.size() << " nodes, "
                << (observations->hasRecovered ? "recovered" : "recovering") << "\n";
    else if (const auto* joined = std::get_if<JoinReply>(&reply))
      std::cout << "joined as " << joined->newest.number << ", draw " << joined->newest.draw << "\n";
    else if (const auto* heartbeat = std::get_if<HeartbeatReply>(&reply)) {
      for (const auto& report : heartbeat->reports)
        std::cout << report.router << " " << report.incarnation.number << " "
                  << static_cast<int>(report.liveness) << "; ";
      std::cout << "\n";
    } else
      std::cout << "vote on " << std::get<VoteReply>(reply).number << ": "
                << static_cast<int>(std::get<VoteReply>(reply).vote.kind) << "\n";
  }
  void rejectStream(PeerStreamId stream, std::string_view reason) override {
    std::cout << "  stream " << stream << " rejected: " << reason << "\n";
  }
  StoreWriteId write(std::vector<idempotency::DiskChange> changes) override {
    std::cout << "  to disk: " << changes.size() << "\n";
    pendingWrites_.push_back(++lastWriteId_);
    return lastWriteId_;
  }
  void terminate() override { std::cout << "  terminates\n"; }
  void announce(std::uint64_t version, const std::set<std::string>& excludedNodes) override {
    std::cout << "  announces plan " << version << ", excluded nodes " << excludedNodes.size() << "\n";
  }
  void log(std::string_view event, const std::string& fields) override {
    std::cout << "  " << event << " " << fields << "\n";
  }
  transactions::TransactionTable transactions_;
  std::unique_ptr<ClaimDispatcher> dispatcher_;
  std::vector<StoreWriteId> pendingWrites_;
  StoreWriteId lastWriteId_ = 0;
};

const std::string kVoterList = "1: a b c";

void rejectBeforeJoin(VoterHarness& harness) {
  harness.deliver(1, "malformed bytes", "\xff\xff\xff");
  harness.deliver(1, "an empty message", "");
  harness.deliver(1, "a claim before a greeting", encoded(PeerMessage(Claim{"b1", 1})));
  harness.deliver(1, "a router that is not configured greets",
                  encoded(PeerMessage(Greeting{"z", kVoterList, 5, {}})));
  harness.deliver(1, "a router with another voter list greets",
                  encoded(PeerMessage(Greeting{"d", "1: a b", 5, {}})));
  harness.deliver(1, "a router greets", encoded(PeerMessage(Greeting{"d", kVoterList, 5, {}})));
  harness.endWrites(true);
  harness.deliver(1, "it claims before it has joined", encoded(PeerMessage(Claim{"b1", 1})));
  harness.deliver(1, "it joins with an incarnation number that is far too high",
                  encoded(PeerMessage(JoinRequest{1'000'000'000})));
  harness.endWrites(true);
  harness.deliver(1, "it joins, and the disk write fails", encoded(PeerMessage(JoinRequest{1})));
  harness.endWrites(false);
  harness.deliver(1, "it greets again", encoded(PeerMessage(Greeting{"d", kVoterList, 5, {}})));
  harness.endWrites(true);
  harness.deliver(1, "it claims before the voter has a reply from another voter",
                  encoded(PeerMessage(Claim{"b1", 1})));
}

void rejectWithoutQuorum(VoterHarness& harness) {
  std::cout << "a voter replies with malformed bytes: ";
  try {
    harness.dispatcher().onReply(1, "\xff\xff");
  } catch (const MalformedMessage& error) { std::cout << error.what() << "\n"; }
  std::cout << "a voter replies\n";
  harness.dispatcher().onReply(1, encoded(PeerReply(GreetingReply{1, {}, {}})));
  harness.deliver(1, "it claims", encoded(PeerMessage(Claim{"b1", 2})));
  harness.endWrites(false);
}

void rejectRestartedVoter(VoterHarness& harness) {
  harness.deliver(2, "a voter greets, and the disk write of its incarnation fails",
                  encoded(PeerMessage(Greeting{"b", kVoterList, 6, {3, 60}})));
  harness.endWrites(false);
  harness.deliver(3, "it greets again", encoded(PeerMessage(Greeting{"b", kVoterList, 6, {3, 60}})));
  harness.endWrites(true);
  harness.deliver(3, "it joins", encoded(PeerMessage(JoinRequest{1})));
  harness.endWrites(true);
  harness.deliver(3, "it claims the same transaction id", encoded(PeerMessage(Claim{"b1", 1})));
  harness.dispatcher().onStreamEnded(3);
  harness.deliver(3, "a claim on a stream that has ended", encoded(PeerMessage(Claim{"b2", 2})));
}

void rejectSecondProcess(VoterHarness& harness) {
  harness.deliver(4, "another process with the name d greets",
                  encoded(PeerMessage(Greeting{"d", kVoterList, 8, {}})));
  harness.endWrites(true);
  harness.deliver(4, "it joins with the same incarnation number", encoded(PeerMessage(JoinRequest{1})));
  harness.endWrites(true);
  harness.deliver(4, "it joins with the next incarnation number", encoded(PeerMessage(JoinRequest{2})));
  harness.deliver(1, "the first process claims while that write is in flight",
                  encoded(PeerMessage(Claim{"b4", 3})));
  harness.endWrites(true);
  harness.deliver(1, "the first process sends a heartbeat", encoded(PeerMessage(Heartbeat{1, {4, 0, 0}})));
  harness.deliver(4, "the second process sends a heartbeat", encoded(PeerMessage(Heartbeat{1, {4, 0, 0}})));
}

void rejectRemovedRouter(VoterHarness& harness) {
  std::cout << "d is removed from the list of routers\n";
  const ClusterConfig withoutRouter = readClusterConfig(
      R"({"keepers":{"a":"127.0.0.1:1","b":"127.0.0.1:2","c":"127.0.0.1:3"},"routers":["e"],"store":"/s"})",
      "a", ms(2000));
  harness.dispatcher().reloadConfig(withoutRouter);
  harness.deliver(5, "it greets", encoded(PeerMessage(Greeting{"d", kVoterList, 8, {}})));
  std::cout << "another voter knows an incarnation of this voter that is not on its disk\n";
  harness.dispatcher().onReply(2, encoded(PeerReply(GreetingReply{1, {9, 70}, {}})));
  harness.endWrites(true);
}

void rejectedPeers() {
  VoterHarness harness;
  rejectBeforeJoin(harness);
  rejectWithoutQuorum(harness);
  rejectRestartedVoter(harness);
  rejectSecondProcess(harness);
  rejectRemovedRouter(harness);
}

// Delivers an observation report of the voter `by`.
void report(VoterHarness& harness, idempotency::VoterIndex by, const std::string& title,
            const ObservationReport& observations) {
  std::cout << title << "\n";
  harness.dispatcher().onReply(by, encoded(PeerReply(observations)));
  harness.dispatcher().endTurn();
}

recovery::Observation observation(const NodeId& node, Role role, std::int64_t positionMillis) {
  return {node, Instant(), role, Instant() + ms(positionMillis), ms(3)};
}

// Returns an endpoint list of the primary p and its replica a.
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

// Runs the status command on the status document of the harness.
void printStatus(const VoterHarness& harness) {
  const auto path = std::filesystem::path(scratch()) / ("gulltrestle-status-" + std::to_string(getpid()));
  std::ofstream(path) << harness.status();
  std::ostringstream out, errors;
  const std::string file = path.string();
  const char* arguments[] = {"gulltrestle", "status", file.c_str()};
  const int code = cli::run(3, arguments, out, errors);
  std::cout << out.str() << "exit " << code << "\n";
  std::filesystem::remove(path);
}

// Voters report false observations of nodes: prints their effects and the output of the status command.
void falseObservations() {
  VoterHarness harness;
  auto list = primaryAndReplica();
  harness.dispatcher().amendEndpointList(EndpointUpdateKind::snapshot, 5, list);
  harness.dispatcher().endTurn();
  report(harness, 1, "a voter reports a false log position of the replica, far ahead",
         {{observation("a", Role::replica, 1 << 30)}, false});
  report(harness, 2, "another voter reports the true position: the position that both reach is proven",
         {{observation("a", Role::replica, 10)}, false});
  report(harness, 1, "a voter reports that the replica is the primary",
         {{observation("a", Role::primary, 20)}, false});
  report(harness, 1, "a voter reports a node that is not in the endpoint list",
         {{observation("z", Role::primary, 20)}, false});
  std::cout << "a voter reports a primary with an endpoint list version that is far too high\n";
  harness.dispatcher().onReply(1, encoded(PeerReply(PrimaryUpdates{{1, {"a", 1'000'000}}})));
  harness.dispatcher().endTurn();
  std::cout << "the primary of the endpoint list reports that it is the primary\n";
  harness.dispatcher().recovery().onLoadReport("p", {Role::primary, Instant() + ms(30), {}});
  harness.dispatcher().endTurn();
  printStatus(harness);
  std::cout << "an operator forces the stage\n";
  ClusterConfig forced;
  forced.forcedStage = recovery::Stage::all;
  forced.forcedBy = "kim";
  harness.dispatcher().reloadConfig(forced);
  harness.dispatcher().endTurn();
  printStatus(harness);
}

// Two voters report a replica before there is an endpoint list: its position is proven once the list arrives.
void observationsBeforeList() {
  VoterHarness harness;
  for (const idempotency::VoterIndex by : {1, 2}) {
    std::cout << "a voter reports a replica\n";
    harness.dispatcher().onReply(
        by, encoded(PeerReply(ObservationReport{{observation("a", Role::replica, 10)}, false})));
    harness.dispatcher().endTurn();
  }
  std::cout << "an endpoint list with the replica arrives\n";
  std::vector<transactions::ResolvedEndpoint> list(1);
  list.back().entry.node = "a";
  list.back().entry.group = 1;
  harness.dispatcher().amendEndpointList(EndpointUpdateKind::snapshot, 5, list);
  harness.dispatcher().endTurn();
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
