// The cases of the test program. Each function runs one case and prints its trace.
#pragma once

namespace gulltrestle::gateway_test {

// clients.cpp
void servesReadsAndWrites();
void startupMessages();
void rejectsInvalidStatements();
void slowAndFloodingClients();
void closesIdleClientsAtLimit();
void halfClosedClients();
void pipelinedStatements();
void withdrawsUnsentAttempts();

// attempts.cpp
void retriesUnexecutedWrites();
void neverRetriesAmbiguousWrites();
void idRepeatedAfterClientLeft();
void repeatedIdsAtLimit();
void cancelsAbandonedAttempts();
void readOutdatedBeforeConnected();
void partiallyWrittenStatements();

// node_changes.cpp
void roleLostBeforeConnected();
void primaryReplacedBeforeConnected();
void positionLostBeforeConnected();
void roleLostInTurnOfConnection();
void answerInTurnOfHedgeConnection();
void roleLostWhilePartlyWritten();

// positions.cpp
void sessionReadAfterClockStep();

// node_connections.cpp
void idleNodeConnections();
void bytesAfterAnswers();
void malformedAnswers();
void drainingNodes();
void forgetsRemovedNodes();
void connectionAndMemoryLimits();

// process.cpp
void configReload();
void closeReasonOutcomes();
void transactionTrace();

// shutdown.cpp
void shutdownSequence();
void shutdownAnswersBeforeKill();
void shutdownWithPartialMessages();
void shutdownBeforeFirstList();
void shutdownAfterStall();
void shutdownWithUnreadBytes();

}  // namespace gulltrestle::gateway_test
