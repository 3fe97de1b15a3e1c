#include "testing/fake_servers/fake_node.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <charconv>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fake_servers {

namespace {

constexpr const char* kHost = "127.0.0.1";

std::string addressOf(const event_loop::Stream& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
  return std::string(kHost) + ":" + std::to_string(ntohs(address.sin_port));
}

// What one side of a connection has read and not taken yet.
struct Wire {
  Wire(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}
  event_loop::Stream stream;
  std::string kept;
  bool over = false;

  void read() {
    char bytes[4096];
    while (stream.canRead() && !over) {
      const auto got = stream.read(bytes);
      if (got.status == event_loop::Io::some) kept.append(bytes, got.size);
      if (got.status == event_loop::Io::ended || got.status == event_loop::Io::failed) over = true;
    }
  }
  void write(std::string_view bytes) {
    const auto done = stream.write({&bytes, 1});
    if (done.status != event_loop::Io::some)
      over = true;  // what stand-ins say is short: it fits or the peer is gone
  }
};

// Serves each connection that comes, for as long as the loop runs.
event_loop::Task acceptAll(event_loop::Stream& listener, std::function<void(event_loop::Descriptor)> serve) {
  for (;;) {
    event_loop::Descriptor taken;
    if (listener.accept(taken) == event_loop::Io::some)
      serve(std::move(taken));
    else
      co_await listener.changed();
  }
}

// A head's first line and the value of a field, both in lower case names.
std::string field(std::string_view head, std::string_view name) {
  const auto at = head.find("\r\n" + std::string(name) + ": ");
  if (at == std::string_view::npos) return "";
  const auto from = at + name.size() + 4;
  return std::string(head.substr(from, head.find("\r\n", from) - from));
}

}  // namespace

FakeNode::FakeNode(event_loop::EventLoop& loop, std::string id, bool isPrimary)
    : primary(isPrimary),
      loop_(loop),
      id_(std::move(id)),
      listener_(std::make_unique<event_loop::Stream>(loop, event_loop::listenOn(kHost, 0))) {
  loop_.spawn(
      acceptAll(*listener_, [this](event_loop::Descriptor taken) { loop_.spawn(serve(std::move(taken))); }));
}
FakeNode::~FakeNode() = default;

std::string FakeNode::address() const { return addressOf(*listener_); }

std::string FakeNode::head(int status, const std::string& outcome) const {
  const auto position = (loop_.now() - (primary ? Duration() : lag)).inMicros() / 1000;
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nx-node-role: " + (primary ? "primary" : "replica") +
         "\r\nx-node-position: " + std::to_string(position) + "\r\nx-node-outcome: " + outcome +
         "\r\ncontent-length: 0\r\n\r\n";
}

event_loop::Task FakeNode::serve(event_loop::Descriptor descriptor) {
  Wire wire(loop_, std::move(descriptor));
  while (!wire.over) {
    wire.read();
    const auto end = wire.kept.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (!wire.over) co_await wire.stream.changed();
      continue;
    }
    const std::string request = wire.kept.substr(0, end + 2);
    wire.kept.erase(0, end + 4);
    if (down) co_return;
    if (request.starts_with("GET /standing ")) {
      ++probes;
      wire.write(head(200, "committed"));
      continue;
    }
    ++requests;
    const std::string txn = field(request, "x-txn-id");
    const bool write = request.starts_with("POST");
    const Fault what = fault ? fault(txn) : Fault::none;
    if (what == Fault::cutBefore) co_return;
    if (what == Fault::turnAway) {
      wire.write(head(503, "turned-away"));
      continue;
    }
    if (what == Fault::missAnswer || (write && !primary)) {
      writesAsReplica += write && !primary;
      wire.write(head(421, "miss"));
      continue;
    }
    ++runs[txn];
    if (what == Fault::cutAfter) co_return;
    co_await loop_.sleepUntil(loop_.now() + (what == Fault::hang ? Duration::millis(3'600'000) : work));
    wire.write(what == Fault::error ? head(500, "error") : head(200, "committed"));
  }
}

// --- Discovery

FakeDiscovery::FakeDiscovery(event_loop::EventLoop& loop, unsigned short port)
    : loop_(loop), listener_(std::make_unique<event_loop::Stream>(loop, event_loop::listenOn(kHost, port))) {
  loop_.spawn(
      acceptAll(*listener_, [this](event_loop::Descriptor taken) { loop_.spawn(serve(std::move(taken))); }));
}
FakeDiscovery::~FakeDiscovery() = default;

std::string FakeDiscovery::address() const { return addressOf(*listener_); }

void FakeDiscovery::set(const Entry& entry) { entries_[entry.id] = {++version_, entry}; }

// The object stays: the coroutines of its connections refer to it.
void FakeDiscovery::beginAnew() {
  entries_.clear();
  version_ = 1;
  ++starts_;
}

std::string FakeDiscovery::list(std::uint64_t after, bool whole) const {
  std::string servers;
  for (const auto& [id, held] : entries_) {
    const auto& [version, entry] = held;
    if (!whole && version <= after) continue;
    servers += std::string(servers.empty() ? "" : ",") + R"({"id":")" + id + R"(","addr":")" + entry.address +
               R"(","zone":"a","kind":"k","cell":)" + std::to_string(entry.group) + R"(,"state":")" +
               entry.state + R"(","part":")" + (entry.primary ? "master" : "replica") +
               R"(","started_ms":0})";
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"full":)" + (whole ? "true" : "false") +
         R"(,"servers":[)" + servers + "]}\n";
}

event_loop::Task FakeDiscovery::serve(event_loop::Descriptor descriptor) {
  const std::uint64_t start = starts_;
  Wire wire(loop_, std::move(descriptor));
  for (wire.read(); !wire.over && wire.kept.find("\r\n\r\n") == std::string::npos; wire.read())
    co_await wire.stream.changed();
  const auto at = wire.kept.find("index=");
  if (at == std::string::npos) {
    const std::string body = list(0, true);
    if (!silent)
      wire.write("HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    co_return;
  }
  std::uint64_t told = 0;
  std::from_chars(wire.kept.data() + at + 6, wire.kept.data() + wire.kept.size(), told);
  const auto chunk = [&](const std::string& body) {
    char size[20];
    const auto end = std::to_chars(size, size + sizeof size, body.size(), 16).ptr;
    wire.write(std::string(size, end) + "\r\n" + body + "\r\n");
  };
  wire.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
  Instant heardAt = loop_.now();
  while (!wire.over && start == starts_) {
    if (!silent && told < version_) {
      chunk(list(told, false));
      told = version_;
      heardAt = loop_.now();
    } else if (!silent && loop_.now() - heardAt > Duration::millis(2000)) {
      chunk("\n");
      heardAt = loop_.now();
    }
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(5));
    wire.read();
  }
}

}  // namespace gulltrestle::fake_servers
