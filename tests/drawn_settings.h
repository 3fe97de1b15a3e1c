// Configurations drawn at random in the form of the deployment page: every effect with every read level, each
// limit on and off, times at their ends. One seed draws one configuration, on every machine the same.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace gulltrestle::settings {

// Where the drawn router listens and finds discovery; memory and descriptors are drawn.
struct Place {
  std::string name = "n", listen = "127.0.0.1:6543", discovery = "127.0.0.1:8500";
  std::string known = "null";  // the list of nodes that it starts with, as JSON
};

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : chance_(seed) {}

  // Half-open: at least `from`, less than `to`.
  std::uint64_t whole(std::uint64_t from, std::uint64_t to) { return from + chance_() % (to - from); }
  bool one(std::uint64_t in) { return whole(0, in) == 0; }
  template <std::size_t N>
  std::string any(const std::array<const char*, N>& words) {
    return words[whole(0, N)];
  }
  std::string flag() { return one(2) ? "true" : "false"; }

 private:
  std::mt19937_64 chance_;  // its numbers are the standard's; distributions are not
};

namespace detail {

// Microseconds: from 50 ms to 3 s, mostly of a usual length.
inline std::uint64_t deadline(Draw& draw) { return draw.one(4) ? 50'000 : draw.whole(50, 3'001) * 1'000; }

inline std::string lane(Draw& draw, std::size_t row) {
  const std::uint64_t deadline = detail::deadline(draw);
  const std::uint64_t objective = draw.one(8) ? 1 : draw.whole(1, deadline + 1);
  const std::string effect = draw.any<3>({"idempotent", "deduplicated", "at_most_once"});
  // None, shorter than a round trip, shorter than the deadline, or longer than it.
  const std::uint64_t window = draw.one(4) ? draw.whole(0, 500) : draw.whole(0, 5'000) * 1'000;
  return "{\"name\":\"type-" + std::to_string(row) + "\",\"effect\":\"" + effect + "\",\"group\":\"" +
         draw.any<2>({"all", "cell"}) + "\",\"window\":" + std::to_string(window) +
         ",\"objective\":" + std::to_string(objective) + ",\"deadline\":" + std::to_string(deadline) +
         ",\"worth\":" + draw.any<4>({"0", "0.1", "1", "7.5"}) +
         ",\"lateShare\":" + draw.any<3>({"0", "0.3", "1"}) + ",\"aimStretch\":" + draw.any<2>({"0", "2.5"}) +
         "}";
}

inline std::string limits(Draw& draw) {
  if (draw.one(10)) return "{}";
  std::string out = "{";
  for (const char* name : {"probes", "cancel", "secondCopies", "retryAfter"})
    out += "\"" + std::string(name) + "\":" + draw.flag() + ",";
  out += "\"maxAttempts\":" + std::to_string(draw.whole(1, 7)) +
         ",\"maxRetryAfter\":" + std::to_string(draw.whole(0, 2'000'000)) +
         ",\"connIdle\":" + std::to_string(draw.whole(200'000, 60'000'000)) +
         ",\"connectTimeout\":" + std::to_string(draw.whole(20'000, 1'000'000)) + "}";
  return out;
}

}  // namespace detail

inline std::string configuration(std::uint64_t seed, const Place& place = {}) {
  Draw draw(seed);
  const std::size_t types = draw.whole(1, 7);
  // Some deployments have writes alone, some reads alone.
  const std::uint64_t levels = draw.whole(0, 6);
  std::string lanes, readLevels, bounds;
  for (std::size_t row = 0; row < types; ++row) {
    const std::string comma = row == 0 ? "" : ",";
    lanes += comma + detail::lane(draw, row);
    const std::string level = levels == 0 ? "update"
                              : levels == 1
                                  ? draw.any<4>({"loose", "recent", "own_writes", "latest"})
                                  : draw.any<5>({"loose", "recent", "own_writes", "latest", "update"});
    readLevels += comma + "\"" + level + "\"";
    bounds += comma + std::to_string(draw.one(4) ? 0 : draw.whole(1, 10'000'000));
  }
  const std::string routers = draw.any<5>({"1", "3", "29", "300", "900"});
  return "{\"name\":\"" + place.name + "\",\"listen\":\"" + place.listen + "\",\"discovery\":\"" +
         place.discovery + "\",\"seed\":\"" + std::to_string(draw.whole(0, 1u << 30)) +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + draw.any<3>({"8", "32", "192"}) +
         ",\"sockets\":" + draw.any<3>({"96", "256", "1024"}) + "},\"known\":" + place.known +
         ",\"settings\":{\"zone\":\"" + draw.any<2>({"", "a"}) +
         "\",\"round\":" + draw.any<3>({"1000", "5000", "20000"}) + ",\"balancers\":" + routers +
         ",\"discovery\":\"" + draw.any<2>({"pushed", "on_request"}) +
         "\",\"limits\":" + detail::limits(draw) + ",\"lanes\":[" + lanes +
         "],\"rules\":{\"coldFrom\":" + draw.any<3>({"0", "0.2", "1"}) +
         ",\"cold\":" + std::to_string(draw.whole(0, 20'000'000)) + ",\"softRemoval\":" + draw.flag() +
         ",\"drainGrace\":" + std::to_string(draw.whole(150'000, 3'000'000)) +
         ",\"askWithin\":" + std::to_string(draw.whole(0, 5'000'000)) + "},\"specifics\":{\"readLevel\":[" +
         readLevels + "],\"lagAllowed\":[" + bounds + "],\"sessionMarks\":\"" +
         draw.any<2>({"client", "router"}) + "\",\"guards\":\"" + draw.any<3>({"off", "reject", "hold"}) +
         "\"}}}";
}

}  // namespace gulltrestle::settings
