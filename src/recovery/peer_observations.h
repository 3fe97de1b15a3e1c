// What nodes said of themselves, by who saw it: first hand here, or told by other routers. No I/O, no clock.
//
//   what is known of a node's position        counts as
//   its own word to this router               fact; the decision module has it by itself
//   two others saw it reach P or beyond       proven up to P: a lower bound, handed to the module
//   one other saw it                          a hint: whom to ask first
//   seen before the node's newest start       worthless: a node that lost power may have lost its log's end
//   seen longer ago than is told on           worthless
//
// The same of its role. What was told is never told on: two hops make nothing fresher, and a rumour does not
// come back as a second witness. One router that tells falsely moves nothing; two that agree can have reads
// sent to a replica that is behind, or a write to a node that turns it away.
//
// A node's start is the one that the list tells, compared for being the same and never with a clock: those of
// routers may differ by minutes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/router.h"

namespace gulltrestle::recovery {

struct Observation {
  NodeId node;
  Instant nodeStart;  // as the list told it when the node was seen; never: long ago
  Role role = Role::unknown;
  std::optional<Instant> position;
  Duration age;  // how long ago, when it is told
};

class PeerObservations {
 public:
  // What is older is neither told nor believed: roles and starts change within minutes.
  static constexpr Duration kMaxAge = Duration::millis(60'000);

  // `most`: nodes that others may tell of and no list has named yet; beyond it they are passed over.
  explicit PeerObservations(std::size_t most = 20'000) : most_(most) {}

  // A list names the node with this start. What was seen of an earlier one is forgotten. Returns what others
  // have proven of it ahead of the list.
  std::optional<LoadReport> onListed(const NodeId& node, Instant start);
  void forget(const NodeId& node);
  // It may have been down: what it said before is void, and nothing is proven of it.
  void disconnected(const NodeId& node);
  // Its own word to this router.
  void observe(Instant now, const NodeId& node, const LoadReport& said);
  // Another router's own; its later word replaces an earlier one. Returns what is proven by it now; none:
  // nothing new.
  std::optional<LoadReport> onObservation(Instant now, const std::string& by, const Observation& sighting);

  // All that was seen here itself, for others.
  std::vector<Observation> firstHand(Instant now) const;
  bool hasObserved(const NodeId& node) const;
  // By its own word, else by two others; unknown: by neither.
  Role role(const NodeId& node) const;
  // Whether its position is known, in the same way.
  bool knowsPosition(const NodeId& node) const;

 private:
  struct Seen {
    Instant at;
    Role role = Role::unknown;
    std::optional<Instant> position;
  };
  struct Node {
    Instant start;
    bool isListed = false;
    std::optional<Seen> own;
    std::map<std::string, Seen> others;  // by router; bounded by the fleet's list
    LoadReport proven;
  };
  std::size_t most_, unlisted_ = 0;
  std::map<NodeId, Node> nodes_;
};

}  // namespace gulltrestle::recovery
