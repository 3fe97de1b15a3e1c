#include "downstream/ext_proc/request_streams.h"

#include <algorithm>
#include <vector>

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::FinalOutcome;
using endpoint_leases::LeaseDecision;

namespace {

// A grant whose end nobody told by the time it may take is over for the module; its stream may still bring an
// answer for so long, then it is closed. Longer than any message timeout of a proxy that is alive.
constexpr Duration kLinger = Duration::millis(5000);

// An event of one kind is logged once in this time: a few lines a minute are read, more are not.
constexpr Duration kLogPause = Duration::millis(10000);

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

// Of a field in a log line: what a stranger sent must not look like another field or line.
std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text.substr(0, 120)) out += c < ' ' || c == '"' || c == '\\' || c > '~' ? '?' : c;
  return out + '"';
}

}  // namespace

RequestStreams::RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                               endpoint_leases::LeaseRegistry leaseRegistry, endpoint_leases::DrainRule rule,
                               Bounds bounds, Effects& effects)
    : transactions_(transactions),
      mapping_(std::move(mapping)),
      leaseRegistry_(std::move(leaseRegistry)),
      bounds_(bounds),
      effects_(effects),
      transport_(transactions, rule, *this) {}

// --- Events

// Guards the memory against more streams than are allowed over all connections.
void RequestStreams::opened(StreamKey key) {
  Stream& stream = streams_[key];
  const bool full = streams_.size() > bounds_.mostStreams;
  if (stopped_ || full) {
    stream.stage = Stage::answered;
    return stopped_ ? effects_.close(key, StreamCloseReason::unavailable, "shutting down")
                    : effects_.close(key, StreamCloseReason::full, "too many streams");
  }
  setDue(key, stream, transactions_.now() + bounds_.openLimit);
}

void RequestStreams::message(StreamKey key, std::string_view bytes) {
  const auto at = streams_.find(key);
  if (at == streams_.end()) return;
  Stream& stream = at->second;
  wire::Request request;
  try {
    request = wire::readRequest(bytes);
  } catch (const wire::Malformed& error) { return rejectMessage(key, error.what()); }
  if (request.wantsNoAnswer) return;  // the proxy shows what passes, and asks nothing
  switch (request.phase) {
    case wire::Phase::requestHeaders:
      if (stream.stage != Stage::opened) return rejectMessage(key, "request_headers came twice");
      try {
        stream.asked = mapping_.read(request.headers);
      } catch (const InvalidHeader& error) { return rejectRequest(key, stream, error.what()); }
      ++counts_.asked;
      return ask(key, stream);
    case wire::Phase::responseHeaders:
      if (stream.stage == Stage::granted) return report(key, stream, request.headers);
      // Of a grant that counts as ended since another try of its txn came: it passes, and changes nothing.
      if (stream.stage == Stage::answered && stream.grant.duration > Duration() &&
          !std::exchange(stream.hasReportedEnd, true))
        return effects_.send(key, wire::continued(request.phase));
      return rejectMessage(key, stream.stage == Stage::answered ? "response_headers came twice"
                                                                : "response_headers came before a decision");
    case wire::Phase::none:
      return rejectMessage(key, "the message asks nothing");
    default:
      if (stream.stage < Stage::granted || stream.stage == Stage::reported)
        return rejectMessage(key, "a body or trailers came before the answer on the headers");
      return effects_.send(key, wire::continued(request.phase));
  }
}

void RequestStreams::halfClosed(StreamKey key) {
  const auto at = streams_.find(key);
  if (at == streams_.end()) return;
  Stream& stream = at->second;
  stream.halfClosed = true;
  // No end can be told any more. One that waits for a decision may still get it.
  if (stream.stage == Stage::granted) releaseTransaction(key, stream);
  if (stream.stage == Stage::opened || stream.stage == Stage::answered)
    effects_.close(key, StreamCloseReason::done, "");
}

void RequestStreams::ended(StreamKey key) {
  const auto at = streams_.find(key);
  if (at == streams_.end()) return;
  releaseTransaction(key, at->second);
  setDue(key, at->second, {});
  waiting_.erase(key);
  streams_.erase(at);
}

// The stream is over for its txn: nothing is granted to it any more, and what was granted has no known end.
void RequestStreams::releaseTransaction(StreamKey key, Stream& stream) {
  if (stream.stage == Stage::opened || stream.stage == Stage::answered) return;
  if (stream.stage == Stage::granted) ++counts_.unreported;
  stream.stage = Stage::answered;
  leaseRegistry_.onStreamCancelled(transactions_.now(), stream.asked.ask.id, key);
  if (stream.txn == 0) return;
  owners_.erase(stream.txn);
  transport_.onReporterLost(stream.txn);
  transactions_.onClientLeft(stream.txn);
}

// --- Asking

void RequestStreams::ask(StreamKey key, Stream& stream) {
  if (stream.stage == Stage::opened)
    stream.hold = endpoint_leases::holdDeadlines(transactions_.now(), stream.asked.txn.remainingTime,
                                                 bounds_.messageTimeout);
  const LeaseDecision decision = leaseRegistry_.requestLease(transactions_.now(), key, stream.asked.ask);
  if (decision.action == LeaseDecision::Action::wait) {
    stream.stage = Stage::waiting;
    waiting_.insert(key);
    return setDue(key, stream, std::min(decision.waitUntil, stream.hold.answerBy));
  }
  waiting_.erase(key);
  stream.stage = Stage::asking;
  if (decision.action == LeaseDecision::Action::answer) {
    ++counts_.denied;
    logBounded("ext_proc.denied", "why=" + quoted(decision.reason) + " id=" + quoted(stream.asked.ask.id));
    stream.asked.ask.id.clear();  // the book's entry is another stream's
    return sendImmediate(key, stream, decision.outcome, {}, decision.reason);
  }
  // Another stream of the same txn: whoever sent it has given it up.
  for (const StreamKey other : {decision.unreportedStream, decision.supersededStream}) {
    const auto at = streams_.find(other);
    if (other == 0 || at == streams_.end()) continue;
    if (at->second.stage == Stage::granted) {
      releaseTransaction(other, at->second);
    } else if (at->second.stage != Stage::answered) {
      releaseTransaction(other, at->second);
      at->second.asked.ask.id.clear();
      sendImmediate(other, at->second, FinalOutcome::rejected, {}, "a later try has come");
    }
  }
  Transaction txn = stream.asked.txn;
  txn.priorAttempts = decision.priorAttempts;
  txn.maxLocalAttempts = 1;
  txn.maxHold = stream.hold.answerBy - transactions_.now();
  stream.txn = transactions_.openTransaction(*this, key, transport_, txn, {}, stream.asked.ask.id);
  owners_[stream.txn] = key;
  setDue(key, stream,
         stream.hold.extensionRequestAt != Instant() ? stream.hold.extensionRequestAt : stream.hold.answerBy);
}

bool RequestStreams::onLeaseGranted(TxnId txn, const upstream::delegated::EndpointLease& grant) {
  const auto owner = owners_.find(txn);
  if (owner == owners_.end()) return false;
  const StreamKey key = owner->second;
  Stream& stream = streams_.at(key);
  if (stream.stage != Stage::asking) return false;
  const std::string token =
      leaseRegistry_.onLeaseGranted(transactions_.now(), stream.asked.ask.id, key, grant.node);
  if (token.empty()) return false;
  ++counts_.granted;
  stream.stage = Stage::granted;
  stream.grant = grant;
  setDue(key, stream, grant.reportBy + kLinger);
  const auto& names = mapping_.names();
  effects_.send(key, wire::continued(wire::Phase::requestHeaders,
                                     {{names.destination, grant.address},
                                      {names.token, token},
                                      {names.sendWithin, std::to_string(grant.duration.inMicros() / 1000)}}));
  if (stream.halfClosed) {  // it can't tell the end
    releaseTransaction(key, stream);
    effects_.close(key, StreamCloseReason::done, "");
  }
  return true;
}

// --- Reporting

void RequestStreams::report(StreamKey key, Stream& stream, const wire::Headers& headers) {
  const endpoint_leases::ProxyReport report = mapping_.report(headers);
  if (report.sentToAddress && *report.sentToAddress != stream.grant.address) {
    ++counts_.misused;
    logBounded("ext_proc.misused",
               "told=" + stream.grant.address + " sent_to=" + quoted(*report.sentToAddress));
  }
  stream.stage = Stage::reported;
  stream.hasReportedEnd = true;
  setDue(key, stream, {});
  const AttemptOutcome attemptOutcome = endpoint_leases::outcomeOf(report, stream.grant.address);
  leaseRegistry_.onAttemptEnded(transactions_.now(), stream.asked.ask.id, key, attemptOutcome);
  const bool owed = transactions_.isAnswerPending(stream.txn);
  transport_.onReport(stream.txn, report);
  if (owed) return;  // the module's answer is there by the end of the turn
  // The module gave it up before; nothing was told to anyone yet, and a commit is the truth.
  deliverAnswer(key,
                attemptOutcome == AttemptOutcome::committed
                    ? FinalOutcome::committed
                    : stream.pendingOutcome.value_or(FinalOutcome::rolledBack),
                stream.retryAfter);
}

// --- Answers

void RequestStreams::committed(transactions::OwnerId owner, const transactions::ResultValue&) {
  deliverAnswer(owner, FinalOutcome::committed, {});
}
void RequestStreams::rejected(transactions::OwnerId owner, Duration after, unsigned level) {
  if (const auto at = streams_.find(owner); at != streams_.end()) at->second.level = level;
  deliverAnswer(owner, FinalOutcome::rejected, after);
}
void RequestStreams::rolledBack(transactions::OwnerId owner) {
  deliverAnswer(owner, FinalOutcome::rolledBack, {});
}

void RequestStreams::deliverAnswer(StreamKey key, FinalOutcome outcome, Duration retryAfter) {
  const auto at = streams_.find(key);
  if (at == streams_.end()) return;
  Stream& stream = at->second;
  if (stream.stage == Stage::granted) {  // nothing can be told before the proxy asks again
    stream.pendingOutcome = outcome;
    stream.retryAfter = retryAfter;
    return;
  }
  if (stream.stage == Stage::answered) return;
  if (outcome != FinalOutcome::committed) return sendImmediate(key, stream, outcome, retryAfter, "");
  ++counts_.committed;
  owners_.erase(stream.txn);
  stream.stage = Stage::answered;
  leaseRegistry_.onAnswered(transactions_.now(), stream.asked.ask.id, key, outcome);
  effects_.send(key, wire::continued(wire::Phase::responseHeaders,
                                     {{mapping_.names().outcome, std::string(nameOf(outcome))}}));
  if (stream.halfClosed) effects_.close(key, StreamCloseReason::done, "");
}

void RequestStreams::sendImmediate(StreamKey key, Stream& stream, FinalOutcome outcome, Duration retryAfter,
                                   std::string_view reason) {
  ++(outcome == FinalOutcome::rejected ? counts_.refused : counts_.rolledBack);
  owners_.erase(stream.txn);
  stream.stage = Stage::answered;
  setDue(key, stream, {});
  if (!stream.asked.ask.id.empty())
    leaseRegistry_.onAnswered(transactions_.now(), stream.asked.ask.id, key, outcome);
  const auto& names = mapping_.names();
  wire::Immediate answer;
  answer.status = outcome == FinalOutcome::rejected ? 503 : 500;
  answer.headers = {{names.outcome, std::string(nameOf(outcome))}};
  if (outcome == FinalOutcome::rejected && retryAfter > Duration()) {
    // Seconds are all that the standard header has; the exact time stands beside it.
    const auto millis = retryAfter.inMicros() / 1000;
    answer.headers.push_back({"retry-after", std::to_string((millis + 999) / 1000)});
    answer.headers.push_back({names.retryAfterMs, std::to_string(millis)});
  }
  if (stream.level > 0) answer.headers.push_back({"x-txn-level", std::to_string(stream.level)});
  answer.details = "txn_" + std::string(outcome == FinalOutcome::rejected ? "refused" : "rolled_back");
  answer.body = std::string(nameOf(outcome)) + (reason.empty() ? "" : ": " + std::string(reason)) + "\n";
  effects_.send(key, wire::answered(answer));
  effects_.close(key, StreamCloseReason::done, "");
}

// It asks for something that is no txn: an error, and nothing was taken.
void RequestStreams::rejectRequest(StreamKey key, Stream& stream, std::string_view reason) {
  ++counts_.malformed;
  logBounded("ext_proc.bad_request", "why=" + quoted(reason));
  stream.stage = Stage::answered;
  setDue(key, stream, {});
  wire::Immediate answer;
  answer.status = 400;
  answer.body = std::string(reason) + "\n";
  answer.details = "txn_not_taken";
  effects_.send(key, wire::answered(answer));
  effects_.close(key, StreamCloseReason::done, "");
}

void RequestStreams::rejectMessage(StreamKey key, std::string_view reason) {
  ++counts_.malformed;
  logBounded("ext_proc.invalid_message", "why=" + quoted(reason));
  Stream& stream = streams_.at(key);
  releaseTransaction(key, stream);
  waiting_.erase(key);
  stream.stage = Stage::answered;
  setDue(key, stream, {});
  effects_.close(key, StreamCloseReason::invalid, reason);
}

// --- Turns

void RequestStreams::setDue(StreamKey key, Stream& stream, Instant due) {
  if (stream.due != Instant()) due_.erase({stream.due, key});
  stream.due = due;
  if (due != Instant()) due_.insert({due, key});
}

void RequestStreams::endTurn() {
  transport_.endTurn();
  leaseRegistry_.dropExpired(transactions_.now());
  // The end that they wait for may have come.
  for (const StreamKey key : std::vector<StreamKey>(waiting_.begin(), waiting_.end()))
    if (const auto at = streams_.find(key); at != streams_.end() && at->second.stage == Stage::waiting)
      ask(key, at->second);
  while (!due_.empty() && due_.begin()->first <= transactions_.now()) onDue(due_.begin()->second);
}

// The time of the earliest stream that is due has come.
void RequestStreams::onDue(StreamKey key) {
  Stream& stream = streams_.at(key);
  const Instant due = stream.due;
  setDue(key, stream, {});
  switch (stream.stage) {
    case Stage::opened:
      stream.stage = Stage::answered;
      effects_.close(key, StreamCloseReason::overdue, "nothing was asked for");
      break;
    case Stage::granted:
      releaseTransaction(key, stream);
      effects_.close(key, StreamCloseReason::overdue, "no answer was told");
      break;
    case Stage::waiting:
    case Stage::asking:
      onHoldDue(key, stream, due);
      break;
    default:
      break;
  }
}

// A stream that waits for its decision asks for more time, or gets its rejection.
void RequestStreams::onHoldDue(StreamKey key, Stream& stream, Instant due) {
  if (due == stream.hold.extensionRequestAt) {
    effects_.send(key, wire::wait(stream.hold.extension));
    setDue(key, stream, stream.hold.answerBy);
    return;
  }
  // The decision modules know how long the transaction may be held and have given it up by now; a stream that
  // waits for another one is unknown to them. Guards the one final answer: the proxy stops waiting a moment
  // later.
  if (due < stream.hold.answerBy) return;
  if (stream.txn != 0) transactions_.onClientLeft(stream.txn);
  waiting_.erase(key);
  sendImmediate(key, stream, FinalOutcome::rejected, {}, "no node was free in time");
}

Instant RequestStreams::nextDue() const {
  Instant next = transport_.nextDue();
  if (!due_.empty() && (next == Instant() || due_.begin()->first < next)) next = due_.begin()->first;
  return next;
}

void RequestStreams::logBounded(std::string_view event, const std::string& fields) {
  LogLimit& limit = logLimits_[std::string(event)];
  if (limit.at != Instant() && transactions_.now() - limit.at < kLogPause) {
    ++limit.since;
    return;
  }
  effects_.log(event, fields + (limit.since > 0 ? " unsaid=" + std::to_string(limit.since) : ""));
  limit = {transactions_.now(), 0};
}

}  // namespace gulltrestle::downstream::ext_proc
