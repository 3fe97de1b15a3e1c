// The history of a soak: the statements that clients sent and what nodes saw of them. All violations are
// derived from it; it doesn't use the routers' own state.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::soak {

// A violated rule, reported once for each txn or process that shows it.
struct Violation {
  std::string rule, description;
  Instant at;
};

// A transaction as its client sees it. An Instant that is not set means that the event has not happened.
struct Request {
  std::size_t router = 0, classIndex = 0;
  Instant sentAt;          // when the client wrote its last byte
  Instant deadline;        // when its client stops waiting
  Instant clientClosedAt;  // when its client closed the connection
  Instant answeredAt;      // when the client received the answer
  // The connection ended without an answer: its router was killed or closed it, or a fault reset it.
  bool connectionLost = false;
  Instant firstSeenAt;  // when it first reached any node
  int executions = 0;   // with an effect
};

// A statement that a node received.
struct StatementArrival {
  std::string id, node;
  std::size_t router = 0;
  Duration timeLimit;  // how long the node may take
  bool executes = false;
  // When this router was notified of the node's drain. Instant(): the node does not drain.
  Instant drainNotifiedAt;
};

// Records requests, answers and arrivals at nodes, and checks each event against the rules of the protocol.
class RequestHistory {
 public:
  // `machineDelay`: how long a busy machine may delay a router between its reading of the clock and a write.
  RequestHistory(std::vector<TransactionClass> classes, Duration drainGrace, Duration machineDelay)
      : classes_(std::move(classes)), drainGrace_(drainGrace), machineDelay_(machineDelay) {}

  // To be called after each iteration of this process's event loop, every few milliseconds. Events that
  // arrive while the process itself is delayed are recorded late, which is not the router's fault: the rules
  // allow for it.
  void onLoopIteration(Instant now);

  void addRequest(const std::string& id, const Request& request) { requests_[id] = request; }
  Request& requestFor(const std::string& id) { return requests_.at(id); }
  void recordAnswer(Instant now, const std::string& id);
  void recordClientClose(Instant now, const std::string& id);
  // The connection ended without an answer, and the client did not close it. `byFault`: a fault explains it.
  // `wasRead`: the router has read something of the request.
  void recordConnectionLoss(Instant now, const std::string& id, bool byFault, bool wasRead);
  void recordArrival(Instant now, const StatementArrival& arrival);
  void recordStaleRead(Instant now, const std::string& id, const std::string& node);
  void recordViolation(Instant now, const std::string& rule, const std::string& description);
  // Reports requests whose deadline is long past and that are unanswered although their connection was not
  // closed.
  void reportUnanswered(Instant now);

  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t answers() const { return answers_; }
  std::size_t committed = 0, rejected = 0, failed = 0, excused = 0;

 private:
  Duration processDelay(Instant now) const;

  std::vector<TransactionClass> classes_;
  Duration drainGrace_, machineDelay_;
  std::map<std::string, Request> requests_;
  std::vector<Violation> violations_;
  std::size_t answers_ = 0;
  Duration longestDelay_;  // the longest recent loop iteration
  Instant longestDelayAt_, lastIterationAt_;
};

}  // namespace gulltrestle::soak
