// The request history of the soak (tests/soak/books.h): each kind of violation is reported where its rule is
// violated, and nowhere else. Run as `verdicts CASE`.
#include <iostream>

#include "soak/books.h"

using namespace gulltrestle;
using namespace gulltrestle::soak;

namespace {

Instant at(std::int64_t millis) { return Instant() + Duration::millis(1'000'000 + millis); }

// One class per effect: idempotent, deduplicated with a window of 400 ms, at-most-once.
std::vector<TransactionClass> transactionClasses() {
  std::vector<TransactionClass> classes(3);
  classes[1].effect = Effect::deduplicated;
  classes[1].deduplicationWindow = Duration::millis(400);
  classes[2].effect = Effect::atMostOnce;
  return classes;
}

// A history with one request of a transaction class, sent at 0 with a deadline of 1 s. The destructor prints
// the violations.
class RecordedRequest {
 public:
  explicit RecordedRequest(std::string title, std::size_t classIndex = 0)
      : title_(std::move(title)),
        history_(transactionClasses(), Duration::millis(500), Duration::millis(150)) {
    history_.onLoopIteration(at(0));
    Request request;
    request.classIndex = classIndex;
    request.sentAt = at(0);
    request.deadline = at(1000);
    history_.addRequest("a", request);
  }
  ~RecordedRequest() {
    historyAt(5'000).reportUnanswered(at(5'000));
    std::cout << title_ << ":";
    if (history_.violations().empty()) std::cout << " no violation";
    for (const auto& violation : history_.violations())
      std::cout << " " << violation.rule << " (" << violation.description << ")";
    std::cout << "\n";
  }
  RequestHistory& historyAt(std::int64_t millis) {
    // One loop iteration per millisecond: this process was never delayed.
    for (; nextIterationMillis_ <= millis; ++nextIterationMillis_)
      history_.onLoopIteration(at(nextIterationMillis_));
    return history_;
  }
  void execute(std::int64_t millis, std::int64_t timeLimitMillis = 500, Instant drainNotifiedAt = {}) {
    historyAt(millis).recordArrival(
        at(millis), {"a", "s-1", 0, Duration::millis(timeLimitMillis), true, drainNotifiedAt});
  }
  void answer(std::int64_t millis) { historyAt(millis).recordAnswer(at(millis), "a"); }

 private:
  std::string title_;
  RequestHistory history_;
  std::int64_t nextIterationMillis_ = 0;
};

void checkAllRules() {
  { RecordedRequest request("never answered"); }
  {
    RecordedRequest request("answered in time");
    request.execute(100);
    request.answer(200);
  }
  {
    RecordedRequest request("answered 0.8 s after its deadline");
    request.answer(1800);
  }
  {
    RecordedRequest request("forwarded, then connection closed");
    request.execute(100);
    request.historyAt(200).recordConnectionLoss(at(200), "a", false, false);
  }
  {
    RecordedRequest request("connection closed before the request was forwarded");
    request.historyAt(200).recordConnectionLoss(at(200), "a", false, false);
  }
  {
    RecordedRequest request("connection closed after the request was read");
    request.historyAt(200).recordConnectionLoss(at(200), "a", false, true);
  }
  {
    RecordedRequest request("forwarded, then its router was killed");
    request.execute(100);
    request.historyAt(200).recordConnectionLoss(at(200), "a", true, true);
  }
  {
    RecordedRequest request("forwarded 0.4 s after its client closed the connection");
    request.historyAt(100).recordClientClose(at(100), "a");
    request.execute(500);
  }
  {
    RecordedRequest request("time limit half a second above the remaining time");
    request.execute(100, 1400);
    request.answer(200);
  }
  {
    RecordedRequest request("forwarded 1 s after the drain notification");
    request.execute(950, 50, at(-50));
    request.answer(960);
  }
  {
    RecordedRequest request("idempotent, executed twice");
    request.execute(100);
    request.execute(900, 100);
    request.answer(950);
  }
  {
    RecordedRequest request("deduplicated, executed again after its window", 1);
    request.execute(100);
    request.execute(800, 100);
    request.answer(950);
  }
  {
    RecordedRequest request("at-most-once, executed twice", 2);
    request.execute(100);
    request.execute(110);
    request.answer(950);
  }
}

}  // namespace

int main(int count, char** arguments) {
  const std::string name = count > 1 ? arguments[1] : "";
  if (name == "all") return checkAllRules(), 0;
  return 2;
}
