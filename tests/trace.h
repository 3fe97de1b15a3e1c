// The one helper of the tests: a router on a clock of its own, whose calls and decisions are printed as a
// trace.
#pragma once

#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "routing/router.h"

namespace gulltrestle::trace {

inline Duration ms(std::int64_t n) { return Duration::millis(n); }

inline RoutingConfig usualTerms(std::vector<TransactionClass> types) {
  RoutingConfig terms;
  terms.transactionClasses = std::move(types);
  terms.roundInterval = ms(5);
  terms.routerCount = 2;
  terms.slowStartFraction = 0.2;
  terms.slowStartWindow = ms(10000);
  terms.healthChecksAllowed = terms.hedgingAllowed = terms.cancelAllowed = terms.retryAfterAllowed = true;
  terms.maxRetryAfter = ms(400);
  terms.maxAttempts = 4;
  terms.sessionAgeProvided = true;
  return terms;
}

inline TransactionClass type(ReadLevel level, Effect effect = Effect::idempotent) {
  TransactionClass made;
  made.level = level;
  made.effect = effect;
  made.maxStaleness = ms(1000);
  made.latencyTarget = ms(400);
  made.deadline = ms(2000);
  made.lateValueFraction = level == ReadLevel::write ? 0.5 : 0;
  made.deduplicationWindow = ms(1000);
  return made;
}

class Bench final : private EventSource, private DecisionSink {
 public:
  explicit Bench(RoutingConfig terms, std::uint64_t seed = 7) : router_(std::move(terms), seed) {}

  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool quietProbes = false;  // leave periodic probes out of the trace

  // Plays one round at `at` ms in which `calls` come in.
  void at(
      std::int64_t at, std::function<void(Router&)> calls = [](Router&) {}) {
    while (!wakes_.empty() && *wakes_.begin() < instant(at)) play(*wakes_.begin(), [](Router&) {});
    play(instant(at), std::move(calls));
  }
  // The router is held up: wakes that come due meanwhile are not played.
  void holdUp() { wakes_.clear(); }
  // Rounds with nothing but the clock, every 5 ms.
  void run(std::int64_t from, std::int64_t to) {
    for (auto t = from; t <= to; t += 5) at(t);
  }

  // Where the txn was last submitted.
  NodeId nodeOf(TxnId txn) const { return nodes_.contains(txn) ? nodes_.at(txn) : NodeId("none"); }
  Instant instant(std::int64_t at) const { return Instant() + ms(1000000 + at); }

  EndpointEntry entry(const std::string& node, bool primary = false, Health health = Health::live) const {
    EndpointEntry made;
    made.node = node;
    made.group = 1;
    made.health = health;
    made.primary = primary;
    return made;
  }
  LoadReport standing(Role role, std::int64_t position) const { return {role, instant(position)}; }

  Transaction txn(TxnId id, std::size_t type = 0, std::int64_t patience = 2000) const {
    Transaction made;
    made.id = id;
    made.type = type;
    made.group = 1;
    made.remainingTime = ms(patience);
    return made;
  }
  Transaction sessionRead(TxnId id, std::size_t type, std::int64_t age, SessionId session = 9) const {
    Transaction made = txn(id, type);
    made.session = session;
    made.writeAge = ms(age);
    return made;
  }

 private:
  void play(Instant then, std::function<void(Router&)> calls) {
    now_ = then;
    wakes_.erase(wakes_.begin(), wakes_.upper_bound(now_));
    calls_ = std::move(calls);
    out_.str("");
    router_.runRound(now_, *this, *this);
    if (!out_.str().empty())
      std::cout << (now_ - instant(0)).inMicros() / 1000 << " ms:" << out_.str() << "\n";
  }

  void deliver(Router& router) override { calls_(router); }
  void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) override {
    nodes_[txn] = node;
    out_ << " submit " << txn << " to " << node << " until " << (cutAt - instant(0)).inMicros() / 1000;
    if (sendBy < cutAt) out_ << ", sent by " << (sendBy - instant(0)).inMicros() / 1000;
    out_ << ";";
  }
  void cancel(TxnId txn, unsigned attempt) override { out_ << " cancel " << txn << "/" << attempt << ";"; }
  void reject(TxnId txn, Duration after) override {
    out_ << " refuse " << txn << ", retry after " << after.inMicros() / 1000 << ";";
  }
  void rollBack(TxnId txn) override { out_ << " roll back " << txn << ";"; }
  void sendHealthCheck(const NodeId& node) override {
    if (!quietProbes) out_ << " probe " << node << ";";
  }
  void wakeAfter(Duration after) override {
    wakes_.insert(now_ + after);
    if (after >= ms(1000)) out_ << " wake after " << after.inMicros() / 1000 << ";";
  }
  void followEndpointList() override { out_ << " follow the list;"; }
  void forgetNode(const NodeId& node) override { out_ << " forget " << node << ";"; }

  Router router_;
  Instant now_;
  std::set<Instant> wakes_;
  std::map<TxnId, NodeId> nodes_;
  std::function<void(Router&)> calls_;
  std::ostringstream out_;
};

}  // namespace gulltrestle::trace
