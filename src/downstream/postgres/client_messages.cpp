// The part of ClientSessions that reads messages of clients.
#include <algorithm>
#include <utility>

#include "downstream/postgres/client_sessions.h"
#include "transactions/session_id.h"

namespace gulltrestle::downstream::postgres {

using transactions::ConnectionCloseReason;
namespace wire = gulltrestle::postgres;

namespace {

// A value of 64 KiB takes twice as many bytes as hex digits; the rest of a statement is short.
constexpr std::size_t kMaxQueryBytes = 2 * 64 * 1024 + 4096;

// Time limit for a client's startup and for each message that has started, as a multiple of the configured
// connect timeout: a message takes several round trips where a connection takes one.
constexpr double kMessageTimeFactor = 8;

// Messages of one client that are handled per turn. Clients that wait for each answer send one or two.
constexpr int kMaxMessagesPerTurn = 4;

}  // namespace

void ClientSessions::onOpened(ClientId id) {
  Client& client = clients_[id];
  client.idleSince = transactions_.now();
  startMessageTimer(id, client);
  transactions_.trace().write([&] { return "event=client.connected client=" + std::to_string(id); });
}

// Prevents clients that send nothing, or half of a message, from keeping a descriptor and their buffered
// bytes. Trade-off: closes clients whose network takes seconds for a message.
void ClientSessions::startMessageTimer(ClientId id, Client& client) {
  setDeadline(id, client, transactions_.now() + limits_.connectTimeout * kMessageTimeFactor);
}

// `deadline`: when the client is closed; never: nothing is awaited from it.
void ClientSessions::setDeadline(ClientId id, Client& client, Instant deadline) {
  if (client.deadline != Instant()) deadlines_.erase({client.deadline, id});
  client.deadline = deadline;
  if (deadline != Instant()) deadlines_.insert({deadline, id});
}

std::size_t ClientSessions::onReceived(ClientId id, std::string_view bytes, Instant unreadSince) {
  // Bytes that were left unread may have arrived at any time since then. The earliest time counts, so that
  // the remaining time is never overestimated.
  const Instant now = transactions_.now();
  const Instant arrivedAt = unreadSince == Instant() ? now : std::min(unreadSince, now);
  if (const auto found = clients_.find(id); found != clients_.end())
    found->second.arrivals.onReceived(bytes.size(), arrivedAt);
  std::size_t consumed = 0;
  try {
    consumed = consumeMessages(id, bytes);
  } catch (const wire::Malformed& malformed) {
    closeWithError(id, wire::kProtocolViolation, malformed.what());
    return bytes.size();
  }
  if (const auto found = clients_.find(id); found != clients_.end())
    found->second.arrivals.onConsumed(consumed);
  return consumed;
}

// Consumes messages until the client has to wait for an answer. All bytes of a closed client count as
// consumed.
std::size_t ClientSessions::consumeMessages(ClientId id, std::string_view bytes) {
  const std::size_t size = bytes.size();
  for (int handled = 0;; ++handled) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return size;
    Client& client = found->second;
    if (client.isWaiting()) break;
    client.hasUnreadMessages = handled == kMaxMessagesPerTurn;
    if (client.hasUnreadMessages) {
      effects_.readClient(id);
      break;
    }
    client.idleSince = transactions_.now();
    const bool isConsumed = client.stage == Stage::startup
                                ? consumeStartup(id, client, bytes)
                                : consumeMessage(id, client, bytes, size - bytes.size());
    if (!isConsumed) {
      if (!bytes.empty() && client.deadline == Instant()) startMessageTimer(id, client);
      break;
    }
    if (!clients_.contains(id) || client.stage == Stage::startup) continue;
    if (client.deadline != Instant()) setDeadline(id, client, {});
  }
  return size - bytes.size();
}

bool ClientSessions::consumeStartup(ClientId id, Client& client, std::string_view& bytes) {
  const auto startup = wire::takeStartupMessage(bytes);
  if (!startup) return false;
  if (startup->code == wire::kSslRequest || startup->code == wire::kGssRequest) {
    effects_.writeClient(id, {"N"});
  } else if (startup->code == wire::kCancelRequest) {
    close(id, ConnectionCloseReason::clientFinished);
  } else if (startup->code >> 16 != wire::kMajorVersion) {
    closeWithError(id, wire::kNotSupported, "only version 3 of the protocol is spoken here");
  } else {
    client.stage = Stage::ready;
    effects_.writeClient(id, {wire::startupAnswer()});
  }
  return true;
}

// `consumedBefore`: number of bytes that onReceived() has consumed before `bytes` in the same call.
bool ClientSessions::consumeMessage(ClientId id, Client& client, std::string_view& bytes,
                                    std::size_t consumedBefore) {
  const std::size_t sizeBefore = bytes.size();
  const auto message = wire::takeMessage(bytes, kMaxQueryBytes);
  if (!message) return false;
  client.hasSentMessage = true;
  const Instant arrivedAt = client.arrivals.arrivalOf(consumedBefore + sizeBefore - bytes.size());
  const auto request = wire::requestOf(message->type);
  if (client.stage == Stage::skippingToSync && request != wire::Request::terminate &&
      request != wire::Request::sync)
    return true;
  std::string_view body = message->body;
  switch (request) {
    case wire::Request::query:
      handleQuery(id, client, wire::takeString(body), arrivedAt);
      break;
    case wire::Request::terminate:
      close(id, ConnectionCloseReason::clientFinished);
      break;
    case wire::Request::sync:
      client.stage = Stage::ready;
      effects_.writeClient(id, {wire::readyForQuery()});
      break;
    case wire::Request::extended:
      client.stage = Stage::skippingToSync;
      effects_.writeClient(id, {wire::error("ERROR", wire::kNotSupported, "only simple queries are taken")});
      break;
    case wire::Request::functionCall:
      answerError(id, wire::kNotSupported, "only simple queries are taken");
      break;
    case wire::Request::ignored:
      break;
    case wire::Request::unknown:
      throw wire::Malformed("a message of this type is not known");
  }
  return true;
}

void ClientSessions::handleQuery(ClientId id, Client& client, std::string_view text, Instant arrivedAt) {
  if (wire::isBlank(text)) {
    if (isEndpointListKnown_ || isStopped()) return answerEmptyQuery(id, client);
    client.awaitsEndpointList = true;
    return;
  }
  try {
    openTransaction(id, client, text, arrivedAt);
  } catch (const wire::InvalidStatement& invalid) { answerError(id, invalid.code(), invalid.what()); }
}

// Throws wire::InvalidStatement if the statement is invalid or if this router rejects it.
void ClientSessions::openTransaction(ClientId id, Client& client, std::string_view text, Instant arrivedAt) {
  if (isStopped() && arrivedAt >= stoppedAt_ && client.isActive)
    throw wire::InvalidStatement(wire::kRejected, std::string(kRejectedAtShutDown));
  const wire::Statement statement = wire::readStatement(text);
  const std::size_t type = classOf(statement);
  if (transactions_.isOpen(statement.id))
    throw wire::InvalidStatement(wire::kBadValue, "field id of the comment names a txn that is open");
  // Keeps the memory limit if many long statements are in flight. Trade-off: rejects statements while nodes
  // are slow.
  if (!transactions_.hasCapacityFor(text.size()))
    throw wire::InvalidStatement(wire::kRejected, "refused: too much is held here");
  if (!std::exchange(client.isActive, true)) ++activeClients_;
  const auto offsetOf = [&](std::string_view slice) {
    return static_cast<std::size_t>(slice.data() - text.data());
  };
  transactions::RequestMessage message;
  message.bytes = std::string(text);
  message.timeoutOffset = offsetOf(statement.timeoutText);
  message.timeoutSize = statement.timeoutText.size();
  message.idOffset = offsetOf(statement.id);
  message.idSize = statement.id.size();
  Transaction transaction = transactionOf(statement, type, arrivedAt);
  transaction.connection = id;
  client.txn =
      transactions_.openTransaction(*this, id, transport_, std::move(transaction), std::move(message));
}

// Returns the index of the statement's transaction class. Throws wire::InvalidStatement if the class is
// unknown or doesn't match the statement.
std::size_t ClientSessions::classOf(const wire::Statement& statement) const {
  const auto found = classes_.find(statement.typeName);
  if (found == classes_.end())
    throw wire::InvalidStatement(wire::kBadValue,
                                 "txn type '" + std::string(statement.typeName) + "' is not known");
  const bool isWriteClass = readLevels_[found->second] == ReadLevel::write;
  if (statement.isWrite != isWriteClass)
    throw wire::InvalidStatement(wire::kBadValue, "the statement is not of its txn type");
  return found->second;
}

Transaction ClientSessions::transactionOf(const wire::Statement& statement, std::size_t type,
                                          Instant arrivedAt) const {
  const Instant now = transactions_.now();
  const ReadLevel level = readLevels_[type];
  Transaction transaction;
  transaction.type = type;
  transaction.group = statement.group;
  if (level >= ReadLevel::write || level == ReadLevel::session)
    transaction.session = transactions::sessionOf(statement.key);
  if (level == ReadLevel::session) {
    if (statement.afterMs.value_or(0) > 0)
      transaction.lastWritePosition =
          Instant() + Duration::millis(static_cast<std::int64_t>(*statement.afterMs));
    else
      transaction.writeAge = Duration();  // the session has no write that the read must see
  }
  // The client's timeout starts when it sends the statement, also if the statement waited here behind others.
  transaction.remainingTime =
      Duration::millis(static_cast<std::int64_t>(statement.timeoutMs)) - (now - arrivedAt);
  return transaction;
}

}  // namespace gulltrestle::downstream::postgres
