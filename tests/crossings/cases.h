// The cases of the race conditions. Each prints what the clients and nodes received.
#pragma once

namespace gulltrestle::crossings_test {

// clients.cpp
void resetWhileConnecting();
void disconnectWithQueuedStatements();
void disconnectWithUnreadStatements();
void closeBehindUnreadStatements();
void resetWithGreeting();
void pipelined();
void pipelinedUnread();
void protocolError();
void floods();
void noDescriptors();
void closeTimeout();
void closeAtClientLimit();

// closes.cpp
void requestCrossesShutdown();
void requestCrossesClose();
void answerInTransitAtClose();
void halfRequestAtClientLimit();
void requestInSocketAtClientLimit();

// shutdown.cpp
void gracefulShutdown();
void shutdownWithStatement();
void shutdownWithQueuedStatements();
void shutdownWhilePrimaryHangs();
void shutdownOfStoppedProcess();
void signalAtStart();

// attempts.cpp
void idleNodeConnection();
void answerWhileHedgeConnects();
void roleLostWhileConnecting();
void roleLostBehindManyEvents();
void roleLostInLargeAnswer();
void deduplicationWindowExpired();
void deduplicationWindowExpiredInWrite();
void brokenAnswers();

}  // namespace gulltrestle::crossings_test
