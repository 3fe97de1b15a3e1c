// The run-time checks as a process in service has them: a violation is counted, its listener is notified once
// per interval, and what would break the rule may not be done. Run as `invariants CASE`. In all other tests a
// violation aborts the process.
#include "invariants/invariants.h"

#include <iostream>

using namespace gulltrestle;
using namespace gulltrestle::invariants;

namespace {

Instant at(std::int64_t millis) { return Instant() + Duration::millis(1'000'000 + millis); }

std::string subject() { return "txn a to node n"; }

class InvariantsBench {
 public:
  InvariantsBench() {
    checks_.setListener([](const Violation& violation, std::uint64_t count) {
      std::cout << "  told: " << nameOf(violation.check) << ": " << violation.rule << ": "
                << violation.subject << ", " << count << "\n";
    });
  }
  void send(const std::string& what, const Send& send) { say(what, checks_.maySend(send, subject)); }
  void retry(const std::string& what, const Retry& retry) { say(what, checks_.mayRetry(retry, subject)); }
  Invariants& checks() { return checks_; }
  void say(const std::string& what, bool may) {
    std::cout << what << ": " << (may ? "may" : "may not") << "\n";
  }

 private:
  Invariants checks_;
};

// An attempt for nobody, too late, to a draining node, or with more time than the client has.
void sendRules() {
  InvariantsBench bench;
  const Send good{.now = at(0),
                  .sendBy = at(100),
                  .answerBy = at(200),
                  .timeoutSent = Duration::millis(200),
                  .isAnswerPending = true,
                  .isNodeDraining = false};
  bench.send("in order", good);
  Send wrong = good;
  wrong.isAnswerPending = false;
  bench.send("its client left", wrong);
  wrong = good;
  wrong.now = at(100);
  bench.send("at its last moment", wrong);
  wrong = good;
  wrong.timeoutSent = Duration::millis(350);
  bench.send("told as much as the slack allows", wrong);
  wrong.timeoutSent = Duration::millis(351);
  bench.send("told more", wrong);
  wrong = good;
  wrong.isNodeDraining = true;
  wrong.now = at(20'000);
  wrong.sendBy = wrong.answerBy = at(30'000);
  bench.send("to a node that leaves, when the pause between lines is over", wrong);
  std::cout << bench.checks().count(Check::send) << " of " << bench.checks().totalCount() << " violations\n";
}

// A second run of what may run once, and a retry after the node has forgotten the first attempt.
void retryRules() {
  InvariantsBench bench;
  bench.retry("the first", {at(0), Effect::atMostOnce, Duration(), Instant()});
  bench.retry("repeatable", {at(9'000), Effect::idempotent, Duration(), at(0)});
  bench.retry("once only, and one may have run", {at(1), Effect::atMostOnce, Duration::seconds(5), at(0)});
  bench.retry("referenced, in its window", {at(99), Effect::deduplicated, Duration::millis(100), at(0)});
  bench.retry("referenced, after it", {at(100), Effect::deduplicated, Duration::millis(100), at(0)});
  bench.retry("referenced, without a window", {at(0), Effect::deduplicated, Duration(), at(0)});
}

void closeAndStartRules() {
  InvariantsBench bench;
  bench.say("a client that is owed nothing", bench.checks().mayClose(at(0), false, subject));
  bench.say("a client that is owed an answer", bench.checks().mayClose(at(0), true, subject));
  bench.say("a start of 10 s", bench.checks().checkStart(at(0), Duration::seconds(10), subject));
  bench.say("a start of 11 s", bench.checks().checkStart(at(0), Duration::seconds(11), subject));
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "send-rules") return sendRules(), 0;
  if (name == "retry-rules") return retryRules(), 0;
  if (name == "close-and-start-rules") return closeAndStartRules(), 0;
  return 2;
}
