#include "routing/read_consistency.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Bounds the memory used for sessions, regardless of how many write within a minute.
constexpr std::size_t kMaxSessionCommits = 20000;

// Fraction of the latency target that a read waits for a replica: about a third, so that the primary has time
// to answer.
constexpr double kReplicaWaitFraction = 0.35;

// Commit times are reported with millisecond precision.
constexpr Duration kCommitPrecision = Duration::millis(1);

}  // namespace

bool ReadConsistency::isWrite(const InFlightAttempt& attempt) const {
  return state_.config.transactionClasses[attempt.transactionClass].level == ReadLevel::write;
}

// The commit time of a write is rounded up to the next millisecond; the applied position must be rounded
// down.
void ReadConsistency::recordAnswer(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer) {
  const bool isCommit = attempt.isCommitted() && isWrite(attempt.sent);
  if (isCommit && answer.position) recordCommitPosition(node, attempt, *answer.position);
  recordReplication(node, answer, state_.now, isCommit ? PositionKind::commit : PositionKind::applied);
}

// A repeat of a deduplicated write may be answered with the position of the first one, which was committed
// before the repeat was sent.
void ReadConsistency::recordCommitPosition(const NodeState& node, const EndedAttempt& attempt,
                                           Instant position) {
  const TransactionClass& type = state_.config.transactionClasses[attempt.sent.transactionClass];
  if (type.effect == Effect::deduplicated) return;
  GroupState& group = state_.groupOf(node.endpoint.group);
  if (!group.positionClock.recordCommit(position, attempt.sent.sentAt)) return;
  for (NodeState* member : group.nodes) member->appliedPosition = Instant();
  state_.changedGroups.insert(node.endpoint.group);
}

// The position in a load report also dates the role in it: the position of a primary is the time of the
// report, the positions of replicas are older.
void ReadConsistency::recordReport(NodeState& node, const LoadReport& report) {
  const PositionClock& clock = state_.groupOf(node.endpoint.group).positionClock;
  recordReplication(node, report, std::min(clock.timeOf(*report.position), state_.now),
                    PositionKind::applied);
}

void ReadConsistency::recordOutcome(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer) {
  const bool isOfWrite = isWrite(attempt.sent);
  if (attempt.outcome == AttemptOutcome::wrongNode && !isOfWrite) node.lastRejectedAsStaleAt = state_.now;
  if (isOfWrite) recordWriteOutcome(node, attempt);
  const Instant present = state_.presentPosition(node.endpoint.group);
  // A node that rejects stale reads and answers this one has applied the position that the read required.
  if (attempt.isCommitted() && state_.config.nodesRejectStaleReads)
    node.appliedPosition = std::max(node.appliedPosition, std::min(attempt.sent.requiredPosition, present));
  // Also records the commit if the client has disconnected, as the session may send further reads. An attempt
  // without an answer may have been committed.
  if (attempt.sent.session && isOfWrite && (attempt.isCommitted() || attempt.isLost()))
    recordSessionCommit(*attempt.sent.session,
                        attempt.isCommitted() ? answer.position.value_or(present) : present);
}

// Only the primary commits writes, and only other nodes reject them as the wrong node. Answers may arrive in
// another order than they were given: a write that was sent before the rejection shows nothing.
void ReadConsistency::recordWriteOutcome(NodeState& node, const EndedAttempt& attempt) {
  if (attempt.isCommitted() && attempt.sent.sentAt >= node.rejectedWriteAt) node.rejectedWriteAt = Instant();
  if (attempt.outcome != AttemptOutcome::wrongNode) return;
  node.rejectedWriteAt = state_.now;
  state_.changedGroups.insert(node.endpoint.group);
}

void ReadConsistency::recordReplication(NodeState& node, const LoadReport& report, Instant reportedAt,
                                        PositionKind kind) {
  const bool wasPrimary = node.isKnownPrimary() || node.isListedPrimary();
  if (report.role == Role::primary) node.lastKnownPrimaryAt = std::max(node.lastKnownPrimaryAt, reportedAt);
  if (report.role == Role::replica) node.lastKnownReplicaAt = std::max(node.lastKnownReplicaAt, reportedAt);
  const bool isPrimary = node.isKnownPrimary() || node.isListedPrimary();
  if (isPrimary != wasPrimary) state_.changedGroups.insert(node.endpoint.group);
  if (!report.position) return;
  const bool isCommit = kind == PositionKind::commit;
  const Instant position = isCommit ? *report.position - kCommitPrecision : *report.position;
  PositionClock& clock = state_.groupOf(node.endpoint.group).positionClock;
  const Instant presentBefore = clock.readingAt(state_.now);
  const bool isPresent = isCommit || report.role == Role::primary;
  if (!clock.recordPosition(position, state_.now, isPresent)) return;
  const Instant present = clock.readingAt(state_.now);
  if (present != presentBefore) state_.changedGroups.insert(node.endpoint.group);
  if (position < node.appliedPosition) return;
  node.appliedPosition = position;
  node.replicationLag = report.role == Role::primary ? Duration() : present - node.appliedPosition;
}

void ReadConsistency::recordSessionCommit(SessionId session, Instant committedAt) {
  Instant& last = lastCommits_[session];
  last = std::max(last, committedAt);
  commitsByAge_.push_back({session, last});
  // A commit dated by a node whose clock is minutes behind is already older than all others when it is
  // recorded.
  while (commitsByAge_.size() > kMaxSessionCommits ||
         (!commitsByAge_.empty() && state_.now - commitsByAge_.front().committedAt > kRetentionTime)) {
    const SessionCommit oldest = commitsByAge_.front();
    commitsByAge_.pop_front();
    if (lastCommits_[oldest.session] > oldest.committedAt) continue;  // the session has written again since
    commitFloor_ = std::max(commitFloor_, oldest.committedAt);
    lastCommits_.erase(oldest.session);
  }
}

// A write in flight may have been committed while its answer is lost in transit. Ensures that the session
// reads its own write in that case. Trade-off: reads concurrent with a write wait or are sent to the primary.
bool ReadConsistency::hasWriteInFlight(const Transaction& read) const {
  if (!read.session) return false;
  const auto isWriteOfSession = [&](const InFlightAttempt& attempt) {
    return attempt.session == read.session && isWrite(attempt);
  };
  const std::vector<NodeState*>& nodes = state_.groupOf(read.group).nodes;
  return std::any_of(nodes.begin(), nodes.end(), [&](const NodeState* node) {
    return std::any_of(node->inFlightAttempts.begin(), node->inFlightAttempts.end(), isWriteOfSession);
  });
}

Instant ReadConsistency::requiredBySession(const Transaction& read) const {
  const auto found = read.session ? lastCommits_.find(*read.session) : lastCommits_.end();
  const Instant recorded = found != lastCommits_.end() ? found->second : Instant();
  if (!state_.config.sessionAgeProvided || (!read.lastWritePosition && !read.writeAge))
    return hasWriteInFlight(read) ? state_.presentPosition(read.group) : std::max(recorded, commitFloor_);
  if (!read.lastWritePosition && *read.writeAge == Duration()) return Instant();
  // Uses the position returned by the write recorded here if that was the last write of the session,
  // otherwise the one that the client names, or the age of the last write. A write through another router may
  // follow within a round: only these reveal it. A named position is compared with those of nodes as it is,
  // whatever the router's own clock shows.
  const Instant latest =
      read.lastWritePosition ? *read.lastWritePosition : state_.presentPosition(read.group) - *read.writeAge;
  const Instant latestUpperBound = latest + kCommitPrecision;
  return recorded >= latest ? std::min(recorded, latestUpperBound) : latestUpperBound;
}

Instant ReadConsistency::replicaWaitEnd(const PendingTransaction& read) const {
  return read.receivedAt + state_.classOf(read).latencyTarget * kReplicaWaitFraction;
}

}  // namespace gulltrestle::routing
