// Requests of the simulated fleet, and the handling of their claims.
#include <algorithm>

#include "claims/simulated_fleet.h"

namespace gulltrestle::idempotency::simulation {

namespace {

using ClaimMessage = ClaimCoordinator::ClaimMessage;
using ExecutionOutcome = ClaimCoordinator::ExecutionOutcome;

constexpr Duration kClientTimeout = Duration::millis(2000);
constexpr Duration kReplyDelay = Duration::millis(30);

std::string logText(const ClaimMessage& message) {
  constexpr const char* kVerbs[] = {" claims ", " releases ", " commits "};
  return kVerbs[static_cast<int>(message.kind)] + std::to_string(message.number);
}

std::string logText(const Vote& vote) {
  constexpr const char* kVotes[] = {" granted", " taken by other", " abstained"};
  return kVotes[static_cast<int>(vote.kind)];
}

std::string valueOf(const std::string& id) { return "value of " + id; }

}  // namespace

void SimulatedFleet::sendRequest() {
  const bool isRepeat = !idsRequestedAt_.empty() && !oneIn(4);
  if (isRepeat) ++statistics_.repeatedRequests;
  std::size_t id = idsRequestedAt_.size();
  if (isRepeat) {
    // Clients must not repeat a request later than this.
    const Duration longestRepeat = kRetention - Duration::millis(3000);
    std::size_t first = idsRequestedAt_.size() - 1;
    while (first > 0 && now_ - idsRequestedAt_[first - 1] < longestRepeat) --first;
    const std::size_t repeatable = idsRequestedAt_.size() - first;
    id = oneIn(2) ? idsRequestedAt_.size() - 1 - pick(std::min<std::size_t>(repeatable, 6))
                  : first + pick(repeatable);
  } else {
    idsRequestedAt_.push_back(now_);
  }
  for (std::size_t n = 1 + pick(2); n > 0; --n) request(pick(routers_.size()), "b" + std::to_string(id));
}

void SimulatedFleet::request(std::size_t router, const std::string& id) {
  Router& requested = routers_[router];
  if (!requested.isUp) return;
  ++statistics_.requests;
  const TxnKey txn = ++lastTxn_;
  requested.waiting[txn] = id;
  requested.coordinator->beginClaim(now_, txn, id, kClientTimeout);
  processCoordinatorOutput(router);
  scheduleOnRouter(router, kClientTimeout, [this, router, txn, id] {
    if (routers_[router].waiting.contains(txn)) fail(id + " got no decision before its deadline");
  });
}

void SimulatedFleet::processCoordinatorOutput(std::size_t router) {
  Router& sender = routers_[router];
  for (const ClaimMessage& message : sender.coordinator->takeMessages()) {
    const SentClaim sent{.router = router,
                         .voter = votersOf(router)[message.voter],
                         .startCount = sender.startCount,
                         .token = {name(router), sender.tokenStart, message.number},
                         .message = message};
    log(message.id, name(router) + logText(message) + " at " + name(sent.voter));
    send(router, sent.voter, router, sent.voter, [=, this] { onMessage(sent); });
  }
  for (const auto& decision : sender.coordinator->takeDecisions()) onDecision(router, decision);
}

void SimulatedFleet::onMessage(const SentClaim& sent) {
  VotingMember& voter = *routers_[sent.voter].voter;
  const ClaimMessage& message = sent.message;
  switch (message.kind) {
    case ClaimMessage::Kind::claim:
      return onClaim(sent);
    case ClaimMessage::Kind::release:
      voter.onReleased(message.id, sent.token);
      break;
    case ClaimMessage::Kind::commit:
      voter.onCommitted(now_, message.id, sent.token, message.value);
      break;
  }
  write(sent.voter, [] {});
}

void SimulatedFleet::onClaim(const SentClaim& sent) {
  const bool sendsEarly = bug_ == InjectedBug::voteBeforeDurable;
  const auto vote = routers_[sent.voter].voter->onClaim(now_, sent.message.id, sent.token);
  if (vote) return sendVote(sent, *vote);
  if (sendsEarly) sendVote(sent, {.kind = Vote::Kind::granted, .isCommitted = false, .value = {}});
  write(sent.voter, [=, this] {
    const bool isDurable = areFaultsOver_ || !oneIn(50);
    const auto written = routers_[sent.voter].voter->onWritten(sent.message.id, sent.token, isDurable);
    if (written && !sendsEarly) sendVote(sent, *written);
  });
}

// Sends the vote on the connection on which the claim was received. Drops it if that connection is closed.
void SimulatedFleet::sendVote(const SentClaim& sent, const Vote& vote) {
  log(sent.message.id, name(sent.voter) + " to " + name(sent.router) + logText(vote));
  if (routers_[sent.router].startCount != sent.startCount) return;
  send(sent.voter, sent.router, sent.router, sent.voter, [=, this] {
    routers_[sent.router].coordinator->onVote(sent.message.voter, sent.message.number, vote);
    processCoordinatorOutput(sent.router);
  });
}

void SimulatedFleet::onDecision(std::size_t router, const ClaimCoordinator::Decision& decision) {
  using Kind = ClaimCoordinator::Decision::Kind;
  Router& decided = routers_[router];
  const auto found = decided.waiting.find(decision.txn);
  if (found == decided.waiting.end()) return fail("a transaction was decided twice");
  const std::string id = found->second;
  decided.waiting.erase(found);
  log(id, name(router) + " decides " + std::to_string(static_cast<int>(decision.kind)) + " " +
              std::string(decision.reason));
  if (decision.kind == Kind::alreadyCommitted) {
    ++statistics_.reportedCommitted;
    if (!executions_[id]) fail(id + " was reported as committed and never ran");
    if (!decision.value.empty() && decision.value != valueOf(id))
      fail(id + " was reported with a wrong value");
  }
  if (decision.kind != Kind::admitted)
    return endTransaction(router, decision.txn, ExecutionOutcome::neverRan);
  ++statistics_.admitted;
  admittedAt_.insert(router);
  execute(router, decision.txn, id);
}

// Executes the transaction after a delay and reports its outcome after another delay. The router may be
// killed in between.
void SimulatedFleet::execute(std::size_t router, TxnKey txn, const std::string& id) {
  if (oneIn(6))
    return scheduleOnRouter(router, kReplyDelay,
                            [=, this] { endTransaction(router, txn, ExecutionOutcome::neverRan); });
  scheduleOnRouter(router, pickMillis(0, 60), [=, this] {
    const bool isExecuted = !oneIn(8);
    schedule(pickMillis(0, 100), [=, this] {
      log(id, (isExecuted ? "runs for " : "is lost for ") + name(router));
      if (isExecuted && ++executions_[id] > 1) fail(id + " ran twice");
      if (isExecuted) ++statistics_.executed;
      const bool isAnswered = isExecuted && !oneIn(4);
      scheduleOnRouter(router, kReplyDelay, [=, this] { endExecution(router, txn, id, isAnswered); });
    });
  });
}

void SimulatedFleet::endExecution(std::size_t router, TxnKey txn, const std::string& id, bool isAnswered) {
  if (isAnswered) {
    routers_[router].coordinator->onCommitted(txn, oneIn(3) ? "" : valueOf(id));
    processCoordinatorOutput(router);
    return endTransaction(router, txn, ExecutionOutcome::committed);
  }
  const bool isReleased = bug_ == InjectedBug::unknownOutcomeReleased;
  endTransaction(router, txn, isReleased ? ExecutionOutcome::neverRan : ExecutionOutcome::unknown);
}

void SimulatedFleet::endTransaction(std::size_t router, TxnKey txn, ExecutionOutcome outcome) {
  routers_[router].coordinator->onTransactionEnded(txn, outcome);
  scheduleOnRouter(router, Duration(), [this, router] { processCoordinatorOutput(router); });
}

}  // namespace gulltrestle::idempotency::simulation
