// Bounded series of recent samples, and statistics that are computed from them on request.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <numeric>
#include <utility>
#include <vector>

#include "base/time.h"

namespace gulltrestle {

// A measured value and the time of the measurement. The unit is defined by the owner.
struct Sample {
  Instant at;
  double value;
};

// A series of samples, oldest first.
using Samples = std::deque<Sample>;

// Appends the sample; removes the oldest one if there are more than `maxSize` samples.
template <typename T>
void pushBounded(std::deque<T>& samples, T sample, std::size_t maxSize) {
  samples.push_back(std::move(sample));
  if (samples.size() > maxSize) samples.pop_front();
}

// The sum of the values, added from the oldest to the newest; 0 if there are none.
inline double sum(const Samples& samples) {
  return std::accumulate(samples.begin(), samples.end(), 0.0,
                         [](double total, const Sample& sample) { return total + sample.value; });
}

// The mean of the values. There must be at least one sample.
inline double mean(const Samples& samples) { return sum(samples) / static_cast<double>(samples.size()); }

// The fraction of the samples that are true. There must be at least one sample.
inline double fractionTrue(const std::deque<bool>& samples) {
  return static_cast<double>(std::count(samples.begin(), samples.end(), true)) /
         static_cast<double>(samples.size());
}

// Denominators for quantile().
constexpr std::size_t kMedian = 2;
constexpr std::size_t kLowerQuartile = 4;

// Quantile 1/denominator, without interpolation: the value that follows the lowest 1/denominator of the
// values (rounded down) in ascending order. There must be at least one sample.
inline double quantile(const Samples& samples, std::size_t denominator) {
  std::vector<double> values;
  values.reserve(samples.size());
  for (const Sample& sample : samples) values.push_back(sample.value);
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(values.size() / denominator);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace gulltrestle
