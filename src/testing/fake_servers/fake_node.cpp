#include "testing/fake_servers/fake_node.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <charconv>
#include <string_view>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fake_servers {

namespace {

constexpr const char* kHost = "127.0.0.1";

// Longer than any test.
constexpr Duration kHangTime = Duration::millis(3'600'000);

// A watch checks for changes at the first interval, and sends an empty line after the second one without a
// change.
constexpr Duration kWatchInterval = Duration::millis(5), kKeepaliveInterval = Duration::millis(2000);
// Precedes the version after which a watch requests changes.
constexpr std::string_view kWatchParameter = "index=";

std::string addressOf(const event_loop::Stream& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
  return std::string(kHost) + ":" + std::to_string(ntohs(address.sin_port));
}

// The server's end of a connection, with the bytes that were read but not consumed yet.
struct Connection {
  Connection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}
  event_loop::Stream stream;
  std::string received;
  bool hasEnded = false;

  void read() {
    char bytes[4096];
    while (stream.canRead() && !hasEnded) {
      const auto got = stream.read(bytes);
      if (got.status == event_loop::IoStatus::ok) received.append(bytes, got.size);
      if (got.status == event_loop::IoStatus::endOfStream || got.status == event_loop::IoStatus::failed)
        hasEnded = true;
    }
  }
  // Fake servers send only short messages, so a write that doesn't complete immediately means that the peer
  // is lost.
  void write(std::string_view bytes) {
    const auto done = stream.write({&bytes, 1});
    if (done.status != event_loop::IoStatus::ok) hasEnded = true;
  }
};

// Accepts and serves connections for as long as the loop runs.
event_loop::Task acceptAll(event_loop::Stream& listener, std::function<void(event_loop::Descriptor)> serve) {
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == event_loop::IoStatus::ok) {
      serve(std::move(accepted));
    } else {
      co_await listener.changed();
    }
  }
}

// Returns the value of a header, or an empty string if it is absent. `name` is in lower case.
std::string headerOf(std::string_view head, std::string_view name) {
  const std::string prefix = "\r\n" + std::string(name) + ": ";
  const auto found = head.find(prefix);
  if (found == std::string_view::npos) return "";
  const auto begin = found + prefix.size();
  return std::string(head.substr(begin, head.find("\r\n", begin) - begin));
}

// Appends an entry of the endpoint list to `entries`, as JSON.
void appendEntry(std::string& entries, const FakeDiscovery::Entry& entry) {
  if (!entries.empty()) entries += ",";
  entries += R"({"id":")" + entry.id + R"(","addr":")" + entry.address +
             R"(","zone":"a","kind":"k","cell":)" + std::to_string(entry.group) + R"(,"state":")" +
             entry.state + R"(","part":")" + (entry.isPrimary ? "master" : "replica") +
             R"(","started_ms":0})";
}

// Encodes `bytes` as one chunk of the chunked transfer coding.
std::string chunkOf(const std::string& bytes) {
  char size[20];
  const auto end = std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
  return std::string(size, end) + "\r\n" + bytes + "\r\n";
}

}  // namespace

FakeNode::FakeNode(event_loop::EventLoop& loop, std::string id, bool startsAsPrimary)
    : isPrimary(startsAsPrimary),
      loop_(loop),
      id_(std::move(id)),
      listener_(std::make_unique<event_loop::Stream>(loop, event_loop::listenOn(kHost, 0))) {
  loop_.spawn(acceptAll(
      *listener_, [this](event_loop::Descriptor accepted) { loop_.spawn(serve(std::move(accepted))); }));
}
FakeNode::~FakeNode() = default;

std::string FakeNode::address() const { return addressOf(*listener_); }

std::string FakeNode::responseHead(int status, const std::string& outcome) const {
  const Instant position = loop_.now() - (isPrimary ? Duration() : lag);
  return "HTTP/1.1 " + std::to_string(status) + " x\r\nx-node-role: " + (isPrimary ? "primary" : "replica") +
         "\r\nx-node-position: " + std::to_string(position.inMicros() / 1000) +
         "\r\nx-node-outcome: " + outcome + "\r\ncontent-length: 0\r\n\r\n";
}

event_loop::Task FakeNode::serve(event_loop::Descriptor descriptor) {
  Connection connection(loop_, std::move(descriptor));
  while (!connection.hasEnded) {
    connection.read();
    const auto headEnd = connection.received.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
      if (!connection.hasEnded) co_await connection.stream.changed();
      continue;
    }
    const std::string request = connection.received.substr(0, headEnd + 2);
    connection.received.erase(0, headEnd + 4);
    if (isDown) co_return;
    if (request.starts_with("GET /standing ")) {
      ++healthCheckCount;
      connection.write(responseHead(200, "committed"));
      continue;
    }
    ++requestCount;
    const std::string txn = headerOf(request, "x-txn-id");
    const Fault fault = chooseFault ? chooseFault(txn) : Fault::none;
    const bool isWriteAtReplica = request.starts_with("POST") && !isPrimary;
    if (fault == Fault::closeBeforeRun) co_return;
    if (fault == Fault::rejection) {
      connection.write(responseHead(503, "turned-away"));
      continue;
    }
    if (fault == Fault::wrongNode || isWriteAtReplica) {
      if (isWriteAtReplica) ++writesAsReplicaCount;
      connection.write(responseHead(421, "miss"));
      continue;
    }
    ++runCounts[txn];
    if (fault == Fault::closeAfterRun) co_return;
    co_await loop_.sleepUntil(loop_.now() + (fault == Fault::hang ? kHangTime : executionTime));
    connection.write(fault == Fault::error ? responseHead(500, "error") : responseHead(200, "committed"));
  }
}

// --- Discovery

FakeDiscovery::FakeDiscovery(event_loop::EventLoop& loop, unsigned short port)
    : loop_(loop), listener_(std::make_unique<event_loop::Stream>(loop, event_loop::listenOn(kHost, port))) {
  loop_.spawn(acceptAll(
      *listener_, [this](event_loop::Descriptor accepted) { loop_.spawn(serve(std::move(accepted))); }));
}
FakeDiscovery::~FakeDiscovery() = default;

std::string FakeDiscovery::address() const { return addressOf(*listener_); }

void FakeDiscovery::set(const Entry& entry) { entries_[entry.id] = {++version_, entry}; }

// Keeps the object, because the coroutines of its connections refer to it.
void FakeDiscovery::restart() {
  entries_.clear();
  version_ = 1;
  ++incarnation_;
}

std::string FakeDiscovery::fullList() const {
  std::string entries;
  for (const auto& [id, versioned] : entries_) appendEntry(entries, versioned.entry);
  return documentOf(entries, true);
}

std::string FakeDiscovery::changesAfter(std::uint64_t version) const {
  std::string entries;
  for (const auto& [id, versioned] : entries_)
    if (versioned.version > version) appendEntry(entries, versioned.entry);
  return documentOf(entries, false);
}

std::string FakeDiscovery::documentOf(const std::string& entries, bool isFull) const {
  return R"({"version":)" + std::to_string(version_) + R"(,"full":)" + (isFull ? "true" : "false") +
         R"(,"servers":[)" + entries + "]}\n";
}

event_loop::Task FakeDiscovery::serve(event_loop::Descriptor descriptor) {
  const std::uint64_t incarnation = incarnation_;
  Connection connection(loop_, std::move(descriptor));
  for (connection.read(); !connection.hasEnded && connection.received.find("\r\n\r\n") == std::string::npos;
       connection.read())
    co_await connection.stream.changed();
  const auto index = connection.received.find(kWatchParameter);
  if (index == std::string::npos) {
    const std::string body = fullList();
    if (!isSilent)
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body);
    co_return;
  }
  const char* received = connection.received.data();
  std::uint64_t sentVersion = 0;
  std::from_chars(received + index + kWatchParameter.size(), received + connection.received.size(),
                  sentVersion);
  connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
  Instant sentAt = loop_.now();
  while (!connection.hasEnded && incarnation == incarnation_) {
    if (!isSilent && sentVersion < version_) {
      connection.write(chunkOf(changesAfter(sentVersion)));
      sentVersion = version_;
      sentAt = loop_.now();
    } else if (!isSilent && loop_.now() - sentAt > kKeepaliveInterval) {
      connection.write(chunkOf("\n"));
      sentAt = loop_.now();
    }
    co_await loop_.sleepUntil(loop_.now() + kWatchInterval);
    connection.read();
  }
}

}  // namespace gulltrestle::fake_servers
