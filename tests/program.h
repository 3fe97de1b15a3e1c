// Runs the program as a child process that a test can suspend while it prepares events: once resumed, the
// program finds all of them in one turn of its event loop, in the order in which they were prepared. Also a
// fake node whose greetings and answers wait for the test.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <set>

#include "child.h"
#include "peers.h"

namespace gulltrestle::testing {

// Far longer than any event takes. A wait that exceeds it prints a line, so the test's output differs.
inline constexpr auto kEventTimeout = std::chrono::seconds(30);

using Clock = std::chrono::steady_clock;

// Sleeps until this time has passed.
inline void sleepUntil(Clock::time_point at) {
  while (Clock::now() < at) pause(1);
}

// The program with a configuration file of its own. The destructor shuts it down and prints its exit code.
class Program {
 public:
  // `connectTimeoutMs`: the timeout of connection attempts to nodes.
  // `earlySignal`: a signal sent while the program reads its configuration, before anything else; 0: none.
  // `extraSettings`: settings added to the default ones. `allowedActions`: the optional actions that the
  // limits allow. `environment`: variables added to the one that names the configuration file.
  Program(unsigned short discovery, const std::string& known, int connectTimeoutMs = 250,
          int descriptors = 256, int earlySignal = 0, std::string extraSettings = "",
          std::string allowedActions = R"("probes":true,"cancel":true)",
          std::vector<std::string> environment = {})
      : connectTimeoutMs_(connectTimeoutMs),
        descriptors_(descriptors),
        extraSettings_(std::move(extraSettings)),
        allowedActions_(std::move(allowedActions)),
        file_("crossings-" + std::to_string(getpid()) + "-" + std::to_string(port_.number()) + ".json") {
    if (earlySignal != 0) mkfifo(file_.c_str(), 0600);
    if (earlySignal == 0) configure(discovery, known);
    environment.push_back("BALANCER_CONFIG=" + file_);
    child_ = std::make_unique<Child>(std::move(environment), false);
    if (earlySignal != 0) {
      // open() blocks until the program has opened the pipe, which then waits for the text. A later reload
      // of the configuration finds a regular file.
      const Descriptor pipe(::open(file_.c_str(), O_WRONLY | O_CLOEXEC));
      signal(earlySignal);
      const std::string name = std::exchange(file_, file_ + ".plain");
      configure(discovery, known);
      std::ifstream plain(file_);
      const std::string text(std::istreambuf_iterator<char>(plain), {});
      rename(file_.c_str(), name.c_str());
      file_ = name;
      if (::write(pipe.number(), text.data(), text.size()) < 0)
        std::cout << "the program closed its configuration file before reading it\n";
    }
    waitForLine("listens on");
  }
  ~Program() {
    if (child_) std::cout << "exit code " << end() << "\n";
    unlink(file_.c_str());
  }

  // Writes the configuration file.
  void configure(unsigned short discovery, const std::string& known) {
    std::ofstream(file_)
        << R"({"name":"n","listen":"127.0.0.1:)" << port_.number() << R"(","discovery":"127.0.0.1:)"
        << discovery << R"(","seed":"7","limits":{"memory_mb":64,"sockets":)" << descriptors_
        << R"(},"known":)" << known << R"(,"settings":{)" << extraSettings_
        << R"("zone":"a","round":5000,"limits":{)" << allowedActions_ << R"(,"maxAttempts":3,)"
        << R"("connectTimeout":)" << connectTimeoutMs_ << R"(000},"lanes":[)"
        << R"({"name":"read","effect":"idempotent","objective":30000000,"deadline":60000000},)"
        << R"({"name":"write","effect":"at_most_once","objective":30000000,"deadline":60000000},)"
        << R"({"name":"any","effect":"idempotent","objective":30000000,"deadline":60000000},)"
        << R"({"name":"known","effect":"deduplicated","group":"all","window":400000,"objective":30000000,)"
        << R"("deadline":60000000}],"specifics":{"readLevel":["latest","update","loose","update"],)"
        << R"("lagAllowed":[0,0,0,0]}}})";
  }
  unsigned short port() const { return port_.number(); }
  // Connects a client that has completed its startup.
  Peer client() const {
    Peer peer = Peer::to(port());
    peer.send(postgres::startup("worker", "catalog"));
    peer.answer();
    return peer;
  }

  // Sets the program's limit of open descriptors. Descriptors that are already open stay open.
  void limitDescriptors(rlim_t descriptors) {
    const rlimit limit{descriptors, 4096};
    prlimit(child_->id(), RLIMIT_NOFILE, &limit, nullptr);
  }
  void signal(int number) { child_->signal(number); }
  // Suspends the program; all its threads are stopped when this returns.
  void suspend() { child_->suspend(); }
  void resume() { signal(SIGCONT); }
  // Waits until the program has handled all earlier events: sends an empty query and reads its answer, twice,
  // because what the program writes may cause further events.
  void waitUntilIdle() {
    Peer prober = client();
    for (int i = 0; i < 2; ++i) prober.send(query("")), prober.answer();
  }
  // Waits for a log line that contains this text.
  bool waitForLine(const std::string& text) { return child_->waitForLine(text); }
  // Shuts the program down and counts all its log lines that contain this text.
  std::ptrdiff_t countLines(const std::string& text) {
    signal(SIGTERM);
    waitForLine("no line has this");
    const auto& lines = child_->lines();
    return std::count_if(lines.begin(), lines.end(),
                         [&](const std::string& line) { return line.find(text) != std::string::npos; });
  }
  // Shuts the program down and returns its exit code.
  int end() {
    signal(SIGTERM);
    const int code = child_->wait();
    child_.reset();
    return code;
  }

 private:
  Port port_;
  int connectTimeoutMs_, descriptors_;
  std::string extraSettings_, allowedActions_;
  std::string file_;
  std::unique_ptr<Child> child_;
};

// A file that turns the log lines about transactions and connections on.
class LogSettings {
 public:
  LogSettings() : file_("crossings-" + std::to_string(getpid()) + ".log.json") {
    std::ofstream(file_) << R"({"txns":true})";
  }
  LogSettings(const LogSettings&) = delete;
  LogSettings& operator=(const LogSettings&) = delete;
  ~LogSettings() { unlink(file_.c_str()); }
  // The setting for the program's environment, as NAME=value.
  std::string variable() const { return "GULLTRESTLE_LOGGING=" + file_; }

 private:
  std::string file_;
};

// Named events that threads signal and wait for.
class Events {
 public:
  void signal(const std::string& event) {
    const std::lock_guard lock(mutex_);
    signalled_.push_back(event);
    changed_.notify_all();
  }
  // Waits until the event was signalled this many times. Prints a line on a timeout.
  void waitFor(const std::string& event, std::ptrdiff_t times = 1) {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, kEventTimeout, [&] { return count(event) >= times; }))
      std::cout << "'" << event << "' was not signalled before the timeout\n";
  }
  bool has(const std::string& event) {
    const std::lock_guard lock(mutex_);
    return count(event) > 0;
  }

 private:
  std::ptrdiff_t count(const std::string& event) const {
    return std::count(signalled_.begin(), signalled_.end(), event);
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> signalled_;
};

// A fake primary. It signals `connection`, `greeted`, `idle` (an empty query was answered), `received KEY`
// and `answered KEY`. It answers a statement for a KEY in `waits` only after releaseAnswer(KEY), and greets
// connections beyond the first `greeted` only after the event `greet`. If `waits` contains the key `breaks`,
// the node resets the connection in place of an answer to it and signals `broke`; it closes the connection
// after the answer to the key `closes`.
class FakeNode {
 public:
  // Connections beyond the first `read` are read only after the event `read`; `receiveBufferBytes` limits
  // what the kernel buffers for them before.
  explicit FakeNode(std::set<std::string> waits = {}, std::size_t greeted = 1 << 20,
                    std::size_t read = 1 << 20, int receiveBufferBytes = 0)
      : waits_(std::move(waits)),
        greeted_(greeted),
        read_(read),
        server_([this](Peer& peer) { serve(peer); }, receiveBufferBytes) {}

  Events events;
  unsigned short port() const { return server_.port(); }
  const FakeServer& server() const { return server_; }
  // From now on, it reports that it is a replica.
  void becomeReplica() { isReplica_ = true; }
  // From now on, the values of its answers have this many bytes more.
  void padValues(std::size_t bytes) { paddingBytes_ = bytes; }
  void releaseAnswer(const std::string& key) { events.signal("release " + key); }
  // The keys of all received statements in order, or "nothing".
  std::string receivedKeys() {
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& key : keys_) out += (out.empty() ? "" : " ") + key;
    return out.empty() ? "nothing" : out;
  }
  // The remaining time that the last statement for this key carried; 0 if none was received.
  int remainingTimeMs(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return remainingTimesMs_[key];
  }
  std::size_t connections() {
    const std::lock_guard lock(mutex_);
    return peers_.size();
  }
  // Sends these bytes on each open, idle connection, or closes its sending direction if they are empty.
  void sendAll(std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    for (Peer* peer : peers_)
      if (peer) bytes.empty() ? peer->closeSending() : (peer->send(bytes), peer->waitUntilDelivered());
  }

 private:
  void serve(Peer& peer) {
    std::size_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      number = peers_.size();
      peers_.push_back(&peer);
    }
    peer.startup();
    events.signal("connection");
    if (number >= greeted_) events.waitFor("greet");
    peer.send(postgres::startupAnswer());
    peer.waitUntilDelivered();
    events.signal("greeted");
    if (number >= read_) events.waitFor("read");
    while (answer(peer)) {}
    const std::lock_guard lock(mutex_);
    peers_[number] = nullptr;
  }
  bool answer(Peer& peer) {
    const auto [type, body] = peer.message();
    if (type != 'Q') return false;
    if (body.size() == 1) {
      peer.send(postgres::emptyQueryResponse() + postgres::readyForQuery());
      events.signal("idle");
      return true;
    }
    if (body.starts_with("SHOW")) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      peer.send(row("x0=" + std::to_string(std::chrono::duration<double>(now).count()) +
                    (isReplica_ ? ",x1=0" : ",x1=1")));
      return true;
    }
    const auto quote = body.find('\'');
    const auto first = body.starts_with("INSERT") ? body.find("('", quote - 1) + 1 : quote;
    const auto key = body.substr(first + 1, body.find('\'', first + 1) - first - 1);
    bool isRepeated = false;
    {
      const std::lock_guard lock(mutex_);
      isRepeated = std::count(keys_.begin(), keys_.end(), key) > 0;
      keys_.push_back(key);
      remainingTimesMs_[key] = std::stoi(body.substr(body.find(",d=") + 3));
    }
    events.signal("received " + key);
    if (waits_.contains(key)) events.waitFor("release " + key);
    if (key == "breaks" && waits_.contains(key)) {
      peer.reset();
      events.signal("broke");
      return false;
    }
    const std::string all = row("v-" + key + std::string(paddingBytes_, 'x'),
                                isReplica_ ? postgres::message('S', std::string("part\0replica\0", 13)) : "");
    // The first time each, `cut-N` gets N bytes of its answer and the end of the stream, and `stall-N` gets N
    // bytes and nothing further.
    const auto dash = key.find('-');
    if (isRepeated || (!key.starts_with("cut-") && !key.starts_with("stall-"))) {
      peer.send(all);
      peer.waitUntilDelivered();
      if (key == "closes") peer.close();
      events.signal("answered " + key);
      return key != "closes";
    }
    peer.send(all.substr(0, std::stoul(key.substr(dash + 1))));
    return key[0] == 's';
  }

  std::set<std::string> waits_;
  std::size_t greeted_, read_;
  std::atomic<bool> isReplica_ = false;
  std::atomic<std::size_t> paddingBytes_ = 0;
  std::mutex mutex_;
  std::vector<Peer*> peers_;
  std::vector<std::string> keys_;
  std::map<std::string, int> remainingTimesMs_;
  FakeServer server_;  // last: its threads use the other members
};

}  // namespace gulltrestle::testing
