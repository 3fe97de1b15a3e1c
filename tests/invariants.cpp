// The run-time checks as a process in service has them: a violation is counted, told once a pause, and what
// would break the rule may not be done. Run as `invariants CASE`. In all other tests a violation ends the
// process.
#include "invariants/invariants.h"

#include <iostream>

using namespace gulltrestle;
using namespace gulltrestle::invariants;

namespace {

Instant at(std::int64_t millis) { return Instant() + Duration::millis(1'000'000 + millis); }

std::string subject() { return "txn a to node n"; }

class Checked {
 public:
  Checked() {
    checks_.setListener([](const Violation& broken, std::uint64_t count) {
      std::cout << "  told: " << nameOf(broken.check) << ": " << broken.rule << ": " << broken.subject << ", "
                << count << "\n";
    });
  }
  void send(const std::string& what, const Send& send) { say(what, checks_.maySend(send, subject)); }
  void repeat(const std::string& what, const Retry& repeat) { say(what, checks_.mayRetry(repeat, subject)); }
  Invariants& checks() { return checks_; }
  void say(const std::string& what, bool may) {
    std::cout << what << ": " << (may ? "may" : "may not") << "\n";
  }

 private:
  Invariants checks_;
};

// Finds: an attempt for nobody, too late, to a node that leaves, or with more time than the client has.
void sending() {
  Checked checked;
  const Send good{at(0), at(100), at(200), Duration::millis(200), true, false};
  checked.send("in order", good);
  Send wrong = good;
  wrong.isAnswerPending = false;
  checked.send("its client left", wrong);
  wrong = good;
  wrong.now = at(100);
  checked.send("at its last moment", wrong);
  wrong = good;
  wrong.timeoutSent = Duration::millis(350);
  checked.send("told as much as the slack allows", wrong);
  wrong.timeoutSent = Duration::millis(351);
  checked.send("told more", wrong);
  wrong = good;
  wrong.isNodeDraining = true;
  wrong.now = at(20'000);
  wrong.sendBy = wrong.answerBy = at(30'000);
  checked.send("to a node that leaves, when the pause between lines is over", wrong);
  std::cout << checked.checks().count(Check::send) << " of " << checked.checks().totalCount()
            << " violations\n";
}

// Finds: a second run of what may run once, and a repeat that the node has forgotten the first of.
void repeating() {
  Checked checked;
  checked.repeat("the first", {at(0), Effect::atMostOnce, Duration(), Instant()});
  checked.repeat("repeatable", {at(9'000), Effect::idempotent, Duration(), at(0)});
  checked.repeat("once only, and one may have run", {at(1), Effect::atMostOnce, Duration::seconds(5), at(0)});
  checked.repeat("referenced, in its window", {at(99), Effect::deduplicated, Duration::millis(100), at(0)});
  checked.repeat("referenced, after it", {at(100), Effect::deduplicated, Duration::millis(100), at(0)});
  checked.repeat("referenced, without a window", {at(0), Effect::deduplicated, Duration(), at(0)});
}

void closing() {
  Checked checked;
  checked.say("a client that is owed nothing", checked.checks().mayClose(at(0), false, subject));
  checked.say("a client that is owed an answer", checked.checks().mayClose(at(0), true, subject));
  checked.say("a start of 10 s", checked.checks().checkStart(at(0), Duration::seconds(10), subject));
  checked.say("a start of 11 s", checked.checks().checkStart(at(0), Duration::seconds(11), subject));
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  if (name == "sending") return sending(), 0;
  if (name == "repeating") return repeating(), 0;
  if (name == "closing") return closing(), 0;
  return 2;
}
