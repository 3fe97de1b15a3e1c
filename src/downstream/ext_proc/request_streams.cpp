#include "downstream/ext_proc/request_streams.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/due_time.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::FinalOutcome;
using endpoint_leases::LeaseDecision;

namespace {

// Each event name is logged at most once in this interval: operators read a few lines a minute, not more.
constexpr Duration kLogInterval = Duration::millis(10000);

constexpr std::string_view kShuttingDown = "shutting down";

// Part of the streams that one connection can't use while there are others.
constexpr std::size_t kReserveDivisor = 4;

// Distinguishes the connections of proxies from those of PostgreSQL clients, whose ids also count from 1.
constexpr ConnectionId kProxyConnectionBit = ConnectionId{1} << 63;

}  // namespace

RequestStreams::RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                               endpoint_leases::LeaseRegistry leaseRegistry,
                               endpoint_leases::DrainRule drainRule, StreamLimits limits, Effects& effects)
    : transactions_(transactions),
      mapping_(std::move(mapping)),
      leaseRegistry_(std::move(leaseRegistry)),
      limits_(limits),
      effects_(effects),
      transport_(transactions, drainRule, *this) {}

// --- Events

// Prevents unbounded memory use, and that one proxy uses up the streams of all. Trade-off: beside others a
// proxy with a single connection has three quarters of the streams. Streams that it opened while it was the
// only one stay.
bool RequestStreams::hasCapacityFor(const ConnectionStreams& connection) const {
  const std::size_t reserve = connection.isOnlyConnection ? 0 : limits_.maxStreams / kReserveDivisor;
  return streams_.size() <= limits_.maxStreams && connection.open + reserve <= limits_.maxStreams;
}

// Closes a stream that exceeds the limits.
void RequestStreams::onOpened(StreamKey key, const ConnectionStreams& connection) {
  Stream& stream = streams_[key];
  if (connection.connection != 0) stream.connection = connection.connection | kProxyConnectionBit;
  const bool isFull = !hasCapacityFor(connection);
  if (isStopped_ || isFull) {
    stream.stage = Stage::answered;
    return isStopped_ ? effects_.close(key, StreamCloseReason::unavailable, kShuttingDown)
                      : effects_.close(key, StreamCloseReason::tooManyStreams, "too many streams");
  }
  setDeadline(key, stream, transactions_.now() + limits_.requestTimeout);
}

void RequestStreams::onMessage(StreamKey key, std::string_view bytes) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  wire::Request request;
  try {
    request = wire::readRequest(bytes);
  } catch (const wire::Malformed& error) { return rejectMessage(key, error.what()); }
  if (request.isObservabilityMode) return;  // observability mode: the proxy only mirrors its traffic
  Stream& stream = found->second;
  switch (request.phase) {
    case wire::Phase::requestHeaders:
      return onRequestHeaders(key, stream, request.headers);
    case wire::Phase::responseHeaders:
      return onResponseHeaders(key, stream, request.headers);
    case wire::Phase::none:
      return rejectMessage(key, "the message asks nothing");
    default:
      return onBodyOrTrailers(key, stream, request.phase);
  }
}

void RequestStreams::onRequestHeaders(StreamKey key, Stream& stream, const wire::Headers& headers) {
  if (stream.stage != Stage::opened) return rejectMessage(key, "request_headers came twice");
  try {
    stream.request = mapping_.readRequest(headers);
  } catch (const InvalidHeader& error) { return rejectRequest(key, stream, error.what()); }
  ++counts_.requested;
  const Duration remainingTime = transactions_.limitedToShutdown(stream.request.transaction.remainingTime);
  stream.decisionDeadlines =
      endpoint_leases::decisionDeadlines(transactions_.now(), remainingTime, limits_.messageTimeout);
  requestLease(key, stream);
}

void RequestStreams::onResponseHeaders(StreamKey key, Stream& stream, const wire::Headers& headers) {
  if (stream.stage == Stage::leased) return handleReport(key, stream, mapping_.readReport(headers));
  if (stream.stage != Stage::answered) return rejectMessage(key, "response_headers came before a decision");
  // The lease counts as ended because another attempt of its transaction was received: the answer passes
  // through and has no effect.
  const bool hadLease = stream.lease.duration > Duration();
  if (hadLease && !std::exchange(stream.hasReported, true))
    return effects_.send(key, wire::encodeContinue(wire::Phase::responseHeaders));
  rejectMessage(key, "response_headers came twice");
}

void RequestStreams::onBodyOrTrailers(StreamKey key, Stream& stream, wire::Phase phase) {
  if (stream.stage != Stage::leased && stream.stage != Stage::answered)
    return rejectMessage(key, "a body or trailers came before the answer on the headers");
  effects_.send(key, wire::encodeContinue(phase));
}

void RequestStreams::onHalfClosed(StreamKey key) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  stream.hasHalfClosed = true;
  // The proxy can't report an outcome any more. A stream that waits for a decision can still receive it.
  if (stream.stage == Stage::leased) releaseTransaction(key, stream);
  if (stream.stage == Stage::opened || stream.stage == Stage::answered)
    effects_.close(key, StreamCloseReason::finished, "");
}

void RequestStreams::onEnded(StreamKey key) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  releaseTransaction(key, found->second);
  setDeadline(key, found->second, {});
  awaitingPrior_.erase(key);
  streams_.erase(found);
}

// Detaches the stream from its transaction: the stream is granted no lease, and the outcome of a lease that
// it holds stays unknown.
void RequestStreams::releaseTransaction(StreamKey key, Stream& stream) {
  if (stream.stage == Stage::opened || stream.stage == Stage::answered) return;
  if (stream.stage == Stage::leased) ++counts_.unreported;
  stream.stage = Stage::answered;
  leaseRegistry_.onStreamCancelled(transactions_.now(), stream.request.leaseRequest.id, key);
  if (stream.txn == 0) return;
  owners_.erase(stream.txn);
  transport_.onReporterLost(stream.txn);
  transactions_.onClientDisconnected(stream.txn);
}

// --- Lease requests

// Called again for a stream that waits for the end of an earlier attempt.
void RequestStreams::requestLease(StreamKey key, Stream& stream) {
  const LeaseDecision decision =
      leaseRegistry_.requestLease(transactions_.now(), key, stream.request.leaseRequest);
  if (decision.action == LeaseDecision::Action::wait) {
    stream.stage = Stage::awaitingPrior;
    awaitingPrior_.insert(key);
    return setDeadline(key, stream, std::min(decision.waitUntil, stream.decisionDeadlines.answerBy));
  }
  awaitingPrior_.erase(key);
  stream.stage = Stage::awaitingDecision;
  if (decision.action == LeaseDecision::Action::answer) return deny(key, stream, decision);
  supersede(decision.unreportedStream);
  supersede(decision.supersededStream);
  openTransaction(key, stream, decision.priorAttempts);
}

void RequestStreams::openTransaction(StreamKey key, Stream& stream, PriorAttempts priorAttempts) {
  Transaction transaction = stream.request.transaction;
  transaction.connection = stream.connection;
  transaction.priorAttempts = std::move(priorAttempts);
  transaction.maxLocalAttempts = 1;
  transaction.maxQueueTime = stream.decisionDeadlines.answerBy - transactions_.now();
  stream.txn = transactions_.openTransaction(*this, key, transport_, std::move(transaction), {},
                                             stream.request.leaseRequest.id);
  owners_[stream.txn] = key;
  const bool mayRequestExtension = stream.decisionDeadlines.extensionRequestAt != Instant();
  setDeadline(
      key, stream,
      mayRequestExtension ? stream.decisionDeadlines.extensionRequestAt : stream.decisionDeadlines.answerBy);
}

// Ends a stream because a later attempt of its transaction was received: the sender has abandoned the earlier
// one. No effect for key 0, which stands for no stream.
void RequestStreams::supersede(StreamKey key) {
  const auto found = streams_.find(key);
  if (key == 0 || found == streams_.end()) return;
  Stream& stream = found->second;
  const Stage stage = stream.stage;
  if (stage == Stage::answered) return;
  releaseTransaction(key, stream);
  if (stage == Stage::leased) return;
  stream.ownsTransaction = false;
  sendImmediate(key, stream, {.outcome = FinalOutcome::rejected, .reason = "a later try has come"});
}

// --- Turns

void RequestStreams::setDeadline(StreamKey key, Stream& stream, Instant deadline) {
  if (stream.deadline != Instant()) deadlines_.erase({stream.deadline, key});
  stream.deadline = deadline;
  if (deadline != Instant()) deadlines_.insert({deadline, key});
}

void RequestStreams::endTurn() {
  transport_.endTurn();
  leaseRegistry_.dropExpired(transactions_.now());
  // The earlier attempts that these streams wait for may have ended. Iterates over a copy because
  // requestLease() changes the set.
  for (const StreamKey key : std::vector<StreamKey>(awaitingPrior_.begin(), awaitingPrior_.end()))
    if (const auto found = streams_.find(key);
        found != streams_.end() && found->second.stage == Stage::awaitingPrior)
      requestLease(key, found->second);
  while (!deadlines_.empty() && deadlines_.begin()->at <= transactions_.now())
    onDeadline(deadlines_.begin()->key);
}

// Handles the expired deadline of a stream, which is the earliest one.
void RequestStreams::onDeadline(StreamKey key) {
  Stream& stream = streams_.at(key);
  const Instant deadline = stream.deadline;
  setDeadline(key, stream, {});
  switch (stream.stage) {
    case Stage::opened:
      stream.stage = Stage::answered;
      effects_.close(key, StreamCloseReason::timedOut, "nothing was asked for");
      break;
    case Stage::leased:
      releaseTransaction(key, stream);
      effects_.close(key, StreamCloseReason::timedOut, "no answer was told");
      break;
    case Stage::awaitingPrior:
    case Stage::awaitingDecision:
      onDecisionDeadline(key, stream, deadline);
      break;
    case Stage::reported:
    case Stage::answered:
      break;
  }
}

// Requests a timeout extension for a stream that waits for its decision, or rejects it.
void RequestStreams::onDecisionDeadline(StreamKey key, Stream& stream, Instant deadline) {
  if (deadline == stream.decisionDeadlines.extensionRequestAt) {
    effects_.send(key, wire::encodeTimeoutOverride(stream.decisionDeadlines.extension));
    setDeadline(key, stream, stream.decisionDeadlines.answerBy);
    return;
  }
  // The router knows how long the transaction may be queued and has given it up by now, but it doesn't know a
  // stream that waits for another one. Ensures exactly one final answer: the proxy stops waiting a moment
  // later.
  if (deadline < stream.decisionDeadlines.answerBy) return;
  if (stream.txn != 0) transactions_.onClientDisconnected(stream.txn);
  awaitingPrior_.erase(key);
  sendImmediate(key, stream, {.outcome = FinalOutcome::rejected, .reason = "no node was free in time"});
}

// Prevents that proxies lose their streams without a status when the process is killed.
void RequestStreams::closeRemaining() {
  std::vector<StreamKey> open;
  for (const auto& [key, stream] : streams_) open.push_back(key);
  for (const StreamKey key : open)
    if (const auto found = streams_.find(key); found != streams_.end()) closeAtShutDown(key, found->second);
}

void RequestStreams::closeAtShutDown(StreamKey key, Stream& stream) {
  setDeadline(key, stream, {});
  switch (stream.stage) {
    case Stage::opened:
      stream.stage = Stage::answered;
      return effects_.close(key, StreamCloseReason::unavailable, kShuttingDown);
    case Stage::awaitingPrior:  // that attempt may have run
      awaitingPrior_.erase(key);
      return sendImmediate(key, stream, {.outcome = FinalOutcome::rolledBack, .reason = kShuttingDown});
    case Stage::leased:
      releaseTransaction(key, stream);
      return effects_.close(key, StreamCloseReason::unavailable, kShuttingDown);
    case Stage::answered:  // the rest of the request and of the answer passes through without this router
      return effects_.close(key, StreamCloseReason::finished, "");
    case Stage::awaitingDecision:
    case Stage::reported:
      return;  // answered by the router in this turn
  }
}

Instant RequestStreams::nextDue() const {
  const Instant deadline = deadlines_.empty() ? Instant() : deadlines_.begin()->at;
  return earlierDue(transport_.nextDue(), deadline);
}

void RequestStreams::logLimited(std::string_view event, const std::string& fields) {
  LogLimit& limit = logLimits_[std::string(event)];
  if (limit.loggedAt != Instant() && transactions_.now() - limit.loggedAt < kLogInterval) {
    ++limit.suppressedCount;
    return;
  }
  const std::size_t suppressed = limit.suppressedCount;
  effects_.log(event, fields + (suppressed > 0 ? " suppressed=" + std::to_string(suppressed) : ""));
  limit = {transactions_.now(), 0};
}

}  // namespace gulltrestle::downstream::ext_proc
