#include "soak/books.h"

#include <algorithm>

namespace gulltrestle::soak {

namespace {

// Tolerance of the protocol on every time limit.
constexpr Duration kTimeLimitTolerance = Duration::millis(50);
// An answer up to this long after its deadline is worth nothing, but doesn't violate a rule.
constexpr Duration kLateAnswerGrace = Duration::millis(500);
// An attempt that arrives this long after its client closed the connection counts as a lost request.
constexpr Duration kArrivalAfterCloseGrace = Duration::millis(100);
// The time limit sent to a node may exceed the remaining time by this much.
constexpr Duration kRemainingTimeTolerance = Duration::millis(150);
// How long a delay of this process is allowed for.
constexpr Duration kDelayValidity = Duration::seconds(1);

}  // namespace

void RequestHistory::onLoopIteration(Instant now) {
  const Duration iterationTime = lastIterationAt_ == Instant() ? Duration() : now - lastIterationAt_;
  lastIterationAt_ = now;
  if (iterationTime < longestDelay_ && now - longestDelayAt_ < kDelayValidity) return;
  longestDelay_ = iterationTime;
  longestDelayAt_ = now;
}

Duration RequestHistory::processDelay(Instant now) const {
  return std::max(longestDelay_, now - lastIterationAt_);
}

void RequestHistory::recordViolation(Instant now, const std::string& rule, const std::string& description) {
  violations_.push_back({rule, description, now});
}

void RequestHistory::recordAnswer(Instant now, const std::string& id) {
  Request& request = requestFor(id);
  ++answers_;
  request.answeredAt = now;
  if (now > request.deadline + kLateAnswerGrace + machineDelay_ + kTimeLimitTolerance + processDelay(now))
    recordViolation(now, "late",
                    id + " answered " + std::to_string((now - request.deadline).inMicros() / 1000) +
                        " ms after its deadline");
}

void RequestHistory::recordClientClose(Instant now, const std::string& id) {
  requestFor(id).clientClosedAt = now;
}

void RequestHistory::recordConnectionLoss(Instant now, const std::string& id, bool byFault, bool wasRead) {
  Request& request = requestFor(id);
  if (request.answeredAt != Instant() || request.clientClosedAt != Instant()) return;
  request.connectionLost = true;
  // If the router closes an idle connection while a request is on its way, the client sends the request
  // again, unless the router has read something of it, or a node has received it.
  const bool wasForwarded = request.firstSeenAt != Instant();
  if (byFault || (!wasRead && !wasForwarded))
    ++excused;
  else
    recordViolation(now, "lost",
                    id + (wasForwarded ? " was forwarded to a node" : " was read by the router") +
                        ", but its connection closed without an answer");
}

void RequestHistory::recordArrival(Instant now, const StatementArrival& arrival) {
  const auto found = requests_.find(arrival.id);
  if (found == requests_.end()) return recordViolation(now, "garbled", "no client sent " + arrival.id);
  Request& request = found->second;
  const TransactionClass& transactionClass = classes_.at(request.classIndex);
  const std::string where = arrival.id + " at " + arrival.node;
  if (request.clientClosedAt != Instant() &&
      now > request.clientClosedAt + kArrivalAfterCloseGrace + machineDelay_ + processDelay(now))
    recordViolation(now, "lost",
                    where + " arrived " + std::to_string((now - request.clientClosedAt).inMicros() / 1000) +
                        " ms after its client closed the connection");
  if (now + arrival.timeLimit >
      request.deadline + kRemainingTimeTolerance + machineDelay_ + processDelay(now))
    recordViolation(now, "deadline",
                    where + " was sent with a time limit of " +
                        std::to_string(arrival.timeLimit.inMicros() / 1000) + " ms with " +
                        std::to_string((request.deadline - now).inMicros() / 1000) + " ms remaining");
  if (arrival.drainNotifiedAt != Instant() &&
      now > arrival.drainNotifiedAt + drainGrace_ + kTimeLimitTolerance + machineDelay_ + processDelay(now))
    recordViolation(now, "drain",
                    where + " arrived " + std::to_string((now - arrival.drainNotifiedAt).inMicros() / 1000) +
                        " ms after the router was notified of the drain");
  if (request.firstSeenAt == Instant()) request.firstSeenAt = now;
  if (!arrival.executes) return;
  ++request.executions;
  if (request.executions == 1 || transactionClass.effect == Effect::idempotent) return;
  const bool inWindow = now <= request.firstSeenAt + transactionClass.deduplicationWindow +
                                   kTimeLimitTolerance + machineDelay_ + processDelay(now);
  if (transactionClass.effect == Effect::atMostOnce || !inWindow)
    recordViolation(now, "duplicate",
                    where + " was executed " + std::to_string(request.executions) + " times");
}

void RequestHistory::recordStaleRead(Instant now, const std::string& id, const std::string& node) {
  recordViolation(now, "stale",
                  id + " was answered by " + node + ", which is staler than the read level allows");
}

void RequestHistory::reportUnanswered(Instant now) {
  for (const auto& [id, request] : requests_) {
    if (request.answeredAt != Instant() || request.connectionLost || request.clientClosedAt != Instant())
      continue;
    if (now > request.deadline + kLateAnswerGrace + machineDelay_ + kTimeLimitTolerance + processDelay(now))
      recordViolation(now, "lost",
                      id + " was never answered, " +
                          std::to_string((now - request.sentAt).inMicros() / 1000) +
                          " ms after it was sent with a time limit of " +
                          std::to_string((request.deadline - request.sentAt).inMicros() / 1000) +
                          " ms to router " + std::to_string(request.router));
  }
}

}  // namespace gulltrestle::soak
