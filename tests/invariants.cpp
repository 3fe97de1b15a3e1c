// The run-time checks as built for production: a violation is counted, the listener is notified at most once
// per interval, and the action that would violate the rule is refused. Run as `invariants CASE`. In all other
// tests, a violation aborts the process.
#include "invariants/invariants.h"

#include <iostream>

using namespace gulltrestle;
using namespace gulltrestle::invariants;

namespace {

Instant at(std::int64_t millis) { return Instant() + Duration::millis(1'000'000 + millis); }

std::string subject() { return "txn a to node n"; }

// Prints the verdict of each check and each notification of the listener.
class InvariantsHarness {
 public:
  InvariantsHarness() {
    checks_.setListener([](const Violation& violation, std::uint64_t count) {
      std::cout << "  notified: " << nameOf(violation.check) << ": " << violation.rule << ": "
                << violation.subject << ", " << count << "\n";
    });
  }
  void send(const std::string& description, const Send& send) {
    printVerdict(description, checks_.maySend(send, subject));
  }
  void retry(const std::string& description, const Retry& retry) {
    printVerdict(description, checks_.mayRetry(retry, subject));
  }
  Invariants& checks() { return checks_; }
  void printVerdict(const std::string& description, bool isAllowed) {
    std::cout << description << ": " << (isAllowed ? "may" : "may not") << "\n";
  }

 private:
  Invariants checks_;
};

// An attempt whose client has left, that is too late, is sent to a draining node, or is given more than the
// remaining time of the client.
void sendRules() {
  InvariantsHarness harness;
  const Send valid{.now = at(0),
                   .sendBy = at(100),
                   .answerBy = at(200),
                   .timeoutSent = Duration::millis(200),
                   .isAnswerPending = true,
                   .isNodeDraining = false};
  harness.send("a valid attempt", valid);
  Send invalid = valid;
  invalid.isAnswerPending = false;
  harness.send("the client has left", invalid);
  invalid = valid;
  invalid.now = at(100);
  harness.send("at the latest send time", invalid);
  invalid = valid;
  invalid.timeoutSent = Duration::millis(350);
  harness.send("a timeout at the limit of the slack", invalid);
  invalid.timeoutSent = Duration::millis(351);
  harness.send("a timeout above the limit", invalid);
  invalid = valid;
  invalid.isNodeDraining = true;
  invalid.now = at(20'000);
  invalid.sendBy = invalid.answerBy = at(30'000);
  harness.send("to a draining node, after the log interval", invalid);
  std::cout << harness.checks().count(Check::send) << " of " << harness.checks().totalCount()
            << " violations\n";
}

// A retry of an at-most-once transaction, and one after the node has dropped the first attempt from its
// deduplication window.
void retryRules() {
  InvariantsHarness harness;
  harness.retry("the first attempt", {at(0), Effect::atMostOnce, Duration(), Instant()});
  harness.retry("idempotent", {at(9'000), Effect::idempotent, Duration(), at(0)});
  harness.retry("at most once, an earlier attempt may have run",
                {at(1), Effect::atMostOnce, Duration::seconds(5), at(0)});
  harness.retry("deduplicated, within its window",
                {at(99), Effect::deduplicated, Duration::millis(100), at(0)});
  harness.retry("deduplicated, after its window",
                {at(100), Effect::deduplicated, Duration::millis(100), at(0)});
  harness.retry("deduplicated, without a window", {at(0), Effect::deduplicated, Duration(), at(0)});
}

void closeAndStartRules() {
  InvariantsHarness harness;
  harness.printVerdict("a client that awaits no answer", harness.checks().mayClose(at(0), false, subject));
  harness.printVerdict("a client that awaits an answer", harness.checks().mayClose(at(0), true, subject));
  harness.printVerdict("a start of 10 s", harness.checks().checkStart(at(0), Duration::seconds(10), subject));
  harness.printVerdict("a start of 11 s", harness.checks().checkStart(at(0), Duration::seconds(11), subject));
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "send-rules") return sendRules(), 0;
  if (name == "retry-rules") return retryRules(), 0;
  if (name == "close-and-start-rules") return closeAndStartRules(), 0;
  return 2;
}
