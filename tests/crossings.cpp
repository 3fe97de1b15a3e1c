// Races between pairs of events, on real connections to the program itself; docs/crossings.md has the table.
// Both orders of a pair are tested: the events are prepared while the program is suspended, or one event
// waits for the other. `crossings CASE` prints what the clients and nodes received.
#include <spdlog/spdlog.h>

#include <csignal>
#include <map>
#include <string>

#include "crossings/cases.h"

int main(int count, char** arguments) {
  using namespace gulltrestle::crossings_test;
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{
      {"reset-while-connecting", resetWhileConnecting},
      {"disconnect-with-queued-statements", disconnectWithQueuedStatements},
      {"disconnect-with-unread-statements", disconnectWithUnreadStatements},
      {"close-behind-unread-statements", closeBehindUnreadStatements},
      {"reset-with-greeting", resetWithGreeting},
      {"pipelined", pipelined},
      {"pipelined-unread", pipelinedUnread},
      {"protocol-error", protocolError},
      {"request-crosses-shutdown", requestCrossesShutdown},
      {"request-crosses-close", requestCrossesClose},
      {"answer-in-transit-at-close", answerInTransitAtClose},
      {"half-request-at-client-limit", halfRequestAtClientLimit},
      {"request-in-socket-at-client-limit", requestInSocketAtClientLimit},
      {"shutdown", gracefulShutdown},
      {"shutdown-with-statement", shutdownWithStatement},
      {"shutdown-with-queued-statements", shutdownWithQueuedStatements},
      {"shutdown-while-primary-hangs", shutdownWhilePrimaryHangs},
      {"shutdown-of-stopped-process", shutdownOfStoppedProcess},
      {"answer-while-hedge-connects", answerWhileHedgeConnects},
      {"role-lost-while-connecting", roleLostWhileConnecting},
      {"role-lost-behind-many-events", roleLostBehindManyEvents},
      {"role-lost-in-large-answer", roleLostInLargeAnswer},
      {"deduplication-window", deduplicationWindowExpired},
      {"deduplication-window-partial-write", deduplicationWindowExpiredInWrite},
      {"broken-answers", brokenAnswers},
      {"floods", floods},
      {"no-descriptors", noDescriptors},
      {"close-timeout", closeTimeout},
      {"close-at-client-limit", closeAtClientLimit},
      {"signal-at-start", signalAtStart},
      {"idle-node-connection", idleNodeConnection}};
  const auto found = count == 2 ? cases.find(arguments[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
