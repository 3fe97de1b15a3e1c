// Setup shared by the cases of the routing decisions.
#pragma once

#include "trace.h"

namespace gulltrestle::decisions_test {

using namespace gulltrestle::trace;

inline const TransactionClass kAny = transactionClass(ReadLevel::any),
                              kBounded = transactionClass(ReadLevel::bounded),
                              kSession = transactionClass(ReadLevel::session),
                              kWrite = transactionClass(ReadLevel::write, Effect::atMostOnce),
                              kDeduplicatedWrite = transactionClass(ReadLevel::write, Effect::deduplicated);

// A group of three members with p as the primary, as listed in the restored endpoint list. Each member has
// sent one load report.
inline void startGroup(RouterHarness& harness, std::int64_t position = -50) {
  harness.at(0, [&](Router& r) {
    r.onEndpointList(EndpointUpdateKind::restored,
                     {harness.entry("p", true), harness.entry("a"), harness.entry("b")});
  });
  harness.at(5, [&](Router& r) {
    r.onHealthCheckEnded("p", AttemptOutcome::committed, harness.loadReport(Role::primary, 0));
    r.onHealthCheckEnded("a", AttemptOutcome::committed, harness.loadReport(Role::replica, position));
    r.onHealthCheckEnded("b", AttemptOutcome::committed, harness.loadReport(Role::replica, position));
  });
}

// Ends an attempt of the transaction at the node that the transaction was last sent to.
inline void endAttempt(RouterHarness& harness, Router& r, TxnId txn, AttemptOutcome outcome,
                       Role role = Role::replica, unsigned attempt = 0) {
  r.onAttemptEnded(txn, attempt, harness.nodeOf(txn), outcome, outcome == AttemptOutcome::committed, ms(50),
                   {role, std::nullopt}, {});
}

}  // namespace gulltrestle::decisions_test
