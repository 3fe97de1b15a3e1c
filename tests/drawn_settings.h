// Random configurations in the format of the deployment page: every effect with every read level, each limit
// on and off, times at the ends of their ranges. A seed gives the same configuration on every machine.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace gulltrestle::settings {

// The name and addresses of the configured router; its limits of memory and descriptors are random.
struct RouterAddresses {
  std::string name = "n", listen = "127.0.0.1:6543", discovery = "127.0.0.1:8500";
  std::string known = "null";  // the initial endpoint list, as JSON
};

// A source of random values that is the same on every platform. Each value must be drawn in a statement of
// its own: the order of two calls in one expression depends on the compiler.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // An integer in the half-open range [from, to).
  std::uint64_t integer(std::uint64_t from, std::uint64_t to) { return from + engine_() % (to - from); }
  // True with a probability of 1 in `count`.
  bool oneIn(std::uint64_t count) { return integer(0, count) == 0; }
  template <std::size_t N>
  std::string pick(const std::array<const char*, N>& choices) {
    return choices[integer(0, N)];
  }
  std::string flag() { return oneIn(2) ? "true" : "false"; }

 private:
  std::mt19937_64 engine_;  // the standard specifies its numbers, but not those of distributions
};

namespace detail {

// In microseconds: 50 ms in one of four cases, otherwise between 50 ms and 3 s.
inline std::uint64_t deadline(RandomSource& random) {
  return random.oneIn(4) ? 50'000 : random.integer(50, 3'001) * 1'000;
}

inline std::string lane(RandomSource& random, std::size_t row) {
  const std::uint64_t deadline = detail::deadline(random);
  const std::uint64_t objective = random.oneIn(8) ? 1 : random.integer(1, deadline + 1);
  const std::string effect = random.pick<3>({"idempotent", "deduplicated", "at_most_once"});
  // Zero, shorter than a round trip, shorter than the deadline, or longer than the deadline.
  const std::uint64_t window = random.oneIn(4) ? random.integer(0, 500) : random.integer(0, 5'000) * 1'000;
  const std::string stretch = random.pick<2>({"0", "2.5"});
  const std::string lateShare = random.pick<3>({"0", "0.3", "1"});
  const std::string worth = random.pick<4>({"0", "0.1", "1", "7.5"});
  const std::string group = random.pick<2>({"all", "cell"});
  return "{\"name\":\"type-" + std::to_string(row) + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group +
         "\",\"window\":" + std::to_string(window) + ",\"objective\":" + std::to_string(objective) +
         ",\"deadline\":" + std::to_string(deadline) + ",\"worth\":" + worth + ",\"lateShare\":" + lateShare +
         ",\"aimStretch\":" + stretch + "}";
}

inline std::string limits(RandomSource& random) {
  if (random.oneIn(10)) return "{}";
  std::string out = "{";
  for (const char* name : {"probes", "cancel", "secondCopies", "retryAfter"})
    out += "\"" + std::string(name) + "\":" + random.flag() + ",";
  const std::uint64_t connectTimeout = random.integer(20'000, 1'000'000);
  const std::uint64_t idleTimeout = random.integer(200'000, 60'000'000);
  const std::uint64_t maxRetryAfter = random.integer(0, 2'000'000);
  const std::uint64_t maxAttempts = random.integer(1, 7);
  return out + "\"maxAttempts\":" + std::to_string(maxAttempts) +
         ",\"maxRetryAfter\":" + std::to_string(maxRetryAfter) +
         ",\"connIdle\":" + std::to_string(idleTimeout) +
         ",\"connectTimeout\":" + std::to_string(connectTimeout) + "}";
}

}  // namespace detail

// The text of the configuration file for this seed.
inline std::string randomConfiguration(std::uint64_t seed, const RouterAddresses& addresses = {}) {
  RandomSource random(seed);
  const std::size_t types = random.integer(1, 7);
  // Some deployments have only writes, some only reads.
  const std::uint64_t levels = random.integer(0, 6);
  std::string lanes, readLevels, bounds;
  for (std::size_t row = 0; row < types; ++row) {
    const std::string comma = row == 0 ? "" : ",";
    lanes += comma + detail::lane(random, row);
    const std::string level = levels == 0 ? "update"
                              : levels == 1
                                  ? random.pick<4>({"loose", "recent", "own_writes", "latest"})
                                  : random.pick<5>({"loose", "recent", "own_writes", "latest", "update"});
    readLevels += comma + "\"" + level + "\"";
    bounds += comma + std::to_string(random.oneIn(4) ? 0 : random.integer(1, 10'000'000));
  }
  const std::string routers = random.pick<5>({"1", "3", "29", "300", "900"});
  const std::string guards = random.pick<3>({"off", "reject", "hold"});
  const std::string sessionMarks = random.pick<2>({"client", "router"});
  const std::uint64_t pollInterval = random.integer(0, 5'000'000);
  const std::uint64_t drainGrace = random.integer(150'000, 3'000'000);
  const std::string softRemoval = random.flag();
  const std::uint64_t slowStartWindow = random.integer(0, 20'000'000);
  const std::string slowStartFraction = random.pick<3>({"0", "0.2", "1"});
  const std::string limits = detail::limits(random);
  const std::string discovery = random.pick<2>({"pushed", "on_request"});
  const std::string round = random.pick<3>({"1000", "5000", "20000"});
  const std::string zone = random.pick<2>({"", "a"});
  const std::string sockets = random.pick<3>({"96", "256", "1024"});
  const std::string memoryMegabytes = random.pick<3>({"8", "32", "192"});
  const std::uint64_t routerSeed = random.integer(0, 1u << 30);
  return "{\"name\":\"" + addresses.name + "\",\"listen\":\"" + addresses.listen + "\",\"discovery\":\"" +
         addresses.discovery + "\",\"seed\":\"" + std::to_string(routerSeed) +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMegabytes + ",\"sockets\":" + sockets +
         "},\"known\":" + addresses.known + ",\"settings\":{\"zone\":\"" + zone + "\",\"round\":" + round +
         ",\"balancers\":" + routers + ",\"discovery\":\"" + discovery + "\",\"limits\":" + limits +
         ",\"lanes\":[" + lanes + "],\"rules\":{\"coldFrom\":" + slowStartFraction +
         ",\"cold\":" + std::to_string(slowStartWindow) + ",\"softRemoval\":" + softRemoval +
         ",\"drainGrace\":" + std::to_string(drainGrace) + ",\"askWithin\":" + std::to_string(pollInterval) +
         "},\"specifics\":{\"readLevel\":[" + readLevels + "],\"lagAllowed\":[" + bounds +
         "],\"sessionMarks\":\"" + sessionMarks + "\",\"guards\":\"" + guards + "\"}}}";
}

}  // namespace gulltrestle::settings
