// The surroundings of a small installation in front of which other proxies stand: discovery, one group of a
// primary and two replicas, and the configuration files of three routers that are external processors and
// voting members. The settings are those of hanul-bookings. Programs that use it write one line per action to
// standard output, which run.sh carries out or records:
//
//   record TEXT    a line of record.txt
//   start NAME     start the router of this name
//   kill NAME      kill -9 it
//   end CODE       the run is over, with this verdict
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "protocol/ext_proc/messages.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"
#include "testing/fake_servers/fake_node.h"

namespace gulltrestle::review {

inline std::string freeAddress() {
  const event_loop::Descriptor listener = event_loop::listenOn("127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

inline void command(const std::string& line) { std::cout << line << std::endl; }

// Whether the routers agree on at-most-once transactions (GULLTRESTLE_FLEET).
enum class Coordination { none, votingMembers };

class Installation {
 public:
  static constexpr int kRouters = 3;

  // Writes the files of the routers into `folder`. `messageTimeoutMs`: that of the proxies.
  Installation(event_loop::EventLoop& loop, const std::string& folder, int messageTimeoutMs,
               Coordination coordination)
      : loop_(loop), startedAt_(loop.now()) {
    std::string known;
    for (auto* node : {&primary, &replica1, &replica2}) {
      node->executionTime = Duration::millis(60);  // book-charge: 44 to 75 ms of work
      discovery.set({node->id(), node->address(), "up", node->isPrimary, 1});
      known += (known.empty() ? "" : ",") + std::string(R"({"id":")") + node->id() + R"(","addr":")" +
               node->address() + R"(","zone":"yard-office","kind":"std-5core","cell":1,"state":"up",)" +
               R"("weight":1.0,"part":")" + (node->isPrimary ? "master" : "replica") + R"(","started_ms":0})";
    }
    std::string keepers;
    for (int i = 1; i <= kRouters; ++i) {
      processors.push_back(freeAddress());
      keepers += (i > 1 ? ",\"r" : "\"r") + std::to_string(i) + "\":\"" + freeAddress() + "\"";
    }
    for (int i = 1; i <= kRouters; ++i) {
      const std::string base = folder + "/r" + std::to_string(i);
      std::ofstream(base + ".json")
          << R"({"name":"r)" << i << R"(","listen":")" << freeAddress() << R"(","discovery":")"
          << discovery.address()
          << R"(","seed":"5eed","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)"
          << R"("known":{"version":1,"full":true,"servers":[)" << known << "]}," << kSettings << "}\n";
      if (coordination == Coordination::votingMembers)
        std::ofstream(base + ".fleet.json")
            << R"({"keepers":{)" << keepers << R"(},"store":")" << base << R"(.store"})"
            << "\n";
      std::ofstream(base + ".ext_proc.json")
          << R"({"listen":")" << processors[static_cast<std::size_t>(i) - 1]
          << R"(","placement":"try","probe_path":"/standing","message_timeout_ms":)" << messageTimeoutMs
          << "}\n";
    }
    primary.chooseFault = [this](const std::string& id) {
      record("node n1 (primary) runs " + id);
      if (onRun) onRun(id);
      return fake_servers::Fault::none;
    };
  }

  void record(const std::string& text) const {
    char seconds[16];
    std::snprintf(seconds, sizeof seconds, "%8.3f ", (loop_.now() - startedAt_).inSeconds());
    command("record " + std::string(seconds) + text);
  }

  // Headers of a client's book-charge.
  static ext_proc::Headers bookCharge(const std::string& id) {
    return {{":method", "POST"},           {":path", "/"},       {"x-txn-id", id},
            {"x-txn-type", "book-charge"}, {"x-txn-group", "1"}, {"x-txn-session", "account-1"}};
  }

 private:
  event_loop::EventLoop& loop_;
  Instant startedAt_;

 public:
  fake_servers::FakeDiscovery discovery{loop_};
  fake_servers::FakeNode primary{loop_, "n1", true}, replica1{loop_, "n2", false},
      replica2{loop_, "n3", false};
  std::vector<std::string> processors;               // where each router listens for proxies
  std::function<void(const std::string& id)> onRun;  // the primary has begun to run a booking

 private:
  static constexpr const char* kSettings = R"("settings":{"zone":"yard-office","round":5000,"balancers":3,
"limits":{"probes":true,"cancel":true,"secondCopies":true,"retryAfter":true,"maxAttempts":6,"maxRetryAfter":500000,
"connIdle":30000000,"connectTimeout":250000},
"lanes":[{"name":"route-lookup","effect":"idempotent","objective":300000,"deadline":1200000,"worth":2,"lateShare":0.2},
{"name":"book-charge","effect":"at_most_once","objective":400000,"deadline":5000000,"worth":3,"lateShare":0.7}],
"rules":{"coldFrom":0.15,"cold":17000000,"drainGrace":1000000},
"specifics":{"readLevel":["loose","update"],"lagAllowed":[0,0],"sessionMarks":"client","guards":"off"}})";
};

// What became of one booking: the requests that its client sent for it, one after another.
struct Booking {
  struct Request {
    std::string id, outcome;
  };
  std::vector<Request> requests;
};

// Records each booking, and returns the verdict: 1 if a booking ran twice, or if its client was told that a
// request which ran was refused ("trying again is harmless"); 2 if no booking ran at all.
inline int verdict(const Installation& world, const std::vector<Booking>& bookings) {
  bool isBroken = false;
  unsigned ran = 0;
  for (const Booking& booking : bookings) {
    unsigned runs = 0;
    for (const auto& request : booking.requests) {
      const auto found = world.primary.runCounts.find(request.id);
      const unsigned count = found == world.primary.runCounts.end() ? 0 : found->second;
      runs += count;
      const bool isRefusedThoughRun = count > 0 && request.outcome == "refused";
      isBroken = isBroken || isRefusedThoughRun;
      world.record("request " + request.id + ": ran " + std::to_string(count) + " times, answered " +
                   (request.outcome.empty() ? "with no outcome" : request.outcome) +
                   (isRefusedThoughRun ? "  <-- refused, though it ran" : ""));
    }
    isBroken = isBroken || runs > 1;
    ran += runs;
    if (runs > 1) world.record("this booking ran " + std::to_string(runs) + " times  <-- twice");
  }
  if (ran == 0) return 2;
  return isBroken ? 1 : 0;
}

}  // namespace gulltrestle::review
