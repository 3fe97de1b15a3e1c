// Clients of one router in a soak: they send statements, pause, close connections while statements are
// outstanding, pipeline and write slowly, and record in the history what they sent and received.
#pragma once

#include <optional>

#include "soak/nodes.h"
#include "soak/routers.h"

namespace gulltrestle::soak {

// The clients of one router, and the check at the end that the router serves again.
class Clients {
 public:
  Clients(Harness& harness, RouterProcess& router, std::size_t routerIndex);
  // Starts this many concurrent clients, each of which runs until stop().
  void start(std::size_t clients);
  // Starts this many clients that connect and stay idle, or in the middle of a message, until endCrowd().
  void startCrowd(std::size_t clients);
  void endCrowd() { isCrowdEnding_ = true; }
  void stop() { stopped_ = true; }
  bool idle() const { return running_ == 0; }
  // The longest time until a client has all answers: it may wait behind statements that it sent before.
  // `longestDeadline`: of the transaction classes.
  static Duration longestWait(Duration longestDeadline);
  // After all faults: sends transactions, with retries as clients do, until one is committed; reports a
  // violation if none is by `until`.
  event_loop::Task expectService(Instant until);
  std::size_t pendingServiceChecks = 0;

 private:
  struct Connection;
  event_loop::Task runClient();
  std::string makeStatement(std::size_t classIndex, Duration timeLimit, std::string& id);
  void queueStatement(Connection& connection, std::size_t classIndex, bool slowly);
  void startSession(Connection& connection);
  bool queueStatements(Connection& connection, Instant now);
  bool writeSome(Connection& connection, Instant now);
  bool closesNow(Connection& connection, Instant now);
  bool isOverdue(const Connection& connection, Instant now);
  bool processAnswers(Connection& connection);
  event_loop::Task runIdleClient();
  bool readAnswers(Connection& connection, Instant now);
  bool isExcused(const Connection& connection) const;
  void recordConnectionEnd(Connection& connection, bool byFault);
  std::size_t classCount() const;

  Harness& harness_;
  RouterProcess& router_;
  std::size_t routerIndex_;
  bool stopped_ = false, isCrowdEnding_ = false;
  std::size_t running_ = 0;
  Instant lastCommit_;
};

}  // namespace gulltrestle::soak
