// Endpoint lists and drains that race with other events, on real connections to the program itself;
// docs/crossings.md has the table. `watches CASE` prints what the clients and nodes received.
#include <spdlog/spdlog.h>

#include <csignal>
#include <map>
#include <string>

#include "watches/cases.h"

int main(int count, char** arguments) {
  using namespace gulltrestle::watches_test;
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"split-updates", splitUpdates},
                                                {"watch-reset", watchReset},
                                                {"silent-watch", silentWatch},
                                                {"failed-list-calls", failedListCalls},
                                                {"answer-without-length", answerWithoutLength},
                                                {"node-missing-from-list", nodeMissingFromList},
                                                {"stopped-process", stoppedProcess},
                                                {"polled-lists", polledLists},
                                                {"discovery-moves", discoveryMoves},
                                                {"drain-connecting", drainWhileConnecting},
                                                {"drain-greeting", drainBeforeGreeting},
                                                {"drain-with-statement", drainWithStatement},
                                                {"drain-retry", drainAtRetry},
                                                {"drain-release", drainAtRelease},
                                                {"discovery-at-client-limit", discoveryAtClientLimit},
                                                {"start-without-discovery", startWithoutDiscovery},
                                                {"simultaneous-starts", simultaneousStarts}};
  const auto found = count == 2 ? cases.find(arguments[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
