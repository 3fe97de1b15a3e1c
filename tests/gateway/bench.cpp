#include "gateway/bench.h"

#include <utility>

namespace gulltrestle::gateway_test {

namespace {

std::string addressOf(const std::string& node) {
  return "10.0.0." + std::to_string(node[0] - 'A' + 1) + ":1";
}

RoutingConfig routingConfig(const GatewaySetup& setup) {
  RoutingConfig config = trace::defaultConfig({trace::transactionClass(ReadLevel::any),
                                               trace::transactionClass(ReadLevel::bounded),
                                               trace::transactionClass(ReadLevel::session),
                                               trace::transactionClass(ReadLevel::write, Effect::atMostOnce),
                                               trace::transactionClass(ReadLevel::linearizable)});
  config.onlyDrainingExcludes = setup.onlyDrainingExcludes;
  config.healthChecksAllowed = setup.healthChecksAllowed;
  for (TransactionClass& transactionClass : config.transactionClasses)
    transactionClass.deadline = setup.deadline;
  return config;
}

ResolvedEndpoint endpointOf(const std::string& node, bool isPrimary, Health health) {
  EndpointEntry entry;
  entry.node = node == "B" ? "b" : node;
  entry.group = 1;
  entry.primary = isPrimary;
  entry.health = health;
  return {entry, addressOf(node)};
}

// Summarizes written bytes: message types, fields of errors, texts of queries, start of row values.
std::string summaryOf(std::string_view bytes) {
  std::string summary;
  while (bytes.size() > 4) {
    if (bytes[0] == 0) return summary + " startup";
    const auto message = postgres::takeMessage(bytes, 1 << 20);
    if (!message) break;
    summary += std::string(" ") + message->type;
    if (message->type == 'E') {
      const auto fields = postgres::readError(message->body);
      summary += "(" + std::string(fields.code) + ": " + std::string(fields.message);
      if (!fields.detail.empty()) summary += "; " + std::string(fields.detail);
      summary += ")";
    }
    if (message->type == 'Q')
      summary += "(" + std::string(message->body.substr(0, message->body.size() - 1)) + ")";
    if (message->type == 'D') summary += "(" + std::string(message->body.substr(6, 20)) + ")";
  }
  return bytes.empty() ? summary : summary + " " + std::string(bytes);
}

std::string joined(ByteSlices slices) {
  std::string bytes;
  for (const std::string_view slice : slices) bytes += slice;
  return bytes;
}

}  // namespace

// --- Messages

std::string queryMessage(std::string_view text) { return postgres::message('Q', std::string(text) + '\0'); }

std::string readQuery(const std::string& id, const std::string& transactionClass,
                      const std::string& moreFields, int timeoutMillis) {
  return queryMessage("SELECT body FROM objects WHERE oid = 'k1' /* id=" + id + ",c=" + transactionClass +
                      ",t=acme,d=" + std::to_string(timeoutMillis) + ",cluster=1" + moreFields + " */");
}

std::string writeQuery(const std::string& id, int timeoutMillis) {
  return queryMessage("INSERT INTO objects (oid, body) VALUES ('k1', '\\x9f') RETURNING body /* id=" + id +
                      ",c=charge,t=acme,d=" + std::to_string(timeoutMillis) + ",cluster=1 */");
}

std::string parameterStatus(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string dataColumn(std::string_view value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return body += value;
}

std::string rowAnswer(std::string_view value, std::string_view parameterStatuses) {
  return postgres::message('T', std::string("\0\1body\0", 7) + std::string(18, '\0')) +
         postgres::message('D', dataColumn(value)) + postgres::message('C', std::string("SELECT 1") + '\0') +
         std::string(parameterStatuses) + postgres::readyForQuery();
}

std::string emptyQueryAnswer() { return postgres::emptyQueryResponse() + postgres::readyForQuery(); }

std::string healthReport(std::int64_t positionMillis, bool isPrimary) {
  std::string millis = std::to_string(positionMillis % 1000);
  millis.insert(0, 3 - millis.size(), '0');
  return rowAnswer("x0=" + std::to_string(positionMillis / 1000) + "." + millis +
                   ",x1=" + (isPrimary ? "1" : "0"));
}

// --- Events

GatewayBench::GatewayBench(GatewaySetup setup)
    : gateway_(routingConfig(setup), {"any", "bounded", "session", "charge", "latest"}, 7, setup.bounds,
               *this) {
  if (setup.hasEndpointList) updateEndpoints(EndpointUpdateKind::restored, {"p", "a"});
}

void GatewayBench::printTrace() {
  gateway_.transactions().trace().setSink([this](const std::string& event) { beginLine() << event << "\n"; });
}

void GatewayBench::acceptClient(ClientId client, const std::string& bytes) {
  gateway_.clientOpened(now_, client);
  sendFromClient(client, bytes);
}

void GatewayBench::openClient(ClientId client, const std::string& bytes) {
  acceptClient(client, postgres::startup("worker", "catalog") + bytes);
}

void GatewayBench::sendFromClient(ClientId client, const std::string& bytes) {
  unconsumed_[client] += bytes;
  offerClientBytes(client);
}

void GatewayBench::halfCloseClient(ClientId client) {
  gateway_.clientHalfClosed(now_, client);
  runUntilIdle();
}

void GatewayBench::disconnectClient(ClientId client) {
  gateway_.clientClosed(now_, client, ConnectionCloseReason::broken);
  runUntilIdle();
}

void GatewayBench::connectNode(NodeConnectionId connection) {
  gateway_.nodeConnected(now_, connection);
  gateway_.nodeReceived(now_, connection, postgres::startupAnswer());
  runUntilIdle();
}

void GatewayBench::rejectSession(NodeConnectionId connection) {
  gateway_.nodeConnected(now_, connection);
  answer(connection, postgres::error("FATAL", "53300", "too many connections"));
}

void GatewayBench::answer(NodeConnectionId connection, const std::string& bytes) {
  const std::size_t consumed = gateway_.nodeReceived(now_, connection, bytes);
  if (consumed != bytes.size())
    std::cout << "  " << bytes.size() - consumed << " bytes unconsumed on l" << connection << "\n";
  runUntilIdle();
}

void GatewayBench::finishWrite(NodeConnectionId connection) {
  gateway_.nodeWritten(now_, connection);
  runUntilIdle();
}

void GatewayBench::closeConnection(NodeConnectionId connection, ConnectionCloseReason reason) {
  gateway_.nodeConnectionClosed(now_, connection, reason);
  runUntilIdle();
}

void GatewayBench::updateEndpoints(EndpointUpdateKind kind, const std::vector<std::string>& nodes,
                                   Health health) {
  std::vector<ResolvedEndpoint> list;
  for (const auto& node : nodes) list.push_back(endpointOf(node, node == "p", health));
  gateway_.onEndpointList(now_, kind, list);
  runUntilIdle();
}

void GatewayBench::updatePrimary(const std::string& node) {
  gateway_.onEndpointList(now_, EndpointUpdateKind::delta,
                          {endpointOf("p", node == "p", Health::live), endpointOf(node, true, Health::live)});
  runUntilIdle();
}

void GatewayBench::shutDown(std::int64_t stalledMillis) {
  gateway_.shutDown(now_, now_ - ms(stalledMillis));
  runUntilIdle();
}

void GatewayBench::loadConfig(const std::string& discovery,
                              const std::vector<std::string>& keysNeedingRestart) {
  gateway_.onConfigLoaded(now_, discovery, keysNeedingRestart);
  runUntilIdle();
}

void GatewayBench::rejectConfig(const std::string& fault) {
  gateway_.onConfigRejected(now_, fault);
  runUntilIdle();
}

void GatewayBench::inOneTurn(const std::function<void()>& calls) {
  collectsEvents_ = true;
  calls();
  collectsEvents_ = false;
  runUntilIdle();
}

void GatewayBench::advance(std::int64_t millis) {
  const Instant until = now_ + ms(millis);
  while (next_ != Instant() && next_ <= until) {
    now_ = std::max(next_, now_ + Duration::micros(1));
    runUntilIdle();
  }
  now_ = until;
  runUntilIdle();
}

NodeConnectionId GatewayBench::connectionTo(const std::string& node) {
  return lastConnectionTo_[addressOf(node)];
}

// --- Turns

void GatewayBench::offerClientBytes(ClientId client) {
  std::string& unconsumed = unconsumed_[client];
  unconsumed.erase(0, gateway_.clientReceived(now_, client, unconsumed));
  runUntilIdle();
}

void GatewayBench::runUntilIdle() {
  if (collectsEvents_) return;
  turn();
  const auto emptyQueries = std::exchange(emptyQueries_, {});
  if (answersEmptyQueries && !emptyQueries.empty()) {
    for (const NodeConnectionId connection : emptyQueries)
      gateway_.nodeReceived(now_, connection, emptyQueryAnswer());
    turn();
  }
  for (const ClientId client : std::exchange(clientsToRead_, {})) offerClientBytes(client);
  while (next_ != Instant() && next_ <= now_) turn();
}

// --- Effects

std::ostream& GatewayBench::beginLine() { return std::cout << (now_ - kStart).inMicros() / 1000 << " ms: "; }

void GatewayBench::connect(NodeConnectionId connection, const std::string& address) {
  lastConnection_ = lastConnectionTo_[address] = connection;
  beginLine() << "connect l" << connection << " to " << address << "\n";
}

bool GatewayBench::writeNode(NodeConnectionId connection, ByteSlices slices) {
  const std::string summary = summaryOf(joined(slices));
  const bool isEmptyQuery = summary == " Q()";
  if (isEmptyQuery) emptyQueries_.push_back(connection);
  if (answersEmptyQueries && isEmptyQuery) return true;
  const bool isHealthCheck = summary.find("SHOW") != std::string::npos;
  if (printsHealthChecks || !isHealthCheck) beginLine() << "to l" << connection << ":" << summary << "\n";
  return writesCompletely;
}

void GatewayBench::closeNode(NodeConnectionId connection) { beginLine() << "close l" << connection << "\n"; }

void GatewayBench::writeClient(ClientId client, ByteSlices slices) {
  beginLine() << "to c" << client << ":" << summaryOf(joined(slices)) << "\n";
}

void GatewayBench::readClient(ClientId client) {
  if (printsReads) beginLine() << "resume reading from c" << client << "\n";
  clientsToRead_.push_back(client);
}

void GatewayBench::closeClient(ClientId client) { beginLine() << "close c" << client << "\n"; }

void GatewayBench::stopListening() { beginLine() << "stop listening\n"; }

void GatewayBench::requestEndpointList() { beginLine() << "request endpoint list\n"; }

void GatewayBench::setDiscoveryAddress(const std::string& address) {
  beginLine() << "set discovery address " << address << "\n";
}

void GatewayBench::log(std::string text) { beginLine() << "log: " << text << "\n"; }

}  // namespace gulltrestle::gateway_test
