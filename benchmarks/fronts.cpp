// Benchmark that compares the cost of a decision of the external processor with a transaction over the
// PostgreSQL protocol. The program runs on one core and this benchmark on the others, connected over
// loopback. Prints one line per run: rate, CPU time per transaction, latencies. It is not a test: the results
// depend on the machine.
//
//   fronts PROGRAM [SECONDS PER RUN] [CORE OF THE PROGRAM]
#include <arpa/inet.h>
#include <sched.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "config/router_config.h"
#include "protocol/ext_proc/messages.h"
#include "protocol/grpc/server_calls.h"
#include "protocol/postgres/messages.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"
#include "testing/fake_servers/fake_node.h"

using namespace gulltrestle;

namespace {

Duration ms(std::int64_t count) { return Duration::millis(count); }

// Returns the address that a listening socket is bound to.
std::string addressOf(const event_loop::Descriptor& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}
std::string freeAddress() { return addressOf(event_loop::listenOn("127.0.0.1", 0)); }

// The program under test, as a child process that is pinned to a core.
struct Program {
  Program(const char* path, int core, const std::string& discovery)
      : postgresAddress(freeAddress()), processorAddress(freeAddress()) {
    configPrefix = "/tmp/gulltrestle-fronts-" + std::to_string(getpid());
    std::ofstream(configPrefix + ".json")
        << R"({"name":"f","listen":")" << postgresAddress << R"(","discovery":")" << discovery << R"(",
      "seed":"5eed","limits":{"cores":1.0,"memory_mb":512,"sockets":8192},"known":null,"settings":{"zone":"a",
      "round":5000,"balancers":1,"limits":{"probes":false,"cancel":true,"retryAfter":true,"maxAttempts":6,
      "maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":2000000},
      "lanes":[{"name":"look","effect":"idempotent","objective":2000000,"deadline":4000000,"worth":1}],
      "rules":{"drainGrace":1000000},"specifics":{"readLevel":["loose"],"lagAllowed":[0]}}})";
    std::ofstream(configPrefix + ".ext.json")
        << R"({"listen":")" << processorAddress << R"(","message_timeout_ms":5000,
      "limits":{"streams":4000}})";
    child = fork();
    if (child == 0) {
      cpu_set_t set;
      CPU_ZERO(&set);
      CPU_SET(static_cast<std::size_t>(core), &set);
      sched_setaffinity(0, sizeof set, &set);
      setenv("BALANCER_CONFIG", (configPrefix + ".json").c_str(), 1);
      setenv("GULLTRESTLE_EXT_PROC", (configPrefix + ".ext.json").c_str(), 1);
      if (!freopen("/dev/null", "w", stdout)) _exit(127);
      execl(path, path, static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  ~Program() {
    ::kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    unlink((configPrefix + ".json").c_str());
    unlink((configPrefix + ".ext.json").c_str());
  }
  // CPU time that the program has used so far.
  double cpuSeconds() const {
    std::ifstream file("/proc/" + std::to_string(child) + "/schedstat");
    double nanos = 0;
    file >> nanos;
    return nanos / 1e9;
  }
  // Resident memory.
  double memoryMb() const {
    std::ifstream file("/proc/" + std::to_string(child) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1024;
    return 0;
  }
  std::string postgresAddress, processorAddress, configPrefix;
  pid_t child;
};

// Load generator. With a rate, it sends transactions on a schedule (open loop); without one, each client
// sends the next transaction once the previous one is answered (closed loop). The number of clients bounds
// the transactions in flight.
struct Load {
  explicit Load(event_loop::EventLoop& eventLoop) : loop(eventLoop) {}
  event_loop::EventLoop& loop;
  double rate = 0;  // transactions per second; 0: closed loop
  bool isRunning = true;
  Instant startedAt;
  std::uint64_t started = 0, answered = 0, rejected = 0;
  std::vector<double> latencies;                             // in ms, since the scheduled time
  std::deque<std::function<void(Instant due)>> idleClients;  // each entry sends one transaction
  Instant dueAt(std::uint64_t number) const {
    return startedAt + Duration::seconds(static_cast<double>(number) / rate);
  }

  // Registers a client that can send one transaction.
  void addIdleClient(std::function<void(Instant)> send) {
    idleClients.push_back(std::move(send));
    startDue();
  }
  // Starts all transactions that are due, as long as clients are idle.
  void startDue() {
    while (isRunning && !idleClients.empty()) {
      const Instant due = rate > 0 ? dueAt(started) : loop.now();
      if (due > loop.now()) return;
      ++started;
      const auto send = std::move(idleClients.front());
      idleClients.pop_front();
      send(due);
    }
  }
  // Records an answer to the transaction that was scheduled for `due`.
  void recordAnswer(Instant due, bool committed) {
    ++answered;
    rejected += !committed;
    latencies.push_back((loop.now() - due).inSeconds() * 1000);
  }
  double percentile(double fraction) {
    if (latencies.empty()) return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                     latencies.end());
    return latencies[rank];
  }
};

// --- Transactions over the external processor.

// A proxy's HTTP/2 connection to the external processor.
struct Proxy final : http2::Handler {
  Proxy(event_loop::EventLoop& loop, Load& loadGenerator, event_loop::Descriptor descriptor)
      : load(loadGenerator),
        stream(loop, std::move(descriptor)),
        session(http2::Session::Perspective::client, {4000}, *this) {}
  // One request, as an HTTP/2 stream.
  struct Call {
    Instant due;
    std::string received;
    bool granted = false;
  };
  Load& load;
  event_loop::Stream stream;
  http2::Session session;
  std::map<http2::StreamId, Call> calls;
  std::string unsent;
  inline static std::uint64_t lastTxnNumber = 0;

  void addIdleClient() {
    load.addIdleClient([this](Instant due) { sendRequest(due); });
  }
  void sendRequest(Instant due) {
    const auto id = session.request({{":method", "POST"},
                                     {":scheme", "http"},
                                     {":path", std::string(ext_proc::kMethod)},
                                     {":authority", "p"},
                                     {"content-type", "application/grpc"},
                                     {"te", "trailers"}});
    calls[id].due = due;
    // A typical number of headers.
    session.send(
        id, grpc::framed(ext_proc::encodeRequest({ext_proc::Phase::requestHeaders,
                                                  {{":method", "GET"},
                                                   {":path", "/bookings/7f3a9c21e0b4d655"},
                                                   {":scheme", "https"},
                                                   {":authority", "bookings.example"},
                                                   {"user-agent", "driver-app/5.1"},
                                                   {"accept", "application/json"},
                                                   {"x-request-id", "0b8f6f0e-5f0e-4a52-9c39-d9c5c9c6a1f4"},
                                                   {"x-txn-id", "t" + std::to_string(++lastTxnNumber)},
                                                   {"x-txn-type", "look"},
                                                   {"x-txn-group", "1"},
                                                   {"x-txn-patience-ms", "4000"}},
                                                  false})));
  }
  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId id, std::string_view bytes) override {
    const auto found = calls.find(id);
    if (found == calls.end()) return;
    Call& call = found->second;
    call.received += bytes;
    std::string_view unread = call.received, message;
    while (grpc::takeMessage(unread, 1 << 20, message) == grpc::FrameStatus::complete) {
      const auto response = ext_proc::readResponse(message);
      if (response.isImmediate) {
        load.recordAnswer(call.due, false);
      } else if (response.phase == ext_proc::Phase::requestHeaders) {
        load.recordAnswer(call.due, true);
        session.send(id, grpc::framed(ext_proc::encodeRequest({ext_proc::Phase::responseHeaders,
                                                               {{":status", "200"},
                                                                {"content-type", "application/json"},
                                                                {"x-node-role", "replica"},
                                                                {"x-node-outcome", "committed"}},
                                                               false})));
      } else {
        session.end(id);
      }
    }
    call.received.erase(0, call.received.size() - unread.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::ErrorCode) override {
    if (calls.erase(id) > 0) addIdleClient();
  }
  void flush() {
    for (;;) {
      if (unsent.empty()) unsent = session.output();
      if (unsent.empty()) return;
      const std::string_view buffer = unsent;
      const auto result = stream.write({&buffer, 1});
      if (result.status != event_loop::IoStatus::ok) return;
      unsent.erase(0, result.size);
    }
  }
};

event_loop::Task runProxy(Proxy& proxy) {
  while (!proxy.stream.canWrite()) co_await proxy.stream.changed();
  for (;;) {
    static char bytes[256 * 1024];
    const auto result = proxy.stream.read(bytes);
    if (result.status == event_loop::IoStatus::ok)
      proxy.session.received(proxy.load.loop.now(), {bytes, result.size});
    proxy.flush();
    if (result.status != event_loop::IoStatus::ok) co_await proxy.stream.changed();
  }
}

// --- Transactions over the PostgreSQL protocol, with nodes that answer immediately.

// A connection with a receive buffer.
struct Connection {
  Connection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}
  event_loop::Stream stream;
  std::string received;
  bool isClosed = false;
  void read() {
    static char bytes[64 * 1024];
    for (;;) {
      const auto result = stream.read(bytes);
      if (result.status == event_loop::IoStatus::ok) received.append(bytes, result.size);
      if (result.status == event_loop::IoStatus::endOfStream || result.status == event_loop::IoStatus::failed)
        isClosed = true;
      if (result.status != event_loop::IoStatus::ok) return;
    }
  }
  void write(const std::string& bytes) {
    const std::string_view buffer = bytes;
    stream.write({&buffer, 1});
  }
};

// Serves a connection to a node. Every query gets the same row.
event_loop::Task runNode(event_loop::EventLoop& loop, event_loop::Descriptor descriptor) {
  Connection connection(loop, std::move(descriptor));
  static const std::string row = postgres::message('T', std::string("\0\1t\0", 4) + std::string(18, '\0')) +
                                 postgres::message('D', std::string("\0\1\0\0\0\4", 6) + "body") +
                                 postgres::message('C', std::string("SELECT 1") + '\0') +
                                 postgres::message('S', std::string("part\0replica\0", 13)) +
                                 postgres::readyForQuery();
  for (bool started = false; !connection.isClosed;) {
    connection.read();
    std::string_view unread = connection.received;
    std::string output;
    if (!started) {
      started = postgres::takeStartupMessage(unread).has_value();
      if (started) output += postgres::startupAnswer();
    }
    while (started) {
      const auto message = postgres::takeMessage(unread, 1 << 20);
      if (!message) break;
      if (message->type == 'Q')
        output +=
            message->body.size() == 1 ? postgres::emptyQueryResponse() + postgres::readyForQuery() : row;
    }
    connection.received.erase(0, connection.received.size() - unread.size());
    if (!output.empty()) connection.write(output);
    co_await connection.stream.changed();
  }
}

event_loop::Task acceptNodes(event_loop::EventLoop& loop, event_loop::Stream& listener) {
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == event_loop::IoStatus::ok)
      loop.spawn(runNode(loop, std::move(accepted)));
    else
      co_await listener.changed();
  }
}

// A client that sends one query at a time.
event_loop::Task runClient(event_loop::EventLoop& loop, Load& load, std::string address) {
  static std::uint64_t lastTxnNumber = 0;
  const auto server = config::readAddress("pg", address);
  Connection connection(loop, event_loop::startConnecting(server.host, server.port));
  while (!connection.stream.canWrite()) co_await connection.stream.changed();
  connection.write(postgres::startup("worker", "catalog"));
  Instant currentDue;
  const auto addIdleClient = [&] {
    load.addIdleClient([&](Instant due) {
      currentDue = due;
      connection.write(postgres::message(
          'Q', "SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=t" +
                   std::to_string(++lastTxnNumber) + ",c=look,t=acme,d=4000,cluster=1 */" + '\0'));
    });
  };
  while (!connection.isClosed) {
    connection.read();
    std::string_view unread = connection.received;
    bool committed = false;
    for (auto message = postgres::takeMessage(unread, 1 << 20); message;
         message = postgres::takeMessage(unread, 1 << 20)) {
      if (message->type == 'D') committed = true;
      if (message->type != 'Z') continue;
      if (currentDue != Instant()) load.recordAnswer(currentDue, committed);
      committed = false;
      addIdleClient();
    }
    connection.received.erase(0, connection.received.size() - unread.size());
    co_await connection.stream.changed();
  }
}

// Results of a run: rate in transactions per second, CPU time per transaction, latencies in ms, rejected
// fraction, memory in MB.
struct Result {
  double rate, cpuMicros, p50, p99, p999, rejectedFraction, memoryMb;
};

// Runs the program under one load. `concurrency`: maximum number of transactions in flight; `rate`:
// transactions per second, or 0 for a closed loop.
Result measure(const char* path, int core, bool throughProxy, std::size_t concurrency, double rate,
               double seconds) {
  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery(loop);
  std::vector<std::unique_ptr<event_loop::Stream>> nodes;
  for (int index = 0; index < 3; ++index) {
    event_loop::Descriptor listener = event_loop::listenOn("127.0.0.1", 0);
    const std::string name(1, static_cast<char>('a' + index));
    discovery.set({name, addressOf(listener), "up", index == 0, 1});
    nodes.push_back(std::make_unique<event_loop::Stream>(loop, std::move(listener)));
    loop.spawn(acceptNodes(loop, *nodes.back()));
  }
  Program program(path, core, discovery.address());
  Load load(loop);
  load.rate = rate;
  std::vector<std::unique_ptr<Proxy>> proxies;
  Result result{};
  const auto script = [&]() -> event_loop::Task {
    co_await loop.sleepUntil(loop.now() + ms(500));
    load.startedAt = loop.now();
    if (throughProxy) {
      const auto processor = config::readAddress("proxy", program.processorAddress);
      const std::size_t connections = std::min<std::size_t>(4, concurrency);
      for (std::size_t index = 0; index < connections; ++index) {
        proxies.push_back(
            std::make_unique<Proxy>(loop, load, event_loop::startConnecting(processor.host, processor.port)));
        for (std::size_t n = 0; n < concurrency / connections; ++n) proxies.back()->addIdleClient();
        loop.spawn(runProxy(*proxies.back()));
      }
    } else {
      for (std::size_t n = 0; n < concurrency; ++n)
        loop.spawn(runClient(loop, load, program.postgresAddress));
    }
    co_await loop.sleepUntil(loop.now() +
                             ms(1000));  // warm-up: concurrency limits and latency statistics converge
    const double cpu = program.cpuSeconds();
    const std::uint64_t answeredBefore = load.answered, rejectedBefore = load.rejected;
    load.latencies.clear();
    const Instant from = loop.now();
    co_await loop.sleepUntil(from + Duration::seconds(seconds));
    const double answered = static_cast<double>(load.answered - answeredBefore);
    result = {answered / (loop.now() - from).inSeconds(),
              (program.cpuSeconds() - cpu) * 1e6 / std::max(1.0, answered),
              load.percentile(0.5),
              load.percentile(0.99),
              load.percentile(0.999),
              static_cast<double>(load.rejected - rejectedBefore) / std::max(1.0, answered),
              program.memoryMb()};
    load.isRunning = false;
    loop.stop();
  };
  loop.spawn(script());
  loop.run(
      [&](Instant now) {
        load.startDue();
        for (auto& proxy : proxies)
          if (proxy->stream.canWrite()) proxy->flush();
        // On a schedule, the loop polls without sleeping: a wait lasts at least 1 ms, so transactions would
        // be started in bursts.
        return load.rate > 0 ? now : Instant();
      },
      [](std::exception_ptr failure) { std::rethrow_exception(failure); });
  loop.destroyTasks();
  return result;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  if (argumentCount < 2) return std::cerr << "usage: fronts PROGRAM [SECONDS PER RUN] [CORE]\n", 2;
  const double seconds = argumentCount > 2 ? std::atof(arguments[2]) : 5;
  const int core = argumentCount > 3 ? std::atoi(arguments[3]) : 0;
  std::signal(SIGPIPE, SIG_IGN);
  // Excludes the program's core for this process.
  cpu_set_t otherCores;
  sched_getaffinity(0, sizeof otherCores, &otherCores);
  CPU_CLR(static_cast<std::size_t>(core), &otherCores);
  sched_setaffinity(0, sizeof otherCores, &otherCores);
  std::cout << "front      in flight target/s  answered/s  CPU us  p50 ms  p99 ms  p99.9 ms rejected  MB\n";
  for (const std::size_t concurrency : {1, 100, 1000}) {
    // First a closed loop, which measures the maximum rate, then an open loop at half of that rate.
    for (const double fraction : {0.0, 0.5}) {
      static double maxRate[2];
      for (const bool proxy : {false, true}) {
        const double rate = fraction * maxRate[proxy];
        const Result result = measure(arguments[1], core, proxy, concurrency, rate, seconds);
        if (fraction == 0) maxRate[proxy] = result.rate;
        char line[200];
        std::snprintf(line, sizeof line, "%-10s %9zu %8s %11.0f %7.1f %7.2f %7.2f %9.2f %8.3f %5.1f\n",
                      proxy ? "processor" : "postgresql", concurrency,
                      fraction == 0 ? "max" : std::to_string(static_cast<int>(rate)).c_str(), result.rate,
                      result.cpuMicros, result.p50, result.p99, result.p999, result.rejectedFraction,
                      result.memoryMb);
        std::cout << line << std::flush;
      }
    }
  }
}
