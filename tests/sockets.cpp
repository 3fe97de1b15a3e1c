// The whole router on loopback sockets, between a client, a node and a discovery that stand in for real ones.
// Run as `sockets CASE`: prints what each side saw.
#include "loop/sockets.h"

#include <arpa/inet.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "pg/messages.h"
#include "server/server.h"

using namespace gulltrestle;
using loop::Descriptor;

namespace {

constexpr const char* kHost = "127.0.0.1";

unsigned short portOf(const Descriptor& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// One end of a connection, which waits for what it reads; an end of the other side reads as nothing.
class Peer {
 public:
  explicit Peer(Descriptor descriptor) : descriptor_(std::move(descriptor)) {}
  static Peer to(unsigned short port) {
    Descriptor made = loop::startConnecting(kHost, port);
    pollfd up{made.number(), POLLOUT, 0};
    poll(&up, 1, 10000);
    return Peer(std::move(made));
  }

  void send(std::string_view bytes, std::size_t piece = 1 << 20) {
    while (!bytes.empty()) {
      const auto part = bytes.substr(0, piece);
      const auto done = loop::writeFrom(descriptor_.number(), {&part, 1});
      if (done.how == loop::Io::failed) return;
      bytes.remove_prefix(done.size);
      if (done.how == loop::Io::wouldBlock) wait(POLLOUT);
    }
  }
  void sendsNoMore() { shutdown(descriptor_.number(), SHUT_WR); }
  bool readMore() {
    char bytes[700];
    for (;;) {
      const auto got = loop::readInto(descriptor_.number(), bytes);
      if (got.how == loop::Io::some) kept_.append(bytes, got.size);
      if (got.how != loop::Io::wouldBlock) return got.how == loop::Io::some;
      if (!wait(POLLIN)) return false;
    }
  }
  std::string line() {
    while (kept_.find('\n') == std::string::npos)
      if (!readMore()) return "";
    const auto made = kept_.substr(0, kept_.find('\n'));
    kept_.erase(0, made.size() + 1);
    return made;
  }
  // The next message; its type is 0 at the end.
  std::pair<char, std::string> message() {
    for (;;) {
      std::string_view bytes = kept_;
      if (const auto found = pg::takeMessage(bytes, 1 << 20)) {
        const std::pair made(found->type, std::string(found->body));
        kept_.erase(0, kept_.size() - bytes.size());
        return made;
      }
      if (!readMore()) return {0, ""};
    }
  }
  void startup() {
    while (kept_.size() < 4 && readMore()) {}
    std::string_view bytes = kept_;
    while (!pg::takeOpening(bytes) && readMore()) bytes = kept_;
    kept_.erase(0, kept_.size() - bytes.size());
  }
  // All messages up to the next ReadyForQuery or the end, in short.
  std::string answer() {
    std::string out;
    for (;;) {
      const auto [type, body] = message();
      if (type == 0) return out + "end";
      if (type == 'E')
        out += "E(" + std::string(pg::readError(body).code) + ") ";
      else if (type == 'D')
        out += "D(" + std::to_string(body.size() - 6) + " bytes) ";
      else if (type != 'R' && type != 'S' && type != 'K')
        out += std::string(1, type) + " ";
      if (type == 'Z') return out;
    }
  }

 private:
  bool wait(short what) {
    pollfd ready{descriptor_.number(), what, 0};
    return poll(&ready, 1, 10000) > 0;  // far more than anything here takes
  }
  Descriptor descriptor_;
  std::string kept_;
};

// Accepts connections and serves each on a thread of its own until it is destroyed.
class Side {
 public:
  explicit Side(std::function<void(Peer&)> serve)
      : listener_(loop::listenOn(kHost, 0)), accepting_([this, serve](std::stop_token stop) {
          while (!stop.stop_requested()) {
            Descriptor taken;
            if (loop::accept(listener_.number(), taken) == loop::Io::some) {
              serving_.emplace_back(
                  [serve, peer = std::make_shared<Peer>(std::move(taken))] { serve(*peer); });
            } else {
              pollfd ready{listener_.number(), POLLIN, 0};
              poll(&ready, 1, 20);
            }
          }
        }) {}
  unsigned short port() const { return portOf(listener_); }

 private:
  Descriptor listener_;
  std::vector<std::jthread> serving_;
  std::jthread accepting_;
};

std::string row(std::string_view value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return pg::message('T', std::string("\0\1t\0", 4) + std::string(18, '\0')) +
         pg::message('D', body + std::string(value)) + pg::message('C', std::string("SELECT 1") + '\0') +
         pg::readyForQuery();
}

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

std::atomic<bool> slowBegun = false, begun = false, calledOff = false;

// A node: a probe is told that it is a current primary; a write gets back as many bytes as it brought; a read
// of `slow` takes 700 ms, one of `cut` is cut off, of `huge` gets 64 KiB.
void node(Peer& peer) {
  peer.startup();
  peer.send(pg::welcome());
  for (;;) {
    const auto [type, body] = peer.message();
    if (type != 'Q') return;
    if (body.size() == 1) {
      peer.send(pg::emptyQueryResponse() + pg::readyForQuery());
      continue;
    }
    if (body.starts_with("SHOW")) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      peer.send(row("x0=" + std::to_string(std::chrono::duration<double>(now).count()) + ",x1=1"));
      continue;
    }
    if (body.find("'slow'") != std::string::npos) {
      slowBegun = true;
      slowBegun.notify_all();
      pause(700);
    }
    if (body.find("'until-the-end'") != std::string::npos) {
      begun = true;
      begun.notify_all();
      calledOff = !peer.readMore();
      calledOff.notify_all();
      return;
    }
    if (body.find("'cut'") != std::string::npos) {
      peer.send(row(std::string(5000, 'x')).substr(0, 3000));
      return;
    }
    const auto hex = body.find("'\\x");
    const auto size = body.starts_with("INSERT") ? (body.find("')", hex) - hex - 3) / 2 : 65536;
    peer.send(row(
        std::string(body.find("'huge'") != std::string::npos || hex != std::string::npos ? size : 4, 'v')));
  }
}

std::string entry(const Side& at, const std::string& id, const std::string& state) {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + std::to_string(at.port()) +
         R"(","zone":"a","cell":1,"state":")" + state + R"(","part":"master","started_ms":0})";
}
std::string list(int version, const std::string& entries, bool whole = true) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (whole ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}";
}
std::string http(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string pathOf(Peer& peer) {
  const auto first = peer.line();
  while (peer.line().size() > 1) {}
  return first.substr(0, first.rfind(' '));
}
// A discovery that has nothing to add to what the configuration knows.
void silentDiscovery(Peer& peer) { pathOf(peer), peer.readMore(); }

// The router, from its start to its end by SIGTERM.
class Running {
 public:
  Running(const Side& discovery, const std::string& known, int descriptors = 256)
      : port_(portOf(loop::listenOn(kHost, 0))), thread_([this, file = text(discovery, known, descriptors)] {
          server::Server server(startup::readStart(file));
          up_ = true;
          up_.notify_all();
          server.run();
        }) {
    up_.wait(false);
  }
  ~Running() {
    end();
    std::cout << "the router has ended\n";
  }
  void end() {
    if (!thread_.joinable()) return;
    kill(getpid(), SIGTERM);
    thread_.join();
  }
  unsigned short port() const { return port_; }
  Peer client() const {
    Peer made = Peer::to(port_);
    made.send(pg::startup("worker", "catalog"));
    made.answer();
    return made;
  }
  std::string text(const Side& discovery, const std::string& known, int descriptors = 256) const {
    return R"({"name":"n","listen":"127.0.0.1:)" + std::to_string(port_) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery.port()) + R"(","seed":"7","limits":{"memory_mb":64,"sockets":)" +
           std::to_string(descriptors) + R"(},"known":)" + known +
           R"(,"settings":{"zone":"a","round":5000,"limits":{"probes":true,"cancel":true,"maxAttempts":3},"lanes":[)"
           R"({"name":"read","effect":"idempotent","objective":4000000,"deadline":9000000},)"
           R"({"name":"write","effect":"at_most_once","objective":4000000,"deadline":9000000}],)"
           R"("specifics":{"readLevel":["latest","update"],"lagAllowed":[0,0]}}})";
  }

 private:
  unsigned short port_;
  std::atomic<bool> up_ = false;
  std::jthread thread_;
};

std::string query(std::string_view text) { return pg::message('Q', std::string(text) + '\0'); }
std::string nextId() {
  static std::atomic<int> last = 0;
  return "id=" + std::to_string(++last);
}
std::string read(const std::string& key, int wait = 9000) {
  return query("SELECT body FROM objects WHERE oid = '" + key + "' /* " + nextId() +
               ",c=read,d=" + std::to_string(wait) + ",cluster=1 */");
}
std::string write(std::size_t bytes, const std::string& key = "k") {
  return query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + std::string(2 * bytes, '7') +
               "') RETURNING body /* " + nextId() + ",c=write,d=9000,cluster=1 */");
}

void values() {
  Side nodes(node), discovery(silentDiscovery);
  Running router(discovery, list(1, entry(nodes, "s-1", "up")));
  Peer client = router.client();
  client.send(query("") + read("k") + read("huge"));
  std::cout << client.answer() << "\n" << client.answer() << "\n" << client.answer() << "\n";
  client.send(write(65536), 1000);
  std::cout << client.answer() << "\n";
  std::cout << "many that are read late\n";
  std::string many;
  for (int i = 0; i < 100; ++i) many += read("huge");
  std::jthread sending([&] { client.send(many); });
  pause(200);
  int whole = 0;
  for (int i = 0; i < 100; ++i) whole += client.answer() == "T D(65536 bytes) C Z ";
  std::cout << whole << " whole values\n";
  sending.join();
  std::cout << "cut off by the node: the read has no more tries, the write may have run\n";
  client.send(read("cut") + write(1, "cut"));
  std::cout << client.answer() << "\n" << client.answer() << "\n";
  std::cout << "half closed while it waits, then nonsense\n";
  client.send(read("slow"));
  client.sendsNoMore();
  std::cout << client.answer() << client.answer() << "\n";
  std::cout << "closed while it waits: the node sees that nobody waits any more\n";
  {
    Peer leaving = router.client();
    leaving.send(read("until-the-end", 60000));
    begun.wait(false);
  }
  calledOff.wait(false);
  Peer other = router.client();
  other.send("nonsense that is no message");
  std::cout << other.answer() << "\n";
}

void crowd() {
  Side nodes(node), discovery(silentDiscovery);
  Running router(discovery, list(1, entry(nodes, "s-1", "up")), 64);
  std::vector<Peer> clients;
  int answered = 0;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(router.client());
    clients.back().send(query(""));
    answered += clients.back().answer() == "I Z ";
  }
  std::cout << answered << " clients were answered, one after the other, and stayed\n";
  std::vector<Peer> busy;
  int committed = 0, declined = 0;
  for (int i = 0; i < 60; ++i) {
    busy.push_back(Peer::to(router.port()));
    busy.back().send(pg::startup("worker", "catalog") + read("slow"));
  }
  for (Peer& one : busy) {
    auto said = one.answer();
    if (said == "Z ") said = one.answer();
    committed += said == "T D(4 bytes) C Z ";
    declined += said.starts_with("E(53300)");
  }
  std::cout << committed + declined
            << " that came together were answered, some committed: " << (committed > 0)
            << ", some declined: " << (declined > 0) << "\n";
}

void ending() {
  Side nodes(node), discovery(silentDiscovery);
  Running router(discovery, list(1, entry(nodes, "s-1", "up")));
  Peer idle = router.client(), busy = router.client();
  busy.send(read("k"));
  std::cout << busy.answer() << "\n";
  busy.send(read("slow"));
  slowBegun.wait(false);
  std::jthread told([&] { router.end(); });
  std::cout << "busy: " << busy.answer() << busy.answer() << "\n";
  std::cout << "idle: " << idle.answer() << "\n";
}

void discovered() {
  Side first(node), second(node);
  std::mutex mutex;
  std::vector<std::string> asked;
  int turn = 0;
  Side discovery([&](Peer& peer) {
    const auto path = pathOf(peer);
    int now;
    {
      const std::lock_guard lock(mutex);
      asked.push_back(path);
      now = ++turn;
    }
    if (now == 1) return peer.send(http("{\"version\":1,\"full\":tru"));
    if (now == 2) return peer.send(http(list(5, entry(first, "s-1", "up"))));
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto chunk = [&](const std::string& line) {
      std::ostringstream made;
      made << std::hex << line.size() << "\r\n" << line << "\r\n";
      peer.send(made.str(), 7);
    };
    if (now == 3) {
      chunk("\n");
      chunk(list(6, entry(second, "s-2", "up"), false) + "\n");
      return chunk(list(4, entry(second, "s-2", "removed"), false) + "\n");
    }
    if (now == 4) return;  // an answer that ends before its list
    peer.readMore();
  });
  Running router(discovery, list(0, ""));
  Peer client = Peer::to(router.port());
  client.send(pg::startup("worker", "catalog") + query(""));
  client.answer();
  std::cout << client.answer() << "once the list is known\n";
  for (;; pause(20)) {
    const std::lock_guard lock(mutex);
    if (turn >= 5) break;
  }
  client.send(read("k"));
  std::cout << client.answer() << "\n";
  const std::lock_guard lock(mutex);
  for (const auto& path : asked) std::cout << path << "\n";
}

// A call for the list that discovery has swallowed, as it was down: it is asked anew well before a txn that
// waits for the list runs out of time.
void unanswered() {
  Side first(node);
  std::atomic<int> turn = 0;
  Side discovery([&](Peer& peer) {
    const auto path = pathOf(peer);
    if (++turn > 2 && path.ends_with("targets")) return peer.send(http(list(5, entry(first, "s-1", "up"))));
    peer.readMore();
  });
  Running router(discovery, list(0, ""));
  Peer client = Peer::to(router.port());
  client.send(pg::startup("worker", "catalog") + read("k", 3000));
  client.answer();
  std::cout << client.answer() << "\n";
}

void reload() {
  Side first(node), second(node);
  std::mutex mutex;
  std::vector<std::string> asked;
  const auto tells = [&](const std::string& name, const std::string& entries) {
    return [&, name, entries](Peer& peer) {
      const auto path = pathOf(peer);
      {
        const std::lock_guard lock(mutex);
        asked.push_back(name + " " + path);
      }
      if (path.ends_with("targets")) return peer.send(http(list(5, entries)));
      peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      peer.readMore();
    };
  };
  const auto wait = [&](std::size_t lines) {
    for (;; pause(20)) {
      const std::lock_guard lock(mutex);
      if (asked.size() >= lines) return;
    }
  };
  Side oldPlace(tells("old", entry(first, "s-1", "up")));
  Side newPlace(tells("new", entry(first, "s-1", "draining") + "," + entry(second, "s-2", "up")));
  const std::string path = "reload-" + std::to_string(getpid()) + ".json";
  setenv("BALANCER_CONFIG", path.c_str(), 1);
  // At the start the variable comes first, later the file does.
  setenv("BALANCER_DISCOVERY", ("127.0.0.1:" + std::to_string(oldPlace.port())).c_str(), 1);
  Running router(oldPlace, list(0, ""));
  wait(2);
  Peer client = router.client();
  const auto readAnew = [&](const std::string& text, const char* what) {
    std::ofstream(path) << text;
    kill(getpid(), SIGHUP);
    client.send(read("k"));
    std::cout << what << ": " << client.answer() << "\n";
  };
  unlink(path.c_str());
  kill(getpid(), SIGHUP);
  readAnew("", "an empty file");
  readAnew(router.text(newPlace, list(0, "")).substr(0, 150), "half a file");
  readAnew(router.text(newPlace, list(0, "")), "a whole one");
  wait(4);
  readAnew(router.text(newPlace, list(0, "")), "the same again");
  const std::lock_guard lock(mutex);
  for (const auto& line : asked) std::cout << line << "\n";
  unlink(path.c_str());
}

}  // namespace

int main(int count, char** words) {
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGHUP);
  std::signal(SIGHUP, SIG_IGN);  // as a router may be started
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"values", values},         {"crowd", crowd},
                                                {"ending", ending},         {"discovered", discovered},
                                                {"unanswered", unanswered}, {"reload", reload}};
  const auto found = count == 2 ? cases.find(words[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
