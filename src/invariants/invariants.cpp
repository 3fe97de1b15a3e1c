#include "invariants/invariants.h"

#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace gulltrestle::invariants {

namespace {

// A node's time limit may exceed the client's remaining time by this: the protocol's allowance for transit.
constexpr Duration kDeadlineSlack = Duration::millis(150);
// The deployment's time limit for a process start.
constexpr Duration kMaxStartDuration = Duration::seconds(10);
// Repeated violations of a check are logged at most once per interval.
constexpr Duration kLogInterval = Duration::seconds(10);

}  // namespace

std::string_view nameOf(Check check) {
  switch (check) {
    case Check::send:
      return "send";
    case Check::retry:
      return "repeat";
    case Check::close:
      return "close";
    case Check::start:
      return "start";
  }
  return "unknown";
}

bool Invariants::maySend(const Send& send, const Subject& subject) {
  if (!send.isAnswerPending)
    return recordViolation(send.now, Check::send, "its client has its answer or left", subject);
  if (send.now >= send.sendBy)
    return recordViolation(send.now, Check::send, "it is too late to send it", subject);
  if (send.now + send.timeoutSent > send.answerBy + kDeadlineSlack)
    return recordViolation(send.now, Check::send, "the node is told more time than is left", subject);
  if (send.isNodeDraining) return recordViolation(send.now, Check::send, "the node leaves", subject);
  return true;
}

bool Invariants::mayRetry(const Retry& retry, const Subject& subject) {
  if (retry.firstSentAt == Instant() || retry.effect == Effect::idempotent) return true;
  if (retry.effect == Effect::atMostOnce)
    return recordViolation(retry.now, Check::retry, "it may run only once and may have run", subject);
  if (retry.now >= retry.firstSentAt + retry.window)
    return recordViolation(retry.now, Check::retry, "its window is over", subject);
  return true;
}

bool Invariants::mayClose(Instant now, bool isAnswerPending, const Subject& subject) {
  return !isAnswerPending || recordViolation(now, Check::close, "the client is owed an answer", subject);
}

bool Invariants::checkStart(Instant now, Duration startDuration, const Subject& subject) {
  return startDuration <= kMaxStartDuration ||
         recordViolation(now, Check::start, "it took too long", subject);
}

std::uint64_t Invariants::totalCount() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

// Always returns false, so that checks can return its result.
bool Invariants::recordViolation(Instant now, Check check, std::string_view rule, const Subject& subject) {
  const auto index = static_cast<std::size_t>(check);
  ++counts_[index];
  lastViolation_ = {check, rule, subject()};
#ifdef GULLTRESTLE_ASSERT_INVARIANTS
  std::fprintf(stderr, "invariant broken: %s: %.*s: %s\n", std::string(nameOf(check)).c_str(),
               static_cast<int>(rule.size()), rule.data(), lastViolation_.subject.c_str());
  std::abort();
#endif
  if (notifiedAt_[index] != Instant() && now - notifiedAt_[index] < kLogInterval) return false;
  notifiedAt_[index] = now;
  if (listener_) listener_(lastViolation_, counts_[index]);
  return false;
}

}  // namespace gulltrestle::invariants
