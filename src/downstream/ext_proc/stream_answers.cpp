// The part of RequestStreams that handles reports of proxies and sends answers: leases, final answers,
// denials and errors.
#include <utility>

#include "downstream/ext_proc/request_streams.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::FinalOutcome;
using endpoint_leases::LeaseDecision;

namespace {

// A lease whose outcome is not reported by its deadline has ended for the router. Its stream stays open for
// this long and may still deliver an answer. Longer than the message timeout of any live proxy.
constexpr Duration kLateReportTime = Duration::millis(5000);

// Length to which a field of a log line is cut.
constexpr std::size_t kMaxQuotedBytes = 120;

// HTTP status codes.
constexpr int kBadRequest = 400, kInternalServerError = 500, kServiceUnavailable = 503;

std::string_view nameOf(FinalOutcome outcome) {
  switch (outcome) {
    case FinalOutcome::committed:
      return "committed";
    case FinalOutcome::rejected:
      return "refused";
    case FinalOutcome::rolledBack:
      return "rolled-back";
  }
  return "unknown";
}

// Quotes a field of a log line. Replaces the characters by which untrusted input could look like another
// field or line.
std::string quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const bool isPlain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
    quoted += isPlain ? c : '?';
  }
  return quoted + '"';
}

// Rounds down to whole milliseconds, the unit of the headers.
std::int64_t millisOf(Duration duration) { return duration.inMicros() / 1000; }

}  // namespace

// --- Leases and reports

bool RequestStreams::onLeaseGranted(TxnId txn, const upstream::delegated::EndpointLease& lease) {
  const auto owner = owners_.find(txn);
  if (owner == owners_.end()) return false;
  const StreamKey key = owner->second;
  Stream& stream = streams_.at(key);
  if (stream.stage != Stage::awaitingDecision) return false;
  const std::string token =
      leaseRegistry_.onLeaseGranted(transactions_.now(), stream.request.leaseRequest.id, key, lease.node);
  if (token.empty()) return false;
  ++counts_.granted;
  stream.stage = Stage::leased;
  stream.lease = lease;
  setDeadline(key, stream, lease.reportBy + kLateReportTime);
  const HeaderNames& names = mapping_.names();
  effects_.send(key, wire::encodeContinue(wire::Phase::requestHeaders,
                                          {{names.destination, lease.address},
                                           {names.leaseToken, token},
                                           {names.leaseDuration, std::to_string(millisOf(lease.duration))}}));
  if (stream.hasHalfClosed) {  // the proxy can't report the outcome
    releaseTransaction(key, stream);
    effects_.close(key, StreamCloseReason::finished, "");
  }
  return true;
}

void RequestStreams::handleReport(StreamKey key, Stream& stream, const endpoint_leases::ProxyReport& report) {
  const std::string& leasedAddress = stream.lease.address;
  if (report.sentToAddress && *report.sentToAddress != leasedAddress) {
    ++counts_.misused;
    logLimited("ext_proc.misused", "leased=" + leasedAddress + " sent_to=" + quoted(*report.sentToAddress));
  }
  stream.stage = Stage::reported;
  stream.hasReported = true;
  setDeadline(key, stream, {});
  const AttemptOutcome outcome = endpoint_leases::outcomeOf(report, leasedAddress);
  leaseRegistry_.onAttemptEnded(transactions_.now(), stream.request.leaseRequest.id, key, outcome);
  const bool isAnswerPending = transactions_.isAnswerPending(stream.txn);
  transport_.onReport(stream.txn, report);
  if (isAnswerPending) return;  // the router answers by the end of the turn
  // The router has given up the transaction already, but no answer was sent yet: a reported commit takes
  // precedence over the router's answer.
  if (outcome == AttemptOutcome::committed) return deliverAnswer(key, {.outcome = FinalOutcome::committed});
  deliverAnswer(key, stream.pendingAnswer.value_or(Answer{.outcome = FinalOutcome::rolledBack}));
}

// --- Final answers

void RequestStreams::onTransactionCommitted(transactions::OwnerId owner, const transactions::ResultValue&) {
  deliverAnswer(owner, {.outcome = FinalOutcome::committed});
}

void RequestStreams::onTransactionRejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) {
  deliverAnswer(owner, {.outcome = FinalOutcome::rejected, .retryAfter = retryAfter, .level = level});
}

void RequestStreams::onTransactionRolledBack(transactions::OwnerId owner) {
  deliverAnswer(owner, {.outcome = FinalOutcome::rolledBack});
}

void RequestStreams::deliverAnswer(StreamKey key, const Answer& answer) {
  const auto found = streams_.find(key);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  if (stream.stage == Stage::leased) {  // no message may be sent before the proxy's next one
    stream.pendingAnswer = answer;
    return;
  }
  if (stream.stage == Stage::answered) return;
  if (answer.outcome == FinalOutcome::committed) return sendCommitted(key, stream);
  sendImmediate(key, stream, answer);
}

// Lets the node's own answer pass through.
void RequestStreams::sendCommitted(StreamKey key, Stream& stream) {
  constexpr FinalOutcome kOutcome = FinalOutcome::committed;
  ++counts_.committed;
  owners_.erase(stream.txn);
  stream.stage = Stage::answered;
  leaseRegistry_.onAnswered(transactions_.now(), stream.request.leaseRequest.id, key, kOutcome);
  effects_.send(key, wire::encodeContinue(wire::Phase::responseHeaders,
                                          {{mapping_.names().outcome, std::string(nameOf(kOutcome))}}));
  if (stream.hasHalfClosed) effects_.close(key, StreamCloseReason::finished, "");
}

// Sends a rejection or a rollback in place of a node's answer.
void RequestStreams::sendImmediate(StreamKey key, Stream& stream, const Answer& answer) {
  const bool isRejected = answer.outcome == FinalOutcome::rejected;
  ++(isRejected ? counts_.rejected : counts_.rolledBack);
  owners_.erase(stream.txn);
  stream.stage = Stage::answered;
  setDeadline(key, stream, {});
  if (stream.ownsTransaction)
    leaseRegistry_.onAnswered(transactions_.now(), stream.request.leaseRequest.id, key, answer.outcome);
  const HeaderNames& names = mapping_.names();
  const std::string outcome(nameOf(answer.outcome));
  wire::ImmediateAnswer immediate;
  immediate.status = isRejected ? kServiceUnavailable : kInternalServerError;
  immediate.headers = {{names.outcome, outcome}};
  if (isRejected && answer.retryAfter > Duration()) {
    // The standard header has whole seconds only; the other header has the exact time.
    const std::int64_t millis = millisOf(answer.retryAfter);
    immediate.headers.push_back({"retry-after", std::to_string((millis + 999) / 1000)});
    immediate.headers.push_back({names.retryAfter, std::to_string(millis)});
  }
  if (answer.level > 0) immediate.headers.push_back({"x-txn-level", std::to_string(answer.level)});
  immediate.details = isRejected ? "txn_refused" : "txn_rolled_back";
  immediate.body = outcome + (answer.reason.empty() ? "" : ": " + std::string(answer.reason)) + "\n";
  effects_.send(key, wire::encodeImmediateResponse(immediate));
  effects_.close(key, StreamCloseReason::finished, "");
}

// --- Denials and errors

// Sends the answer that the lease registry decided on, without the router.
void RequestStreams::deny(StreamKey key, Stream& stream, const LeaseDecision& decision) {
  ++counts_.denied;
  logLimited("ext_proc.denied",
             "reason=" + quoted(decision.reason) + " id=" + quoted(stream.request.leaseRequest.id));
  stream.ownsTransaction = false;
  sendImmediate(key, stream, {.outcome = decision.outcome, .reason = decision.reason});
}

// Answers a request with invalid headers with an error. No transaction was opened.
void RequestStreams::rejectRequest(StreamKey key, Stream& stream, std::string_view reason) {
  ++counts_.malformed;
  logLimited("ext_proc.bad_request", "reason=" + quoted(reason));
  stream.stage = Stage::answered;
  setDeadline(key, stream, {});
  wire::ImmediateAnswer immediate;
  immediate.status = kBadRequest;
  immediate.body = std::string(reason) + "\n";
  immediate.details = "txn_not_taken";
  effects_.send(key, wire::encodeImmediateResponse(immediate));
  effects_.close(key, StreamCloseReason::finished, "");
}

void RequestStreams::rejectMessage(StreamKey key, std::string_view reason) {
  ++counts_.malformed;
  logLimited("ext_proc.invalid_message", "reason=" + quoted(reason));
  Stream& stream = streams_.at(key);
  releaseTransaction(key, stream);
  awaitingPrior_.erase(key);
  stream.stage = Stage::answered;
  setDeadline(key, stream, {});
  effects_.close(key, StreamCloseReason::invalidMessage, reason);
}

}  // namespace gulltrestle::downstream::ext_proc
