// Tests the gRPC server with real sockets, in this process. Run as `grpc_server CASE`; prints the trace of
// the case.
#include "runtime/grpc_server/grpc_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <vector>

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

// The client end of a connection. Receives only in receive().
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
    write();
  }
  // Receives what has arrived, and answers it.
  void receive() {
    char bytes[4096];
    for (;;) {
      const auto result = event_loop::readInto(descriptor_.number(), bytes);
      if (result.status == event_loop::IoStatus::endOfStream) hasEnded = true;
      if (result.status == event_loop::IoStatus::failed) hasEnded = wasReset = true;
      if (result.status != event_loop::IoStatus::ok) break;
      session_.received(Instant(), {bytes, result.size});
    }
    write();
  }
  // Whether something has arrived since receive() was called.
  bool canReceive() const {
    pollfd state{descriptor_.number(), POLLIN, 0};
    return poll(&state, 1, 0) > 0;
  }
  std::string status;  // of the last call that was answered
  bool hasEnded = false, wasReset = false;

 private:
  void write() {
    const std::string bytes = session_.output();
    if (send(descriptor_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(bytes.size()))
      std::cout << "not sent\n";
  }
  void headers(http2::StreamId, http2::Headers fields) override {
    for (const auto& [name, value] : fields)
      if (name == "grpc-status") status = value;
  }
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

// Answers each call at once.
class AnsweringHandler final : public grpc_server::CallHandler {
 public:
  grpc_server::GrpcServer* server = nullptr;

 private:
  void advanceTo(Instant) override {}
  void opened(grpc_server::CallKey call, const grpc_server::ConnectionLoad&) override {
    server->finish(call, grpc::Status::unavailable, "");
  }
  void message(grpc_server::CallKey, std::string_view) override {}
  void halfClosed(grpc_server::CallKey) override {}
  void ended(grpc_server::CallKey) override {}
};

// A server with one client, and the steps of a case, each of which follows once something has happened.
class ClosingServer {
 public:
  explicit ClosingServer(std::size_t maxConnections)
      : bounds_{.calls = {}, .maxConnections = maxConnections},
        server_(loop_, {kHost, port_}, kMethod, bounds_, "test", handler_) {
    handler_.server = &server_;
  }
  ~ClosingServer() { loop_.destroyTasks(); }

  grpc_server::GrpcServer& server() { return server_; }
  Client& client() { return client_; }
  unsigned short port() const { return port_; }
  bool receivesStatus() {
    client_.receive();
    return !client_.status.empty() || client_.hasEnded;
  }
  // Adds a step: `act` is called once `condition` is true, after the previous step.
  void once(std::function<bool()> condition, std::function<void()> act) {
    steps_.push_back({std::move(condition), std::move(act)});
  }
  // Runs the server until all steps have been made; prints a line if one isn't in time.
  void run() {
    const Instant until = loop_.now() + Duration::seconds(10);
    std::size_t next = 0;
    const auto endTurn = [&](Instant now) {
      server_.flush();
      if (next < steps_.size() && steps_[next].condition()) steps_[next++].act();
      if (next == steps_.size() || now > until) loop_.stop();
      return now + Duration::millis(5);
    };
    loop_.run(endTurn, [](std::exception_ptr) { std::cout << "a task failed\n"; });
    if (next < steps_.size()) std::cout << "step " << next << " was not made in time\n";
  }

 private:
  struct Step {
    std::function<bool()> condition;
    std::function<void()> act;
  };
  event_loop::EventLoop loop_;
  AnsweringHandler handler_;
  unsigned short port_ = freePort();
  grpc_server::Bounds bounds_;
  grpc_server::GrpcServer server_;
  Client client_{port_};
  std::vector<Step> steps_;
};

// Guards against calls that are read and ignored: they are sent before their client has seen that its
// connection is being closed, because the server stops, or to make room for another connection.
void callCrossesGoAway() {
  for (const bool stops : {true, false}) {
    ClosingServer closing(1);
    Client& client = closing.client();
    std::optional<Client> other;
    client.call(0, "");
    closing.once([&] { return closing.receivesStatus(); },
                 [&] {
                   client.status.clear();
                   stops ? closing.server().stop() : (void)other.emplace(closing.port());
                 });
    closing.once([&] { return client.canReceive(); }, [&] { client.call(1, "request"); });
    closing.once([&] { return closing.receivesStatus(); },
                 [&] {
                   std::cout << (stops ? "the server stops" : "a connection makes room") << ": status "
                             << client.status << "\n";
                 });
    closing.once([&] { return client.receive(), client.hasEnded; },
                 [&] { std::cout << "reset: " << client.wasReset << "\n"; });
    closing.run();
  }
}

}  // namespace

int main(int count, char** arguments) {
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"turn-of-busy-connection", turnOfBusyConnection},
                                                {"calls-waiting-at-stop", callsWaitingAtStop},
                                                {"call-crosses-goaway", callCrossesGoAway}};
  const auto found = cases.find(count > 1 ? arguments[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
