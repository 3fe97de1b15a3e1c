// The soak's books (tests/soak/books.h): each kind of verdict is found where its rule is broken, and nowhere
// else. Run as `verdicts CASE`.
#include <iostream>

#include "soak/books.h"

using namespace gulltrestle;
using namespace gulltrestle::soak;

namespace {

Instant at(std::int64_t millis) { return Instant() + Duration::millis(1'000'000 + millis); }

// One type each: repeatable, referenced with a window of 400 ms, once only.
std::vector<TransactionClass> types() {
  std::vector<TransactionClass> made(3);
  made[1].effect = Effect::deduplicated;
  made[1].deduplicationWindow = Duration::millis(400);
  made[2].effect = Effect::atMostOnce;
  return made;
}

// Books with one request of a type, of 1 s, asked for at 0.
class Kept {
 public:
  explicit Kept(std::string title, std::size_t type = 0)
      : title_(std::move(title)), books_(types(), Duration::millis(500), Duration::millis(150)) {
    books_.turnEnded(at(0));
    Request request;
    request.type = type;
    request.sentAt = at(0);
    request.deadline = at(1000);
    books_.asked("a", request);
  }
  ~Kept() {
    at_(5'000).close(at(5'000));
    std::cout << title_ << ":";
    if (books_.verdicts().empty()) std::cout << " in order";
    for (const auto& verdict : books_.verdicts())
      std::cout << " " << verdict.rule << " (" << verdict.what << ")";
    std::cout << "\n";
  }
  Books& at_(std::int64_t millis) {
    // A turn each millisecond: this process was never late.
    for (; turn_ <= millis; ++turn_) books_.turnEnded(at(turn_));
    return books_;
  }
  void ran(std::int64_t millis, std::int64_t told = 500, Instant drained = {}) {
    at_(millis).seen(at(millis), {"a", "s-1", 0, Duration::millis(told), true, drained});
  }
  void answered(std::int64_t millis) { at_(millis).answered(at(millis), "a"); }

 private:
  std::string title_;
  Books books_;
  std::int64_t turn_ = 0;
};

void all() {
  { Kept kept("never answered"); }
  {
    Kept kept("answered in time");
    kept.ran(100);
    kept.answered(200);
  }
  {
    Kept kept("answered 0.8 s after its time");
    kept.answered(1800);
  }
  {
    Kept kept("sent on, then closed");
    kept.ran(100);
    kept.at_(200).closedOn(at(200), "a", false);
  }
  {
    Kept kept("closed unread");
    kept.at_(200).closedOn(at(200), "a", false);
  }
  {
    Kept kept("sent on, then its router was killed");
    kept.ran(100);
    kept.at_(200).closedOn(at(200), "a", true);
  }
  {
    Kept kept("sent 0.4 s after its client closed");
    kept.at_(100).clientGone(at(100), "a");
    kept.ran(500);
  }
  {
    Kept kept("told half a second more than is left");
    kept.ran(100, 1400);
    kept.answered(200);
  }
  {
    Kept kept("sent 1 s after its node was to be left");
    kept.ran(950, 50, at(-50));
    kept.answered(960);
  }
  {
    Kept kept("repeatable, ran twice");
    kept.ran(100);
    kept.ran(900, 100);
    kept.answered(950);
  }
  {
    Kept kept("referenced, ran anew after its window", 1);
    kept.ran(100);
    kept.ran(800, 100);
    kept.answered(950);
  }
  {
    Kept kept("once only, ran twice", 2);
    kept.ran(100);
    kept.ran(110);
    kept.answered(950);
  }
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  if (name == "all") return all(), 0;
  return 2;
}
