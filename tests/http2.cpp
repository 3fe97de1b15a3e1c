// gRPC over HTTP/2 without a socket: handmade frames, and floods of them. Run as `http2 CASE`: prints the
// case's trace.
#include <functional>
#include <iostream>
#include <map>

#include "protocol/grpc/server_calls.h"

using namespace gulltrestle;

namespace {

constexpr std::uint8_t kData = 0, kHeaders = 1, kPriority = 2, kReset = 3, kSettings = 4, kPing = 6,
                       kGoAway = 7, kWindow = 8, kContinuation = 9;
constexpr std::uint8_t kEndStream = 1, kAck = 1, kEndHeaders = 4, kPadded = 8;

std::string number(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xFF);
  return out;
}
std::string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, const std::string& body) {
  return number(body.size(), 3) + static_cast<char>(type) + static_cast<char>(flags) + number(stream, 4) +
         body;
}
// A header field as a literal that is not indexed (RFC 7541, section 6.2.2).
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

// Prints what comes next.
void title(const std::string& text) { std::cout << "-- " << text << "\n"; }

const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// A server whose calls are printed, and what it writes, frame by frame.
class Server final : private grpc::CallHandler {
 public:
  explicit Server(grpc::Bounds bounds = {}, const std::string& settings = "") : calls("/a/b", bounds, *this) {
    quiet = true;
    receive(kPreface + frame(kSettings, 0, 0, settings));
    quiet = false;
  }
  // False: the connection ends.
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
    std::cout << (n < count ? "ended after " + std::to_string(n) : "took all " + std::to_string(n)) << ", "
              << calls.open() << " calls open, wrote " << wrote << " bytes\n";
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
  // A stream that prints nothing while this is quiet.
  std::ostream& line() {
    static std::ostream none(nullptr);
    return quiet ? none : std::cout;
  }
  void opened(grpc::CallId call) override { line() << "call " << call << " opened\n"; }
  void message(grpc::CallId call, std::string_view bytes) override {
    line() << "call " << call << " message of " << bytes.size() << ": " << bytes.substr(0, 20) << "\n";
  }
  void halfClosed(grpc::CallId call) override { line() << "call " << call << " sends no more\n"; }
  void ended(grpc::CallId call, bool reset) override {
    line() << "call " << call << (reset ? " broken off\n" : " ended\n");
  }
};

void frames() {
  Server s;
  title("a header block in three frames, one field cut; a message in pieces, two in one frame");
  const std::string block = callHeaders();
  s.receive(frame(kHeaders, 0, 1, block.substr(0, 10)) + frame(kContinuation, 0, 1, block.substr(10, 30)) +
            frame(kContinuation, kEndHeaders, 1, block.substr(40)));
  const std::string message = grpc::framed("hello");
  for (const char c : message) s.receive(frame(kData, 0, 1, std::string(1, c)));
  s.receive(frame(kData, 0, 1, grpc::framed("one") + grpc::framed("")));
  title("padding, a priority, an unknown kind of frame, a window, settings, a ping");
  s.receive(frame(kHeaders, kEndHeaders | kPadded, 3, "\4" + block + std::string(4, '\0')) +
            frame(kData, kPadded, 3, "\3" + grpc::framed("padded") + std::string(3, '\0')) +
            frame(kPriority, 0, 3, std::string(5, '\1')) + frame(0x77, 0, 0, "what") +
            frame(kWindow, 0, 0, number(1000, 4)) + frame(kSettings, 0, 0, number(5, 2) + number(20000, 4)) +
            frame(kPing, 0, 0, "12345678") + frame(kPing, kAck, 0, "12345678"));
  title("answers, an end in order, a reset by the client");
  s.send(1, "answer");
  s.finish(1, grpc::Status::ok);
  s.receive(frame(kData, kEndStream, 1, ""));
  s.receive(frame(kReset, 0, 3, number(8, 4)));
  title("all of it byte by byte");
  for (const char c : frame(kHeaders, kEndHeaders, 5, block) + frame(kData, kEndStream, 5, message))
    s.receive(std::string(1, c));
  s.finish(5, grpc::Status::invalidArgument);
  title("no more calls are taken once it goes away; those that are open go on");
  s.receive(frame(kHeaders, kEndHeaders, 7, block));
  s.calls.goAway();
  s.receive(frame(kHeaders, kEndHeaders, 9, block));
  s.receive(frame(kData, kEndStream, 7, message));
  s.finish(7, grpc::Status::ok);
  std::cout << "done: " << s.calls.done() << "\n";
  Server t;
  title("a client that goes away, then the connection is gone");
  t.receive(frame(kHeaders, kEndHeaders, 1, block) + frame(kGoAway, 0, 0, number(0, 4) + number(0, 4)));
  t.calls.connectionEnded();
}

void rejectedCalls() {
  Server s;
  title("another method, another content type, not a POST");
  s.receive(frame(kHeaders, kEndHeaders, 1, callHeaders("", "/a/c")));
  s.receive(frame(kHeaders, kEndHeaders, 3, callHeaders("", "/a/b", "text/plain")));
  s.receive(frame(kHeaders, kEndHeaders | kEndStream, 5,
                  field(":method", "GET") + field(":scheme", "http") + field(":path", "/a/b") +
                      field(":authority", "x")));
  title("compressed: by its headers, by a message");
  s.receive(frame(kHeaders, kEndHeaders, 7, callHeaders(field("grpc-encoding", "gzip"))));
  s.receive(frame(kHeaders, kEndHeaders, 9, callHeaders()) + frame(kData, 0, 9, "\1" + number(3, 4) + "abc"));
  title("longer than allowed, cut short");
  s.receive(frame(kHeaders, kEndHeaders, 11, callHeaders()) +
            frame(kData, 0, 11, std::string(1, '\0') + number(70000, 4)));
  s.receive(frame(kHeaders, kEndHeaders, 13, callHeaders()) +
            frame(kData, kEndStream, 13, grpc::framed("hello").substr(0, 7)));
  title("headers that are too long end the stream, not the connection");
  s.receive(frame(kHeaders, 0, 15, callHeaders(field("big", std::string(9000, 'x')))) +
            frame(kContinuation, kEndHeaders, 15, field("big", std::string(9000, 'x'))));
  s.receive(frame(kHeaders, kEndHeaders, 17, callHeaders()));
  for (const std::string& bad : {frame(kData, 0, 2, "x"), frame(kContinuation, kEndHeaders, 17, "x"),
                                 frame(kHeaders, kEndHeaders, 1, "\xff"), frame(kWindow, 0, 0, number(0, 4)),
                                 std::string(2000, 'z')}) {
    Server t;
    title("what no client sends");
    const bool isOpen = t.receive(bad);
    std::cout << "goes on: " << isOpen << "\n";
  }
}

std::string openStream(std::uint32_t id) { return frame(kHeaders, kEndHeaders, id, callHeaders()); }
std::string resetStream(std::uint32_t id) { return frame(kReset, 0, id, number(8, 4)); }
// Streams of clients have odd ids.
std::uint32_t streamId(std::uint32_t index) { return index * 2 + 1; }

void floodWithIdleFrames() {
  title("pings that nobody reads the answers of; settings; priorities; empty data; windows");
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
  title("the same at a pace that a busy proxy may have: 500 a second");
  Server s;
  s.flood(
      [&](auto n) {
        s.now = s.now + Duration::millis(2);
        return openAndReset(n);
      },
      20000);
}

void floodWithStreams() {
  title("more streams than are allowed at a time");
  grpc::Bounds bounds;
  bounds.connection.maxStreams = 10;
  Server s(bounds);
  s.receive(frame(kSettings, kAck, 0, ""));
  s.flood([](auto n) { return openStream(streamId(n)); }, 20000);
}

void floodWithHeaders() {
  title("a header block without an end; fields that the table holds, named again and again");
  const std::string block = callHeaders();
  Server().flood([&](auto n) {
    return n == 0 ? frame(kHeaders, 0, 1, block)
                  : frame(kContinuation, 0, 1, field("a", std::string(1000, 'x')));
  });
  Server s;
  s.quiet = true;
  const std::string indexed = "\x40" + field("big", std::string(3000, 'x')).substr(1);
  const bool isOpen =
      s.receive(frame(kHeaders, kEndHeaders, 1, block + indexed + std::string(10000, '\xbe')));
  std::cout << "goes on: " << isOpen << ", " << s.calls.open() << " calls open\n";
}

void sendWithoutWindow() {
  title("a window that is never opened: what waits is bounded, and its stream goes");
  grpc::Bounds bounds;
  bounds.connection.maxUnsentBytes = 10000;
  Server s(bounds, number(4, 2) + number(0, 4));
  s.quiet = true;
  s.receive(openStream(1) + openStream(3));
  for (int i = 0; i < 100; ++i) s.send(1, std::string(1000, 'x'));
  s.send(3, "still here");
  s.quiet = false;
  s.receive(frame(kWindow, 0, 3, number(100, 4)));
  std::cout << s.calls.open() << " calls open\n";
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
  const std::map<std::string, void (*)()> cases{
      {"frames", frames}, {"rejected-calls", rejectedCalls}, {"floods", floods}};
  const auto found = cases.find(count > 1 ? arguments[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
