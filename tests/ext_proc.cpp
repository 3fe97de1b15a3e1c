// Tests the request streams of the external processor without a socket: messages of a proxy in, answers out.
// Run as `ext_proc CASE`: prints the trace of the case.
#include <map>
#include <string>

#include "ext_proc/cases.h"

int main(int argc, char** argv) {
  using namespace gulltrestle::ext_proc_test;
  const std::map<std::string, void (*)()> cases{{"serves-requests", servesRequests},
                                                {"queued-requests", queuedRequests},
                                                {"resets-crossing-decisions", resetsCrossingDecisions},
                                                {"retries-of-transactions", retriesOfTransactions},
                                                {"retries-after-restart", retriesAfterRestart},
                                                {"shutdown-answers-before-kill", shutdownAnswersBeforeKill},
                                                {"shutdown-closes-streams", shutdownClosesStreams},
                                                {"retry-after-shutdown-deadline", retryAfterShutdownDeadline},
                                                {"rejects-malformed-messages", rejectsMalformedMessages},
                                                {"unreported-outcomes", unreportedOutcomes},
                                                {"drains-limit-leases", drainsLimitLeases},
                                                {"role-changes-limit-leases", roleChangesLimitLeases},
                                                {"stream-and-memory-limits", streamAndMemoryLimits},
                                                {"streams-of-one-connection", streamsOfOneConnection},
                                                {"message-with-too-many-headers", messageWithTooManyHeaders},
                                                {"config-file", configFile},
                                                {"same-decisions-as-postgres", sameDecisionsAsPostgres}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
