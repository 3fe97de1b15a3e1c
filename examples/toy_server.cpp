// Example environment to try the router: a primary, two replicas with a replication lag of 300 ms, and
// discovery, all simulated in one process on loopback. Written objects are stored in memory.
#include <array>
#include <iostream>
#include <map>
#include <system_error>

#include "protocol/postgres/answer.h"
#include "protocol/postgres/messages.h"
#include "protocol/postgres/statement.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"

using namespace gulltrestle;
using event_loop::IoStatus;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr unsigned short kDiscoveryPort = 8500;
constexpr std::array<unsigned short, 3> kNodePorts{7001, 7002, 7003};  // the first is the primary
constexpr Duration kReplicationLag = Duration::millis(300);
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;  // of one connection; also the maximum message size

// One committed value of an object.
struct Version {
  Instant commit;
  std::string hex;  // the value in hexadecimal, as written in the statement
};

// All versions of each object, by key, in commit order.
std::map<std::string, std::vector<Version>, std::less<>> objects;

// Encodes an integer in network byte order.
std::string bigEndian(std::uint32_t value, int bytes) {
  std::string encoded;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    encoded += static_cast<char>(value >> shift & 0xFF);
  return encoded;
}

// Builds a ParameterStatus message.
std::string parameterStatus(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

// Builds the messages of a result with one row and one column: RowDescription, DataRow, CommandComplete.
std::string singleRowResult(std::string_view name, std::uint32_t type, const std::string& value,
                            const char* tag) {
  const std::string column = std::string(name) + '\0' + bigEndian(0, 4) + bigEndian(0, 2) +
                             bigEndian(type, 4) + bigEndian(0xFFFF, 2) + bigEndian(0xFFFFFFFF, 4) +
                             bigEndian(0, 2);
  return postgres::message('T', bigEndian(1, 2) + column) +
         postgres::message('D',
                           bigEndian(1, 2) + bigEndian(static_cast<std::uint32_t>(value.size()), 4) + value) +
         postgres::message('C', std::string(tag) + '\0');
}

// Executes a statement on a node and returns the messages of its answer. A replica reads the versions that
// were committed at least kReplicationLag ago, and rejects writes.
std::string answer(std::string_view text, bool isPrimary, Instant now) {
  const Instant position = isPrimary ? now : now - kReplicationLag;
  const std::string role = parameterStatus("part", isPrimary ? "master" : "replica");
  if (postgres::isBlank(text)) return postgres::emptyQueryResponse() + postgres::readyForQuery();
  if (text == postgres::kShowReport)
    return singleRowResult(
               "gauges", 25,
               "x0=" + std::to_string((position - Instant()).inSeconds()) + (isPrimary ? ",x1=1" : ",x1=0"),
               "SHOW") +
           postgres::readyForQuery();
  try {
    const auto statement = postgres::readStatement(text);
    std::cout << (isPrimary ? "primary: " : "replica: ") << text << std::endl;
    auto& versions = objects[std::string(statement.key)];
    if (!statement.isWrite) {
      std::string hex;
      for (const Version& version : versions)
        if (version.commit <= position) hex = version.hex;
      return singleRowResult("body", 17, "\\x" + hex, "SELECT 1") + role + postgres::readyForQuery();
    }
    if (!isPrimary)
      return postgres::error("ERROR", "25006", "this node is not the primary") + role +
             postgres::readyForQuery();
    const auto from = text.find("'\\x") + 3;
    versions.push_back({now, std::string(text.substr(from, text.find('\'', from) - from))});
    // Rounded up to milliseconds, so that a read at this position includes the commit.
    const auto commit = std::to_string((now.inMicros() + 999) / 1000);
    return singleRowResult("body", 17, "\\x" + versions.back().hex, "INSERT 0 1") + role +
           parameterStatus("caught_up_to", commit) + postgres::readyForQuery();
  } catch (const postgres::InvalidStatement& invalid) {
    return postgres::error("ERROR", invalid.code(), invalid.what()) + role + postgres::readyForQuery();
  }
}

// Appends all available bytes to `received`. Returns false if the peer has closed the connection, if it
// failed, or if `received` exceeds kMaxBufferedBytes.
bool readAll(event_loop::Stream& from, std::string& received) {
  while (from.canRead()) {
    std::array<char, 4096> bytes;
    const auto result = from.read(bytes);
    if (result.status == IoStatus::ok) received.append(bytes.data(), result.size);
    if (result.status == IoStatus::endOfStream || result.status == IoStatus::failed ||
        received.size() > kMaxBufferedBytes)
      return false;
  }
  return true;
}

// Writes as much of `unsent` as possible and removes it. Returns false if the connection failed.
bool write(event_loop::Stream& to, std::string& unsent) {
  while (!unsent.empty()) {
    const std::string_view buffer = unsent;
    const auto result = to.write({&buffer, 1});
    if (result.status != IoStatus::ok) return result.status == IoStatus::wouldBlock;
    unsent.erase(0, result.size);
  }
  return true;
}

// Serves one connection to a simulated node.
event_loop::Task serveNode(event_loop::EventLoop& loop, event_loop::Descriptor descriptor, bool isPrimary) {
  event_loop::Stream stream(loop, std::move(descriptor));
  std::string received, unsent;
  bool started = false;
  try {
    while (readAll(stream, received)) {
      std::string_view bytes = received;
      if (!started && (started = postgres::takeStartupMessage(bytes).has_value()))
        unsent += postgres::startupAnswer();
      while (started) {
        const auto message = postgres::takeMessage(bytes, kMaxBufferedBytes);
        if (!message) break;
        if (message->type == 'X') co_return;
        auto body = message->body;
        if (message->type == 'Q') unsent += answer(postgres::takeString(body), isPrimary, loop.now());
      }
      received.erase(0, received.size() - bytes.size());
      if (!write(stream, unsent)) co_return;
      co_await stream.changed();
    }
  } catch (const postgres::Malformed& error) {
    std::cout << "received a malformed message: " << error.what() << std::endl;
  }
}

// Returns the endpoint list in discovery's JSON format.
std::string endpointList() {
  std::string entries;
  for (const auto port : kNodePorts)
    entries += std::string(entries.empty() ? "" : ",") + R"({"id":"toy-)" + std::to_string(port) +
               R"(","addr":"127.0.0.1:)" + std::to_string(port) +
               R"(","zone":"here","kind":"toy","cell":1,"state":"up","weight":1,"started_ms":0,"part":")" +
               (port == kNodePorts[0] ? "master" : "replica") + "\"}";
  return R"({"version":1,"full":true,"servers":[)" + entries + "]}";
}

// Encodes an HTTP chunk (RFC 9112, section 7.1).
std::string chunk(const std::string& text) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (auto remaining = text.size(); remaining > 0; remaining /= 16)
    size.insert(size.begin(), kDigits[remaining % 16]);
  return size + "\r\n" + text + "\r\n";
}

// Serves one connection to discovery. A request with stream=1 keeps it open, with an empty line every 2 s.
event_loop::Task serveDiscovery(event_loop::EventLoop& loop, event_loop::Descriptor descriptor) {
  event_loop::Stream stream(loop, std::move(descriptor));
  std::string received, unsent;
  bool watching = false;
  Instant nextLine;
  while (readAll(stream, received)) {
    if (const auto end = received.find("\r\n\r\n"); end != std::string::npos && !watching) {
      watching = received.find("stream=1") < received.find("\r\n");
      received.erase(0, end + 4);
      const std::string body = endpointList();
      unsent += watching
                    ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body + "\n")
                    : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      nextLine = loop.now() + Duration::seconds(2);
    }
    if (watching) {
      if (loop.now() >= nextLine) {
        unsent += chunk("\n");
        nextLine = loop.now() + Duration::seconds(2);
      }
      stream.wakeAt(nextLine);
    }
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

using ServeConnection = std::function<event_loop::Task(event_loop::Descriptor)>;

// Accepts connections on a port, and serves each in a task of its own.
event_loop::Task acceptAll(event_loop::EventLoop& loop, unsigned short port, ServeConnection serve) {
  event_loop::Stream listener(loop, event_loop::listenOn(kHost, port));
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener.accept(accepted) == IoStatus::ok)
      loop.spawn(serve(std::move(accepted)));
    else
      co_await listener.changed();
  }
}

// Stops the event loop on a termination signal.
event_loop::Task stopOnSignal(event_loop::EventLoop& loop) {
  event_loop::Stream signals(loop, event_loop::openSignalDescriptor());
  co_await signals.changed();
  loop.stop();
}

}  // namespace

int main() {
  event_loop::EventLoop loop;
  int exitCode = 0;
  for (const auto port : kNodePorts)
    loop.spawn(acceptAll(loop, port, [&loop, port](event_loop::Descriptor accepted) {
      return serveNode(loop, std::move(accepted), port == kNodePorts[0]);
    }));
  loop.spawn(acceptAll(loop, kDiscoveryPort, [&loop](event_loop::Descriptor accepted) {
    return serveDiscovery(loop, std::move(accepted));
  }));
  loop.spawn(stopOnSignal(loop));
  std::cout << "simulated nodes on ports 7001 (primary), 7002 and 7003, discovery on 8500" << std::endl;
  loop.run([](Instant) { return Instant(); },
           [&](std::exception_ptr failure) {
             try {
               std::rethrow_exception(failure);
             } catch (const std::exception& error) {
               std::cerr << "toy_server: " << error.what() << std::endl;
             }
             exitCode = 1;
             loop.stop();
           });
  return exitCode;
}
