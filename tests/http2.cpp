// gRPC over HTTP/2 without a socket: frames made by hand, and floods of them. Run as `http2 CASE`: prints the
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
// A field as a literal that the table does not keep.
std::string field(const std::string& name, const std::string& value) {
  const auto text = [](const std::string& t) {
    std::string out;
    if (t.size() < 127) return std::string(1, static_cast<char>(t.size())) + t;
    std::size_t left = t.size() - 127;
    out += static_cast<char>(127);
    for (; left >= 128; left /= 128) out += static_cast<char>(left % 128 + 128);
    return out + static_cast<char>(left) + t;
  };
  return std::string(1, '\0') + text(name) + text(value);
}
std::string ask(const std::string& more = "", const std::string& path = "/a/b",
                const std::string& type = "application/grpc") {
  return field(":method", "POST") + field(":scheme", "http") + field(":path", path) +
         field(":authority", "x") + field("content-type", type) + field("te", "trailers") + more;
}

const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// A server whose calls are printed, and what it writes, frame by frame.
class Server final : private grpc::CallHandler {
 public:
  explicit Server(grpc::Bounds bounds = {}, const std::string& settings = "") : calls("/a/b", bounds, *this) {
    quiet = true;
    gets(kPreface + frame(kSettings, 0, 0, settings));
    quiet = false;
  }
  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool gets(const std::string& bytes) {
    const bool on = calls.received(now, bytes);
    tell(calls.output());
    return on && !calls.done();
  }
  // The same again and again until the connection ends; how often it took.
  void flood(const std::function<std::string(std::uint32_t)>& made, std::uint32_t most = 100000) {
    std::uint32_t n = 0;
    quiet = true;
    for (; n < most && gets(made(n)); ++n) {}
    quiet = false;
    std::cout << (n < most ? "ended after " + std::to_string(n) : "took all " + std::to_string(n)) << ", "
              << calls.open() << " calls open, wrote " << wrote << " bytes\n";
  }
  void send(grpc::CallId call, const std::string& message) {
    calls.send(call, message), tell(calls.output());
  }
  void finish(grpc::CallId call, grpc::Status status) { calls.finish(call, status), tell(calls.output()); }

  bool quiet = false;
  std::size_t wrote = 0;
  Instant now = Instant::atMicros(1'700'000'000'000'000);
  grpc::ServerCalls calls;

 private:
  void tell(const std::string& bytes) {
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
  s.say("a header block in three frames, one field cut; a message in pieces, two in one frame");
  const std::string block = ask();
  s.gets(frame(kHeaders, 0, 1, block.substr(0, 10)) + frame(kContinuation, 0, 1, block.substr(10, 30)) +
         frame(kContinuation, kEndHeaders, 1, block.substr(40)));
  const std::string message = grpc::framed("hello");
  for (const char c : message) s.gets(frame(kData, 0, 1, std::string(1, c)));
  s.gets(frame(kData, 0, 1, grpc::framed("one") + grpc::framed("")));
  s.say("padding, a priority, an unknown kind of frame, a window, settings, a ping");
  s.gets(frame(kHeaders, kEndHeaders | kPadded, 3, "\4" + block + std::string(4, '\0')) +
         frame(kData, kPadded, 3, "\3" + grpc::framed("padded") + std::string(3, '\0')) +
         frame(kPriority, 0, 3, std::string(5, '\1')) + frame(0x77, 0, 0, "what") +
         frame(kWindow, 0, 0, number(1000, 4)) + frame(kSettings, 0, 0, number(5, 2) + number(20000, 4)) +
         frame(kPing, 0, 0, "12345678") + frame(kPing, kAck, 0, "12345678"));
  s.say("answers, an end in order, a reset by the client");
  s.send(1, "answer");
  s.finish(1, grpc::Status::ok);
  s.gets(frame(kData, kEndStream, 1, ""));
  s.gets(frame(kReset, 0, 3, number(8, 4)));
  s.say("all of it byte by byte");
  for (const char c : frame(kHeaders, kEndHeaders, 5, block) + frame(kData, kEndStream, 5, message))
    s.gets(std::string(1, c));
  s.finish(5, grpc::Status::invalidArgument);
  s.say("no more calls are taken once it goes away; those that are open go on");
  s.gets(frame(kHeaders, kEndHeaders, 7, block));
  s.calls.goAway();
  s.gets(frame(kHeaders, kEndHeaders, 9, block));
  s.gets(frame(kData, kEndStream, 7, message));
  s.finish(7, grpc::Status::ok);
  std::cout << "done: " << s.calls.done() << "\n";
  Server t;
  t.say("a client that goes away, then the connection is gone");
  t.gets(frame(kHeaders, kEndHeaders, 1, block) + frame(kGoAway, 0, 0, number(0, 4) + number(0, 4)));
  t.calls.connectionEnded();
}

void refusals() {
  Server s;
  s.say("another method, another content type, not a POST");
  s.gets(frame(kHeaders, kEndHeaders, 1, ask("", "/a/c")));
  s.gets(frame(kHeaders, kEndHeaders, 3, ask("", "/a/b", "text/plain")));
  s.gets(frame(kHeaders, kEndHeaders | kEndStream, 5,
               field(":method", "GET") + field(":scheme", "http") + field(":path", "/a/b") +
                   field(":authority", "x")));
  s.say("compressed: by its headers, by a message");
  s.gets(frame(kHeaders, kEndHeaders, 7, ask(field("grpc-encoding", "gzip"))));
  s.gets(frame(kHeaders, kEndHeaders, 9, ask()) + frame(kData, 0, 9, "\1" + number(3, 4) + "abc"));
  s.say("longer than allowed, cut short");
  s.gets(frame(kHeaders, kEndHeaders, 11, ask()) +
         frame(kData, 0, 11, std::string(1, '\0') + number(70000, 4)));
  s.gets(frame(kHeaders, kEndHeaders, 13, ask()) +
         frame(kData, kEndStream, 13, grpc::framed("hello").substr(0, 7)));
  s.say("headers that are too long end the stream, not the connection");
  s.gets(frame(kHeaders, 0, 15, ask(field("big", std::string(9000, 'x')))) +
         frame(kContinuation, kEndHeaders, 15, field("big", std::string(9000, 'x'))));
  s.gets(frame(kHeaders, kEndHeaders, 17, ask()));
  for (const std::string& bad : {frame(kData, 0, 2, "x"), frame(kContinuation, kEndHeaders, 17, "x"),
                                 frame(kHeaders, kEndHeaders, 1, "\xff"), frame(kWindow, 0, 0, number(0, 4)),
                                 std::string(2000, 'z')}) {
    Server t;
    t.say("what no client sends");
    const bool on = t.gets(bad);
    std::cout << "goes on: " << on << "\n";
  }
}

void floods() {
  const auto fresh = [](const std::string& text) { std::cout << "-- " << text << "\n"; };
  const std::string block = ask();
  fresh("pings that nobody reads the answers of; settings; priorities; empty data; windows");
  Server().flood([](auto) { return frame(kPing, 0, 0, "12345678"); });
  Server().flood([](auto) { return frame(kSettings, 0, 0, ""); });
  Server().flood([](auto) { return frame(kPriority, 0, 1, std::string(5, '\1')); });
  Server().flood(
      [&](auto n) { return n == 0 ? frame(kHeaders, kEndHeaders, 1, block) : frame(kData, 0, 1, ""); });
  Server().flood([&](auto) { return frame(kWindow, 0, 0, number(1, 4)); });
  fresh("streams opened and reset at full speed");
  Server().flood([&](auto n) {
    return frame(kHeaders, kEndHeaders, n * 2 + 1, block) + frame(kReset, 0, n * 2 + 1, number(8, 4));
  });
  fresh("the same at a pace that a busy proxy may have: 500 a second");
  {
    Server s;
    s.flood(
        [&](auto n) {
          s.now = s.now + Duration::millis(2);
          return frame(kHeaders, kEndHeaders, n * 2 + 1, block) + frame(kReset, 0, n * 2 + 1, number(8, 4));
        },
        20000);
  }
  fresh("more streams than are allowed at a time");
  grpc::Bounds few;
  few.connection.mostStreams = 10;
  {
    Server s(few);
    s.gets(frame(kSettings, kAck, 0, ""));
    s.flood([&](auto n) { return frame(kHeaders, kEndHeaders, n * 2 + 1, block); }, 20000);
  }
  fresh("a header block without an end; fields that the table holds, named again and again");
  Server().flood([&](auto n) {
    return n == 0 ? frame(kHeaders, 0, 1, block)
                  : frame(kContinuation, 0, 1, field("a", std::string(1000, 'x')));
  });
  {
    Server s;
    s.quiet = true;
    const std::string kept = "\x40" + field("big", std::string(3000, 'x')).substr(1);
    const bool on = s.gets(frame(kHeaders, kEndHeaders, 1, block + kept + std::string(10000, '\xbe')));
    std::cout << "goes on: " << on << ", " << s.calls.open() << " calls open\n";
  }
  fresh("a window that is never opened: what waits is bounded, and its stream goes");
  {
    grpc::Bounds bounds;
    bounds.connection.mostUnsent = 10000;
    Server s(bounds, number(4, 2) + number(0, 4));
    s.quiet = true;
    s.gets(frame(kHeaders, kEndHeaders, 1, block) + frame(kHeaders, kEndHeaders, 3, block));
    for (int i = 0; i < 100; ++i) s.send(1, std::string(1000, 'x'));
    s.send(3, "still here");
    s.quiet = false;
    s.gets(frame(kWindow, 0, 3, number(100, 4)));
    std::cout << s.calls.open() << " calls open\n";
  }
}

}  // namespace

int main(int count, char** words) {
  const std::map<std::string, void (*)()> cases{
      {"frames", frames}, {"refusals", refusals}, {"floods", floods}};
  const auto found = cases.find(count > 1 ? words[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
