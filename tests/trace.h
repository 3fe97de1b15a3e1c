// Test harness for the router: runs it on a simulated clock and prints its decisions as a trace.
#pragma once

#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "routing/router.h"

namespace gulltrestle::trace {

// A duration of n milliseconds.
inline Duration ms(std::int64_t n) { return Duration::millis(n); }

// The routing configuration that most cases start from: every optional action is allowed.
inline RoutingConfig defaultConfig(std::vector<TransactionClass> classes) {
  RoutingConfig config;
  config.transactionClasses = std::move(classes);
  config.roundInterval = ms(5);
  config.routerCount = 2;
  config.slowStartFraction = 0.2;
  config.slowStartWindow = ms(10000);
  config.healthChecksAllowed = config.hedgingAllowed = config.cancelAllowed = config.retryAfterAllowed = true;
  config.maxRetryAfter = ms(400);
  config.maxAttempts = 4;
  config.sessionAgeProvided = true;
  return config;
}

// A transaction class with the default deadline of 2 s and a staleness bound of 1 s.
inline TransactionClass transactionClass(ReadLevel level, Effect effect = Effect::idempotent) {
  TransactionClass result;
  result.level = level;
  result.effect = effect;
  result.maxStaleness = ms(1000);
  result.latencyTarget = ms(400);
  result.deadline = ms(2000);
  result.lateValueFraction = level == ReadLevel::write ? 0.5 : 0;
  result.deduplicationWindow = ms(1000);
  return result;
}

// Drives one router: delivers events to it at given times, runs its rounds and prints every decision.
class RouterHarness final : private EventSource, private DecisionSink {
 public:
  explicit RouterHarness(RoutingConfig config, std::uint64_t seed = 7) : router_(std::move(config), seed) {}

  // Prints a line that explains the step that follows.
  void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool hidesHealthChecks = false;  // leaves health checks out of the trace

  // Runs one round at `at` ms, in which `calls` deliver their events. Wakeups due earlier run first.
  void at(
      std::int64_t at, std::function<void(Router&)> calls = [](Router&) {}) {
    while (!wakeups_.empty() && *wakeups_.begin() < instant(at)) runRound(*wakeups_.begin(), [](Router&) {});
    runRound(instant(at), std::move(calls));
  }
  // Simulates a stalled router: the wakeups that are pending now do not run.
  void stall() { wakeups_.clear(); }
  // Runs rounds without events, one every 5 ms.
  void run(std::int64_t from, std::int64_t to) {
    for (auto t = from; t <= to; t += 5) at(t);
  }

  // The node to which the transaction was last sent.
  NodeId nodeOf(TxnId txn) const { return nodes_.contains(txn) ? nodes_.at(txn) : NodeId("none"); }
  // The time `at` ms after the start of the trace.
  Instant instant(std::int64_t at) const { return Instant() + ms(1000000 + at); }

  EndpointEntry entry(const std::string& node, bool primary = false, Health health = Health::live) const {
    EndpointEntry result;
    result.node = node;
    result.group = 1;
    result.health = health;
    result.primary = primary;
    return result;
  }
  // A load report of a node that has applied everything up to `position` ms.
  LoadReport loadReport(Role role, std::int64_t position) const { return {role, instant(position)}; }

  // `type` is the index of the transaction class, `remainingTime` is in ms.
  Transaction txn(TxnId id, std::size_t type = 0, std::int64_t remainingTime = 2000) const {
    Transaction result;
    result.id = id;
    result.type = type;
    result.group = 1;
    result.remainingTime = ms(remainingTime);
    return result;
  }
  // A read of a session whose last write was committed `age` ms ago.
  Transaction sessionRead(TxnId id, std::size_t type, std::int64_t age, SessionId session = 9) const {
    Transaction result = txn(id, type);
    result.session = session;
    result.writeAge = ms(age);
    return result;
  }

 private:
  void runRound(Instant now, std::function<void(Router&)> calls) {
    now_ = now;
    wakeups_.erase(wakeups_.begin(), wakeups_.upper_bound(now_));
    calls_ = std::move(calls);
    out_.str("");
    router_.runRound(now_, *this, *this);
    if (!out_.str().empty())
      std::cout << (now_ - instant(0)).inMicros() / 1000 << " ms:" << out_.str() << "\n";
  }

  void deliver(Router& router) override { calls_(router); }
  void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) override {
    nodes_[txn] = node;
    out_ << " send " << txn << " to " << node << " until " << (cutAt - instant(0)).inMicros() / 1000;
    if (sendBy < cutAt) out_ << ", sent by " << (sendBy - instant(0)).inMicros() / 1000;
    out_ << ";";
  }
  void withdraw(TxnId txn, unsigned attempt) override {
    out_ << " withdraw " << txn << "/" << attempt << ";";
  }
  void cancel(TxnId txn, unsigned attempt) override { out_ << " cancel " << txn << "/" << attempt << ";"; }
  void reject(TxnId txn, Duration after) override {
    out_ << " reject " << txn << ", retry after " << after.inMicros() / 1000 << ";";
  }
  void rollBack(TxnId txn) override { out_ << " roll back " << txn << ";"; }
  void sendHealthCheck(const NodeId& node) override {
    if (!hidesHealthChecks) out_ << " health check " << node << ";";
  }
  void wakeAfter(Duration after) override {
    wakeups_.insert(now_ + after);
    if (after >= ms(1000)) out_ << " wake after " << after.inMicros() / 1000 << ";";
  }
  void subscribeToEndpointList() override { out_ << " follow the endpoint list;"; }
  void forgetNode(const NodeId& node) override { out_ << " forget " << node << ";"; }

  Router router_;
  Instant now_;
  std::set<Instant> wakeups_;
  std::map<TxnId, NodeId> nodes_;
  std::function<void(Router&)> calls_;
  std::ostringstream out_;
};

}  // namespace gulltrestle::trace
