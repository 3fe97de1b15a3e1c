#include "downstream/postgres/client_sessions.h"

#include <algorithm>
#include <utility>

#include "protocol/postgres/answer.h"

namespace gulltrestle::downstream::postgres {

using transactions::ConnectionCloseReason;
namespace wire = gulltrestle::postgres;

namespace {

// If a connection is needed for another client, a client that connected this fraction of the connect timeout
// ago and sent nothing may be closed: a startup message is sent together with the last packet that
// establishes the connection.
constexpr double kStartupFraction = 0.1;

// Idle clients are closed while more than this fraction of the bound on active clients is used, about one in
// kActiveCloseDivisor of the bound at a time.
constexpr std::size_t kActiveNumerator = 3, kActiveDenominator = 4;
constexpr std::size_t kActiveCloseDivisor = 32;

}  // namespace

ClientSessions::ClientSessions(transactions::TransactionTable& transactions,
                               transactions::UpstreamTransport& transport, const RoutingConfig& config,
                               const std::vector<std::string>& classNames, ClientLimits limits,
                               Effects& effects)
    : transactions_(transactions), transport_(transport), limits_(limits), effects_(effects) {
  for (std::size_t index = 0; index < config.transactionClasses.size(); ++index) {
    classes_.emplace(classNames[index], index);
    readLevels_.push_back(config.transactionClasses[index].level);
  }
}

bool ClientSessions::isWaiting(ClientId id) const {
  const auto found = clients_.find(id);
  return found != clients_.end() && found->second.isWaiting();
}

// --- Final answers

void ClientSessions::onTransactionCommitted(transactions::OwnerId owner,
                                            const transactions::ResultValue& value) {
  effects_.writeClient(owner, {value[0], value[1], value[2], wire::readyForQuery()});
  onAnswered(owner);
}

void ClientSessions::onTransactionRejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) {
  effects_.writeClient(owner,
                       {wire::rejectedError(retryAfter.inMicros() / 1000, level), wire::readyForQuery()});
  onAnswered(owner);
}

void ClientSessions::onTransactionRolledBack(transactions::OwnerId owner) {
  effects_.writeClient(owner, {wire::rolledBackError(), wire::readyForQuery()});
  onAnswered(owner);
}

void ClientSessions::onAnswered(ClientId id) {
  clients_.at(id).txn = 0;
  resumeReading(id);
}

void ClientSessions::resumeReading(ClientId id) {
  Client& client = clients_.at(id);
  client.idleSince = transactions_.now();
  client.hasUnreadMessages = true;
  effects_.readClient(id);
  limitActiveClients();
}

// --- Other answers

// An empty query asks whether the router is ready.
void ClientSessions::answerEmptyQuery(ClientId id, Client& client) {
  client.awaitsEndpointList = false;
  if (!isEndpointListKnown_) return answerError(id, wire::kRejected, kRejectedAtShutDown);
  effects_.writeClient(id, {wire::emptyQueryResponse(), wire::readyForQuery()});
}

void ClientSessions::answerError(ClientId id, std::string_view code, std::string_view text) {
  effects_.writeClient(id, {wire::error("ERROR", code, text), wire::readyForQuery()});
}

void ClientSessions::onEndpointListKnown() {
  isEndpointListKnown_ = true;
  answerWaitingEmptyQueries();
}

// A router that stops may never receive its first list.
void ClientSessions::stop() {
  stoppedAt_ = transactions_.now();
  answerWaitingEmptyQueries();
}

void ClientSessions::answerWaitingEmptyQueries() {
  std::vector<ClientId> waiting;
  for (const auto& [id, client] : clients_)
    if (client.awaitsEndpointList) waiting.push_back(id);
  for (const ClientId id : waiting) {
    answerEmptyQuery(id, clients_.at(id));
    resumeReading(id);
  }
}

// --- Closing

// Sends the error as the final answer to any pending request of the client, and closes the connection.
void ClientSessions::closeWithError(ClientId id, std::string_view code, std::string_view text) {
  effects_.writeClient(id, {wire::error("FATAL", code, text)});
  traceClose(id, text);
  effects_.closeClient(id);
  onClosed(id);
}

// Closes the connection of a client that awaits no answer, once all written bytes are sent.
void ClientSessions::close(ClientId id, ConnectionCloseReason reason) {
  const auto subject = [id] { return "client " + std::to_string(id); };
  const Client& client = clients_.at(id);
  // A client that has ended its sending doesn't complete its message.
  const bool mayComplete = reason != ConnectionCloseReason::clientFinished;
  const bool isAnswerPending = client.isWaiting() || (mayComplete && client.hasUnhandledBytes());
  if (!transactions_.invariants().mayClose(transactions_.now(), isAnswerPending, subject)) return;
  traceClose(id, nameOf(reason));
  effects_.closeClient(id);
  onClosed(id);
}

void ClientSessions::traceClose(ClientId id, std::string_view reason) const {
  transactions_.trace().write([&] {
    return "event=client.closed client=" + std::to_string(id) + " reason=\"" + std::string(reason) + "\"";
  });
}

void ClientSessions::onClosed(ClientId id) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  const TxnId txn = client.txn;
  setDeadline(id, client, {});
  if (client.isActive) --activeClients_;
  clients_.erase(found);
  transactions_.onClientDisconnected(txn);
}

// A half-closed client may still await its answer or may be gone: both look alike. A notice, which clients
// skip, causes a reset if the client is gone. Prevents work for clients that left, and still answers clients
// that only ended their sending. Trade-off: breaks clients that can't handle a notice.
void ClientSessions::onHalfClosed(ClientId id) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  if (!client.isWaiting()) return close(id, ConnectionCloseReason::clientFinished);
  if (!std::exchange(client.hasHalfClosed, true)) effects_.writeClient(id, {wire::notice("still at work")});
}

void ClientSessions::reject(ClientId id) {
  if (clients_.contains(id)) closeWithError(id, wire::kRejected, "refused: too much is held here");
}

void ClientSessions::endTurn() {
  while (!deadlines_.empty() && deadlines_.begin()->at <= transactions_.now())
    closeWithError(deadlines_.begin()->id, wire::kProtocolViolation, "a message has not come whole in time");
}

// --- Idle clients

// A client that has just connected may have sent its first query already and is not idle yet.
bool ClientSessions::hasJustConnected(const Client& client, Duration limit) const {
  return client.stage == Stage::startup && transactions_.now() - client.idleSince < limit;
}

bool ClientSessions::closeIdle(std::size_t max, IdleClients which) {
  struct IdleClient {
    Instant since;
    ClientId id = 0;
    auto operator<=>(const IdleClient&) const = default;
  };
  std::vector<IdleClient> idle;
  for (const auto& [id, client] : clients_) {
    const bool isIncluded = client.isActive || which == IdleClients::all;
    if (isIncluded && !client.isWaiting() && !client.hasUnhandledBytes() &&
        !hasJustConnected(client, limits_.connectTimeout * kStartupFraction))
      idle.push_back({client.idleSince, id});
  }
  std::sort(idle.begin(), idle.end());
  std::size_t closed = 0;
  for (auto next = idle.begin(); next != idle.end() && closed < max; ++next) {
    if (effects_.hasUnreadBytes(next->id)) continue;
    close(next->id, ConnectionCloseReason::retired);
    ++closed;
  }
  return closed > 0;
}

// Clients keep a bounded number of connections for transactions. If each sends one transaction and stays
// connected, all of them are soon idle and no other client can send a transaction. Prevents that: beyond
// three quarters of the bound the longest idle clients are closed, some at a time. Trade-off: a client with
// many busy connections may lose one just when it needs it again, and has to repeat that query on a new
// connection.
void ClientSessions::limitActiveClients() {
  const std::size_t bound = limits_.maxActiveClients;
  if (bound > 0 && activeClients_ * kActiveDenominator > bound * kActiveNumerator)
    closeIdle(1 + bound / kActiveCloseDivisor, IdleClients::active);
}

// Its first message, or the rest of a message, may be in transit: its bytes are received within the time
// limit of a message (startMessageTimer).
bool ClientSessions::mayBeSending(const Client& client) const {
  const bool hasJustStarted =
      !client.hasSentMessage && transactions_.now() - client.idleSince < limits_.connectTimeout;
  return hasJustStarted || client.hasPartialMessage();
}

// Prevents that a client gets no answer to what it has sent, or was sending, when the router stopped.
// Trade-off: clients that stop in the middle of a message delay the end of the process.
void ClientSessions::closeAtShutDown(TimeToAnswer time) {
  std::vector<ClientId> idle, cutOff;
  for (const auto& [id, client] : clients_) {
    if (client.isWaiting() || client.hasUnreadMessages) continue;
    if (time == TimeToAnswer::left && (mayBeSending(client) || effects_.hasUnreadBytes(id))) continue;
    (client.hasPartialMessage() ? cutOff : idle).push_back(id);
  }
  for (const ClientId id : idle) close(id, ConnectionCloseReason::shuttingDown);
  for (const ClientId id : cutOff) closeWithError(id, wire::kRejected, kRejectedAtShutDown);
}

}  // namespace gulltrestle::downstream::postgres
