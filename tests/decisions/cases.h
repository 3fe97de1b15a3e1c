// The cases of the routing decisions. Each prints its trace.
#pragma once

namespace gulltrestle::decisions_test {

// position_clock.cpp
void boundedReadAfterClockStep();
void clockStepWhileBoundedReadWaits();
void sessionAgeAfterClockStep();
void positionReadAfterStall();
void clockStepOfAnHour();

// read_consistency.cpp
void ordinaryPath();
void staleRead();
void sessionWriteAtOtherRouter();
void unansweredSessionWrites();
void repeatedSessionReads();
void primaryClockBehind();
void replicaLogLoss();
void outdatedPositions();
void laggingReplica();
void sessionReadRetry();

// retries.cpp
void atMostOnceWrite();
void idempotentRead();
void deduplicatedWrite();
void unansweredWrites();
void lateCancelledReads();
void inferredClientRetries();
void timeoutsOfOneConnection();
void hedge();
void errorAttribution();
void hungNode();
void shutdownOfProcess();

// primary.cpp
void newPrimary();
void writeRejectedWithoutRole();
void slowPrimary();
void writeOnlyRecovery();
void noHealthChecks();
void clientConnectionLimit();
void overloadedPrimary();

// endpoint_lists.cpp
void draining();
void slowStartNode();
void slowStartGroup();
void stateExpiry();
void unexpectedUpdates();
void polledEndpointList();

// load.cpp
void shortLatencyTarget();
void longReads();
void reportedLoad();
void overloadedGroup();
void machineKinds();
void routerStall();
void outdatedLatencies();

}  // namespace gulltrestle::decisions_test
