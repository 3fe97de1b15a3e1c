// Stand-ins of the tests on loopback sockets: one end of a connection, a side that serves each connection on
// a thread of its own, discovery's lists, and the router between them.
#pragma once

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "protocol/postgres/messages.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/server/server.h"

namespace gulltrestle::testing {

using event_loop::Descriptor;

inline constexpr const char* kHost = "127.0.0.1";

inline unsigned short portOf(const Descriptor& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A free port, held for a process that is about to listen there: bound here, but not listened on.
class Port {
 public:
  Port() : held_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(held_.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(held_.number(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw std::system_error(errno, std::generic_category(), "no free port");
  }
  unsigned short number() const { return portOf(held_); }

 private:
  Descriptor held_;
};

inline void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

// One end of a connection, which waits for what it reads; an end of the other side reads as nothing.
class Peer {
 public:
  explicit Peer(Descriptor descriptor) : descriptor_(std::move(descriptor)) {}
  static Peer to(unsigned short port) {
    Descriptor made = event_loop::startConnecting(kHost, port);
    pollfd up{made.number(), POLLOUT, 0};
    poll(&up, 1, 10000);
    return Peer(std::move(made));
  }

  void send(std::string_view bytes, std::size_t piece = 1 << 20) {
    while (!bytes.empty()) {
      const auto part = bytes.substr(0, piece);
      const auto done = event_loop::writeFrom(descriptor_.number(), {&part, 1});
      if (done.status == event_loop::Io::failed) return;
      bytes.remove_prefix(done.size);
      if (done.status == event_loop::Io::wouldBlock) wait(POLLOUT);
    }
  }
  // What it does has reached the other side's system when these return: what is laid out on another
  // connection after it comes after it, also where the system's own threads lag behind.
  void arrives() const {
    int left = 1;
    for (int tries = 0; tries < 10000 && ioctl(descriptor_.number(), SIOCOUTQ, &left) == 0 && left > 0;
         ++tries)
      pause(1);
  }
  void sendsNoMore() {
    shutdown(descriptor_.number(), SHUT_WR);
    awaitEnd(ends());
  }
  // Ends it in order, or so that the other side sees a reset.
  void close() {
    const auto both = ends();
    descriptor_ = Descriptor();
    awaitEnd(both);
  }
  void reset() {
    const linger at{1, 0};
    setsockopt(descriptor_.number(), SOL_SOCKET, SO_LINGER, &at, sizeof at);
    close();
  }
  bool wasReset() const { return reset_; }
  // The other side has ended its sending, or all.
  bool hasEnded() const {
    pollfd at{descriptor_.number(), POLLRDHUP, 0};
    return poll(&at, 1, 0) > 0 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  bool readMore() {
    char bytes[700];
    for (;;) {
      const auto got = event_loop::readInto(descriptor_.number(), bytes);
      if (got.status == event_loop::Io::some) kept_.append(bytes, got.size);
      reset_ = reset_ || got.status == event_loop::Io::failed;
      if (got.status != event_loop::Io::wouldBlock) return got.status == event_loop::Io::some;
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
      if (const auto found = postgres::takeMessage(bytes, 1 << 20)) {
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
    while (!postgres::takeOpening(bytes) && readMore()) bytes = kept_;
    kept_.erase(0, kept_.size() - bytes.size());
  }
  // All messages up to the next ReadyForQuery or the end, in short.
  std::string answer() {
    std::string out;
    for (;;) {
      const auto [type, body] = message();
      if (type == 0) return out + "end";
      if (type == 'E')
        out += "E(" + std::string(postgres::readError(body).code) + ") ";
      else if (type == 'D')
        out += "D(" + std::to_string(body.size() - 6) + " bytes) ";
      else if (type != 'R' && type != 'S' && type != 'K')
        out += std::string(1, type) + " ";
      if (type == 'Z') return out;
    }
  }

 private:
  // Own port and the other side's, as the system's table of connections has them.
  std::string ends() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    char text[64] = "";
    const auto port = [&](auto get) {
      at = {};
      size = sizeof at;
      get(descriptor_.number(), reinterpret_cast<sockaddr*>(&at), &size);
      return static_cast<unsigned>(ntohs(at.sin_port));
    };
    const unsigned own = port(getsockname), other = port(getpeername);
    if (own != 0 && other != 0)
      std::snprintf(text, sizeof text, "0100007F:%04X 0100007F:%04X 01", other, own);
    return text;
  }
  // The other side's end is open (01) no more.
  static void awaitEnd(const std::string& both) {
    for (int tries = 0; tries < 10000 && !both.empty(); ++tries) {
      std::ifstream table("/proc/net/tcp");
      const std::string all(std::istreambuf_iterator<char>(table), {});
      if (all.find(both) == std::string::npos) return;
      pause(1);
    }
  }
  bool wait(short what) {
    pollfd ready{descriptor_.number(), what, 0};
    return poll(&ready, 1, 10000) > 0;  // far more than anything here takes
  }
  Descriptor descriptor_;
  std::string kept_;
  bool reset_ = false;
};

// Accepts connections and serves each on a thread of its own until it is destroyed.
class Side {
 public:
  // `room`: what of it the system takes in before it is read; 0: as much as usual.
  explicit Side(std::function<void(Peer&)> serve, int room = 0)
      : listener_(listening(room)), accepting_([this, serve](std::stop_token stop) {
          while (!stop.stop_requested()) {
            Descriptor taken;
            if (event_loop::accept(listener_.number(), taken) == event_loop::Io::some) {
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
  // Connections have the room that their listener had as they came.
  static Descriptor listening(int room) {
    Descriptor made = event_loop::listenOn(kHost, 0);
    // Small segments, too: the sender's system takes in as much as some of them at once.
    const int segment = 536;
    if (room > 0) setsockopt(made.number(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    if (room > 0) setsockopt(made.number(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    return made;
  }
  Descriptor listener_;
  std::vector<std::jthread> serving_;
  std::jthread accepting_;
};

inline std::string row(std::string_view value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return postgres::message('T', std::string("\0\1t\0", 4) + std::string(18, '\0')) +
         postgres::message('D', body + std::string(value)) +
         postgres::message('C', std::string("SELECT 1") + '\0') + postgres::readyForQuery();
}

inline std::string entry(const Side& at, const std::string& id, const std::string& state) {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + std::to_string(at.port()) +
         R"(","zone":"a","cell":1,"state":")" + state + R"(","part":"master","started_ms":0})";
}
inline std::string list(int version, const std::string& entries, bool whole = true) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (whole ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}";
}
inline std::string http(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string pathOf(Peer& peer) {
  const auto first = peer.line();
  while (peer.line().size() > 1) {}
  return first.substr(0, first.rfind(' '));
}
// A discovery that has nothing to add to what the configuration knows.
inline void silentDiscovery(Peer& peer) { pathOf(peer), peer.readMore(); }

// The router, from its start to its end by SIGTERM.
class Running {
 public:
  Running(const Side& discovery, const std::string& known, int descriptors = 256)
      : port_(held_.number()), thread_([this, file = text(discovery, known, descriptors)] {
          server::Server server(config::parseRouterConfig(file));
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
    made.send(postgres::startup("worker", "catalog"));
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
  Port held_;
  unsigned short port_;
  std::atomic<bool> up_ = false;
  std::jthread thread_;
};

inline std::string query(std::string_view text) { return postgres::message('Q', std::string(text) + '\0'); }
inline std::string nextId() {
  static std::atomic<int> last = 0;
  return "id=" + std::to_string(++last);
}
inline std::string read(const std::string& key, int wait = 9000) {
  return query("SELECT body FROM objects WHERE oid = '" + key + "' /* " + nextId() +
               ",c=read,d=" + std::to_string(wait) + ",cluster=1 */");
}
inline std::string write(std::size_t bytes, const std::string& key = "k") {
  return query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + std::string(2 * bytes, '7') +
               "') RETURNING body /* " + nextId() + ",c=write,d=9000,cluster=1 */");
}

}  // namespace gulltrestle::testing
