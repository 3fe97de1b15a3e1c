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

using event_loop::Io;

namespace {

// A loopback address of this process's own, and on it ports below those that outgoing connections take: a
// router is to have its port again after a restart.
const std::string kHost = [] {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + id / 62500 % 250) + "." + std::to_string(id / 250 % 250) + "." +
         std::to_string(2 + id % 250);
}();
constexpr std::size_t kSector = 512;
// A client waits for its answer for so long in the protocol; far longer here, so that a busy machine is not
// taken for a lost answer.
constexpr int kClientTimeoutMs = 1000;
constexpr Duration kWedged = Duration::millis(20'000);

unsigned short portOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
std::string address(unsigned short port) { return kHost + ":" + std::to_string(port); }
std::string freeAddress() {
  static unsigned short last = 10'000;
  for (;;) try {
      last = last < 30'000 ? static_cast<unsigned short>(last + 1) : 10'000;
      event_loop::listenOn(kHost, last);
      return address(last);
    } catch (const std::system_error&) {}
}

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

struct Rig::Process {
  pid_t id = -1;
  std::size_t name = 0;  // the number in its name
  std::string front, voter, processor;
  bool isStopped = false;
};

struct Rig::Relay {
  std::size_t router = 0, voter = 0;
  std::string address;
  Flow flow = Flow::open;
  std::vector<event_loop::Stream*> streams;  // to wake when the flow changes
};

Rig::Rig(event_loop::EventLoop& loop, std::uint64_t seed, FleetOptions options)
    : chance(seed), loop_(loop), options_(options) {
  path_ = scratchFolder("fleet");
  const auto listen = [&](auto serve) {
    event_loop::Descriptor made = event_loop::listenOn(kHost, 0);
    const std::string at = address(portOf(made.number()));
    loop_.spawn(acceptAll(std::move(made), serve));
    return at;
  };
  if (options_.node == Syncs::never) {
    inner_ = std::make_unique<PgNode>(loop_, kHost, 0, path_ + "/node.log", Syncs::never);
    node_ = inner_->address();
  } else {
    node_ = freeAddress();
    startNode();
  }
  discovery_ =
      listen([this](event_loop::Descriptor accepted) { return serveDiscovery(std::move(accepted)); });
  if (!options_.discovery.empty()) discovery_ = options_.discovery;
  const std::size_t voterCandidates = options_.voters + options_.spareVoters;
  for (std::size_t i = 0; i < options_.routers; ++i) {
    processes_.push_back(std::make_unique<Process>());
    processes_[i]->name = i;
    members_.insert(i);
    if (i < voterCandidates) {
      processes_[i]->voter = freeAddress();
      std::filesystem::create_directory(folder(i));
      std::filesystem::create_directory(work(i));
    }
    if (i < options_.voters) {
      store::create(folder(i), "r" + std::to_string(i));
      std::filesystem::copy_file(folder(i) + "/claims.db", folder(i) + "/claims.db.synced");
    }
  }
  voterLists_.emplace_back();
  for (std::size_t k = 0; k < options_.voters; ++k) voterLists_[0].insert(k);
  for (std::size_t i = 0; i < options_.routers; ++i)
    for (std::size_t k = 0; k < voterCandidates; ++k) {
      auto relay = std::make_unique<Relay>();
      relay->router = i;
      relay->voter = k;
      relay->address = i == k || options_.direct
                           ? processes_[k]->voter
                           : listen([this, at = relay.get()](event_loop::Descriptor accepted) {
                               return serveRelay(*at, std::move(accepted));
                             });
      relays_.push_back(std::move(relay));
    }
  for (std::size_t i = 0; i < options_.routers; ++i) configure(i);
}

void Rig::configure(std::size_t i) {
  Process& process = *processes_[i];
  process.front = freeAddress();
  process.processor = freeAddress();
  const std::string base = path_ + "/r" + std::to_string(i);
  std::ofstream(base + ".json") << R"({"name":"r)" << process.name << R"(","listen":")" << process.front
                                << R"(","discovery":")" << discovery_ << R"(","seed":"5eed",
      "limits":{"cores":1.0,"memory_mb":192,"sockets":2048},"known":null,"settings":{"zone":"a","round":5000,
      "balancers":3,"limits":{"probes":true,"cancel":true,"secondCopies":true,"retryAfter":true,
      "maxAttempts":4,"maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":250000},
      "lanes":[{"name":"book-charge","effect":"at_most_once","objective":400000,"deadline":1000000,"worth":3,"lateShare":0.7},
               {"name":"route-lookup","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1,"lateShare":0},
               {"name":"own-booking","effect":"idempotent","objective":400000,"deadline":1000000,"worth":1,"lateShare":0}],
      "rules":{"coldFrom":0.2,"cold":1000000,"drainGrace":1000000},
      "specifics":{"readLevel":["update","loose","own_writes"],"lagAllowed":[0,0,0],"sessionMarks":"client","guards":"off"}}})";
  std::ofstream(base + ".ext.json") << R"({"listen":")" << process.processor
                                    << R"(","probe_path":"/standing"})";
  writeFleet(i);
}

// As the voters and routers are now, which is counted from when the file is read.
void Rig::writeFleet(std::size_t i) {
  const std::size_t name = processes_[i]->name, voterCandidates = options_.voters + options_.spareVoters;
  const auto named = [](const std::set<std::size_t>& routers) {
    std::string names;
    for (const std::size_t r : routers) names += (names.empty() ? "\"r" : ",\"r") + std::to_string(r) + "\"";
    return "[" + names + "]";
  };
  std::string voters, before;
  for (const std::size_t k : voterLists_.back())
    voters += (voters.empty() ? "\"r" : ",\"r") + std::to_string(k) + "\":\"" +
              relays_[name * voterCandidates + k]->address + "\"";
  for (std::size_t n = 0; n + 1 < voterLists_.size(); ++n) before += (n ? "," : "") + named(voterLists_[n]);
  std::ofstream(path_ + "/r" + std::to_string(i) + ".fleet.json")
      << "{\"keepers\":{" << voters << "},\"keepers_before\":[" << before
      << "],\"routers\":" << named(members_)
      << (forced_.empty() ? "" : ",\"force\":{\"stage\":\"" + forced_ + "\",\"by\":\"kim\"}")
      << ",\"store\":\"" << folder(name) << "\",\"status_file\":\"" << path_ << "/r" << i
      << ".status.json\",\"retention_ms\":4000,\"longest_wait_ms\":800,\"first_txns\":1000,\"work\":{"
      << (name < voterCandidates ? "\"folder\":\"" + work(name) + "\"," : "")
      << (options_.announcesExclusions
              ? "\"announce_file\":\"" + path_ + "/r" + std::to_string(i) + ".out.json\","
              : "")
      << "\"warm_ms\":300,\"rest_ms\":1000,\"announce_ms\":9000,\"leave_ms\":20000,\"tries\":9}}";
}

std::string Rig::putOperatorRequest(std::size_t voter, const std::string& text) {
  const std::string name = "q" + std::to_string(++operatorRequestCount_);
  const std::string base = work(voter) + "/" + name;
  std::ofstream(base + ".new") << text;
  std::filesystem::rename(base + ".new", base + ".ask.json");
  return name;
}
std::string Rig::operatorAnswer(std::size_t voter, const std::string& name) const {
  return contentOf(work(voter) + "/" + name + ".answer.json");
}

std::size_t Rig::twin(std::size_t router) {
  processes_.push_back(std::make_unique<Process>());
  processes_.back()->name = router;
  configure(processes_.size() - 1);
  return processes_.size() - 1;
}

void Rig::reloadConfig(std::size_t i) {
  writeFleet(i);
  if (processes_[i]->id > 0) ::kill(processes_[i]->id, SIGHUP);
}

Rig::~Rig() {
  for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
  killNode();
  loop_.endTasks();
  if (!keep_) std::filesystem::remove_all(path_);
}

// --- Processes

void Rig::start(std::size_t i) {
  Process& process = *processes_[i];
  if (process.id > 0) return;
  const std::string base = path_ + "/r" + std::to_string(i);
  std::cout.flush();
  // Drawn anew for each start: it jumps, too.
  const long shift = options_.clocksDiffer ? static_cast<long>(pick(1201)) - 600 : 0;
  const pid_t parent = getpid();
  process.id = fork();
  if (process.id != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // it has one owner, and ends with it
  if (getppid() != parent) _exit(127);
  setenv("BALANCER_CONFIG", (base + ".json").c_str(), 1);
  if (options_.usesVoters) setenv("GULLTRESTLE_FLEET", (base + ".fleet.json").c_str(), 1);
  if (!options_.discovery.empty()) setenv("GULLTRESTLE_EXT_PROC", (base + ".ext.json").c_str(), 1);
  if (shift != 0) setenv("RIG_CLOCK_SHIFT", std::to_string(shift).c_str(), 1);
  if (options_.slowClockRouter == i) setenv("RIG_CLOCK_STANDS", (path_ + "/stands").c_str(), 1);
  if (options_.hasLyingDisk) setenv("RIG_LYING_DISK", "1", 1);
  const int out = ::open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (out < 0 || dup2(out, 1) < 0 || dup2(out, 2) < 0) _exit(127);
  const char* other = std::getenv("RIG_PROGRAM");  // another build than the one beside this rig
  const char* program = other ? other : GULLTRESTLE_RIGGED;
  const char* older = std::getenv("RIG_OLDER_PROGRAM");  // an earlier build, for every second router
  if (older && i % 2 == 1) program = older;
  execl(program, program, static_cast<char*>(nullptr));
  _exit(127);
}

void Rig::startAll() {
  for (std::size_t i = 0; i < routers(); ++i) start(i);
}

void Rig::excuse(std::size_t i) {
  for (const auto& clientRequest : clientRequests_)
    if (!clientRequest->isOver && clientRequest->router == i) clientRequest->isExcused = true;
}

void Rig::kill(std::size_t i) {
  Process& process = *processes_[i];
  if (process.id <= 0) return;
  ::kill(process.id, SIGKILL);
  waitpid(process.id, nullptr, 0);
  process.id = -1;
  process.isStopped = false;
  excuse(i);
}

void Rig::stop(std::size_t i) {
  Process& process = *processes_[i];
  if (process.id <= 0) return;
  ::kill(process.id, SIGSTOP);
  process.isStopped = true;
  excuse(i);
}

void Rig::resume(std::size_t i) {
  Process& process = *processes_[i];
  if (process.id <= 0 || !std::exchange(process.isStopped, false)) return;
  excuse(i);
  ::kill(process.id, SIGCONT);
}

bool Rig::isUp(std::size_t i) const { return processes_[i]->id > 0 && !processes_[i]->isStopped; }

int Rig::exitCode(std::size_t i) {
  Process& process = *processes_[i];
  for (int n = 0; n < 1000; ++n) {
    int how = 0;
    if (waitpid(process.id, &how, WNOHANG) == process.id) {
      process.id = -1;
      return WIFEXITED(how) ? WEXITSTATUS(how) : -2;
    }
    usleep(10'000);
  }
  return -1;
}

std::string Rig::document(std::size_t i) const {
  return contentOf(path_ + "/r" + std::to_string(i) + ".status.json");
}

std::string Rig::announced(std::size_t i) const {
  return contentOf(path_ + "/r" + std::to_string(i) + ".out.json");
}

double Rig::cpuSeconds(std::size_t i) const {
  const std::string text = contentOf("/proc/" + std::to_string(processes_[i]->id) + "/stat");
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string Rig::processor(std::size_t i) const { return processes_[i]->processor; }

std::string Rig::log(std::size_t i) const { return contentOf(path_ + "/r" + std::to_string(i) + ".log"); }

// Of each sector that differs from what was synced, one or the other is on disk; so with the length.
void Rig::tear(const std::string& file) {
  const std::string now = contentOf(file), synced = contentOf(file + ".synced");
  std::filesystem::remove(file + ".syncing");
  const std::size_t mode = options_.hasLyingDisk ? 1 : pick(4);  // all of it, nothing, any part, any part
  std::string made = mode == 0 ? now : synced;
  if (mode > 1) {
    made.resize(pick(2) ? now.size() : synced.size());
    for (std::size_t at = 0; at < made.size(); at += kSector)
      if (at < now.size() && pick(2)) made.replace(at, kSector, now.substr(at, kSector));
  }
  std::ofstream(file, std::ios::binary | std::ios::trunc) << made;
  std::ofstream(file + ".synced", std::ios::binary | std::ios::trunc) << made;
}

void Rig::losePower(const std::vector<std::size_t>& all) {
  for (const std::size_t i : all)
    if (processes_[i]->id > 0) ::kill(processes_[i]->id, SIGKILL);
  for (const std::size_t i : all) kill(i);
  for (const std::size_t i : all)
    if (processes_[i]->name == i)
      for (const char* name : {"/claims.db", "/claims.db-journal"})
        if (std::filesystem::exists(folder(i) + name) &&
            std::filesystem::exists(folder(i) + name + ".synced"))
          tear(folder(i) + name);
}

void Rig::stallClock() {
  if (options_.slowClockRouter < routers()) std::ofstream(path_ + "/stands") << "from here on\n";
}

void Rig::loseDisk(std::size_t router) {
  std::filesystem::remove_all(folder(router));
  std::filesystem::create_directory(folder(router));
}

// --- Links

void Rig::flow(std::size_t router, std::size_t voter, Flow how) {
  Relay& relay = *relays_[router * (options_.voters + options_.spareVoters) + voter];
  relay.flow = how;
  for (event_loop::Stream* stream : relay.streams) stream->wake();
}

void Rig::flowAll(Flow how) {
  for (std::size_t i = 0; i < routers(); ++i)
    for (std::size_t k = 0; k < voters(); ++k) flow(i, k, how);
}

template <typename Serve>
event_loop::Task Rig::acceptAll(event_loop::Descriptor descriptor, Serve serve) {
  event_loop::Stream listener(loop_, std::move(descriptor));
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == Io::some)
      loop_.spawn(serve(std::move(accepted)));
    else
      co_await listener.changed();
  }
}

event_loop::Task Rig::serveRelay(Relay& relay, event_loop::Descriptor descriptor) {
  if (relay.flow == Flow::cut) co_return;
  event_loop::Stream here(loop_, std::move(descriptor));
  const auto at = config::readAddress("keeper", processes_[relay.voter]->voter);
  event_loop::Stream there(loop_, event_loop::startConnecting(at.host, at.port));
  struct Listed {
    Relay& relay;
    event_loop::Stream* stream;
    Listed(Relay& r, event_loop::Stream& s) : relay(r), stream(&s) { relay.streams.push_back(stream); }
    ~Listed() { std::erase(relay.streams, stream); }
  } listed(relay, here);
  std::string out, back;
  // Both ends are looked at whenever either has changed.
  while (!there.canWrite() && !there.hungUp()) {
    if (relay.flow == Flow::cut) co_return;
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(2));
  }
  if (!event_loop::isConnected(there.descriptor())) co_return;
  for (;;) {
    if (relay.flow == Flow::cut) co_return;
    const bool ends = !readAll(here, out) || !readAll(there, back);
    if (relay.flow != Flow::blockedToVoter && !write(there, out)) co_return;
    if (relay.flow != Flow::blockedFromVoter && !write(here, back)) co_return;
    if (ends) co_return;
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(1));
  }
}

// --- The node and discovery

std::vector<std::string> Rig::ranAll() const { return inner_ ? inner_->ran() : readLog(path_ + "/node.log"); }

int Rig::ran(const std::string& id) const {
  const auto all = ranAll();
  return static_cast<int>(std::count(all.begin(), all.end(), id));
}

void Rig::startNode() {
  if (inner_ || nodeProcess_ > 0) return;
  std::cout.flush();
  const auto at = config::readAddress("node", node_);
  const pid_t parent = getpid();
  nodeProcess_ = fork();
  if (nodeProcess_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  execl(GULLTRESTLE_NODE, GULLTRESTLE_NODE, at.host.c_str(), std::to_string(at.port).c_str(),
        (path_ + "/node.log").c_str(), options_.node == Syncs::lies ? "lies" : "always",
        static_cast<char*>(nullptr));
  _exit(127);
}

void Rig::killNode() {
  if (nodeProcess_ <= 0) return;
  ::kill(nodeProcess_, SIGKILL);
  waitpid(nodeProcess_, nullptr, 0);
  nodeProcess_ = -1;
}

// Of what was not synced any part from the front is on disk, also half a line.
void Rig::losePowerOfNode() {
  killNode();
  const std::string file = path_ + "/node.log", log = contentOf(file);
  const std::string syncedText = contentOf(file + ".synced");
  const std::size_t syncedBytes = syncedText.empty() ? 0 : std::stoul(syncedText);
  const std::size_t survivingBytes = syncedBytes + pick(log.size() - syncedBytes + 1);
  std::ofstream(file, std::ios::binary | std::ios::trunc) << log.substr(0, survivingBytes);
}

void Rig::list(std::uint64_t version, const std::string& state) {
  version_ = version;
  state_ = state;
  for (event_loop::Stream* watcher : watchers_) watcher->wake();
}

event_loop::Task Rig::serveDiscovery(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(loop_, std::move(descriptor));
  struct Listed {
    std::vector<event_loop::Stream*>& all;
    event_loop::Stream* stream;
    ~Listed() { std::erase(all, stream); }
  } listed{watchers_, &stream};
  watchers_.push_back(&stream);
  std::string received, unsent;
  bool isWatching = false;
  std::uint64_t reportedVersion = 0;
  const auto body = [this](bool whole) {
    return R"({"version":)" + std::to_string(version_) + R"(,"full":)" + (whole ? "true" : "false") +
           R"(,"servers":[{"id":"p1","addr":")" + node_ + R"(","zone":"a","kind":"m","cell":1,"state":")" +
           state_ + R"(","weight":1,"started_ms":0,"part":"master"}]})";
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
      const std::string whole = body(true);
      unsent += isWatching ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole + "\n")
                           : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) +
                                 "\r\n\r\n" + whole;
      reportedVersion = version_;
    }
    if (isWatching && version_ > reportedVersion) {
      unsent += chunk(body(false) + "\n");
      reportedVersion = version_;
    }
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

// --- Clients

std::size_t Rig::sendRequest(std::size_t router, const std::string& id) {
  auto clientRequest = std::make_shared<ClientRequest>();
  clientRequest->id = id;
  clientRequest->router = router;
  clientRequest->isExcused = !isUp(router);
  clientRequests_.push_back(clientRequest);
  ++open_;
  loop_.spawn(runClientRequest(clientRequest));
  return clientRequests_.size() - 1;
}

namespace {

// Reads the messages that have come. `isReady`: the router has been ready for the first request. True: the
// request is answered.
bool takeAnswer(std::string& received, bool& isReady, ClientRequest& request) {
  std::string_view bytes = received;
  bool isAnswered = false;
  while (!isAnswered) {
    const auto message = postgres::takeMessage(bytes, kLongest);
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

event_loop::Task Rig::runClientRequest(std::shared_ptr<ClientRequest> clientRequest) {
  const Instant began = loop_.now();
  {
    const auto at = config::readAddress("front", processes_[clientRequest->router]->front);
    event_loop::Stream stream(loop_, event_loop::startConnecting(at.host, at.port));
    const Instant by = loop_.now() + kWedged;
    stream.wakeAt(by);
    std::string unsent =
        postgres::startup("worker", "catalog") +
        postgres::message('Q', "INSERT INTO objects (oid, body) VALUES ('k', '\\x9f') RETURNING body /* id=" +
                                   clientRequest->id + ",c=book-charge,t=a,d=" +
                                   std::to_string(kClientTimeoutMs) + ",cluster=1 */" + std::string(1, '\0'));
    std::string received;
    bool isConnected = false, isReady = false, isAnswered = false;
    while (!isAnswered && loop_.now() < by) {
      if (!isConnected && stream.canWrite()) {
        isConnected = event_loop::isConnected(stream.descriptor());
        if (!isConnected) {  // nobody took it
          clientRequest->isExcused = true;
          break;
        }
      }
      if (isConnected && !write(stream, unsent)) break;
      const bool on = readAll(stream, received);
      isAnswered = takeAnswer(received, isReady, *clientRequest);
      if (!on && !isAnswered) break;
      if (!isAnswered) co_await stream.changed();
    }
  }
  clientRequest->isOver = true;
  clientRequest->duration = loop_.now() - began;
  --open_;
  constexpr const char* kOutcomes[] = {"committed", "refused", "rolled back", "no answer"};
  std::ofstream(path_ + "/clients.log", std::ios::app)
      << clientRequest->id << " at r" << clientRequest->router << ": "
      << kOutcomes[static_cast<int>(clientRequest->outcome)] << (clientRequest->isExcused ? " (excused)" : "")
      << "\n";
}

// --- The verdict

std::string Rig::verdict() const {
  std::map<std::string, int> runs;
  for (const auto& id : ranAll()) ++runs[id];
  for (const auto& [id, times] : runs)
    if (times > 1) return "ran twice: " + id;
  std::map<std::string, bool> mayHaveRun;  // by an answer, or by none
  for (const auto& clientRequest : clientRequests_) {
    if (clientRequest->outcome == FinalOutcome::none && !clientRequest->isExcused)
      return "no final answer: " + clientRequest->id;
    if (clientRequest->outcome == FinalOutcome::committed && !runs.contains(clientRequest->id))
      return "told as committed and not in the node's log: " + clientRequest->id;
    if (clientRequest->outcome == FinalOutcome::committed &&
        clientRequest->value != "value of " + clientRequest->id)
      return "a wrong value: " + clientRequest->id;
    if (clientRequest->outcome != FinalOutcome::refused) mayHaveRun[clientRequest->id] = true;
  }
  for (const auto& [id, times] : runs)
    if (!mayHaveRun[id]) return "ran, and all were told that it did not: " + id;
  return crashedRouter();
}

std::string Rig::crashedRouter() const {
  for (std::size_t i = 0; i < processes_.size(); ++i)
    if (processes_[i]->id > 0 && waitpid(processes_[i]->id, nullptr, WNOHANG) == processes_[i]->id) {
      processes_[i]->id = -1;
      return "r" + std::to_string(i) + " ended by itself";
    }
  return "";
}

}  // namespace gulltrestle::fleet
