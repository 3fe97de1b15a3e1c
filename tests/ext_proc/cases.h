// Test cases of the program, one function each. Each prints its trace.
#pragma once

namespace gulltrestle::ext_proc_test {

// requests.cpp
void servesRequests();
void queuedRequests();
void resetsCrossingDecisions();
void retriesOfTransactions();
void retriesAfterRestart();
void shutdownAnswersBeforeKill();
void retryAfterShutdownDeadline();
void shutdownClosesStreams();

// limits.cpp
void rejectsMalformedMessages();
void unreportedOutcomes();
void drainsLimitLeases();
void roleChangesLimitLeases();
void streamAndMemoryLimits();
void streamsOfOneConnection();
void messageWithTooManyHeaders();
void configFile();

// same_decisions.cpp
void sameDecisionsAsPostgres();

}  // namespace gulltrestle::ext_proc_test
