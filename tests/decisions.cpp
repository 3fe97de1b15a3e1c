// Routing decisions: one small case for each rule, effect and protection. Run as `decisions CASE`: prints the
// trace of the case.
#include <iostream>
#include <map>
#include <string>

#include "decisions/cases.h"

namespace {

std::map<std::string, void (*)()> allCases() {
  using namespace gulltrestle::decisions_test;
  return {{"ordinary-path", ordinaryPath},
          {"stale-read", staleRead},
          {"at-most-once-write", atMostOnceWrite},
          {"unanswered-session-writes", unansweredSessionWrites},
          {"session-write-at-other-router", sessionWriteAtOtherRouter},
          {"idempotent-read", idempotentRead},
          {"deduplicated-write", deduplicatedWrite},
          {"draining", draining},
          {"slow-start-node", slowStartNode},
          {"new-primary", newPrimary},
          {"write-rejected-without-role", writeRejectedWithoutRole},
          {"hung-node", hungNode},
          {"shutdown", shutdownOfProcess},
          {"slow-primary", slowPrimary},
          {"client-connection-limit", clientConnectionLimit},
          {"primary-clock-behind", primaryClockBehind},
          {"repeated-session-reads", repeatedSessionReads},
          {"bounded-read-after-clock-step", boundedReadAfterClockStep},
          {"clock-step-while-bounded-read-waits", clockStepWhileBoundedReadWaits},
          {"session-age-after-clock-step", sessionAgeAfterClockStep},
          {"position-read-after-stall", positionReadAfterStall},
          {"clock-step-of-an-hour", clockStepOfAnHour},
          {"state-expiry", stateExpiry},
          {"unanswered-writes", unansweredWrites},
          {"write-only-recovery", writeOnlyRecovery},
          {"short-latency-target", shortLatencyTarget},
          {"replica-log-loss", replicaLogLoss},
          {"no-health-checks", noHealthChecks},
          {"late-cancelled-reads", lateCancelledReads},
          {"inferred-client-retries", inferredClientRetries},
          {"timeouts-of-one-connection", timeoutsOfOneConnection},
          {"outdated-positions", outdatedPositions},
          {"long-reads", longReads},
          {"session-read-retry", sessionReadRetry},
          {"polled-endpoint-list", polledEndpointList},
          {"hedge", hedge},
          {"router-stall", routerStall},
          {"outdated-latencies", outdatedLatencies},
          {"error-attribution", errorAttribution},
          {"reported-load", reportedLoad},
          {"lagging-replica", laggingReplica},
          {"unexpected-updates", unexpectedUpdates},
          {"slow-start-group", slowStartGroup},
          {"overloaded-primary", overloadedPrimary},
          {"overloaded-group", overloadedGroup},
          {"machine-kinds", machineKinds}};
}

}  // namespace

int main(int argc, char** argv) {
  const auto cases = allCases();
  const auto found = argc == 2 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) return std::cerr << "usage: decisions CASE\n", 2;
  found->second();
}
