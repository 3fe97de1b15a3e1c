// The cases of endpoint lists and drains. Each prints what the clients and nodes received.
#pragma once

namespace gulltrestle::watches_test {

// updates.cpp
void splitUpdates();
void watchReset();
void silentWatch();
void failedListCalls();
void answerWithoutLength();
void nodeMissingFromList();
void stoppedProcess();
void polledLists();
void discoveryMoves();

// drains.cpp
void drainWhileConnecting();
void drainBeforeGreeting();
void drainWithStatement();
void drainAtRetry();
void drainAtRelease();

// starts.cpp
void discoveryAtClientLimit();
void startWithoutDiscovery();
void simultaneousStarts();

}  // namespace gulltrestle::watches_test
