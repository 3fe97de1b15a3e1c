#include "routing/read_consistency.h"

#include <algorithm>

namespace gulltrestle::routing {

namespace {

// Bounds the memory that sessions can take, however many write within a minute.
constexpr std::size_t kMostSessionCommits = 20000;

// One clock serves all, so that no position can be ahead of it; by more than this it is taken for a fault.
constexpr Duration kMostClockError = Duration::seconds(1);

// Of the latency target: about a third, so that the primary has time to answer.
constexpr double kHoldFraction = 0.35;

// Commits are told to the millisecond.
constexpr Duration kCommitPrecision = Duration::millis(1);

}  // namespace

bool ReadConsistency::isWrite(const InFlightAttempt& attempt) const {
  return state_.config.transactionClasses[attempt.transactionClass].level == ReadLevel::write;
}

// A write's commit is rounded up to the next millisecond; what is known to be applied is rounded down.
void ReadConsistency::recordAnswer(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer) {
  const bool isCommit = attempt.isCommitted() && isWrite(attempt.sent);
  recordReplication(node, answer, state_.now, isCommit ? kCommitPrecision : Duration());
}

// A report's position dates its word on the role: a primary's is the time of the report, others are older.
void ReadConsistency::recordReport(NodeState& node, const LoadReport& report) {
  recordReplication(node, report, std::min(*report.position, state_.now), Duration());
}

void ReadConsistency::recordOutcome(NodeState& node, const EndedAttempt& attempt, const LoadReport& answer) {
  const bool isOfWrite = isWrite(attempt.sent);
  if (attempt.outcome == AttemptOutcome::wrongNode && !isOfWrite) node.lastRejectedAsStaleAt = state_.now;
  // A node that guards itself and answers a read has what the read needed.
  if (attempt.isCommitted() && state_.config.nodesRejectStaleReads)
    node.appliedPosition = std::max(node.appliedPosition, attempt.sent.requiredPosition);
  // Also where its client has left: the session reads on. What got no answer may have been committed.
  if (attempt.sent.session && isOfWrite && (attempt.isCommitted() || attempt.isLost()))
    recordSessionCommit(*attempt.sent.session,
                        attempt.isCommitted() ? answer.position.value_or(state_.now) : state_.now);
}

void ReadConsistency::recordReplication(NodeState& node, const LoadReport& report, Instant saidAt,
                                        Duration roundedUpBy) {
  if (report.role == Role::primary) node.lastKnownPrimaryAt = std::max(node.lastKnownPrimaryAt, saidAt);
  if (report.role == Role::replica) node.lastKnownReplicaAt = std::max(node.lastKnownReplicaAt, saidAt);
  if (!report.position || *report.position - roundedUpBy < node.appliedPosition) return;
  if (*report.position > state_.now + kMostClockError) return;
  node.appliedPosition = *report.position - roundedUpBy;
  node.replicationLag = report.role == Role::primary ? Duration() : state_.now - node.appliedPosition;
}

void ReadConsistency::recordSessionCommit(SessionId session, Instant committedAt) {
  Instant& last = lastCommits_[session];
  last = std::max(last, committedAt);
  commitsByAge_.push_back({session, last});
  // A node may date a commit by a clock that is minutes behind: it is older than all from the start.
  while (commitsByAge_.size() > kMostSessionCommits ||
         (!commitsByAge_.empty() && state_.now - commitsByAge_.front().committedAt > kForgetAfter)) {
    const SessionCommit oldest = commitsByAge_.front();
    commitsByAge_.pop_front();
    if (lastCommits_[oldest.session] > oldest.committedAt) continue;  // it wrote again since
    commitFloor_ = std::max(commitFloor_, oldest.committedAt);
    lastCommits_.erase(oldest.session);
  }
}

// A write that is in flight may have been committed, and its answer be lost on the way. Guards the session
// against not seeing it; may hurt reads beside a write, which wait or go to the primary.
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
  if (!state_.config.sessionAgeProvided || !read.writeAge)
    return hasWriteInFlight(read) ? state_.now : std::max(recorded, commitFloor_);
  if (*read.writeAge == Duration()) return Instant();
  // The position that the write recorded here returned, if that was the session's last one; else what the age
  // says. A write through another router may have come within a round after it: the age alone can tell.
  const Instant latest = state_.now - *read.writeAge;
  const Instant latestRoundedUp = latest + kCommitPrecision;
  return recorded >= latest ? std::min(recorded, latestRoundedUp) : latestRoundedUp;
}

Instant ReadConsistency::holdEnd(const PendingTransaction& read) const {
  return read.receivedAt + state_.classOf(read).latencyTarget * kHoldFraction;
}

}  // namespace gulltrestle::routing
