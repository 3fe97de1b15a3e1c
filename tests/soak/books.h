// What clients asked for and what nodes saw of it: the record that a soak's verdicts are drawn from. It knows
// nothing of the routers' own state.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::soak {

// A rule that was broken, once for each txn or process that shows it.
struct Verdict {
  std::string rule, what;
  Instant at;
};

struct Request {
  std::size_t router = 0, type = 0;
  Instant sentAt;        // its last byte, as the client wrote it
  Instant deadline;      // when its client stops waiting
  Instant goneAt;        // its client closed the connection; never: it has not
  Instant answeredAt;    // never: it has not been
  bool excused = false;  // its router was killed, or its connection reset by a fault
  Instant firstSeenAt;   // by any node
  int runs = 0;          // with an effect
};

// Of a statement that came to a node.
struct Seen {
  std::string id, node;
  std::size_t router = 0;
  Duration told;  // how long the node may take
  bool runs = false;
  Instant drainedSince;  // as this router was told; never: the node does not drain
};

class Books {
 public:
  // `heldUp`: how long the machine may hold up a router between its clock and a write.
  Books(std::vector<TransactionClass> types, Duration drainGrace, Duration heldUp)
      : types_(std::move(types)), drainGrace_(drainGrace), heldUp_(heldUp) {}

  // A turn of this process's loop is over; there is one every few milliseconds. What came while the process
  // itself stood still is seen late, and is no router's fault.
  void turnEnded(Instant now);

  void asked(const std::string& id, const Request& request) { requests_[id] = request; }
  Request& of(const std::string& id) { return requests_.at(id); }
  void answered(Instant now, const std::string& id);
  void clientGone(Instant now, const std::string& id);
  // The connection ended without an answer, and not by the client.
  void closedOn(Instant now, const std::string& id, bool killed);
  void seen(Instant now, const Seen& seen);
  void stale(Instant now, const std::string& id, const std::string& node);
  void broken(Instant now, const std::string& rule, const std::string& what);
  // Requests whose time is long over and that are neither answered nor excused.
  void close(Instant now);

  const std::vector<Verdict>& verdicts() const { return verdicts_; }
  std::size_t requests() const { return requests_.size(); }
  std::size_t answers() const { return answers_; }
  std::size_t committed = 0, refused = 0, failed = 0, crossed = 0;

 private:
  Duration slack(Instant now) const;

  std::vector<TransactionClass> types_;
  Duration drainGrace_, heldUp_;
  std::map<std::string, Request> requests_;
  std::vector<Verdict> verdicts_;
  std::size_t answers_ = 0;
  Duration lateBy_;  // the longest turn of late
  Instant lateAt_, turnEndedAt_;
};

}  // namespace gulltrestle::soak
