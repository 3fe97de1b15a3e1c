// The faults of a soak: drawn from a seed, overlapping, each with a beginning and an end. Every seed leaves
// out some kinds, so that rare combinations come up.
#pragma once

#include <array>
#include <map>
#include <random>
#include <string>

#include "soak/clients.h"

namespace gulltrestle::soak {

enum class Fault {
  machine,    // system calls of one router
  wallClock,  // of one router: steps by up to an hour
  terminate,  // SIGTERM, SIGKILL at the earliest, another start
  kill,       // SIGKILL, another start
  reload,     // SIGHUP, several in a row
  stop,       // SIGSTOP for up to 0.15 s
  nodeHangs,
  nodeCrashes,  // comes back cold
  nodeDrains,   // and comes back
  nodeErrs,
  nodeLags,
  discoveryDown,
  count
};
constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::count);
constexpr std::array<const char*, kFaults> kFaultNames{
    "machine",    "wall-clock",   "terminate",   "kill",      "reload",    "stop",
    "node-hangs", "node-crashes", "node-drains", "node-errs", "node-lags", "discovery-down"};

class Schedule {
 public:
  // `killAfter`: SIGKILL comes so long after SIGTERM.
  Schedule(World& world, std::vector<std::unique_ptr<RouterProcess>>& routers, std::uint64_t seed,
           Duration killAfter);

  event_loop::Task play(Instant until);
  bool over() const { return over_ && open_ == 0; }
  std::map<std::string, std::uint64_t> counts() const;

 private:
  event_loop::Task begin(Fault fault);
  event_loop::Task machine(RouterProcess& router);
  event_loop::Task wallClock(RouterProcess& router);
  event_loop::Task terminate(RouterProcess& router);
  event_loop::Task kill(RouterProcess& router);
  event_loop::Task reload(RouterProcess& router);
  event_loop::Task stop(RouterProcess& router);
  event_loop::Task drain(Node& node);
  event_loop::Task crash(Node& node);
  Duration between(std::int64_t fromMillis, std::int64_t toMillis);
  RouterProcess& any();
  Node& anyReplica();
  auto sleep(Duration span) { return world_.loop().sleepUntil(world_.loop().now() + span); }

  World& world_;
  std::vector<std::unique_ptr<RouterProcess>>& routers_;
  std::mt19937_64 chance_;
  Duration killAfter_;
  std::array<bool, kFaults> played_{};
  std::array<std::uint64_t, kFaults> counts_{};
  std::size_t open_ = 0;
  bool over_ = false;
};

}  // namespace gulltrestle::soak
