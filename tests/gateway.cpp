// Tests of the gateway without sockets: delivers events and prints the effects that the gateway requests. Run
// as `gateway CASE`: prints the case's trace.
#include <map>
#include <string>

#include "gateway/cases.h"

int main(int argc, char** argv) {
  using namespace gulltrestle::gateway_test;
  const std::map<std::string, void (*)()> cases{
      {"serves-reads-and-writes", servesReadsAndWrites},
      {"startup-messages", startupMessages},
      {"rejects-invalid-statements", rejectsInvalidStatements},
      {"slow-and-flooding-clients", slowAndFloodingClients},
      {"closes-idle-clients-at-limit", closesIdleClientsAtLimit},
      {"half-closed-clients", halfClosedClients},
      {"pipelined-statements", pipelinedStatements},
      {"withdraws-unsent-attempts", withdrawsUnsentAttempts},
      {"retries-unexecuted-writes", retriesUnexecutedWrites},
      {"never-retries-ambiguous-writes", neverRetriesAmbiguousWrites},
      {"id-repeated-after-client-left", idRepeatedAfterClientLeft},
      {"repeated-ids-at-limit", repeatedIdsAtLimit},
      {"cancels-abandoned-attempts", cancelsAbandonedAttempts},
      {"read-outdated-before-connected", readOutdatedBeforeConnected},
      {"partially-written-statements", partiallyWrittenStatements},
      {"role-lost-before-connected", roleLostBeforeConnected},
      {"primary-replaced-before-connected", primaryReplacedBeforeConnected},
      {"position-lost-before-connected", positionLostBeforeConnected},
      {"role-lost-in-turn-of-connection", roleLostInTurnOfConnection},
      {"answer-in-turn-of-hedge-connection", answerInTurnOfHedgeConnection},
      {"role-lost-while-partly-written", roleLostWhilePartlyWritten},
      {"session-read-after-clock-step", sessionReadAfterClockStep},
      {"idle-node-connections", idleNodeConnections},
      {"bytes-after-answers", bytesAfterAnswers},
      {"malformed-answers", malformedAnswers},
      {"draining-nodes", drainingNodes},
      {"forgets-removed-nodes", forgetsRemovedNodes},
      {"connection-and-memory-limits", connectionAndMemoryLimits},
      {"shutdown-sequence", shutdownSequence},
      {"shutdown-answers-before-kill", shutdownAnswersBeforeKill},
      {"shutdown-with-partial-messages", shutdownWithPartialMessages},
      {"shutdown-before-first-list", shutdownBeforeFirstList},
      {"shutdown-after-stall", shutdownAfterStall},
      {"shutdown-with-unread-bytes", shutdownWithUnreadBytes},
      {"config-reload", configReload},
      {"close-reason-outcomes", closeReasonOutcomes},
      {"transaction-trace", transactionTrace}};
  const auto found = argc == 2 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
