// The rules that every front and carrier keeps, as run-time checks at one place each: what is sent, what is
// repeated, what is closed, how a start goes. In tests and sanitized builds a violation ends the process; in
// service it is counted and what would break the rule is not done. No I/O, no clock.
//
//   check    holds where                                            else
//   send     its client waits, its time is not over, the node is    the attempt ends as not sent
//            not leaving, and the node is told no more than what
//            is left
//   repeat   no earlier attempt may have run, or the type is        the attempt ends as not sent
//            repeatable, or it is referenced and its window is open
//   close    the client is owed no answer                           it is answered first
//   start    it serves within its bound                             counted only
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::invariants {

enum class Check { send, repeat, close, start };
constexpr std::size_t kCheckCount = 4;
std::string_view nameOf(Check check);

// An attempt that is about to be written to a node.
struct Send {
  Instant now;
  Instant sendBy;               // by when it may be written
  Instant answerBy;             // when its client stops waiting
  Duration timeoutSent;         // how long the node is told to take at most
  bool isAnswerPending = true;  // its client waits for the answer
  bool isNodeDraining = false;
};

// The same attempt, beside the earlier ones of its txn.
struct Repeat {
  Instant now;
  Effect effect = Effect::idempotent;
  Duration window;  // of a referenced type: how long a repeat is known
  Instant
      firstSentAt;  // when the first attempt that may have run, or is still out, was sent; never: none was
};

// What broke a rule.
struct Violation {
  Check check = Check::send;
  std::string_view rule;  // which part of the check
  std::string subject;    // what it was about: txn and node, or client
};

class Invariants {
 public:
  using Listener = std::function<void(const Violation& violation, std::uint64_t count)>;
  // `told`: called at each violation that is to be logged: the first of each check, then at most one a pause.
  void setListener(Listener told) { told_ = std::move(told); }

  // What a check is about, in words; called only where it is broken.
  using Subject = std::function<std::string()>;
  // Each returns whether it may be done.
  bool send(const Send& send, const Subject& subject);
  bool repeat(const Repeat& repeat, const Subject& subject);
  bool close(Instant now, bool isOwed, const Subject& subject);
  bool started(Instant now, Duration after, const Subject& subject);

  std::uint64_t count(Check check) const { return counts_[static_cast<std::size_t>(check)]; }
  std::uint64_t all() const;
  const Violation& last() const { return last_; }

 private:
  bool broken(Instant now, Check check, std::string_view rule, const Subject& subject);

  Listener told_;
  std::array<std::uint64_t, kCheckCount> counts_{};
  std::array<Instant, kCheckCount> toldAt_{};
  Violation last_;
};

}  // namespace gulltrestle::invariants
