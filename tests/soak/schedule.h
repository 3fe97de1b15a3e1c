// The faults of a soak: random by seed, overlapping, each with a start and an end. Every seed disables some
// kinds, so that rare combinations occur.
#pragma once

#include <array>
#include <map>
#include <random>
#include <string>

#include "soak/clients.h"

namespace gulltrestle::soak {

// A kind of fault.
enum class Fault {
  machine,    // system calls of one router fail
  wallClock,  // the wall clock of one router steps by up to an hour
  terminate,  // SIGTERM, SIGKILL if the router doesn't exit in time, then a restart
  kill,       // SIGKILL, then a restart
  reload,     // SIGHUP, several in a row
  stop,       // SIGSTOP for up to 0.15 s
  nodeHangs,
  nodeCrashes,  // and restarts in slow start
  nodeDrains,   // and is up again afterwards
  nodeErrs,
  nodeLags,
  discoveryDown,
  count
};
constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::count);
constexpr std::array<const char*, kFaults> kFaultNames{
    "machine",    "wall-clock",   "terminate",   "kill",      "reload",    "stop",
    "node-hangs", "node-crashes", "node-drains", "node-errs", "node-lags", "discovery-down"};

// Injects random faults into routers, nodes and discovery.
class Schedule {
 public:
  // `killAfter`: time between SIGTERM and SIGKILL.
  Schedule(Harness& harness, std::vector<std::unique_ptr<RouterProcess>>& routers, std::uint64_t seed,
           Duration killAfter);

  // Starts faults until the given time.
  event_loop::Task run(Instant until);
  // Whether no fault will start any more and all have ended.
  bool finished() const { return stopped_ && active_ == 0; }
  // Number of started faults by kind.
  std::map<std::string, std::uint64_t> counts() const;

 private:
  event_loop::Task startFault(Fault fault);
  event_loop::Task failSystemCalls(RouterProcess& router);
  event_loop::Task stepWallClock(RouterProcess& router);
  event_loop::Task terminate(RouterProcess& router);
  event_loop::Task signalSeries(RouterProcess& router, unsigned start);
  event_loop::Task kill(RouterProcess& router);
  event_loop::Task reload(RouterProcess& router);
  event_loop::Task suspend(RouterProcess& router);
  event_loop::Task drain(Node& node);
  event_loop::Task crash(Node& node);
  Duration randomDuration(std::int64_t fromMillis, std::int64_t toMillis);
  RouterProcess& randomRouter();
  Node& randomReplica();
  auto sleep(Duration duration) { return harness_.loop().sleepUntil(harness_.loop().now() + duration); }

  Harness& harness_;
  std::vector<std::unique_ptr<RouterProcess>>& routers_;
  std::mt19937_64 random_;
  Duration killAfter_;
  std::array<bool, kFaults> enabled_{};
  std::array<std::uint64_t, kFaults> counts_{};
  std::size_t active_ = 0;
  bool stopped_ = false;
};

}  // namespace gulltrestle::soak
