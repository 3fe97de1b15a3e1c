// Tests the decisions of a claim coordinator, step by step.
#include <iostream>

#include "claims/cases.h"
#include "idempotency/claim_coordinator.h"

namespace gulltrestle::idempotency {

namespace {

using ExecutionOutcome = ClaimCoordinator::ExecutionOutcome;

constexpr Instant kBegin = Instant::atMicros(1'000'000'000);
const Vote kGranted{.kind = Vote::Kind::granted, .isCommitted = false, .value = {}};
const Vote kTaken{.kind = Vote::Kind::takenByOther, .isCommitted = false, .value = {}};
const Vote kTakenAndCommitted{.kind = Vote::Kind::takenByOther, .isCommitted = true, .value = "done"};
const Vote kAbstained{};

// A coordinator with three voters that prints its decisions and messages after each call.
class PrintedCoordinator {
 public:
  PrintedCoordinator() : coordinator_(limits(), 7) {}

  ClaimCoordinator& underlying() { return coordinator_; }
  void begin(TxnKey txn, const std::string& id) {
    std::cout << "txn " << txn << ", " << id << "\n";
    coordinator_.beginClaim(kBegin, txn, id, Duration::millis(2000));
    print();
  }
  void vote(VoterIndex voter, ClaimNumber number, const Vote& answer) {
    std::cout << " voter " << voter << ": " << describe(answer) << "\n";
    coordinator_.onVote(voter, number, answer);
    print();
  }
  void runTimers(Duration elapsed) {
    coordinator_.runTimers(kBegin + elapsed);
    print();
  }
  void end(TxnKey txn, ExecutionOutcome outcome) {
    coordinator_.onTransactionEnded(txn, outcome);
    print();
  }
  void print() {
    for (const auto& decision : coordinator_.takeDecisions()) printDecision(decision);
    const auto messages = coordinator_.takeMessages();
    if (messages.empty()) return;
    std::cout << "  messages:";
    for (const auto& message : messages) printMessage(message);
    std::cout << "\n";
  }

 private:
  static ClaimCoordinatorLimits limits() {
    ClaimCoordinatorLimits limits;
    limits.voterCount = 3;
    limits.retention = Duration::millis(60'000);
    return limits;
  }
  static void printDecision(const ClaimCoordinator::Decision& decision) {
    using Kind = ClaimCoordinator::Decision::Kind;
    constexpr const char* kKinds[] = {"admitted", "committed", "rolled back", "rejected"};
    std::cout << "  " << decision.txn << ": " << kKinds[static_cast<int>(decision.kind)];
    if (decision.kind == Kind::alreadyCommitted) std::cout << " '" << decision.value << "'";
    if (decision.kind == Kind::rejected) {
      const Duration after = decision.retryAfter;
      const bool isWithinJitter = after >= Duration::millis(125) && after <= Duration::millis(375);
      std::cout << (isWithinJitter ? ", retry later" : ", RETRY OUT OF RANGE");
    }
    std::cout << (decision.reason.empty() ? "" : ", ") << decision.reason << "\n";
  }
  static void printMessage(const ClaimCoordinator::ClaimMessage& message) {
    constexpr const char* kKinds[] = {"claim", "release", "commit"};
    std::cout << " " << kKinds[static_cast<int>(message.kind)] << " " << message.id << "/" << message.number
              << " to " << message.voter << (message.value.empty() ? "" : " '" + message.value + "'") << ";";
  }

  ClaimCoordinator coordinator_;
};

void admitWithMajority(PrintedCoordinator& coordinator) {
  coordinator.underlying().setReachable(0, true);
  coordinator.begin(1, "a");
  coordinator.underlying().setReachable(1, true);
  coordinator.begin(2, "b");
  coordinator.vote(0, 1, kGranted);
  coordinator.vote(0, 1, kGranted);
  coordinator.vote(1, 1, kGranted);
  coordinator.vote(1, 1, kTaken);
  coordinator.underlying().onCommitted(2, "done");
  coordinator.end(2, ExecutionOutcome::committed);
}

void yieldToOtherClaims(PrintedCoordinator& coordinator) {
  coordinator.underlying().setReachable(2, true);
  coordinator.begin(3, "c");
  coordinator.vote(0, 2, kTaken);
  coordinator.vote(1, 2, kTaken);
  coordinator.vote(2, 2, kTakenAndCommitted);
  coordinator.underlying().onTransactionEnded(3, ExecutionOutcome::neverRan);
  coordinator.begin(4, "d");
  coordinator.vote(0, 3, kTaken);
  coordinator.vote(1, 3, kGranted);
  coordinator.vote(2, 3, kAbstained);
  coordinator.underlying().onTransactionEnded(4, ExecutionOutcome::neverRan);
}

void rejectWithoutVotes(PrintedCoordinator& coordinator) {
  coordinator.begin(5, "e");
  coordinator.vote(2, 4, kAbstained);
  std::cout << " voter 1 is unreachable\n";
  coordinator.underlying().setReachable(1, false);
  coordinator.print();
  coordinator.underlying().onTransactionEnded(5, ExecutionOutcome::neverRan);
  coordinator.begin(6, "f");
  coordinator.vote(0, 5, kGranted);
  std::cout << " the vote deadline passes\n";
  coordinator.runTimers(Duration::millis(799));
  coordinator.runTimers(Duration::millis(800));
  coordinator.vote(2, 5, kGranted);
  coordinator.underlying().onTransactionEnded(6, ExecutionOutcome::neverRan);
}

void releaseOnlyIfNeverRan(PrintedCoordinator& coordinator) {
  for (const auto outcome : {ExecutionOutcome::neverRan, ExecutionOutcome::unknown}) {
    const bool isUnknown = outcome == ExecutionOutcome::unknown;
    coordinator.begin(7, "g");
    const ClaimNumber number = isUnknown ? 7 : 6;
    coordinator.vote(0, number, kGranted);
    coordinator.vote(2, number, kGranted);
    std::cout << " the transaction ended: " << (isUnknown ? "unknown" : "never ran") << "\n";
    coordinator.end(7, outcome);
  }
  coordinator.begin(8, "h");
  std::cout << " the client disconnects\n";
  coordinator.end(8, ExecutionOutcome::neverRan);
}

void rejectInvalidClaims(PrintedCoordinator& coordinator) {
  coordinator.begin(9, "");
  std::cout << "a transaction that could be sent after its votes have expired\n";
  coordinator.underlying().beginClaim(kBegin, 10, "i", Duration::millis(40'000));
  coordinator.print();
}

}  // namespace

void printClaimCoordinatorTrace() {
  PrintedCoordinator coordinator;
  admitWithMajority(coordinator);
  yieldToOtherClaims(coordinator);
  rejectWithoutVotes(coordinator);
  releaseOnlyIfNeverRan(coordinator);
  rejectInvalidClaims(coordinator);
  std::cout << "open: " << coordinator.underlying().openClaims() << "\n";
}

}  // namespace gulltrestle::idempotency
