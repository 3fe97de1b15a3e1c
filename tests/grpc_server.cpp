// Tests the gRPC server with real sockets, in this process. Run as `grpc_server CASE`; prints the trace of
// the case.
#include "runtime/grpc_server/grpc_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <iostream>
#include <list>
#include <map>

#include "runtime/event_loop/sockets.h"

using namespace gulltrestle;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kMethod = "/a/b";

unsigned short freePort() {
  const event_loop::Descriptor listener = event_loop::listenOn(kHost, 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// The client end of a connection, which only sends.
class Client final : private http2::Handler {
 public:
  explicit Client(unsigned short port)
      : descriptor_(event_loop::startConnecting(kHost, port)),
        session_(http2::Session::Perspective::client, {}, *this) {}

  // Sends a call with `count` messages at once.
  void call(int count, const std::string& message) {
    const http2::StreamId stream = session_.request({{":method", "POST"},
                                                     {":scheme", "http"},
                                                     {":path", kMethod},
                                                     {":authority", "x"},
                                                     {"content-type", "application/grpc"}});
    for (int i = 0; i < count; ++i) session_.send(stream, grpc::framed(message));
    const std::string bytes = session_.output();
    if (send(descriptor_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(bytes.size()))
      std::cout << "not sent\n";
  }

 private:
  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId, std::string_view) override {}
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId, http2::ErrorCode) override {}

  event_loop::Descriptor descriptor_;
  http2::Session session_;
};

// Takes 2 ms for each message, and stops the loop at the message "stop".
class SlowHandler final : public grpc_server::CallHandler {
 public:
  explicit SlowHandler(event_loop::EventLoop& loop) : loop_(loop) {}
  int handled = 0;

 private:
  void advanceTo(Instant) override {}
  void opened(grpc_server::CallKey, const grpc_server::ConnectionLoad&) override {}
  void message(grpc_server::CallKey, std::string_view bytes) override {
    if (bytes == "stop") return loop_.stop();
    ++handled;
    const Instant until = loop_.now() + Duration::millis(2);
    while (loop_.now() < until) {}
  }
  void halfClosed(grpc_server::CallKey) override {}
  void ended(grpc_server::CallKey) override {}

  event_loop::EventLoop& loop_;
};

// Guards against a client that sends at full speed and makes others wait: a turn handled all that could be
// read from its connection, however long that took.
void turnOfBusyConnection() {
  constexpr int kMessages = 60;
  constexpr std::size_t kMessageBytes = 1000;
  // Those of a few reads of 4 KiB, in the turn in which the other connection's message arrives and the next.
  constexpr int kMaxHandledBefore = 20;
  event_loop::EventLoop loop;
  SlowHandler handler(loop);
  const unsigned short port = freePort();
  grpc_server::GrpcServer server(loop, {kHost, port}, kMethod, {}, "test", handler);
  // All of it lies in the sockets before the server runs.
  Client busy(port), other(port);
  busy.call(kMessages, std::string(kMessageBytes, 'x'));
  other.call(1, "stop");
  loop.run([](Instant) { return Instant(); }, [](std::exception_ptr) { std::cout << "a task failed\n"; });
  std::cout << "another connection's message is handled before most of the " << kMessages
            << " of a busy one: " << (handler.handled <= kMaxHandledBefore ? "yes" : "no") << "\n";
  loop.destroyTasks();
}

// Counts the calls that are opened.
class CountingHandler final : public grpc_server::CallHandler {
 public:
  int openedCalls = 0;

 private:
  void advanceTo(Instant) override {}
  void opened(grpc_server::CallKey, const grpc_server::ConnectionLoad&) override { ++openedCalls; }
  void message(grpc_server::CallKey, std::string_view) override {}
  void halfClosed(grpc_server::CallKey) override {}
  void ended(grpc_server::CallKey) override {}
};

// Guards against connections that the kernel has accepted, with a call in them, and that are reset because
// the server stops before it accepts them.
void callsWaitingAtStop() {
  constexpr int kClients = 30;  // more than a turn accepts
  event_loop::EventLoop loop;
  CountingHandler handler;
  const unsigned short port = freePort();
  grpc_server::Bounds bounds;
  bounds.maxConnections = kClients;
  grpc_server::GrpcServer server(loop, {kHost, port}, kMethod, bounds, "test", handler);
  std::list<Client> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back(port).call(1, "request");
  server.stop();
  const auto endTurn = [&](Instant now) {
    server.flush();
    if (handler.openedCalls == kClients) clients.clear();  // closes their connections
    if (server.empty()) loop.stop();
    return now + Duration::millis(10);
  };
  loop.run(endTurn, [](std::exception_ptr) { std::cout << "a task failed\n"; });
  std::cout << "calls that waited when the server stopped: " << handler.openedCalls << " of " << kClients
            << " are opened\n";
  loop.destroyTasks();
}

}  // namespace

int main(int count, char** arguments) {
  const std::map<std::string, void (*)()> cases{{"turn-of-busy-connection", turnOfBusyConnection},
                                                {"calls-waiting-at-stop", callsWaitingAtStop}};
  const auto found = cases.find(count > 1 ? arguments[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
