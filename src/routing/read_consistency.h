// Which data a read may be answered from: what sessions have committed, and which commits nodes are known to
// have applied.
//
//   read level   | position that the answering node must have applied
//   any          | none
//   bounded      | the present less the class's bound (RoutingState::requiredPosition)
//   session      | the session's last commit (requiredBySession)
//   linearizable | goes to the primary
#pragma once

#include <deque>
#include <map>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Records replication positions and session commits, and works out what a read requires.
class ReadConsistency {
 public:
  explicit ReadConsistency(RoutingState& state) : state_(state) {}

  // Takes what a node said of itself in the answer to an attempt. Called first when an attempt ends.
  void recordAnswer(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer);

  // Takes what a node said of itself in a report, which has a position.
  void recordReport(NodeState& node, const LoadReport& report);

  // What the attempt's end tells of the node's data and of its session's commits. After the above.
  void recordOutcome(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer);

  // The position that a session read has to see: zero where the session has not written.
  Instant requiredBySession(const Transaction& read) const;

  // Until when a read waits for a replica before the primary may answer it.
  Instant holdEnd(const PendingTransaction& read) const;

 private:
  struct SessionCommit {
    SessionId session;
    Instant committedAt;
  };

  // Takes what a node said, at `saidAt`, of its role and position. `roundedUpBy`: how far the position may
  // have been rounded up. Positions are kept only if newer and not ahead of the clock.
  void recordReplication(NodeState& node, const LoadReport& report, Instant saidAt, Duration roundedUpBy);

  // A write of the session was committed, or may have been, at `committedAt`. Kept for a minute, for a
  // bounded number of sessions; beyond that it holds for all sessions.
  void recordSessionCommit(SessionId session, Instant committedAt);

  bool isWrite(const InFlightAttempt& attempt) const;
  bool hasWriteInFlight(const Transaction& read) const;

  RoutingState& state_;
  std::map<SessionId, Instant> lastCommits_;
  std::deque<SessionCommit> commitsByAge_;  // all that were recorded, oldest first
  Instant commitFloor_;                     // the newest commit among sessions that are forgotten
};

}  // namespace gulltrestle::routing
