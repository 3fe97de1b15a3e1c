// Fakes for tests over loopback sockets: a client or server end of a connection, a fake server that handles
// each connection on its own thread, endpoint lists as JSON, and a router that runs in this process.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
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

// The local port of a bound socket.
inline unsigned short portOf(const Descriptor& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A free port, reserved for a process that is about to listen on it: bound here, but not listened on.
class Port {
 public:
  Port() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(socket_.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket_.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      throw std::system_error(errno, std::generic_category(), "bind to a free loopback port");
  }
  unsigned short number() const { return portOf(socket_); }

 private:
  Descriptor socket_;
};

// Sleeps for this many milliseconds.
inline void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

// One end of a connection, with blocking reads. Reads return an empty value once the remote end has closed.
class Peer {
 public:
  explicit Peer(Descriptor descriptor) : descriptor_(std::move(descriptor)) {}
  // Connects to a loopback port.
  static Peer to(unsigned short port) {
    Descriptor socket = event_loop::startConnecting(kHost, port);
    pollfd writable{socket.number(), POLLOUT, 0};
    poll(&writable, 1, 10000);
    return Peer(std::move(socket));
  }

  // Connects to a loopback port, with a receive buffer so small that answers stay in the remote end's kernel
  // until they are read.
  static Peer withSmallBuffer(unsigned short port) {
    constexpr int kBytes = 2048;
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setsockopt(socket.number(), SOL_SOCKET, SO_RCVBUF, &kBytes, sizeof kBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
      throw std::system_error(errno, std::generic_category(), "connect");
    fcntl(socket.number(), F_SETFL, O_NONBLOCK);
    return Peer(std::move(socket));
  }

  // Sends all bytes, at most `chunkSize` with each write.
  void send(std::string_view bytes, std::size_t chunkSize = 1 << 20) {
    while (!bytes.empty()) {
      const auto chunk = bytes.substr(0, chunkSize);
      const auto done = event_loop::writeFrom(descriptor_.number(), {&chunk, 1});
      if (done.status == event_loop::IoStatus::failed) return;
      bytes.remove_prefix(done.size);
      if (done.status == event_loop::IoStatus::wouldBlock) wait(POLLOUT);
    }
  }
  // Sends as much as the kernel takes now.
  void sendWithoutWaiting(std::string_view bytes) {
    for (auto status = event_loop::IoStatus::ok; !bytes.empty() && status == event_loop::IoStatus::ok;) {
      const auto done = event_loop::writeFrom(descriptor_.number(), {&bytes, 1});
      status = done.status;
      bytes.remove_prefix(done.size);
    }
  }
  // The following functions return once their effect has reached the remote end's kernel. Events that a test
  // then causes on another connection are therefore ordered after it, even if kernel threads lag behind.

  // Waits until all sent bytes are acknowledged.
  void waitUntilDelivered() const {
    int unacknowledged = 1;
    for (int tries = 0;
         tries < 10000 && ioctl(descriptor_.number(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
         ++tries)
      pause(1);
  }
  // Shuts down the sending direction (TCP half-close).
  void closeSending() {
    shutdown(descriptor_.number(), SHUT_WR);
    awaitRemoteClosed(connectionKey());
  }
  // Closes the connection with a FIN; reset() closes it with a RST. `maxWait`: how long to wait for the
  // remote end.
  void close(std::chrono::milliseconds maxWait = std::chrono::seconds(20)) {
    const auto key = connectionKey();
    descriptor_ = Descriptor();
    awaitRemoteClosed(key, maxWait);
  }
  void reset() {
    const linger noLinger{1, 0};
    setsockopt(descriptor_.number(), SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    close();
  }
  bool wasReset() const { return reset_; }
  // Whether the remote end has closed the connection or its sending direction.
  bool remoteClosed() const {
    pollfd state{descriptor_.number(), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void waitUntilRemoteClosed() const {
    pollfd state{descriptor_.number(), POLLRDHUP, 0};
    poll(&state, 1, 20000);
  }
  // Whether the remote end resets the connection within this time. It does so when it closes the connection
  // without having read everything that was sent.
  bool isResetWithin(std::chrono::milliseconds maxWait) const {
    pollfd state{descriptor_.number(), 0, 0};
    return poll(&state, 1, static_cast<int>(maxWait.count())) > 0 && (state.revents & POLLERR) != 0;
  }
  // Reads at least one byte into the buffer. Returns false at the end of the stream, on an error or a
  // timeout.
  bool readMore() {
    char bytes[700];
    for (;;) {
      const auto got = event_loop::readInto(descriptor_.number(), bytes);
      if (got.status == event_loop::IoStatus::ok) buffer_.append(bytes, got.size);
      reset_ = reset_ || got.status == event_loop::IoStatus::failed;
      if (got.status != event_loop::IoStatus::wouldBlock) return got.status == event_loop::IoStatus::ok;
      if (!wait(POLLIN)) return false;
    }
  }
  // The next line without its newline; empty at the end of the stream.
  std::string line() {
    while (buffer_.find('\n') == std::string::npos)
      if (!readMore()) return "";
    const auto line = buffer_.substr(0, buffer_.find('\n'));
    buffer_.erase(0, line.size() + 1);
    return line;
  }
  // The next PostgreSQL message as type and body; the type is 0 at the end of the stream.
  std::pair<char, std::string> message() {
    for (;;) {
      std::string_view bytes = buffer_;
      if (const auto found = postgres::takeMessage(bytes, 1 << 20)) {
        const std::pair message(found->type, std::string(found->body));
        buffer_.erase(0, buffer_.size() - bytes.size());
        return message;
      }
      if (!readMore()) return {0, ""};
    }
  }
  // The next byte; zero at the end of the stream.
  char byte() {
    if (buffer_.empty() && !readMore()) return 0;
    const char first = buffer_.front();
    buffer_.erase(0, 1);
    return first;
  }
  // Reads and discards the startup message.
  void startup() {
    while (buffer_.size() < 4 && readMore()) {}
    std::string_view bytes = buffer_;
    while (!postgres::takeStartupMessage(bytes) && readMore()) bytes = buffer_;
    buffer_.erase(0, buffer_.size() - bytes.size());
  }
  // A summary of all messages up to the next ReadyForQuery or the end of the stream.
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
  // The remote and the local address as /proc/net/tcp prints the remote end of an established connection;
  // empty if the socket is not connected.
  std::string connectionKey() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    char text[64] = "";
    const auto port = [&](auto get) {
      address = {};
      size = sizeof address;
      get(descriptor_.number(), reinterpret_cast<sockaddr*>(&address), &size);
      return static_cast<unsigned>(ntohs(address.sin_port));
    };
    const unsigned local = port(getsockname), remote = port(getpeername);
    if (local != 0 && remote != 0)
      std::snprintf(text, sizeof text, "0100007F:%04X 0100007F:%04X 01", remote, local);
    return text;
  }
  // Waits until the remote end is no longer in the state ESTABLISHED (01 in /proc/net/tcp).
  static void awaitRemoteClosed(const std::string& key,
                                std::chrono::milliseconds maxWait = std::chrono::seconds(20)) {
    const auto until = std::chrono::steady_clock::now() + maxWait;
    while (!key.empty() && std::chrono::steady_clock::now() < until) {
      std::ifstream table("/proc/net/tcp");
      const std::string all(std::istreambuf_iterator<char>(table), {});
      if (all.find(key) == std::string::npos) return;
      pause(1);
    }
  }
  bool wait(short pollEvents) {
    pollfd ready{descriptor_.number(), pollEvents, 0};
    return poll(&ready, 1, 10000) > 0;  // far longer than any step of these tests takes
  }
  Descriptor descriptor_;
  std::string buffer_;
  bool reset_ = false;
};

// A fake server: accepts connections and serves each on its own thread until it is destroyed.
class FakeServer {
 public:
  // `receiveBufferBytes` limits what the kernel buffers before the server reads; 0 keeps the default.
  explicit FakeServer(std::function<void(Peer&)> serve, int receiveBufferBytes = 0)
      : listener_(listen(receiveBufferBytes)), accepting_([this, serve](std::stop_token stop) {
          while (!stop.stop_requested()) {
            Descriptor accepted;
            if (event_loop::accept(listener_.number(), accepted) == event_loop::IoStatus::ok) {
              serving_.emplace_back(
                  [serve, peer = std::make_shared<Peer>(std::move(accepted))] { serve(*peer); });
            } else {
              pollfd ready{listener_.number(), POLLIN, 0};
              poll(&ready, 1, 20);
            }
          }
        }) {}
  unsigned short port() const { return portOf(listener_); }

 private:
  // Connections inherit the buffer size that the listener has when they arrive.
  static Descriptor listen(int receiveBufferBytes) {
    Descriptor listener = event_loop::listenOn(kHost, 0);
    // The segments are small too: the sender's kernel buffers at least a few segments at once.
    const int segmentBytes = 536;
    if (receiveBufferBytes > 0)
      setsockopt(listener.number(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    if (receiveBufferBytes > 0)
      setsockopt(listener.number(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    return listener;
  }
  Descriptor listener_;
  std::vector<std::jthread> serving_;
  std::jthread accepting_;
};

// A complete PostgreSQL answer of one row with one column. `parameterStatuses` are inserted before its
// ReadyForQuery message.
inline std::string row(std::string_view value, std::string_view parameterStatuses = {}) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return postgres::message('T', std::string("\0\1t\0", 4) + std::string(18, '\0')) +
         postgres::message('D', body + std::string(value)) +
         postgres::message('C', std::string("SELECT 1") + '\0') + std::string(parameterStatuses) +
         postgres::readyForQuery();
}

// One entry of an endpoint list, in discovery's JSON.
inline std::string endpointEntryJson(const FakeServer& server, const std::string& id,
                                     const std::string& state, const std::string& role = "master") {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + std::to_string(server.port()) +
         R"(","zone":"a","cell":1,"state":")" + state + R"(","part":")" + role + R"(","started_ms":0})";
}
// An endpoint list, or an endpoint update if `full` is false.
inline std::string endpointListJson(int version, const std::string& entries, bool full = true) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}";
}
// An HTTP response with this body.
inline std::string http(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads the head of an HTTP request and returns its method and path.
inline std::string pathOf(Peer& peer) {
  const auto requestLine = peer.line();
  while (peer.line().size() > 1) {}
  return requestLine.substr(0, requestLine.rfind(' '));
}
// A discovery service that never answers: the router uses the endpoint list of its configuration.
inline void silentDiscovery(Peer& peer) { pathOf(peer), peer.readMore(); }

// A router that runs on a thread of this process. The destructor shuts it down with SIGTERM.
class RunningRouter {
 public:
  // `known` is the endpoint list of the configuration, as JSON. Returns once the router listens.
  RunningRouter(const FakeServer& discovery, const std::string& known, int descriptors = 256)
      : port_(reservedPort_.number()), thread_([this, file = text(discovery, known, descriptors)] {
          server::Server server(config::parseRouterConfig(file));
          listening_ = true;
          listening_.notify_all();
          server.run();
        }) {
    listening_.wait(false);
  }
  ~RunningRouter() {
    end();
    std::cout << "the router has ended\n";
  }
  void end() {
    if (!thread_.joinable()) return;
    kill(getpid(), SIGTERM);
    thread_.join();
  }
  unsigned short port() const { return port_; }
  // Connects a client that has completed its startup.
  Peer client() const {
    Peer peer = Peer::to(port_);
    peer.send(postgres::startup("worker", "catalog"));
    peer.answer();
    return peer;
  }
  // The text of the configuration file.
  std::string text(const FakeServer& discovery, const std::string& known, int descriptors = 256) const {
    return R"({"name":"n","listen":"127.0.0.1:)" + std::to_string(port_) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery.port()) + R"(","seed":"7","limits":{"memory_mb":64,"sockets":)" +
           std::to_string(descriptors) + R"(},"known":)" + known +
           R"(,"settings":{"zone":"a","round":5000,"limits":{"probes":true,"cancel":true,"maxAttempts":3},"lanes":[)"
           R"({"name":"read","effect":"idempotent","objective":4000000,"deadline":9000000},)"
           R"({"name":"write","effect":"at_most_once","objective":4000000,"deadline":9000000}],)"
           R"("specifics":{"readLevel":["latest","update"],"lagAllowed":[0,0]}}})";
  }

 private:
  Port reservedPort_;
  unsigned short port_;
  std::atomic<bool> listening_ = false;
  std::jthread thread_;
};

// A simple query message.
inline std::string query(std::string_view text) { return postgres::message('Q', std::string(text) + '\0'); }
// A transaction id that is unique in this process, in the form of the statement comment.
inline std::string nextId() {
  static std::atomic<int> last = 0;
  return "id=" + std::to_string(++last);
}
// A read of this key, with its remaining time in ms.
inline std::string read(const std::string& key, int remainingTime = 9000) {
  return query("SELECT body FROM objects WHERE oid = '" + key + "' /* " + nextId() +
               ",c=read,d=" + std::to_string(remainingTime) + ",cluster=1 */");
}
// A write of this many bytes, with a remaining time of 9 s.
inline std::string write(std::size_t bytes, const std::string& key = "k") {
  return query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + std::string(2 * bytes, '7') +
               "') RETURNING body /* " + nextId() + ",c=write,d=9000,cluster=1 */");
}

}  // namespace gulltrestle::testing
