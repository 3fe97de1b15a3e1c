#include "recovery/admission_ramp.h"

#include <algorithm>

#include "base/samples.h"

namespace gulltrestle::recovery {

namespace {

// By so many of the last txns it is judged, and by half as many at least.
constexpr std::size_t kJudged = 16;
// Part of them in time: below the first the rate doubles no more, below the second it falls.
constexpr double kWell = 0.75, kIll = 0.5;
// How often the rate changes. Sooner, by the number of answers, it overshot what cold nodes can do: on the
// modelled storm (docs/fleet.md) 58 were pushed over, with a second none.
constexpr Duration kAdjust = Duration::millis(1000);
// With nobody rejected for so long, it is over.
constexpr Duration kQuiet = Duration::millis(3000);
// Cold nodes are warm long before, and a router must serve in the end.
constexpr Duration kLongest = Duration::millis(60'000);
// When to come back, at least.
constexpr Duration kBackLeast = Duration::millis(100);
// How far that is spread about its mean, as a part of it.
constexpr double kSpread = 0.5;
constexpr std::size_t kCounted = 64;

}  // namespace

AdmissionRamp::AdmissionRamp(Instant now, unsigned routers, double first, Duration longestBack,
                             std::uint64_t seed)
    : routers_(std::max(1u, routers)),
      first_(first),
      longestBack_(longestBack * (1 / (1 + kSpread))),
      chance_(seed),
      startedAt_(now),
      lastRejected_(now),
      adjustedAt_(now),
      filledAt_(now) {}

double AdmissionRamp::least() const {
  return first_ * static_cast<double>(std::max<std::size_t>(1, nodes_)) / static_cast<double>(routers_);
}

void AdmissionRamp::setNodeCount(std::size_t nodes) {
  nodes_ = nodes;
  rate_ = std::max(rate_, least());
}

void AdmissionRamp::end() {
  state_ = State::finished;
  last_.clear();
  refused_.clear();
}

void AdmissionRamp::adjust(Instant now) {
  if (now - adjustedAt_ < kAdjust) return;
  adjustedAt_ = now;
  const double well = last_.size() < kJudged / 2 ? 1 : fractionTrue(last_);
  if (well < kWell) state_ = State::steady;
  if (state_ == State::opening)
    rate_ *= 2;
  else if (well >= kWell)
    rate_ *= 1.25;
  else if (well < kIll)
    rate_ = std::max(least(), rate_ * 0.67), last_.clear();
}

// As long as it takes, at the present rate, until all that were rejected lately have come in; spread, so
// that they don't come back together.
Duration AdmissionRamp::comeBack() {
  const Duration over = std::max(lastRejected_ - refused_.front(), Duration::millis(50));
  const double refusals = static_cast<double>(refused_.size()) / over.inSeconds();
  const Duration mean =
      std::min(std::max(Duration::seconds(refusals / std::max(rate_, 0.1)), kBackLeast), longestBack_);
  return mean * std::uniform_real_distribution<>(1 - kSpread, 1 + kSpread)(chance_);
}

std::optional<Duration> AdmissionRamp::rejectsWithRetryAfter(Instant now) {
  if (state_ == State::finished) return {};
  if (now - startedAt_ > kLongest || now - lastRejected_ > kQuiet) {
    end();
    return {};
  }
  adjust(now);
  // What was saved up is a second's at most: no burst on nodes that are cold.
  tokens_ = std::min(std::max(1.0, rate_), tokens_ + rate_ * (now - filledAt_).inSeconds());
  filledAt_ = now;
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return {};
  }
  lastRejected_ = now;
  ++rejected_;
  pushBounded(refused_, now, kCounted);
  return comeBack();
}

void AdmissionRamp::onTransactionEnded(Instant now, bool sent, bool inTime) {
  if (state_ == State::finished || !sent) return;
  pushBounded(last_, inTime, kJudged);
  adjust(now);
}

std::string_view nameOf(AdmissionRamp::State state) {
  constexpr std::string_view kNames[] = {"opening", "steady", "over"};
  return kNames[static_cast<int>(state)];
}

}  // namespace gulltrestle::recovery
