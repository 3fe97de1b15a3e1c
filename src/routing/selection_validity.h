// Validity of selections: an attempt may wait for a connection, or be written only in part, long after its
// node was selected. This module determines whether the node still qualifies for what it was selected for.
//
//   basis           | selected on this basis                         | invalid once
//   none            | reads of level any, searches for the primary,  | never
//                   | reads whose position the node itself checks    |
//   primary         | writes                                         | the node is known as a replica, or
//                   |                                                | another one is known as primary since
//   primaryForRead  | linearizable reads, reads that no replica      | the same, or the node has rejected a
//                   | could answer in time                           | write as a replica
//   appliedPosition | bounded and session reads                      | the node's position is unknown again,
//                   |                                                | or too old by what is known of its
//                   clock
#pragma once

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Compares the attempts in flight with the roles and positions that are known now.
class SelectionValidity {
 public:
  explicit SelectionValidity(RoutingState& state) : state_(state) {}

  // What the selection of the node for the transaction relies on.
  SelectionBasis basisOf(const PendingTransaction& transaction, const NodeState& node) const;

  // Whether the node still qualifies for the attempt, which is in flight there.
  bool isValid(const NodeState& node, const InFlightAttempt& attempt) const;

  // Withdraws the attempts that have become invalid in this round. Must be called after the events of a round
  // and before its decisions.
  void withdrawInvalid();

 private:
  Instant requiredPosition(const InFlightAttempt& attempt, const NodeState& node) const;
  bool isCurrentPrimary(const NodeState& node) const;

  RoutingState& state_;
};

}  // namespace gulltrestle::routing
