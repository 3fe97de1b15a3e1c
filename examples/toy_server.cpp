// A toy to try the router with: a primary, two replicas that follow it 300 ms late, and discovery, all
// simulated in one process on loopback. Keeps what is written in memory.
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
using event_loop::Io;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr unsigned short kDiscovery = 8500;
constexpr std::array<unsigned short, 3> kNodes{7001, 7002, 7003};  // the first is the primary
constexpr Duration kLag = Duration::millis(300);
constexpr std::size_t kLongest = 256 * 1024;

struct Version {
  Instant commit;
  std::string hex;  // the value, as the statement words it
};

std::map<std::string, std::vector<Version>, std::less<>> objects;

std::string number(std::uint32_t n, int bytes) {
  std::string made;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) made += static_cast<char>(n >> shift & 0xFF);
  return made;
}

std::string status(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string row(std::string_view name, std::uint32_t type, const std::string& value, const char* tag) {
  const std::string column = std::string(name) + '\0' + number(0, 4) + number(0, 2) + number(type, 4) +
                             number(0xFFFF, 2) + number(0xFFFFFFFF, 4) + number(0, 2);
  return postgres::message('T', number(1, 2) + column) +
         postgres::message('D', number(1, 2) + number(static_cast<std::uint32_t>(value.size()), 4) + value) +
         postgres::message('C', std::string(tag) + '\0');
}

// What a node answers at a moment; `isPrimary` tells which kind it is.
std::string answer(std::string_view text, bool isPrimary, Instant now) {
  const Instant position = isPrimary ? now : now - kLag;
  const std::string role = status("part", isPrimary ? "master" : "replica");
  if (postgres::isBlank(text)) return postgres::emptyQueryResponse() + postgres::readyForQuery();
  if (text == postgres::kShowReport)
    return row("gauges", 25,
               "x0=" + std::to_string((position - Instant()).inSeconds()) + (isPrimary ? ",x1=1" : ",x1=0"),
               "SHOW") +
           postgres::readyForQuery();
  try {
    const auto statement = postgres::readStatement(text);
    std::cout << (isPrimary ? "primary: " : "replica: ") << text << std::endl;
    auto& versions = objects[std::string(statement.key)];
    if (!statement.writes) {
      std::string hex;
      for (const Version& version : versions)
        if (version.commit <= position) hex = version.hex;
      return row("body", 17, "\\x" + hex, "SELECT 1") + role + postgres::readyForQuery();
    }
    if (!isPrimary)
      return postgres::error("ERROR", "25006", "this is no primary") + role + postgres::readyForQuery();
    const auto from = text.find("'\\x") + 3;
    versions.push_back({now, std::string(text.substr(from, text.find('\'', from) - from))});
    // The commit's time is rounded up to milliseconds.
    const auto commit = std::to_string((now.inMicros() + 999) / 1000);
    return row("body", 17, "\\x" + versions.back().hex, "INSERT 0 1") + role +
           status("caught_up_to", commit) + postgres::readyForQuery();
  } catch (const postgres::InvalidStatement& bad) {
    return postgres::error("ERROR", bad.code(), bad.what()) + role + postgres::readyForQuery();
  }
}

// Takes all that has come; false once the other side has ended or was reset.
bool readAll(event_loop::Stream& from, std::string& kept) {
  while (from.canRead()) {
    std::array<char, 4096> bytes;
    const auto got = from.read(bytes);
    if (got.status == Io::some) kept.append(bytes.data(), got.size);
    if (got.status == Io::ended || got.status == Io::failed || kept.size() > kLongest) return false;
  }
  return true;
}

bool write(event_loop::Stream& to, std::string& unsent) {
  while (!unsent.empty()) {
    const std::string_view all = unsent;
    const auto done = to.write({&all, 1});
    if (done.status != Io::some) return done.status == Io::wouldBlock;
    unsent.erase(0, done.size);
  }
  return true;
}

event_loop::Task serveNode(event_loop::EventLoop& all, event_loop::Descriptor descriptor, bool isPrimary) {
  event_loop::Stream stream(all, std::move(descriptor));
  std::string kept, unsent;
  bool started = false;
  try {
    while (readAll(stream, kept)) {
      std::string_view bytes = kept;
      if (!started && (started = postgres::takeOpening(bytes).has_value())) unsent += postgres::welcome();
      while (started) {
        const auto message = postgres::takeMessage(bytes, kLongest);
        if (!message) break;
        if (message->type == 'X') co_return;
        auto body = message->body;
        if (message->type == 'Q') unsent += answer(postgres::takeText(body), isPrimary, all.now());
      }
      kept.erase(0, kept.size() - bytes.size());
      if (!write(stream, unsent)) co_return;
      co_await stream.changed();
    }
  } catch (const postgres::Malformed& bad) {
    std::cout << "a router sent what can't be read: " << bad.what() << std::endl;
  }
}

std::string list() {
  std::string entries;
  for (const auto port : kNodes)
    entries += std::string(entries.empty() ? "" : ",") + R"({"id":"toy-)" + std::to_string(port) +
               R"(","addr":"127.0.0.1:)" + std::to_string(port) +
               R"(","zone":"here","kind":"toy","cell":1,"state":"up","weight":1,"started_ms":0,"part":")" +
               (port == kNodes[0] ? "master" : "replica") + "\"}";
  return R"({"version":1,"full":true,"servers":[)" + entries + "]}";
}

std::string chunk(const std::string& text) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (auto n = text.size(); n > 0; n /= 16) size.insert(size.begin(), kDigits[n % 16]);
  return size + "\r\n" + text + "\r\n";
}

event_loop::Task serveDiscovery(event_loop::EventLoop& all, event_loop::Descriptor descriptor) {
  event_loop::Stream stream(all, std::move(descriptor));
  std::string kept, unsent;
  bool watching = false;
  Instant nextLine;
  while (readAll(stream, kept)) {
    if (const auto end = kept.find("\r\n\r\n"); end != std::string::npos && !watching) {
      watching = kept.find("stream=1") < kept.find("\r\n");
      kept.erase(0, end + 4);
      const std::string body = list();
      unsent += watching
                    ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body + "\n")
                    : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      nextLine = all.now() + Duration::seconds(2);
    }
    if (watching) {
      if (all.now() >= nextLine) {
        unsent += chunk("\n");
        nextLine = all.now() + Duration::seconds(2);
      }
      stream.wakeAt(nextLine);
    }
    if (!write(stream, unsent)) co_return;
    co_await stream.changed();
  }
}

using Serve = std::function<event_loop::Task(event_loop::Descriptor)>;

event_loop::Task acceptAll(event_loop::EventLoop& all, unsigned short port, Serve serve) {
  event_loop::Stream listener(all, event_loop::listenOn(kHost, port));
  for (;;) {
    event_loop::Descriptor taken;
    if (listener.accept(taken) == Io::some)
      all.spawn(serve(std::move(taken)));
    else
      co_await listener.changed();
  }
}

event_loop::Task untilTold(event_loop::EventLoop& all) {
  event_loop::Stream signals(all, event_loop::signals());
  co_await signals.changed();
  all.stop();
}

}  // namespace

int main() {
  event_loop::EventLoop all;
  int code = 0;
  for (const auto port : kNodes)
    all.spawn(acceptAll(all, port, [&all, port](event_loop::Descriptor taken) {
      return serveNode(all, std::move(taken), port == kNodes[0]);
    }));
  all.spawn(acceptAll(all, kDiscovery, [&all](event_loop::Descriptor taken) {
    return serveDiscovery(all, std::move(taken));
  }));
  all.spawn(untilTold(all));
  std::cout << "simulated nodes on ports 7001 (primary), 7002 and 7003, discovery on 8500" << std::endl;
  all.run([](Instant) { return Instant(); },
          [&](std::exception_ptr failure) {
            try {
              std::rethrow_exception(failure);
            } catch (const std::exception& bad) { std::cerr << "toy_server: " << bad.what() << std::endl; }
            code = 1;
            all.stop();
          });
  return code;
}
