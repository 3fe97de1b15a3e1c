// Tests gRPC over HTTP/2 without a socket, with hand-built frames and floods of frames. Run as `http2 CASE`;
// prints the trace of the case.
#include <functional>
#include <iostream>
#include <limits>
#include <map>

#include "allocations.h"
#include "protocol/grpc/server_calls.h"

using namespace gulltrestle;
using testing::allocatedBytes;

namespace {

constexpr std::uint8_t kData = 0, kHeaders = 1, kPriority = 2, kReset = 3, kSettings = 4, kPing = 6,
                       kGoAway = 7, kWindow = 8, kContinuation = 9;
constexpr std::uint8_t kEndStream = 1, kAck = 1, kEndHeaders = 4, kPadded = 8;

// A big-endian integer.
std::string number(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xFF);
  return out;
}
std::string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, const std::string& body) {
  return number(body.size(), 3) + static_cast<char>(type) + static_cast<char>(flags) + number(stream, 4) +
         body;
}
// A header field encoded as a literal without indexing (RFC 7541, section 6.2.2).
std::string field(const std::string& name, const std::string& value) {
  const auto text = [](const std::string& t) {
    std::string out;
    if (t.size() < 127) return std::string(1, static_cast<char>(t.size())) + t;
    std::size_t rest = t.size() - 127;
    out += static_cast<char>(127);
    for (; rest >= 128; rest /= 128) out += static_cast<char>(rest % 128 + 128);
    return out + static_cast<char>(rest) + t;
  };
  return std::string(1, '\0') + text(name) + text(value);
}
// The header block of a call.
std::string callHeaders(const std::string& more = "", const std::string& path = "/a/b",
                        const std::string& type = "application/grpc") {
  return field(":method", "POST") + field(":scheme", "http") + field(":path", path) +
         field(":authority", "x") + field("content-type", type) + field("te", "trailers") + more;
}

// Prints the title of the next step.
void title(const std::string& text) { std::cout << "-- " << text << "\n"; }

const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// A server that prints the events of its calls and each frame that it writes.
class Server final : private grpc::CallHandler {
 public:
  explicit Server(grpc::Bounds bounds = {}, const std::string& settings = "")
      : Server(bounds, unlimited(), settings) {}
  Server(grpc::Bounds bounds, MemoryBudget& budget, const std::string& settings = "")
      : calls("/a/b", bounds, budget, *this) {
    quiet = true;
    receive(kPreface + frame(kSettings, 0, 0, settings));
    quiet = false;
  }
  static MemoryBudget& unlimited() {
    static MemoryBudget budget(std::numeric_limits<std::size_t>::max());
    return budget;
  }
  // Returns false once the connection must be closed.
  bool receive(const std::string& bytes) {
    const bool isOpen = calls.received(now, bytes);
    printOutput(calls.output());
    return isOpen && !calls.done();
  }
  // Receives frames until the connection ends, and prints how many it accepted.
  void flood(const std::function<std::string(std::uint32_t number)>& frames, std::uint32_t count = 100000) {
    std::uint32_t n = 0;
    quiet = true;
    for (; n < count && receive(frames(n)); ++n) {}
    quiet = false;
    std::cout << (n < count ? "closed after " + std::to_string(n) : "accepted all " + std::to_string(n))
              << ", " << calls.open() << " calls open, wrote " << wrote << " bytes\n";
  }
  void send(grpc::CallId call, const std::string& message) {
    calls.send(call, message), printOutput(calls.output());
  }
  void finish(grpc::CallId call, grpc::Status status) {
    calls.finish(call, status), printOutput(calls.output());
  }

  bool quiet = false;
  std::size_t wrote = 0;
  Instant now = Instant::atMicros(1'700'000'000'000'000);
  grpc::ServerCalls calls;

 private:
  void printOutput(const std::string& bytes) {
    wrote += bytes.size();
    if (quiet) return;
    static const std::map<int, std::string> names{{0, "data"}, {1, "headers"}, {3, "reset"}, {4, "settings"},
                                                  {6, "ping"}, {7, "goaway"},  {8, "window"}};
    for (std::size_t at = 0; at + 9 <= bytes.size();) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < 3; ++i) size = size << 8 | static_cast<unsigned char>(bytes[at + i]);
      const int type = bytes[at + 3], flags = bytes[at + 4],
                stream = static_cast<unsigned char>(bytes[at + 8]);
      std::cout << "  out: " << names.at(type) << " stream " << stream << " flags " << flags;
      if (type == 0) std::cout << " '" << bytes.substr(at + 14, size - 5) << "'";
      if (type == 3 || type == 7)
        std::cout << " code " << static_cast<int>(bytes[at + 8 + (type == 3 ? 4 : 8)]);
      std::cout << "\n";
      at += 9 + size;
    }
  }
  // An output stream that discards everything while `quiet` is set.
  std::ostream& trace() {
    static std::ostream none(nullptr);
    return quiet ? none : std::cout;
  }
  void opened(grpc::CallId call) override { trace() << "call " << call << " opened\n"; }
  void message(grpc::CallId call, std::string_view bytes) override {
    trace() << "call " << call << " message of " << bytes.size() << ": " << bytes.substr(0, 20) << "\n";
  }
  void halfClosed(grpc::CallId call) override { trace() << "call " << call << " half-closed\n"; }
  void ended(grpc::CallId call, bool wasAborted) override {
    trace() << "call " << call << (wasAborted ? " aborted\n" : " ended\n");
  }
};

void frames() {
  Server server;
  title("a header block in three frames, one field split; a message in several frames, two in one frame");
  const std::string block = callHeaders();
  server.receive(frame(kHeaders, 0, 1, block.substr(0, 10)) +
                 frame(kContinuation, 0, 1, block.substr(10, 30)) +
                 frame(kContinuation, kEndHeaders, 1, block.substr(40)));
  const std::string message = grpc::framed("hello");
  for (const char c : message) server.receive(frame(kData, 0, 1, std::string(1, c)));
  server.receive(frame(kData, 0, 1, grpc::framed("one") + grpc::framed("")));
  title("padding, a priority frame, an unknown frame type, a window update, settings, a ping");
  server.receive(frame(kHeaders, kEndHeaders | kPadded, 3, "\4" + block + std::string(4, '\0')) +
                 frame(kData, kPadded, 3, "\3" + grpc::framed("padded") + std::string(3, '\0')) +
                 frame(kPriority, 0, 3, std::string(5, '\1')) + frame(0x77, 0, 0, "what") +
                 frame(kWindow, 0, 0, number(1000, 4)) +
                 frame(kSettings, 0, 0, number(5, 2) + number(20000, 4)) + frame(kPing, 0, 0, "12345678") +
                 frame(kPing, kAck, 0, "12345678"));
  title("answers, a regular end, a reset by the client");
  server.send(1, "answer");
  server.finish(1, grpc::Status::ok);
  server.receive(frame(kData, kEndStream, 1, ""));
  server.receive(frame(kReset, 0, 3, number(8, 4)));
  title("a whole call, byte by byte");
  for (const char c : frame(kHeaders, kEndHeaders, 5, block) + frame(kData, kEndStream, 5, message))
    server.receive(std::string(1, c));
  server.finish(5, grpc::Status::invalidArgument);
  title("after GOAWAY from the server, calls in transit are taken until its ping is acknowledged");
  server.receive(frame(kHeaders, kEndHeaders, 7, block));
  server.calls.goAway();
  server.receive(frame(kHeaders, kEndHeaders, 9, block) + frame(kPing, kAck, 0, "12345678"));
  server.finish(9, grpc::Status::unavailable);
  server.receive(frame(kPing, kAck, 0, "go away?"));
  title("then new calls are rejected and open calls continue");
  server.receive(frame(kHeaders, kEndHeaders, 11, block));
  server.receive(frame(kData, kEndStream, 7, message));
  server.finish(7, grpc::Status::ok);
  std::cout << "done: " << server.calls.done() << "\n";
  Server secondServer;
  title("GOAWAY from the client, then the connection is lost");
  secondServer.receive(frame(kHeaders, kEndHeaders, 1, block) +
                       frame(kGoAway, 0, 0, number(0, 4) + number(0, 4)));
  secondServer.calls.connectionEnded();
}

void rejectedCalls() {
  Server server;
  title("wrong method, wrong content type, not a POST");
  server.receive(frame(kHeaders, kEndHeaders, 1, callHeaders("", "/a/c")));
  server.receive(frame(kHeaders, kEndHeaders, 3, callHeaders("", "/a/b", "text/plain")));
  server.receive(frame(kHeaders, kEndHeaders | kEndStream, 5,
                       field(":method", "GET") + field(":scheme", "http") + field(":path", "/a/b") +
                           field(":authority", "x")));
  title("compression, stated by the headers or by a message");
  server.receive(frame(kHeaders, kEndHeaders, 7, callHeaders(field("grpc-encoding", "gzip"))));
  server.receive(frame(kHeaders, kEndHeaders, 9, callHeaders()) +
                 frame(kData, 0, 9, "\1" + number(3, 4) + "abc"));
  title("a message over the size limit, a truncated message");
  server.receive(frame(kHeaders, kEndHeaders, 11, callHeaders()) +
                 frame(kData, 0, 11, std::string(1, '\0') + number(70000, 4)));
  server.receive(frame(kHeaders, kEndHeaders, 13, callHeaders()) +
                 frame(kData, kEndStream, 13, grpc::framed("hello").substr(0, 7)));
  title("headers over the size limit reset the stream, not the connection");
  server.receive(frame(kHeaders, 0, 15, callHeaders(field("big", std::string(9000, 'x')))) +
                 frame(kContinuation, kEndHeaders, 15, field("big", std::string(9000, 'x'))));
  server.receive(frame(kHeaders, kEndHeaders, 17, callHeaders()));
  for (const std::string& bad : {frame(kData, 0, 2, "x"), frame(kContinuation, kEndHeaders, 17, "x"),
                                 frame(kHeaders, kEndHeaders, 1, "\xff"), frame(kWindow, 0, 0, number(0, 4)),
                                 std::string(2000, 'z')}) {
    Server newServer;
    title("invalid frames");
    const bool isOpen = newServer.receive(bad);
    std::cout << "connection open: " << isOpen << "\n";
  }
}

// DATA frames of the usual maximum size.
std::string dataFrames(std::uint32_t stream, const std::string& bytes) {
  constexpr std::size_t kFrameBytes = 16'384;
  std::string frames;
  for (std::size_t at = 0; at < bytes.size(); at += kFrameBytes)
    frames += frame(kData, 0, stream, bytes.substr(at, kFrameBytes));
  return frames;
}

// Guards against a process that is killed for its memory while clients of many connections stop half way
// through large messages, or through heads of many short fields: each connection kept to its limits, their
// sum had none.
void incompleteMessages() {
  MemoryBudget budget(100'000);
  const auto printUsed = [&] { std::cout << "bytes held: " << budget.usedBytes() << "\n"; };
  const std::string half = std::string(1, '\0') + number(60'000, 4) + std::string(39'995, 'x');
  Server first({}, budget), second({}, budget);
  title("two connections hold half a message each, the third one is rejected");
  for (Server* server : {&first, &second})
    server->receive(frame(kHeaders, kEndHeaders, 1, callHeaders()) + dataFrames(1, half));
  second.receive(frame(kHeaders, kEndHeaders, 3, callHeaders()) + dataFrames(3, half));
  printUsed();
  title("a whole message is taken meanwhile; the rest of a half one makes room");
  second.receive(frame(kHeaders, kEndHeaders, 5, callHeaders()) + frame(kData, 0, 5, grpc::framed("whole")));
  first.receive(dataFrames(1, std::string(20'005, 'x')));
  printUsed();
  title("a head of many short fields that isn't complete, and one that exceeds what is left");
  std::string shortFields;
  for (int i = 0; i < 300; ++i) shortFields += field("a", "");
  first.receive(frame(kHeaders, 0, 7, callHeaders(shortFields)));
  printUsed();
  Server third({}, budget);
  third.receive(frame(kHeaders, kEndHeaders, 1, callHeaders()) + dataFrames(1, half.substr(0, 20'000)));
  third.receive(frame(kHeaders, 0, 3, callHeaders(shortFields)));
  printUsed();
  title("the connections are lost");
  for (Server* server : {&first, &second, &third}) server->calls.connectionEnded();
  printUsed();
}

std::string openStream(std::uint32_t id) { return frame(kHeaders, kEndHeaders, id, callHeaders()); }
std::string resetStream(std::uint32_t id) { return frame(kReset, 0, id, number(8, 4)); }
// Streams opened by clients have odd ids.
std::uint32_t streamId(std::uint32_t index) { return index * 2 + 1; }

void floodWithIdleFrames() {
  title("pings whose answers are not read; settings; priority frames; empty data; window updates");
  Server().flood([](auto) { return frame(kPing, 0, 0, "12345678"); });
  Server().flood([](auto) { return frame(kSettings, 0, 0, ""); });
  Server().flood([](auto) { return frame(kPriority, 0, 1, std::string(5, '\1')); });
  Server().flood([](auto n) { return n == 0 ? openStream(1) : frame(kData, 0, 1, ""); });
  Server().flood([](auto) { return frame(kWindow, 0, 0, number(1, 4)); });
}

void floodWithResets() {
  const auto openAndReset = [](std::uint32_t n) {
    return openStream(streamId(n)) + resetStream(streamId(n));
  };
  title("streams opened and reset at full speed");
  Server().flood(openAndReset);
  title("the same at the rate of a busy proxy: 500 per second");
  Server server;
  server.flood(
      [&](auto n) {
        server.now = server.now + Duration::millis(2);
        return openAndReset(n);
      },
      20000);
}

void floodWithStreams() {
  title("more concurrent streams than allowed");
  grpc::Bounds bounds;
  bounds.connection.maxStreams = 10;
  Server server(bounds);
  server.receive(frame(kSettings, kAck, 0, ""));
  server.flood([](auto n) { return openStream(streamId(n)); }, 20000);
}

// Guards against a client that keeps the process busy with a message in small frames: each frame copied all
// that had arrived before it. Counts the copied bytes by the allocations, which don't depend on the machine.
void messageInSmallFrames() {
  title("messages of 64,000 bytes, one in frames of 16,000 bytes and one in frames of one byte");
  for (const std::size_t frameBytes : {16'000u, 1u}) {
    Server server;
    server.quiet = true;
    server.receive(openStream(1));
    const std::string message = grpc::framed(std::string(64'000, 'x'));
    allocatedBytes = 0;
    for (std::size_t at = 0; at < message.size(); at += frameBytes)
      server.calls.received(server.now, frame(kData, 0, 1, message.substr(at, frameBytes)));
    constexpr std::size_t kMaxAllocatedPerByte = 100;
    std::cout << "allocated more than " << kMaxAllocatedPerByte
              << " times the message: " << (allocatedBytes > kMaxAllocatedPerByte * message.size()) << "\n";
  }
}

void floodWithHeaders() {
  title("a header block without an end; repeated references to a field in the header table");
  const std::string block = callHeaders();
  Server().flood([&](auto n) {
    return n == 0 ? frame(kHeaders, 0, 1, block)
                  : frame(kContinuation, 0, 1, field("a", std::string(1000, 'x')));
  });
  Server server;
  server.quiet = true;
  const std::string indexed = "\x40" + field("big", std::string(3000, 'x')).substr(1);
  const bool isOpen =
      server.receive(frame(kHeaders, kEndHeaders, 1, block + indexed + std::string(10000, '\xbe')));
  std::cout << "connection open: " << isOpen << ", " << server.calls.open() << " calls open\n";
}

void sendWithoutWindow() {
  title("a window that is never opened: the unsent data is bounded, and its stream is reset");
  grpc::Bounds bounds;
  bounds.connection.maxUnsentBytes = 10000;
  Server server(bounds, number(4, 2) + number(0, 4));
  server.quiet = true;
  server.receive(openStream(1) + openStream(3));
  for (int i = 0; i < 100; ++i) server.send(1, std::string(1000, 'x'));
  server.send(3, "still here");
  server.quiet = false;
  server.receive(frame(kWindow, 0, 3, number(100, 4)));
  std::cout << server.calls.open() << " calls open\n";
}

void floods() {
  floodWithIdleFrames();
  floodWithResets();
  floodWithStreams();
  floodWithHeaders();
  sendWithoutWindow();
}

}  // namespace

int main(int count, char** arguments) {
  const std::map<std::string, void (*)()> cases{{"frames", frames},
                                                {"rejected-calls", rejectedCalls},
                                                {"incomplete-messages", incompleteMessages},
                                                {"message-in-small-frames", messageInSmallFrames},
                                                {"floods", floods}};
  const auto found = cases.find(count > 1 ? arguments[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
