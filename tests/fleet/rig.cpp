#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>

#include "config/router_config.h"
#include "protocol/postgres/messages.h"
#include "protocol/postgres/statement.h"
#include "runtime/event_loop/sockets.h"
#include "scratch.h"
#include "store/store.h"
#include "streams.h"

namespace gulltrestle::fleet {

using event_loop::IoStatus;

namespace {

// A loopback address of this process's own, derived from its process id. Ports on it are taken from below the
// ephemeral range, so that a router gets its port again after a restart.
const std::string kHost = [] {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + id / 62500 % 250) + "." + std::to_string(id / 250 % 250) + "." +
         std::to_string(2 + id % 250);
}();
constexpr std::size_t kSectorBytes = 512;
// The remaining time that a client states in its request. The client itself waits for kRequestTimeout, so
// that a slow answer on a busy machine is not counted as a lost one.
constexpr int kClientTimeoutMs = 1000;
constexpr Duration kRequestTimeout = Duration::millis(20'000);

unsigned short portOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
std::string endpointAt(unsigned short port) { return kHost + ":" + std::to_string(port); }
std::string freeAddress() {
  static unsigned short lastPort = 10'000;
  for (;;) try {
      lastPort = lastPort < 30'000 ? static_cast<unsigned short>(lastPort + 1) : 10'000;
      event_loop::listenOn(kHost, lastPort);
      return endpointAt(lastPort);
    } catch (const std::system_error&) {}
}

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

struct TestFleet::Process {
  pid_t pid = -1;
  std::size_t nameNumber = 0;  // the number in the router's name
  std::string downstreamAddress, voterAddress, processorAddress;
  bool isStopped = false;
};

struct TestFleet::Relay {
  std::size_t router = 0, voter = 0;
  std::string address;
  Flow flow = Flow::open;
  std::vector<event_loop::Stream*> streams;  // woken when the flow changes
};

TestFleet::TestFleet(event_loop::EventLoop& loop, std::uint64_t seed, FleetOptions options)
    : random(seed), loop_(loop), options_(options) {
  path_ = scratchFolder("fleet");
  const auto listen = [&](auto serve) {
    event_loop::Descriptor listener = event_loop::listenOn(kHost, 0);
    const std::string address = endpointAt(portOf(listener.number()));
    loop_.spawn(acceptAll(std::move(listener), serve));
    return address;
  };
  if (options_.nodeSyncMode == SyncMode::never) {
    localNode_ = std::make_unique<PgNode>(loop_, kHost, 0, path_ + "/node.log", SyncMode::never);
    nodeAddress_ = localNode_->address();
  } else {
    nodeAddress_ = freeAddress();
    startNode();
  }
  discoveryAddress_ =
      listen([this](event_loop::Descriptor accepted) { return serveDiscovery(std::move(accepted)); });
  if (!options_.discovery.empty()) discoveryAddress_ = options_.discovery;
  const std::size_t voterCandidates = options_.voters + options_.spareVoters;
  for (std::size_t i = 0; i < options_.routers; ++i) {
    processes_.push_back(std::make_unique<Process>());
    processes_[i]->nameNumber = i;
    members_.insert(i);
    if (i < voterCandidates) {
      processes_[i]->voterAddress = freeAddress();
      std::filesystem::create_directory(storeFolder(i));
      std::filesystem::create_directory(maintenanceFolder(i));
    }
    if (i < options_.voters) {
      store::create(storeFolder(i), "r" + std::to_string(i));
      std::filesystem::copy_file(storeFolder(i) + "/claims.db", storeFolder(i) + "/claims.db.synced");
    }
  }
  voterLists_.emplace_back();
  for (std::size_t k = 0; k < options_.voters; ++k) voterLists_[0].insert(k);
  for (std::size_t i = 0; i < options_.routers; ++i)
    for (std::size_t k = 0; k < voterCandidates; ++k) {
      auto relay = std::make_unique<Relay>();
      relay->router = i;
      relay->voter = k;
      relay->address = i == k || options_.hasDirectLinks
                           ? processes_[k]->voterAddress
                           : listen([this, target = relay.get()](event_loop::Descriptor accepted) {
                               return serveRelay(*target, std::move(accepted));
                             });
      relays_.push_back(std::move(relay));
    }
  for (std::size_t i = 0; i < options_.routers; ++i) writeConfig(i);
}

void TestFleet::writeConfig(std::size_t i) {
  Process& process = *processes_[i];
  process.downstreamAddress = freeAddress();
  process.processorAddress = freeAddress();
  const std::string base = path_ + "/r" + std::to_string(i);
  std::ofstream(base + ".json") << R"({"name":"r)" << process.nameNumber << R"(","listen":")"
                                << process.downstreamAddress << R"(","discovery":")" << discoveryAddress_
                                << R"(","seed":"5eed",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":2048},"known":null,"settings":{"zone":"a","round":5000,
      "balancers":3,"limits":{"probes":true,"cancel":true,"secondCopies":true,"retryAfter":true,
      "maxAttempts":4,"maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":250000},
      "lanes":[{"name":"book-charge","effect":"at_most_once","objective":400000,"deadline":1000000,"worth":3,"lateShare":0.7},
               {"name":"route-lookup","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1,"lateShare":0},
               {"name":"own-booking","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1,"lateShare":0}],
      "rules":{"coldFrom":0.2,"cold":1000000,"drainGrace":1000000},
      "specifics":{"readLevel":["update","loose","own_writes"],"lagAllowed":[0,0,0],"sessionMarks":"client","guards":"off"}}})";
  std::ofstream(base + ".ext.json") << R"({"listen":")" << process.processorAddress
                                    << R"(","probe_path":"/standing"})";
  writeClusterConfig(i);
}

// Writes the current voters, members and forced stage. They take effect when the router reads the file.
void TestFleet::writeClusterConfig(std::size_t i) {
  const std::size_t nameNumber = processes_[i]->nameNumber,
                    voterCandidates = options_.voters + options_.spareVoters;
  const auto nameList = [](const std::set<std::size_t>& routers) {
    std::string names;
    for (const std::size_t r : routers) names += (names.empty() ? "\"r" : ",\"r") + std::to_string(r) + "\"";
    return "[" + names + "]";
  };
  std::string voters, previousLists;
  for (const std::size_t k : voterLists_.back())
    voters += (voters.empty() ? "\"r" : ",\"r") + std::to_string(k) + "\":\"" +
              relays_[nameNumber * voterCandidates + k]->address + "\"";
  for (std::size_t n = 0; n + 1 < voterLists_.size(); ++n)
    previousLists += (n ? "," : "") + nameList(voterLists_[n]);
  std::ofstream(path_ + "/r" + std::to_string(i) + ".fleet.json")
      << "{\"keepers\":{" << voters << "},\"keepers_before\":[" << previousLists
      << "],\"routers\":" << nameList(members_)
      << (forcedStage_.empty() ? "" : ",\"force\":{\"stage\":\"" + forcedStage_ + "\",\"by\":\"kim\"}")
      << ",\"store\":\"" << storeFolder(nameNumber) << "\",\"status_file\":\"" << path_ << "/r" << i
      << ".status.json\",\"retention_ms\":4000,\"longest_wait_ms\":800,\"first_txns\":1000,\"work\":{"
      << (nameNumber < voterCandidates ? "\"folder\":\"" + maintenanceFolder(nameNumber) + "\"," : "")
      << (options_.announcesExclusions
              ? "\"announce_file\":\"" + path_ + "/r" + std::to_string(i) + ".out.json\","
              : "")
      << "\"warm_ms\":300,\"rest_ms\":1000,\"announce_ms\":9000,\"leave_ms\":20000,\"tries\":9}}";
}

std::string TestFleet::putOperatorRequest(std::size_t voter, const std::string& text) {
  const std::string name = "q" + std::to_string(++operatorRequestCount_);
  const std::string base = maintenanceFolder(voter) + "/" + name;
  std::ofstream(base + ".new") << text;
  std::filesystem::rename(base + ".new", base + ".ask.json");
  return name;
}
std::string TestFleet::operatorAnswer(std::size_t voter, const std::string& name) const {
  return contentOf(maintenanceFolder(voter) + "/" + name + ".answer.json");
}

std::size_t TestFleet::addDuplicate(std::size_t router) {
  processes_.push_back(std::make_unique<Process>());
  processes_.back()->nameNumber = router;
  writeConfig(processes_.size() - 1);
  return processes_.size() - 1;
}

void TestFleet::reloadConfig(std::size_t i) {
  writeClusterConfig(i);
  if (processes_[i]->pid > 0) ::kill(processes_[i]->pid, SIGHUP);
}

TestFleet::~TestFleet() {
  for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
  killNode();
  loop_.destroyTasks();
  if (!keepsFiles_) std::filesystem::remove_all(path_);
}

// --- Processes

void TestFleet::start(std::size_t i) {
  Process& process = *processes_[i];
  if (process.pid > 0) return;
  const std::string base = path_ + "/r" + std::to_string(i);
  std::cout.flush();
  // Another shift at each start, so that the wall clock also jumps.
  const long shiftSeconds = options_.clocksDiffer ? static_cast<long>(pick(1201)) - 600 : 0;
  const pid_t parent = getpid();
  process.pid = fork();
  if (process.pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // the router ends with this process
  if (getppid() != parent) _exit(127);
  setenv("BALANCER_CONFIG", (base + ".json").c_str(), 1);
  if (options_.usesVoters) setenv("GULLTRESTLE_FLEET", (base + ".fleet.json").c_str(), 1);
  if (!options_.discovery.empty()) setenv("GULLTRESTLE_EXT_PROC", (base + ".ext.json").c_str(), 1);
  if (shiftSeconds != 0) setenv("TEST_FLEET_CLOCK_SHIFT", std::to_string(shiftSeconds).c_str(), 1);
  if (options_.slowClockRouter == i)
    setenv("TEST_FLEET_CLOCK_STALL_FILE", (path_ + "/clock_stalled").c_str(), 1);
  if (options_.hasLyingDisk) setenv("TEST_FLEET_LYING_DISK", "1", 1);
  const int out = ::open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (out < 0 || dup2(out, 1) < 0 || dup2(out, 2) < 0) _exit(127);
  const char* programOverride = std::getenv("TEST_FLEET_PROGRAM");  // a build other than this test's own
  const char* program = programOverride ? programOverride : GULLTRESTLE_RIGGED;
  const char* olderProgram =
      std::getenv("TEST_FLEET_OLDER_PROGRAM");  // an earlier build, for every second router
  if (olderProgram && i % 2 == 1) program = olderProgram;
  execl(program, program, static_cast<char*>(nullptr));
  _exit(127);
}

void TestFleet::startAll() {
  for (std::size_t i = 0; i < routers(); ++i) start(i);
}

void TestFleet::allowMissingAnswers(std::size_t i) {
  for (const auto& clientRequest : clientRequests_)
    if (!clientRequest->isOver && clientRequest->router == i) clientRequest->mayLackAnswer = true;
}

void TestFleet::kill(std::size_t i) {
  Process& process = *processes_[i];
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = -1;
  process.isStopped = false;
  allowMissingAnswers(i);
}

void TestFleet::stop(std::size_t i) {
  Process& process = *processes_[i];
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGSTOP);
  process.isStopped = true;
  allowMissingAnswers(i);
}

void TestFleet::resume(std::size_t i) {
  Process& process = *processes_[i];
  if (process.pid <= 0 || !std::exchange(process.isStopped, false)) return;
  allowMissingAnswers(i);
  ::kill(process.pid, SIGCONT);
}

bool TestFleet::isUp(std::size_t i) const { return processes_[i]->pid > 0 && !processes_[i]->isStopped; }

int TestFleet::exitCode(std::size_t i) {
  Process& process = *processes_[i];
  for (int n = 0; n < 1000; ++n) {
    int waitStatus = 0;
    if (waitpid(process.pid, &waitStatus, WNOHANG) == process.pid) {
      process.pid = -1;
      return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : -2;
    }
    usleep(10'000);
  }
  return -1;
}

std::string TestFleet::statusDocument(std::size_t i) const {
  return contentOf(path_ + "/r" + std::to_string(i) + ".status.json");
}

std::string TestFleet::announcement(std::size_t i) const {
  return contentOf(path_ + "/r" + std::to_string(i) + ".out.json");
}

double TestFleet::cpuSeconds(std::size_t i) const {
  const std::string text = contentOf("/proc/" + std::to_string(processes_[i]->pid) + "/stat");
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string TestFleet::processorAddress(std::size_t i) const { return processes_[i]->processorAddress; }

std::string TestFleet::log(std::size_t i) const {
  return contentOf(path_ + "/r" + std::to_string(i) + ".log");
}

// Simulates what a power loss leaves of a file: each sector holds either its synced or its unsynced content,
// and the length is either the synced or the unsynced one.
void TestFleet::tearFile(const std::string& file) {
  const std::string current = contentOf(file), synced = contentOf(file + ".synced");
  std::filesystem::remove(file + ".syncing");
  // 0: all unsynced writes survive; 1: none; 2 and 3: some.
  const std::size_t mode = options_.hasLyingDisk ? 1 : pick(4);
  std::string torn = mode == 0 ? current : synced;
  if (mode > 1) {
    torn.resize(pick(2) ? current.size() : synced.size());
    for (std::size_t offset = 0; offset < torn.size(); offset += kSectorBytes)
      if (offset < current.size() && pick(2))
        torn.replace(offset, kSectorBytes, current.substr(offset, kSectorBytes));
  }
  std::ofstream(file, std::ios::binary | std::ios::trunc) << torn;
  std::ofstream(file + ".synced", std::ios::binary | std::ios::trunc) << torn;
}

void TestFleet::losePower(const std::vector<std::size_t>& all) {
  for (const std::size_t i : all)
    if (processes_[i]->pid > 0) ::kill(processes_[i]->pid, SIGKILL);
  for (const std::size_t i : all) kill(i);
  for (const std::size_t i : all)
    if (processes_[i]->nameNumber == i)
      for (const char* name : {"/claims.db", "/claims.db-journal"})
        if (std::filesystem::exists(storeFolder(i) + name) &&
            std::filesystem::exists(storeFolder(i) + name + ".synced"))
          tearFile(storeFolder(i) + name);
}

void TestFleet::stallClock() {
  if (options_.slowClockRouter < routers())
    std::ofstream(path_ + "/clock_stalled") << "the clock is slowed down while this file exists\n";
}

void TestFleet::loseDisk(std::size_t router) {
  std::filesystem::remove_all(storeFolder(router));
  std::filesystem::create_directory(storeFolder(router));
}

// --- Links

void TestFleet::setFlow(std::size_t router, std::size_t voter, Flow flow) {
  Relay& relay = *relays_[router * (options_.voters + options_.spareVoters) + voter];
  relay.flow = flow;
  for (event_loop::Stream* stream : relay.streams) stream->wake();
}

void TestFleet::setAllFlows(Flow flow) {
  for (std::size_t i = 0; i < routers(); ++i)
    for (std::size_t k = 0; k < voters(); ++k) setFlow(i, k, flow);
}

template <typename Serve>
event_loop::Task TestFleet::acceptAll(event_loop::Descriptor descriptor, Serve serve) {
  event_loop::Stream listener(loop_, std::move(descriptor));
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == IoStatus::ok)
      loop_.spawn(serve(std::move(accepted)));
    else
      co_await listener.changed();
  }
}

event_loop::Task TestFleet::serveRelay(Relay& relay, event_loop::Descriptor descriptor) {
  if (relay.flow == Flow::cut) co_return;
  event_loop::Stream routerStream(loop_, std::move(descriptor));
  const auto address = config::readAddress("keeper", processes_[relay.voter]->voterAddress);
  event_loop::Stream voterStream(loop_, event_loop::startConnecting(address.host, address.port));
  struct Registration {
    Relay& relay;
    event_loop::Stream* stream;
    Registration(Relay& r, event_loop::Stream& s) : relay(r), stream(&s) { relay.streams.push_back(stream); }
    ~Registration() { std::erase(relay.streams, stream); }
  } registration(relay, routerStream);
  std::string toVoter, toRouter;
  // Polled, as a change at either end affects both.
  while (!voterStream.canWrite() && !voterStream.hungUp()) {
    if (relay.flow == Flow::cut) co_return;
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(2));
  }
  if (!event_loop::isConnected(voterStream.descriptor())) co_return;
  for (;;) {
    if (relay.flow == Flow::cut) co_return;
    const bool isClosed = !readAll(routerStream, toVoter) || !readAll(voterStream, toRouter);
    if (relay.flow != Flow::blockedToVoter && !write(voterStream, toVoter)) co_return;
    if (relay.flow != Flow::blockedFromVoter && !write(routerStream, toRouter)) co_return;
    if (isClosed) co_return;
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(1));
  }
}

// --- The node and discovery

std::vector<std::string> TestFleet::executedIds() const {
  return localNode_ ? localNode_->executedIds() : readLog(path_ + "/node.log");
}

int TestFleet::runCount(const std::string& id) const {
  const auto all = executedIds();
  return static_cast<int>(std::count(all.begin(), all.end(), id));
}

void TestFleet::startNode() {
  if (localNode_ || nodePid_ > 0) return;
  std::cout.flush();
  const auto address = config::readAddress("node", nodeAddress_);
  const pid_t parent = getpid();
  nodePid_ = fork();
  if (nodePid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  execl(GULLTRESTLE_NODE, GULLTRESTLE_NODE, address.host.c_str(), std::to_string(address.port).c_str(),
        (path_ + "/node.log").c_str(), options_.nodeSyncMode == SyncMode::faked ? "faked" : "always",
        static_cast<char*>(nullptr));
  _exit(127);
}

void TestFleet::killNode() {
  if (nodePid_ <= 0) return;
  ::kill(nodePid_, SIGKILL);
  waitpid(nodePid_, nullptr, 0);
  nodePid_ = -1;
}

// Keeps the synced part of the log and a random prefix of the rest, which may end within a line.
void TestFleet::losePowerOfNode() {
  killNode();
  const std::string file = path_ + "/node.log", log = contentOf(file);
  const std::string syncedText = contentOf(file + ".synced");
  const std::size_t syncedBytes = syncedText.empty() ? 0 : std::stoul(syncedText);
  const std::size_t survivingBytes = syncedBytes + pick(log.size() - syncedBytes + 1);
  std::ofstream(file, std::ios::binary | std::ios::trunc) << log.substr(0, survivingBytes);
}

void TestFleet::publishList(std::uint64_t version, const std::string& state) {
  listVersion_ = version;
  nodeState_ = state;
  for (event_loop::Stream* watcher : watchers_) watcher->wake();
}

event_loop::Task TestFleet::serveDiscovery(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(loop_, std::move(descriptor));
  struct Registration {
    std::vector<event_loop::Stream*>& all;
    event_loop::Stream* stream;
    ~Registration() { std::erase(all, stream); }
  } registration{watchers_, &stream};
  watchers_.push_back(&stream);
  std::string received, unsent;
  bool isWatching = false;
  std::uint64_t reportedVersion = 0;
  const auto body = [this](bool isFull) {
    return R"({"version":)" + std::to_string(listVersion_) + R"(,"full":)" + (isFull ? "true" : "false") +
           R"(,"servers":[{"id":"p1","addr":")" + nodeAddress_ +
           R"(","zone":"a","kind":"m","cell":1,"state":")" + nodeState_ +
           R"(","weight":1,"started_ms":0,"part":"master"}]})";
  };
  const auto chunk = [](const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
  };
  while (readAll(stream, received)) {
    if (const auto end = received.find("\r\n\r\n"); end != std::string::npos && !isWatching) {
      isWatching = received.find("stream=1") < received.find("\r\n");
      received.erase(0, end + 4);
      const std::string fullList = body(true);
      unsent += isWatching ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(fullList + "\n")
                           : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(fullList.size()) +
                                 "\r\n\r\n" + fullList;
      reportedVersion = listVersion_;
    }
    if (isWatching && listVersion_ > reportedVersion) {
      unsent += chunk(body(false) + "\n");
      reportedVersion = listVersion_;
    }
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

// --- Clients

std::size_t TestFleet::sendRequest(std::size_t router, const std::string& id) {
  auto clientRequest = std::make_shared<ClientRequest>();
  clientRequest->id = id;
  clientRequest->router = router;
  clientRequest->mayLackAnswer = !isUp(router);
  clientRequests_.push_back(clientRequest);
  ++openRequestCount_;
  loop_.spawn(runClientRequest(clientRequest));
  return clientRequests_.size() - 1;
}

namespace {

// Reads the complete messages in `received`. `isReady` becomes true at the first ReadyForQuery. Returns true
// once the request is answered.
bool takeAnswer(std::string& received, bool& isReady, ClientRequest& request) {
  std::string_view bytes = received;
  bool isAnswered = false;
  while (!isAnswered) {
    const auto message = postgres::takeMessage(bytes, kMaxBufferedBytes);
    if (!message) break;
    if (message->type == 'Z' && !std::exchange(isReady, true)) continue;
    if (message->type == 'D') request.value = std::string(message->body.substr(6));
    if (message->type == 'C') request.outcome = FinalOutcome::committed;
    if (message->type == 'E') {
      const std::string code(postgres::readError(message->body).code);
      request.outcome = code == "53300" || code == "57P03" ? FinalOutcome::refused : FinalOutcome::rolledBack;
    }
    isAnswered = request.outcome != FinalOutcome::none && (message->type == 'Z' || message->type == 'E');
  }
  received.erase(0, received.size() - bytes.size());
  return isAnswered;
}

}  // namespace

event_loop::Task TestFleet::runClientRequest(std::shared_ptr<ClientRequest> clientRequest) {
  const Instant startedAt = loop_.now();
  {
    const auto address = config::readAddress("front", processes_[clientRequest->router]->downstreamAddress);
    event_loop::Stream stream(loop_, event_loop::startConnecting(address.host, address.port));
    const Instant deadline = loop_.now() + kRequestTimeout;
    stream.wakeAt(deadline);
    std::string unsent =
        postgres::startup("worker", "catalog") +
        postgres::message('Q', "INSERT INTO objects (oid, body) VALUES ('k', '\\x9f') RETURNING body /* id=" +
                                   clientRequest->id + ",c=book-charge,t=a,d=" +
                                   std::to_string(kClientTimeoutMs) + ",cluster=1 */" + std::string(1, '\0'));
    std::string received;
    bool isConnected = false, isReady = false, isAnswered = false;
    while (!isAnswered && loop_.now() < deadline) {
      if (!isConnected && stream.canWrite()) {
        isConnected = event_loop::isConnected(stream.descriptor());
        if (!isConnected) {  // connection refused
          clientRequest->mayLackAnswer = true;
          break;
        }
      }
      if (isConnected && !write(stream, unsent)) break;
      const bool isOpen = readAll(stream, received);
      isAnswered = takeAnswer(received, isReady, *clientRequest);
      if (!isOpen && !isAnswered) break;
      if (!isAnswered) co_await stream.changed();
    }
  }
  clientRequest->isOver = true;
  clientRequest->duration = loop_.now() - startedAt;
  --openRequestCount_;
  constexpr const char* kOutcomes[] = {"committed", "refused", "rolled back", "no answer"};
  std::ofstream(path_ + "/clients.log", std::ios::app)
      << clientRequest->id << " at r" << clientRequest->router << ": "
      << kOutcomes[static_cast<int>(clientRequest->outcome)]
      << (clientRequest->mayLackAnswer ? " (may lack an answer)" : "") << "\n";
}

// --- Checks

std::string TestFleet::findViolation() const {
  std::map<std::string, int> runs;
  for (const auto& id : executedIds()) ++runs[id];
  for (const auto& [id, count] : runs)
    if (count > 1) return "ran twice: " + id;
  std::map<std::string, bool> mayHaveRun;  // at least one request was not refused
  for (const auto& clientRequest : clientRequests_) {
    if (clientRequest->outcome == FinalOutcome::none && !clientRequest->mayLackAnswer)
      return "request without a final answer: " + clientRequest->id;
    if (clientRequest->outcome == FinalOutcome::committed && !runs.contains(clientRequest->id))
      return "reported as committed but missing from the node's log: " + clientRequest->id;
    if (clientRequest->outcome == FinalOutcome::committed &&
        clientRequest->value != "value of " + clientRequest->id)
      return "wrong value in the answer: " + clientRequest->id;
    if (clientRequest->outcome != FinalOutcome::refused) mayHaveRun[clientRequest->id] = true;
  }
  for (const auto& [id, count] : runs)
    if (!mayHaveRun[id]) return "ran although every request was refused: " + id;
  return crashedRouter();
}

std::string TestFleet::crashedRouter() const {
  for (std::size_t i = 0; i < processes_.size(); ++i)
    if (processes_[i]->pid > 0 && waitpid(processes_[i]->pid, nullptr, WNOHANG) == processes_[i]->pid) {
      processes_[i]->pid = -1;
      return "r" + std::to_string(i) + " exited unexpectedly";
    }
  return "";
}

}  // namespace gulltrestle::fleet
