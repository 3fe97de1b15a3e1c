#include "ext_proc/bench.h"

#include <algorithm>

namespace gulltrestle::ext_proc_test {

RoutingConfig routingConfig() {
  return trace::defaultConfig({trace::transactionClass(ReadLevel::any),
                               trace::transactionClass(ReadLevel::bounded),
                               trace::transactionClass(ReadLevel::session),
                               trace::transactionClass(ReadLevel::write, Effect::atMostOnce),
                               trace::transactionClass(ReadLevel::linearizable)});
}

const std::vector<std::string>& classNames() {
  static const std::vector<std::string> kNames{"any", "bounded", "session", "charge", "latest"};
  return kNames;
}

std::string addressOf(const std::string& node) {
  return "10.0.0." + std::to_string(node[0] - 'a' + 1) + ":1";
}

std::vector<transactions::ResolvedEndpoint> endpointList(const std::vector<std::string>& nodes,
                                                         Health health) {
  std::vector<transactions::ResolvedEndpoint> list;
  for (const auto& node : nodes) {
    EndpointEntry entry;
    entry.node = node;
    entry.group = 1;
    entry.primary = node == "p";
    entry.health = health;
    list.push_back({entry, addressOf(node)});
  }
  return list;
}

wire::Headers attemptHeaders(int count, const std::string& written, const std::string& token) {
  wire::Headers headers{{"x-envoy-attempt-count", std::to_string(count)}};
  if (!written.empty()) headers.push_back({"x-txn-written", written});
  if (!token.empty()) headers.push_back({"x-txn-submission", token});
  return headers;
}

ExtProcHarness::ExtProcHarness(ExtProcSetup setup)
    : transactions_(routingConfig(), 7, 1 << 20, [] {}),
      streams_(transactions_, downstream::ext_proc::HeaderMapping({}, routingConfig(), classNames()),
               endpoint_leases::LeaseRegistry(routingConfig().transactionClasses, setup.placement,
                                              {setup.maxTransactionsPerKind}, setup.incarnation),
               {.grace = ms(1000), .notificationBound = setup.notificationBound},
               {.maxStreams = setup.maxStreams,
                .requestTimeout = ms(2000),
                .messageTimeout = setup.messageTimeout},
               *this) {
  transactions_.addTransport(streams_.transport());
  transactions_.advanceTo(now_);
  updateEndpoints({"p", "a", "b"});
  onDiscoveryActivity();
}

// --- Events of proxies

void ExtProcHarness::openStream(StreamKey stream, const downstream::ext_proc::ConnectionStreams& connection) {
  streams_.onOpened(stream, connection);
  settle();
}

void ExtProcHarness::request(StreamKey stream, const std::string& id, const std::string& transactionClass,
                             const wire::Headers& more, ValueForm form) {
  openStream(stream);
  sendRequest(stream, id, transactionClass, more, form);
}

void ExtProcHarness::sendRequest(StreamKey stream, const std::string& id, const std::string& transactionClass,
                                 const wire::Headers& more, ValueForm form) {
  wire::Headers headers{{":path", "/"},
                        {"x-txn-id", id},
                        {"x-txn-type", transactionClass},
                        {"x-txn-group", "1"},
                        {"x-txn-patience-ms", "1000"},
                        {"x-txn-session", "s1"}};
  for (const auto& header : more) {
    std::erase_if(headers, [&](const auto& defaultHeader) { return defaultHeader.name == header.name; });
    if (!header.value.empty()) headers.push_back(header);
  }
  sendMessage(stream, {Phase::requestHeaders, headers, false}, form);
}

void ExtProcHarness::sendMessage(StreamKey stream, const wire::Request& request, ValueForm form) {
  sendBytes(stream, wire::encodeRequest(request, form == ValueForm::raw));
}

void ExtProcHarness::sendBytes(StreamKey stream, const std::string& bytes) {
  streams_.onMessage(stream, bytes);
  settle();
}

void ExtProcHarness::sendPhase(StreamKey stream, Phase phase) { sendMessage(stream, {phase, {}, false}); }

void ExtProcHarness::report(StreamKey stream, const std::string& nodeOutcome, wire::Headers more,
                            const std::string& status) {
  more.push_back({":status", status});
  if (!nodeOutcome.empty()) more.push_back({"x-node-outcome", nodeOutcome});
  sendMessage(stream, {Phase::responseHeaders, more, false});
}

wire::Headers ExtProcHarness::loadReport(const std::string& role, std::int64_t behindMillis) const {
  const Instant position = now_ - ms(behindMillis);
  return {{"x-node-role", role}, {"x-node-position", std::to_string(position.inMicros() / 1000)}};
}

void ExtProcHarness::halfClose(StreamKey stream) {
  streams_.onHalfClosed(stream);
  settle();
}

void ExtProcHarness::resetStream(StreamKey stream) {
  streams_.onEnded(stream);
  settle();
}

void ExtProcHarness::requestAndReset(StreamKey stream, const std::string& id,
                                     const std::string& transactionClass) {
  const wire::Headers headers{{"x-txn-id", id},
                              {"x-txn-type", transactionClass},
                              {"x-txn-group", "1"},
                              {"x-txn-patience-ms", "1000"}};
  streams_.onOpened(stream);
  streams_.onMessage(stream, wire::encodeRequest({Phase::requestHeaders, headers, false}));
  streams_.onEnded(stream);
  settle();
}

// --- Other events

void ExtProcHarness::updateEndpoints(const std::vector<std::string>& nodes, Health health) {
  transactions_.onEndpointList(EndpointUpdateKind::delta, endpointList(nodes, health));
  settle();
}

void ExtProcHarness::advance(std::int64_t millis) {
  const Instant until = now_ + ms(millis);
  while (next_ != Instant() && next_ <= until) {
    now_ = std::max(next_, now_ + Duration::micros(1));
    turn();
  }
  now_ = until;
  settle();
}

void ExtProcHarness::shutDown(std::int64_t answerWithinMillis) {
  transactions_.shutDown(now_ + ms(answerWithinMillis));
  settle();
}

void ExtProcHarness::closeRemaining() {
  streams_.closeRemaining();
  settle();
}

void ExtProcHarness::turn() {
  transactions_.advanceTo(now_);
  streams_.endTurn();
  next_ = transactions_.endTurn();
  const Instant due = streams_.nextDue();
  if (due != Instant() && (next_ == Instant() || due < next_)) next_ = due;
}

void ExtProcHarness::settle() {
  turn();
  for (int i = 0; i < 100 && next_ != Instant() && next_ <= now_; ++i) turn();
}

void ExtProcHarness::printCounts() {
  const auto& counts = streams_.counts();
  std::cout << "requested " << counts.requested << " granted " << counts.granted << " committed "
            << counts.committed << " rejected " << counts.rejected << " rolled back " << counts.rolledBack
            << " unreported " << counts.unreported << " misused " << counts.misused << "; outstanding leases "
            << streams_.outstandingLeaseCount() << ", open transactions " << transactions_.openCount()
            << ", remembered " << streams_.rememberedTransactionCount() << "\n";
}

// --- Effects

std::ostream& ExtProcHarness::line(StreamKey stream) {
  static std::ostream none(nullptr);
  if (isQuiet) return none;
  return std::cout << (now_ - kStart).inMicros() / 1000 << " ms: s" << stream << " ";
}

void ExtProcHarness::send(StreamKey stream, std::string_view message) {
  const wire::Response response = wire::readResponse(message);
  std::ostream& out = line(stream);
  if (response.timeoutOverride > Duration()) {
    out << "timeout extended by " << response.timeoutOverride.inMicros() / 1000 << " ms\n";
  } else if (response.isImmediate) {
    out << response.immediate.status;
    for (const auto& [name, value] : response.immediate.headers) out << " " << name << "=" << value;
    out << ", " << response.immediate.body;
  } else if (response.phase == Phase::requestHeaders) {
    printLease(out, stream, response.set);
  } else {
    out << "continue (" << static_cast<int>(response.phase) << ")";
    for (const auto& [name, value] : response.set) out << " " << name << "=" << value;
    out << "\n";
  }
}

void ExtProcHarness::printLease(std::ostream& out, StreamKey stream, const wire::Headers& headers) {
  for (const auto& [name, value] : headers) {
    if (name == "x-txn-submission") {
      tokens_[stream] = value;
      out << "token " << value << ", ";
      continue;
    }
    for (const std::string node : {"p", "a", "b"})
      if (value == addressOf(node)) out << "leases node " << node << ", ";
    if (name == "x-txn-send-within-ms") out << "for " << value << " ms";
  }
  out << "\n";
}

void ExtProcHarness::close(StreamKey stream, StreamCloseReason reason, std::string_view message) {
  if (reason != StreamCloseReason::finished)
    line(stream) << "closed (" << static_cast<int>(reason) << "): " << message << "\n";
}

void ExtProcHarness::log(std::string_view event, const std::string& fields) {
  if (!isQuiet) std::cout << "log " << event << " " << fields << "\n";
}

}  // namespace gulltrestle::ext_proc_test
