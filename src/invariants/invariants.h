// The rules that every downstream handler and upstream transport must keep, as run-time checks in one place:
// what is sent, what is retried, what is closed, how long a start takes. In tests and sanitized builds a
// violation aborts the process; in service it is counted, and the caller omits what would break the rule.
// No I/O, no clock.
//
//   check    holds if                                               else
//   send     the client awaits its answer, its time is not over,    the attempt ends as not sent
//            the node is not draining, and the node is given no
//            more time than is left
//   retry    no earlier attempt may have run, or the transaction    the attempt ends as not sent
//            is idempotent, or it is deduplicated and its
//            deduplication window is open
//   close    the client awaits no answer                            it is answered first
//   start    the process serves within its time limit               counted only
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::invariants {

// The kinds of check, as in the table above.
enum class Check { send, retry, close, start };
constexpr std::size_t kCheckCount = 4;
// As in log lines and status documents, where a retry is a `repeat`.
std::string_view nameOf(Check check);

// An attempt that is about to be written to a node.
struct Send {
  Instant now;
  Instant sendBy;               // it must not be written later than this
  Instant answerBy;             // when its client stops waiting
  Duration timeoutSent;         // the time that the node is given
  bool isAnswerPending = true;  // the client awaits the answer
  bool isNodeDraining = false;
};

// The same attempt, with regard to the earlier ones of its transaction.
struct Retry {
  Instant now;
  Effect effect = Effect::idempotent;
  Duration window;      // for how long a deduplicated transaction is recognised
  Instant firstSentAt;  // of the earlier attempts that may have run or are in flight; never: none is
};

// A rule that was broken.
struct Violation {
  Check check = Check::send;
  std::string_view rule;  // which part of the check, in words; static
  std::string subject;    // the transaction and node, or the client
};

// Runs and counts the checks. One per transaction table.
class Invariants {
 public:
  // `count`: violations of the same check up to now.
  using Listener = std::function<void(const Violation& violation, std::uint64_t count)>;
  // Called for each violation that is to be logged: the first of each check, then at most one per ten
  // seconds.
  void setListener(Listener listener) { listener_ = std::move(listener); }

  // Returns what a check is about, in words; called for violations only.
  using Subject = std::function<std::string()>;

  // Each returns whether the rule holds, and counts a violation if it does not.
  [[nodiscard]] bool maySend(const Send& send, const Subject& subject);
  [[nodiscard]] bool mayRetry(const Retry& retry, const Subject& subject);
  [[nodiscard]] bool mayClose(Instant now, bool isAnswerPending, const Subject& subject);
  bool checkStart(Instant now, Duration startDuration, const Subject& subject);

  std::uint64_t count(Check check) const { return counts_[static_cast<std::size_t>(check)]; }
  std::uint64_t totalCount() const;
  const Violation& lastViolation() const { return lastViolation_; }

 private:
  bool recordViolation(Instant now, Check check, std::string_view rule, const Subject& subject);

  Listener listener_;
  std::array<std::uint64_t, kCheckCount> counts_{};
  std::array<Instant, kCheckCount> notifiedAt_{};
  Violation lastViolation_;
};

}  // namespace gulltrestle::invariants
