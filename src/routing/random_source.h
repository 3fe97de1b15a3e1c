// The only source of randomness in the routing decisions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace gulltrestle::routing {

// Draws from one seeded generator. Two routers with the same seed and the same events draw the same values,
// so the number and the order of the calls are part of the behaviour: the replay of recorded days depends on
// them.
class RandomSource {
 public:
  // Combines both halves of the seed, as the generator takes 32 bits.
  explicit RandomSource(std::uint64_t seed) {
    engine_.seed(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32)));
  }

  // Uniformly distributed in [0, 1).
  double fraction() { return std::uniform_real_distribution<>(0, 1)(engine_); }

  // An index into `weights`, drawn with a probability proportional to its weight. At least one weight must be
  // above 0.
  std::size_t weightedIndex(const std::vector<double>& weights) {
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(engine_);
  }

  // Permutes the items randomly, all orders being equally probable.
  template <typename T>
  void shuffle(std::vector<T>& items) {
    std::shuffle(items.begin(), items.end(), engine_);
  }

 private:
  std::knuth_b engine_;
};

}  // namespace gulltrestle::routing
