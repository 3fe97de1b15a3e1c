// Read consistency: determines which data a read may be answered from, by the commits of sessions and by the
// commits that nodes are known to have applied.
//
//   read level   | position that the answering node must have applied
//   any          | none
//   bounded      | the present minus the staleness bound (RoutingState::requiredPosition)
//   session      | the session's last commit (requiredBySession)
//   linearizable | none: sent to the primary
#pragma once

#include <deque>
#include <map>

#include "routing/routing_state.h"

namespace gulltrestle::routing {

// Records replication positions and session commits, and computes the position that a read requires.
class ReadConsistency {
 public:
  explicit ReadConsistency(RoutingState& state) : state_(state) {}

  // Records the role and position that a node reported in its answer to an attempt. Must be called first when
  // an attempt ends.
  void recordAnswer(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer);

  // Records the role and position from a load report. The report must have a position.
  void recordReport(NodeState& node, const LoadReport& report);

  // Updates the applied position of the node and the commits of the session from the outcome of an attempt.
  // Must be called after recordAnswer() and recordReport().
  void recordOutcome(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer);

  // The position that a session read requires; zero if the session has not written.
  Instant requiredBySession(const Transaction& read) const;

  // The time until which a read waits for a replica; after it the primary may answer the read.
  Instant replicaWaitEnd(const PendingTransaction& read) const;

 private:
  struct SessionCommit {
    SessionId session;
    Instant committedAt;
  };

  // What a reported position is: one up to which all commits are applied, rounded down, or the time of a
  // commit, rounded up.
  enum class PositionKind { applied, commit };

  // Records the role and position that a node reported at `reportedAt`. Ignores positions that are older than
  // the known one or too far ahead of the group's clock.
  void recordReplication(NodeState& node, const LoadReport& report, Instant reportedAt, PositionKind kind);

  // Records what the commit of a write shows about the clock that dates positions.
  void recordCommitPosition(const NodeState& node, const EndedAttempt& attempt, Instant position);

  // Records what the outcome of a write shows about the role of the node.
  void recordWriteOutcome(NodeState& node, const EndedAttempt& attempt);

  // Records that a write of the session was, or may have been, committed at `committedAt`. The commit is kept
  // for a minute and for a bounded number of sessions; after that it counts as a commit of every session.
  void recordSessionCommit(SessionId session, Instant committedAt);

  bool isWrite(const InFlightAttempt& attempt) const;
  bool hasWriteInFlight(const Transaction& read) const;

  RoutingState& state_;
  std::map<SessionId, Instant> lastCommits_;
  std::deque<SessionCommit> commitsByAge_;  // all recorded commits, oldest first
  Instant commitFloor_;                     // the newest commit among the deleted sessions
};

}  // namespace gulltrestle::routing
