// What a decision costs through the external processor beside a txn through the PostgreSQL front: the program
// on one core, this tool on others, on loopback. Prints a line a run: rate, CPU a txn, latencies. No test:
// its figures are of the machine it runs on.
//
//   fronts PROGRAM [SECONDS A RUN] [CORE OF THE PROGRAM]
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

Duration ms(std::int64_t n) { return Duration::millis(n); }

std::string portOf(const event_loop::Descriptor& held) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(held.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}
std::string freeAddress() { return portOf(event_loop::listenOn("127.0.0.1", 0)); }

// The program on a core of its own, and the CPU it has used.
struct Program {
  Program(const char* path, int core, const std::string& discovery)
      : pg(freeAddress()), proxy(freeAddress()) {
    base = "/tmp/gulltrestle-fronts-" + std::to_string(getpid());
    std::ofstream(base + ".json") << R"({"name":"f","listen":")" << pg << R"(","discovery":")" << discovery
                                  << R"(",
      "seed":"5eed","limits":{"cores":1.0,"memory_mb":512,"sockets":8192},"known":null,"settings":{"zone":"a",
      "round":5000,"balancers":1,"limits":{"probes":false,"cancel":true,"retryAfter":true,"maxAttempts":6,
      "maxRetryAfter":500000,"connIdle":30000000,"connectTimeout":2000000},
      "lanes":[{"name":"look","effect":"idempotent","objective":2000000,"deadline":4000000,"worth":1}],
      "rules":{"drainGrace":1000000},"specifics":{"readLevel":["loose"],"lagAllowed":[0]}}})";
    std::ofstream(base + ".ext.json") << R"({"listen":")" << proxy << R"(","message_timeout_ms":5000,
      "limits":{"streams":4000}})";
    child = fork();
    if (child == 0) {
      cpu_set_t set;
      CPU_ZERO(&set);
      CPU_SET(static_cast<std::size_t>(core), &set);
      sched_setaffinity(0, sizeof set, &set);
      setenv("BALANCER_CONFIG", (base + ".json").c_str(), 1);
      setenv("GULLTRESTLE_EXT_PROC", (base + ".ext.json").c_str(), 1);
      if (!freopen("/dev/null", "w", stdout)) _exit(127);
      execl(path, path, static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  ~Program() {
    ::kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    unlink((base + ".json").c_str());
    unlink((base + ".ext.json").c_str());
  }
  double cpuSeconds() const {
    std::ifstream file("/proc/" + std::to_string(child) + "/schedstat");
    double nanos = 0;
    file >> nanos;
    return nanos / 1e9;
  }
  double memoryMb() const {
    std::ifstream file("/proc/" + std::to_string(child) + "/status");
    for (std::string line; std::getline(file, line);)
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / 1024;
    return 0;
  }
  std::string pg, proxy, base;
  pid_t child;
};

// Txns that are asked for by schedule or, without a rate, as fast as they are answered; so many at a time.
struct Load {
  explicit Load(event_loop::EventLoop& onLoop) : loop(onLoop) {}
  event_loop::EventLoop& loop;
  double rate = 0;  // a second; 0: as fast as they are answered
  bool on = true;
  Instant begunAt;
  std::uint64_t due = 0, answered = 0, refused = 0;
  std::vector<double> latencies;                      // ms, from when it was due
  std::deque<std::function<void(Instant due)>> free;  // whoever can ask
  Instant dueAt(std::uint64_t n) const { return begunAt + Duration::seconds(static_cast<double>(n) / rate); }

  void ready(std::function<void(Instant)> ask) {
    free.push_back(std::move(ask));
    start();
  }
  void start() {
    while (on && !free.empty()) {
      const Instant at = rate > 0 ? dueAt(due) : loop.now();
      if (at > loop.now()) return;
      ++due;
      const auto ask = std::move(free.front());
      free.pop_front();
      ask(at);
    }
  }
  void done(Instant at, bool committed) {
    ++answered;
    refused += !committed;
    latencies.push_back((loop.now() - at).inSeconds() * 1000);
  }
  double percentile(double part) {
    if (latencies.empty()) return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(at), latencies.end());
    return latencies[at];
  }
};

// --- Through the external processor.

struct Proxy final : http2::Handler {
  Proxy(event_loop::EventLoop& loop, Load& toLoad, event_loop::Descriptor descriptor)
      : load(toLoad),
        stream(loop, std::move(descriptor)),
        session(http2::Session::Side::client, {4000}, *this) {}
  struct Call {
    Instant at;
    std::string kept;
    bool granted = false;
  };
  Load& load;
  event_loop::Stream stream;
  http2::Session session;
  std::map<http2::StreamId, Call> calls;
  std::string unsent;
  inline static std::uint64_t last = 0;

  void slot() {
    load.ready([this](Instant at) { ask(at); });
  }
  void ask(Instant at) {
    const auto id = session.request({{":method", "POST"},
                                     {":scheme", "http"},
                                     {":path", std::string(ext_proc::kMethod)},
                                     {":authority", "p"},
                                     {"content-type", "application/grpc"},
                                     {"te", "trailers"}});
    calls[id].at = at;
    // As many headers as a request commonly has.
    session.send(id,
                 grpc::framed(ext_proc::request({ext_proc::Phase::requestHeaders,
                                                 {{":method", "GET"},
                                                  {":path", "/bookings/7f3a9c21e0b4d655"},
                                                  {":scheme", "https"},
                                                  {":authority", "bookings.example"},
                                                  {"user-agent", "driver-app/5.1"},
                                                  {"accept", "application/json"},
                                                  {"x-request-id", "0b8f6f0e-5f0e-4a52-9c39-d9c5c9c6a1f4"},
                                                  {"x-txn-id", "t" + std::to_string(++last)},
                                                  {"x-txn-type", "look"},
                                                  {"x-txn-group", "1"},
                                                  {"x-txn-patience-ms", "4000"}},
                                                 false})));
  }
  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId id, std::string_view bytes) override {
    const auto at = calls.find(id);
    if (at == calls.end()) return;
    Call& call = at->second;
    call.kept += bytes;
    std::string_view left = call.kept, message;
    while (grpc::takeMessage(left, 1 << 20, message) == grpc::FrameStatus::complete) {
      const auto told = ext_proc::readResponse(message);
      if (told.isImmediate) {
        load.done(call.at, false);
      } else if (told.phase == ext_proc::Phase::requestHeaders) {
        load.done(call.at, true);
        session.send(id, grpc::framed(ext_proc::request({ext_proc::Phase::responseHeaders,
                                                         {{":status", "200"},
                                                          {"content-type", "application/json"},
                                                          {"x-node-role", "replica"},
                                                          {"x-node-outcome", "committed"}},
                                                         false})));
      } else {
        session.end(id);
      }
    }
    call.kept.erase(0, call.kept.size() - left.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::ErrorCode) override {
    if (calls.erase(id) > 0) slot();
  }
  void flush() {
    for (;;) {
      if (unsent.empty()) unsent = session.output();
      if (unsent.empty()) return;
      const std::string_view all = unsent;
      const auto done = stream.write({&all, 1});
      if (done.status != event_loop::Io::some) return;
      unsent.erase(0, done.size);
    }
  }
};

event_loop::Task runProxy(Proxy& proxy) {
  while (!proxy.stream.canWrite()) co_await proxy.stream.changed();
  for (;;) {
    static char bytes[256 * 1024];
    const auto got = proxy.stream.read(bytes);
    if (got.status == event_loop::Io::some) proxy.session.received(proxy.load.loop.now(), {bytes, got.size});
    proxy.flush();
    if (got.status != event_loop::Io::some) co_await proxy.stream.changed();
  }
}

// --- Through the PostgreSQL front, with nodes that answer at once.

struct Wire {
  Wire(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}
  event_loop::Stream stream;
  std::string kept;
  bool over = false;
  void read() {
    static char bytes[64 * 1024];
    for (;;) {
      const auto got = stream.read(bytes);
      if (got.status == event_loop::Io::some) kept.append(bytes, got.size);
      if (got.status == event_loop::Io::ended || got.status == event_loop::Io::failed) over = true;
      if (got.status != event_loop::Io::some) return;
    }
  }
  void write(const std::string& bytes) {
    const std::string_view all = bytes;
    stream.write({&all, 1});
  }
};

event_loop::Task runNode(event_loop::EventLoop& loop, event_loop::Descriptor descriptor) {
  Wire wire(loop, std::move(descriptor));
  static const std::string row = postgres::message('T', std::string("\0\1t\0", 4) + std::string(18, '\0')) +
                                 postgres::message('D', std::string("\0\1\0\0\0\4", 6) + "body") +
                                 postgres::message('C', std::string("SELECT 1") + '\0') +
                                 postgres::message('S', std::string("part\0replica\0", 13)) +
                                 postgres::readyForQuery();
  for (bool begun = false; !wire.over;) {
    wire.read();
    std::string_view left = wire.kept;
    std::string out;
    if (!begun) {
      begun = postgres::takeOpening(left).has_value();
      if (begun) out += postgres::welcome();
    }
    while (begun) {
      const auto message = postgres::takeMessage(left, 1 << 20);
      if (!message) break;
      if (message->type == 'Q')
        out += message->body.size() == 1 ? postgres::emptyQueryResponse() + postgres::readyForQuery() : row;
    }
    wire.kept.erase(0, wire.kept.size() - left.size());
    if (!out.empty()) wire.write(out);
    co_await wire.stream.changed();
  }
}

event_loop::Task acceptNodes(event_loop::EventLoop& loop, event_loop::Stream& listener) {
  for (;;) {
    event_loop::Descriptor taken;
    if (listener.accept(taken) == event_loop::Io::some)
      loop.spawn(runNode(loop, std::move(taken)));
    else
      co_await listener.changed();
  }
}

event_loop::Task runClient(event_loop::EventLoop& loop, Load& load, std::string address) {
  static std::uint64_t last = 0;
  const auto to = config::readAddress("pg", address);
  Wire wire(loop, event_loop::startConnecting(to.host, to.port));
  while (!wire.stream.canWrite()) co_await wire.stream.changed();
  wire.write(postgres::startup("worker", "catalog"));
  Instant at;
  const auto slot = [&] {
    load.ready([&](Instant due) {
      at = due;
      wire.write(postgres::message('Q', "SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655' /* id=t" +
                                            std::to_string(++last) + ",c=look,t=acme,d=4000,cluster=1 */" +
                                            '\0'));
    });
  };
  while (!wire.over) {
    wire.read();
    std::string_view left = wire.kept;
    bool committed = false;
    for (auto message = postgres::takeMessage(left, 1 << 20); message;
         message = postgres::takeMessage(left, 1 << 20)) {
      if (message->type == 'D') committed = true;
      if (message->type != 'Z') continue;
      if (at != Instant()) load.done(at, committed);
      committed = false;
      slot();
    }
    wire.kept.erase(0, wire.kept.size() - left.size());
    co_await wire.stream.changed();
  }
}

struct Result {
  double rate, cpuMicros, p50, p99, p999, refused, memory;
};

Result measure(const char* path, int core, bool throughProxy, std::size_t atATime, double rate,
               double seconds) {
  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery(loop);
  std::vector<std::unique_ptr<event_loop::Stream>> nodes;
  for (int i = 0; i < 3; ++i) {
    event_loop::Descriptor listener = event_loop::listenOn("127.0.0.1", 0);
    const std::string name(1, static_cast<char>('a' + i));
    discovery.set({name, portOf(listener), "up", i == 0, 1});
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
    load.begunAt = loop.now();
    if (throughProxy) {
      const auto to = config::readAddress("proxy", program.proxy);
      const std::size_t links = std::min<std::size_t>(4, atATime);
      for (std::size_t i = 0; i < links; ++i) {
        proxies.push_back(std::make_unique<Proxy>(loop, load, event_loop::startConnecting(to.host, to.port)));
        for (std::size_t n = 0; n < atATime / links; ++n) proxies.back()->slot();
        loop.spawn(runProxy(*proxies.back()));
      }
    } else {
      for (std::size_t n = 0; n < atATime; ++n) loop.spawn(runClient(loop, load, program.pg));
    }
    co_await loop.sleepUntil(loop.now() + ms(1000));  // places and latencies settle
    const double cpu = program.cpuSeconds();
    const std::uint64_t before = load.answered, refused = load.refused;
    load.latencies.clear();
    const Instant from = loop.now();
    co_await loop.sleepUntil(from + Duration::seconds(seconds));
    const double done = static_cast<double>(load.answered - before);
    result = {done / (loop.now() - from).inSeconds(),
              (program.cpuSeconds() - cpu) * 1e6 / std::max(1.0, done),
              load.percentile(0.5),
              load.percentile(0.99),
              load.percentile(0.999),
              static_cast<double>(load.refused - refused) / std::max(1.0, done),
              program.memoryMb()};
    load.on = false;
    loop.stop();
  };
  loop.spawn(script());
  loop.run(
      [&](Instant now) {
        load.start();
        for (auto& proxy : proxies)
          if (proxy->stream.canWrite()) proxy->flush();
        // By schedule it never sleeps: a wait is a whole millisecond at least, which would bunch what is due.
        return load.rate > 0 ? now : Instant();
      },
      [](std::exception_ptr failure) { std::rethrow_exception(failure); });
  loop.endTasks();
  return result;
}

}  // namespace

int main(int count, char** words) {
  if (count < 2) return std::cerr << "fronts PROGRAM [SECONDS A RUN] [CORE]\n", 2;
  const double seconds = count > 2 ? std::atof(words[2]) : 5;
  const int core = count > 3 ? std::atoi(words[3]) : 0;
  std::signal(SIGPIPE, SIG_IGN);
  // The tool keeps off the program's core.
  cpu_set_t others;
  sched_getaffinity(0, sizeof others, &others);
  CPU_CLR(static_cast<std::size_t>(core), &others);
  sched_setaffinity(0, sizeof others, &others);
  std::cout << "front      at a time  asked/s  answered/s  CPU us  p50 ms  p99 ms  p99.9 ms  refused  MB\n";
  for (const std::size_t atATime : {1, 100, 1000}) {
    for (const double part : {0.0, 0.5}) {
      static double full[2];
      for (const bool proxy : {false, true}) {
        const double rate = part * full[proxy];
        const Result r = measure(words[1], core, proxy, atATime, rate, seconds);
        if (part == 0) full[proxy] = r.rate;
        char line[200];
        std::snprintf(line, sizeof line, "%-10s %9zu %8s %11.0f %7.1f %7.2f %7.2f %9.2f %8.3f %5.1f\n",
                      proxy ? "processor" : "postgresql", atATime,
                      part == 0 ? "full" : std::to_string(static_cast<int>(rate)).c_str(), r.rate,
                      r.cpuMicros, r.p50, r.p99, r.p999, r.refused, r.memory);
        std::cout << line << std::flush;
      }
    }
  }
}
