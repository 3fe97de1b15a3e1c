#include "recovery/admission_ramp.h"

#include <algorithm>

#include "base/samples.h"

namespace gulltrestle::recovery {

namespace {

// Number of recent transactions whose outcomes adjust the rate; fewer than half of it have no effect.
constexpr std::size_t kSampledTransactions = 16;
// Fractions of the sampled transactions that were in time: below kGoodFraction the rate stops doubling, below
// kBadFraction it is reduced.
constexpr double kGoodFraction = 0.75, kBadFraction = 0.5;
// Rate multipliers: while doubling, while enough transactions are in time, and while too few are.
constexpr double kDoublingFactor = 2, kGrowthFactor = 1.25, kBackoffFactor = 0.67;
// Interval between rate changes. Adjusting more often, by the number of completed transactions, exceeded the
// capacity of cold nodes: in the simulated retry storm (docs/fleet.md) 58 nodes were overloaded, against none
// with an interval of one second.
constexpr Duration kAdjustInterval = Duration::millis(1000);
// The ramp finishes after this time without a rejection.
constexpr Duration kQuietTime = Duration::millis(3000);
// Upper limit on the length of the ramp, so that the router serves at its full rate eventually. Cold nodes
// warm up in much less time.
constexpr Duration kMaxDuration = Duration::millis(60'000);
constexpr Duration kMinRetryAfter = Duration::millis(100);
// Jitter of the retry-after time, in both directions, as a fraction of its mean.
constexpr double kRetryJitter = 0.5;
// The rejection rate is computed over at most this many rejections, and over at least this period.
constexpr std::size_t kCountedRejections = 64;
constexpr Duration kMinRejectionPeriod = Duration::millis(50);
// Transactions per second: lower bound on the admission rate where it is a divisor.
constexpr double kMinDivisorRate = 0.1;

}  // namespace

AdmissionRamp::AdmissionRamp(Instant now, const AdmissionRampConfig& config)
    : routers_(std::max(1u, config.routers)),
      initialRatePerNode_(config.initialRatePerNode),
      maxMeanRetryAfter_(config.maxRetryAfter * (1 / (1 + kRetryJitter))),
      random_(config.seed),
      startedAt_(now),
      lastRejected_(now),
      adjustedAt_(now),
      filledAt_(now) {}

double AdmissionRamp::minRate() const {
  const std::size_t nodes = std::max<std::size_t>(1, nodes_);
  return initialRatePerNode_ * static_cast<double>(nodes) / static_cast<double>(routers_);
}

void AdmissionRamp::setNodeCount(std::size_t nodes) {
  nodes_ = nodes;
  rate_ = std::max(rate_, minRate());
}

void AdmissionRamp::finish() {
  state_ = State::finished;
  recentlyInTime_.clear();
  recentRejections_.clear();
}

void AdmissionRamp::adjustRate(Instant now) {
  if (now - adjustedAt_ < kAdjustInterval) return;
  adjustedAt_ = now;
  const double inTime = recentlyInTime_.size() < kSampledTransactions / 2 ? 1 : fractionTrue(recentlyInTime_);
  if (inTime < kGoodFraction) state_ = State::steady;
  if (state_ == State::doubling) {
    rate_ *= kDoublingFactor;
  } else if (inTime >= kGoodFraction) {
    rate_ *= kGrowthFactor;
  } else if (inTime < kBadFraction) {
    rate_ = std::max(minRate(), rate_ * kBackoffFactor);
    recentlyInTime_.clear();
  }
}

// Returns the time needed to admit all recently rejected transactions at the current rate. Jitter keeps their
// clients from retrying at the same moment.
Duration AdmissionRamp::drawRetryAfter() {
  const Duration period = std::max(lastRejected_ - recentRejections_.front(), kMinRejectionPeriod);
  const double rejectionRate = static_cast<double>(recentRejections_.size()) / period.inSeconds();
  const Duration wait = Duration::seconds(rejectionRate / std::max(rate_, kMinDivisorRate));
  const Duration mean = std::min(std::max(wait, kMinRetryAfter), maxMeanRetryAfter_);
  return mean * std::uniform_real_distribution<>(1 - kRetryJitter, 1 + kRetryJitter)(random_);
}

// The bucket holds at most one second's worth of tokens, which prevents bursts on cold nodes.
bool AdmissionRamp::takeToken(Instant now) {
  tokens_ = std::min(std::max(1.0, rate_), tokens_ + rate_ * (now - filledAt_).inSeconds());
  filledAt_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

std::optional<Duration> AdmissionRamp::retryAfterIfRejected(Instant now) {
  if (state_ == State::finished) return {};
  if (now - startedAt_ > kMaxDuration || now - lastRejected_ > kQuietTime) {
    finish();
    return {};
  }
  adjustRate(now);
  if (takeToken(now)) return {};
  lastRejected_ = now;
  ++rejected_;
  pushBounded(recentRejections_, now, kCountedRejections);
  return drawRetryAfter();
}

void AdmissionRamp::onTransactionEnded(Instant now, const AdmittedOutcome& outcome) {
  if (state_ == State::finished || !outcome.isForwarded) return;
  pushBounded(recentlyInTime_, outcome.isInTime, kSampledTransactions);
  adjustRate(now);
}

std::string_view nameOf(AdmissionRamp::State state) {
  constexpr std::string_view kNames[] = {"opening", "steady", "over"};
  return kNames[static_cast<int>(state)];
}

}  // namespace gulltrestle::recovery
