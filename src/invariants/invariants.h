// Run-time checks of the rules that every downstream handler and upstream transport must follow: which
// attempts are sent, which are retried, which clients are closed, and how long a start takes. In tests and
// sanitized builds, a violation aborts the process. In production, it is counted, and the caller omits the
// action that would violate the rule. No I/O, no clock.
//
//   check    holds if                                               otherwise
//   send     the client awaits its answer, its deadline has not     the attempt ends as not sent
//            passed, the node is not draining, and the node is
//            given no more than the remaining time
//   retry    no earlier attempt may have run, or the transaction    the attempt ends as not sent
//            is idempotent, or it is deduplicated and its
//            deduplication window is open
//   close    the client awaits no answer                            the client is answered first
//   start    the process is ready within its time limit             counted only
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
// Returns the name used in log lines and status documents, where a retry is called `repeat`.
std::string_view nameOf(Check check);

// An attempt that is about to be written to a node.
struct Send {
  Instant now;
  Instant sendBy;               // the attempt must not be written later than this
  Instant answerBy;             // when its client stops waiting
  Duration timeoutSent;         // the time limit that is sent to the node
  bool isAnswerPending = true;  // the client awaits the answer
  bool isNodeDraining = false;
};

// The same attempt, with regard to the earlier ones of its transaction.
struct Retry {
  Instant now;
  Effect effect = Effect::idempotent;
  Duration window;      // deduplication window: for how long a deduplicated transaction is recognised
  Instant firstSentAt;  // of the earlier attempts that may have run or are in flight; Instant(): none
};

// A violation of a rule.
struct Violation {
  Check check = Check::send;
  std::string_view rule;  // text that names the violated part of the check; static
  std::string subject;    // the transaction and node, or the client
};

// Runs and counts the checks. One per transaction table.
class Invariants {
 public:
  // `count`: number of violations of the same check so far.
  using Listener = std::function<void(const Violation& violation, std::uint64_t count)>;
  // The listener is called for each violation that is to be logged: the first of each check, then at most one
  // per check in ten seconds.
  void setListener(Listener listener) { listener_ = std::move(listener); }

  // Returns a description of the checked transaction, node or client. Called for violations only.
  using Subject = std::function<std::string()>;

  // Each check returns whether its rule holds, and counts a violation if it does not.
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
