// Setup shared by the cases of the degradation levels.
#pragma once

#include <vector>

#include "trace.h"

namespace gulltrestle::levels_test {

using trace::ms;

inline constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);

// The transaction classes of a sample deployment: three short reads, a long report and an at-most-once write.
inline std::vector<TransactionClass> sampleClasses() {
  const auto makeClass = [](ReadLevel level, std::int64_t latencyTarget, std::int64_t deadline,
                            double priorityWeight, Effect effect) {
    TransactionClass type = trace::transactionClass(level, effect);
    type.latencyTarget = ms(latencyTarget);
    type.deadline = ms(deadline);
    type.priorityWeight = priorityWeight;
    type.maxStaleness = ms(3000);
    return type;
  };
  return {makeClass(ReadLevel::bounded, 300, 750, 1, Effect::idempotent),
          makeClass(ReadLevel::session, 400, 1000, 1, Effect::idempotent),
          makeClass(ReadLevel::any, 300, 1200, 2, Effect::idempotent),
          makeClass(ReadLevel::any, 3000, 6000, 6, Effect::idempotent),
          makeClass(ReadLevel::write, 400, 5000, 3, Effect::atMostOnce)};
}

}  // namespace gulltrestle::levels_test
