// The last few samples of what is measured, and the figures worked out from them when they are needed.
#pragma once

#include <algorithm>
#include <deque>
#include <numeric>
#include <vector>

#include "base/time.h"

namespace gulltrestle {

struct Sample {
  Instant at;
  double value;
};

using Samples = std::deque<Sample>;

template <typename T>
void pushBounded(std::deque<T>& samples, T sample, std::size_t most) {
  samples.push_back(std::move(sample));
  if (samples.size() > most) samples.pop_front();
}

inline double sum(const Samples& samples) {
  return std::accumulate(samples.begin(), samples.end(), 0.0,
                         [](double before, const Sample& sample) { return before + sample.value; });
}

inline double mean(const Samples& samples) { return sum(samples) / static_cast<double>(samples.size()); }

inline double fractionTrue(const std::deque<bool>& samples) {
  return static_cast<double>(std::count(samples.begin(), samples.end(), true)) /
         static_cast<double>(samples.size());
}

// The figure below which one in `part` of the samples lies: 2 is the median, 4 the lower quarter.
inline double quantile(const Samples& samples, std::size_t part) {
  std::vector<double> figures;
  figures.reserve(samples.size());
  for (const Sample& sample : samples) figures.push_back(sample.value);
  const auto at = figures.begin() + static_cast<std::ptrdiff_t>(figures.size() / part);
  std::nth_element(figures.begin(), at, figures.end());
  return *at;
}

}  // namespace gulltrestle
