#include "downstream/ext_proc/request_streams.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::FinalOutcome;
using endpoint_leases::LeaseDecision;

namespace {

// An event of one kind is logged once in this time: a few lines a minute are read, more are not.
constexpr Duration kLogInterval = Duration::millis(10000);

}  // namespace

RequestStreams::RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                               endpoint_leases::LeaseRegistry leaseRegistry,
                               endpoint_leases::DrainRule drainRule, Bounds bounds, Effects& effects)
    : transactions_(transactions),
      mapping_(std::move(mapping)),
      leaseRegistry_(std::move(leaseRegistry)),
      bounds_(bounds),
      effects_(effects),
      transport_(transactions, drainRule, *this) {}

// --- Events

// Guards the memory against more streams than are allowed over all connections.
void RequestStreams::onOpened(StreamKey key) {
  Stream& stream = streams_[key];
  const bool isFull = streams_.size() > bounds_.maxStreams;
  if (isStopped_ || isFull) {
    stream.stage = Stage::answered;
    return isStopped_ ? effects_.close(key, StreamCloseReason::unavailable, "shutting down")
                      : effects_.close(key, StreamCloseReason::tooManyStreams, "too many streams");
  }
  setDeadline(key, stream, transactions_.now() + bounds_.requestTimeout);
}

void RequestStreams::onMessage(StreamKey key, std::string_view bytes) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  wire::Request request;
  try {
    request = wire::readRequest(bytes);
  } catch (const wire::Malformed& error) { return rejectMessage(key, error.what()); }
  if (request.wantsNoAnswer) return;  // the proxy only shows what passes
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
  stream.hold = endpoint_leases::holdDeadlines(transactions_.now(), stream.request.transaction.remainingTime,
                                               bounds_.messageTimeout);
  requestLease(key, stream);
}

void RequestStreams::onResponseHeaders(StreamKey key, Stream& stream, const wire::Headers& headers) {
  if (stream.stage == Stage::leased) return handleReport(key, stream, mapping_.readReport(headers));
  if (stream.stage != Stage::answered) return rejectMessage(key, "response_headers came before a decision");
  // Of a lease that counts as ended since another attempt of its transaction came: it passes, and changes
  // nothing.
  const bool hadLease = stream.lease.duration > Duration();
  if (hadLease && !std::exchange(stream.hasReported, true))
    return effects_.send(key, wire::continued(wire::Phase::responseHeaders));
  rejectMessage(key, "response_headers came twice");
}

void RequestStreams::onBodyOrTrailers(StreamKey key, Stream& stream, wire::Phase phase) {
  if (stream.stage != Stage::leased && stream.stage != Stage::answered)
    return rejectMessage(key, "a body or trailers came before the answer on the headers");
  effects_.send(key, wire::continued(phase));
}

void RequestStreams::onHalfClosed(StreamKey key) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  stream.hasHalfClosed = true;
  // No outcome can be reported any more. One that waits for a decision may still get it.
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

// The transaction is not the stream's any more: it is granted no lease, and what a lease brought about is not
// known.
void RequestStreams::releaseTransaction(StreamKey key, Stream& stream) {
  if (stream.stage == Stage::opened || stream.stage == Stage::answered) return;
  if (stream.stage == Stage::leased) ++counts_.unreported;
  stream.stage = Stage::answered;
  leaseRegistry_.onStreamCancelled(transactions_.now(), stream.request.leaseRequest.id, key);
  if (stream.txn == 0) return;
  owners_.erase(stream.txn);
  transport_.onReporterLost(stream.txn);
  transactions_.onClientLeft(stream.txn);
}

// --- Lease requests

// Called again for a stream that awaits the end of an earlier attempt.
void RequestStreams::requestLease(StreamKey key, Stream& stream) {
  const LeaseDecision decision =
      leaseRegistry_.requestLease(transactions_.now(), key, stream.request.leaseRequest);
  if (decision.action == LeaseDecision::Action::wait) {
    stream.stage = Stage::awaitingPrior;
    awaitingPrior_.insert(key);
    return setDeadline(key, stream, std::min(decision.waitUntil, stream.hold.answerBy));
  }
  awaitingPrior_.erase(key);
  stream.stage = Stage::awaitingDecision;
  if (decision.action == LeaseDecision::Action::answer) return deny(key, stream, decision);
  replace(decision.unreportedStream);
  replace(decision.supersededStream);
  openTransaction(key, stream, decision.priorAttempts);
}

void RequestStreams::openTransaction(StreamKey key, Stream& stream, PriorAttempts priorAttempts) {
  Transaction transaction = stream.request.transaction;
  transaction.priorAttempts = std::move(priorAttempts);
  transaction.maxLocalAttempts = 1;
  transaction.maxHold = stream.hold.answerBy - transactions_.now();
  stream.txn = transactions_.openTransaction(*this, key, transport_, std::move(transaction), {},
                                             stream.request.leaseRequest.id);
  owners_[stream.txn] = key;
  const bool mayRequestExtension = stream.hold.extensionRequestAt != Instant();
  setDeadline(key, stream, mayRequestExtension ? stream.hold.extensionRequestAt : stream.hold.answerBy);
}

// A later attempt of the stream's transaction has come: whoever sent this one has given it up. 0: none.
void RequestStreams::replace(StreamKey key) {
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
  // The end that they await may have come. Requesting changes the set.
  for (const StreamKey key : std::vector<StreamKey>(awaitingPrior_.begin(), awaitingPrior_.end()))
    if (const auto found = streams_.find(key);
        found != streams_.end() && found->second.stage == Stage::awaitingPrior)
      requestLease(key, found->second);
  while (!deadlines_.empty() && deadlines_.begin()->at <= transactions_.now()) onDue(deadlines_.begin()->key);
}

// The stream's deadline, the earliest of all, has come.
void RequestStreams::onDue(StreamKey key) {
  Stream& stream = streams_.at(key);
  const Instant deadline = stream.deadline;
  setDeadline(key, stream, {});
  switch (stream.stage) {
    case Stage::opened:
      stream.stage = Stage::answered;
      effects_.close(key, StreamCloseReason::overdue, "nothing was asked for");
      break;
    case Stage::leased:
      releaseTransaction(key, stream);
      effects_.close(key, StreamCloseReason::overdue, "no answer was told");
      break;
    case Stage::awaitingPrior:
    case Stage::awaitingDecision:
      onHoldDue(key, stream, deadline);
      break;
    case Stage::reported:
    case Stage::answered:
      break;
  }
}

// A stream that waits for its decision requests an extension, or gets its rejection.
void RequestStreams::onHoldDue(StreamKey key, Stream& stream, Instant deadline) {
  if (deadline == stream.hold.extensionRequestAt) {
    effects_.send(key, wire::wait(stream.hold.extension));
    setDeadline(key, stream, stream.hold.answerBy);
    return;
  }
  // The router knows how long the transaction may be held and has given it up by now; a stream that waits for
  // another one is unknown to it. Guards the one final answer: the proxy stops waiting a moment
  // later.
  if (deadline < stream.hold.answerBy) return;
  if (stream.txn != 0) transactions_.onClientLeft(stream.txn);
  awaitingPrior_.erase(key);
  sendImmediate(key, stream, {.outcome = FinalOutcome::rejected, .reason = "no node was free in time"});
}

Instant RequestStreams::nextDue() const {
  const Instant next = transport_.nextDue();
  if (deadlines_.empty()) return next;
  const Instant deadline = deadlines_.begin()->at;
  return next == Instant() || deadline < next ? deadline : next;
}

void RequestStreams::logLimited(std::string_view event, const std::string& fields) {
  LogLimit& limit = logLimits_[std::string(event)];
  if (limit.loggedAt != Instant() && transactions_.now() - limit.loggedAt < kLogInterval) {
    ++limit.suppressedCount;
    return;
  }
  const std::size_t suppressed = limit.suppressedCount;
  effects_.log(event, fields + (suppressed > 0 ? " unsaid=" + std::to_string(suppressed) : ""));
  limit = {transactions_.now(), 0};
}

}  // namespace gulltrestle::downstream::ext_proc
