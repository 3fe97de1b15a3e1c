#include "downstream/postgres/client_sessions.h"

#include <algorithm>
#include <utility>

#include "protocol/postgres/answer.h"
#include "protocol/postgres/statement.h"
#include "transactions/session_id.h"

namespace gulltrestle::downstream::postgres {

using transactions::ConnectionCloseReason;
namespace wire = gulltrestle::postgres;

namespace {

// A value of 64 KiB is twice that as hex; the rest of a statement is short.
constexpr std::size_t kLongestQuery = 2 * 64 * 1024 + 4096;

// A client's greeting, and any message once it has begun, must be whole within this many times the settings'
// limit for connections: a message takes some turns of the network where coming up takes one.
constexpr double kMessageTimes = 8;

// Where room is wanted, one that has come this part of that limit ago and said nothing may go: a greeting
// sets out together with the last packet that brings the connection up.
constexpr double kFreshPart = 0.1;

// What one client may have looked at in a turn. Clients that wait for their answers send one or two.
constexpr int kMessagesATurn = 4;

}  // namespace

ClientSessions::ClientSessions(transactions::TransactionTable& ledger,
                               transactions::UpstreamTransport& carrier, const RoutingConfig& terms,
                               const std::vector<std::string>& typeNames, Bounds bounds, Effects& effects)
    : ledger_(ledger), carrier_(carrier), bounds_(bounds), effects_(effects) {
  for (std::size_t row = 0; row < terms.transactionClasses.size(); ++row) {
    types_.emplace(typeNames[row], row);
    levels_.push_back(terms.transactionClasses[row].level);
  }
}

void ClientSessions::opened(ClientId id) {
  Client& client = clients_[id];
  client.idleSince = ledger_.now();
  awaitMessage(id, client, ledger_.now() + bounds_.connectLimit * kMessageTimes);
}

// Guards against clients that say nothing, or half of a message, and keep a descriptor and what they sent.
// May hurt those whose network takes seconds for a message.
void ClientSessions::awaitMessage(ClientId id, Client& client, Instant due) {
  if (client.due != Instant()) due_.erase({client.due, id});
  client.due = due;
  if (due != Instant()) due_.insert({due, id});
}

std::size_t ClientSessions::sent(ClientId id, std::string_view bytes, Instant unreadSince) {
  const auto size = bytes.size();
  // What was left unread may have come at any time since: a little early, so that no more time is told than
  // is.
  const Instant cameAt = unreadSince == Instant() ? ledger_.now() : std::min(unreadSince, ledger_.now());
  if (const auto at = clients_.find(id); at != clients_.end()) at->second.arrivals.waiting(size, cameAt);
  try {
    for (int taken = 0;; ++taken) {
      const auto at = clients_.find(id);
      if (at == clients_.end()) return size;
      Client& client = at->second;
      if (client.txn != 0 || client.waitsForList) break;
      client.toRead = taken == kMessagesATurn;
      if (client.toRead) {
        effects_.readClient(id);
        break;
      }
      client.idleSince = ledger_.now();
      const bool opening = client.stage == Stage::opening;
      if (opening ? takeOpening(id, client, bytes) : takeMessage(id, client, bytes, size - bytes.size())) {
        if (!clients_.contains(id) || client.stage == Stage::opening) continue;
        if (client.due != Instant()) awaitMessage(id, client, {});
        continue;
      }
      if (!bytes.empty() && client.due == Instant())
        awaitMessage(id, client, ledger_.now() + bounds_.connectLimit * kMessageTimes);
      break;
    }
  } catch (const wire::Malformed& bad) {
    fatal(id, wire::kProtocolViolation, bad.what());
    return size;
  }
  if (const auto at = clients_.find(id); at != clients_.end()) at->second.arrivals.taken(size - bytes.size());
  return size - bytes.size();
}

bool ClientSessions::takeOpening(ClientId id, Client& client, std::string_view& bytes) {
  const auto opening = wire::takeOpening(bytes);
  if (!opening) return false;
  if (opening->code == wire::kSslRequest || opening->code == wire::kGssRequest) {
    effects_.writeClient(id, {"N"});
  } else if (opening->code == wire::kCancelRequest) {
    drop(id, ConnectionCloseReason::clientFinished);
  } else if (opening->code >> 16 != wire::kMajorVersion) {
    fatal(id, wire::kNotSupported, "only version 3 of the protocol is spoken here");
  } else {
    client.stage = Stage::ready;
    effects_.writeClient(id, {wire::welcome()});
  }
  return true;
}

// `before`: how much of what waited has been taken already.
bool ClientSessions::takeMessage(ClientId id, Client& client, std::string_view& bytes, std::size_t before) {
  const auto waiting = bytes.size();
  const auto message = wire::takeMessage(bytes, kLongestQuery);
  if (!message) return false;
  const auto request = wire::requestOf(message->type);
  // The rest of an exchange that was refused, up to its Sync.
  if (client.stage == Stage::refusing && request != wire::Request::goodbye && request != wire::Request::sync)
    return true;
  auto body = message->body;
  switch (request) {
    case wire::Request::query:
      takeStatement(id, client, wire::takeText(body), client.arrivals.of(before + waiting - bytes.size()));
      break;
    case wire::Request::goodbye:
      drop(id, ConnectionCloseReason::clientFinished);
      break;
    case wire::Request::sync:
      client.stage = Stage::ready;
      effects_.writeClient(id, {wire::readyForQuery()});
      break;
    case wire::Request::extended:
      client.stage = Stage::refusing;
      effects_.writeClient(id, {wire::error("ERROR", wire::kNotSupported, "only simple queries are taken")});
      break;
    case wire::Request::functionCall:
      answerError(id, wire::kNotSupported, "only simple queries are taken");
      break;
    case wire::Request::passedOver:
      break;
    case wire::Request::unknown:
      throw wire::Malformed("a message of this type is not known");
  }
  return true;
}

void ClientSessions::takeStatement(ClientId id, Client& client, std::string_view text, Instant cameAt) {
  if (wire::isBlank(text)) {
    if (listKnown_) return answerEmpty(id, client);
    client.waitsForList = true;
    return;
  }
  try {
    if (stoppedAt_ != Instant() && cameAt >= stoppedAt_ && client.asked)
      throw wire::InvalidStatement(wire::kRefused, "refused: this router ends");
    const auto statement = wire::readStatement(text);
    const auto type = types_.find(statement.typeName);
    if (type == types_.end())
      throw wire::InvalidStatement(wire::kBadValue,
                                   "txn type '" + std::string(statement.typeName) + "' is not known");
    const ReadLevel level = levels_[type->second];
    if (statement.writes != (level == ReadLevel::write))
      throw wire::InvalidStatement(wire::kBadValue, "the statement is not of its txn type");
    if (ledger_.isOpen(statement.id))
      throw wire::InvalidStatement(wire::kBadValue, "field id of the comment names a txn that is open");
    // Guards the memory limit against many long statements at a time; may hurt while nodes are slow.
    if (!ledger_.hasCapacityFor(text.size()))
      throw wire::InvalidStatement(wire::kRefused, "refused: too much is held here");
    Transaction txn;
    asking_ += !std::exchange(client.asked, true);
    txn.type = type->second;
    txn.group = statement.group;
    if (level >= ReadLevel::write || level == ReadLevel::session)
      txn.session = transactions::sessionOf(statement.key);
    if (level == ReadLevel::session) {
      txn.writeAge = Duration();  // it owes nothing
      if (statement.afterMs.value_or(0) > 0)
        txn.writeAge = std::max(
            ledger_.now() - (Instant() + Duration::millis(static_cast<std::int64_t>(*statement.afterMs))),
            Duration::micros(1));
    }
    // Its client counts from when it was sent, also where it waited here behind others.
    txn.remainingTime =
        Duration::millis(static_cast<std::int64_t>(statement.waitMs)) - (ledger_.now() - cameAt);
    const auto at = [&](std::string_view slice) {
      return static_cast<std::size_t>(slice.data() - text.data());
    };
    client.txn = ledger_.openTransaction(*this, id, carrier_, txn,
                                         {std::string(text), at(statement.wait), statement.wait.size(),
                                          at(statement.id), statement.id.size()});
  } catch (const wire::InvalidStatement& bad) { answerError(id, bad.code(), bad.what()); }
}

void ClientSessions::answerEmpty(ClientId id, Client& client) {
  client.waitsForList = false;
  effects_.writeClient(id, {wire::emptyQueryResponse(), wire::readyForQuery()});
}

void ClientSessions::answerError(ClientId id, std::string_view code, std::string_view text,
                                 std::string_view detail) {
  effects_.writeClient(id, {wire::error("ERROR", code, text, detail), wire::readyForQuery()});
}

// The error is the final answer to whatever the client is owed.
void ClientSessions::fatal(ClientId id, std::string_view code, std::string_view text) {
  effects_.writeClient(id, {wire::error("FATAL", code, text)});
  traceClose(id, text);
  effects_.closeClient(id);
  ended(id);
}

void ClientSessions::traceClose(ClientId id, std::string_view why) const {
  ledger_.trace().write([&] {
    return "event=client.closed client=" + std::to_string(id) + " why=\"" + std::string(why) + "\"";
  });
}

// The connection is closed after what was written has gone.
void ClientSessions::drop(ClientId id, transactions::ConnectionCloseReason why) {
  const auto subject = [id] { return "client " + std::to_string(id); };
  if (!ledger_.invariants().mayClose(ledger_.now(), isWaiting(id), subject)) return;
  traceClose(id, nameOf(why));
  effects_.closeClient(id);
  ended(id);
}

// A client that sends no more may still wait for its answer, or may be gone: both look alike. A notice, which
// clients skip, brings a reset if it is gone. Guards against work for clients that left, and against leaving
// one that only shut down its sending without its answer. May hurt a client that can't take a notice.
void ClientSessions::sendsNoMore(ClientId id) {
  const auto at = clients_.find(id);
  if (at == clients_.end()) return;
  Client& client = at->second;
  if (client.txn == 0 && !client.waitsForList) return drop(id, ConnectionCloseReason::clientFinished);
  if (!std::exchange(client.sendsNoMore, true)) effects_.writeClient(id, {wire::notice("still at work")});
}

void ClientSessions::ended(ClientId id) {
  const auto at = clients_.find(id);
  if (at == clients_.end()) return;
  const TxnId txn = at->second.txn;
  awaitMessage(id, at->second, {});
  asking_ -= at->second.asked;
  clients_.erase(at);
  ledger_.leave(txn);
}

// One that has just come may have sent its first query already, and is not idle yet.
bool ClientSessions::isFresh(const Client& client, Duration limit) const {
  return client.stage == Stage::opening && ledger_.now() - client.idleSince < limit;
}

bool ClientSessions::closeIdle(std::size_t most, bool onlyAsked) {
  std::vector<std::pair<Instant, ClientId>> idle;
  for (const auto& [id, client] : clients_)
    if (client.txn == 0 && !client.waitsForList && !client.toRead && (client.asked || !onlyAsked) &&
        !isFresh(client, bounds_.connectLimit * kFreshPart))
      idle.emplace_back(client.idleSince, id);
  most = std::min(most, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(most), idle.end());
  for (std::size_t i = 0; i < most; ++i) drop(idle[i].second, ConnectionCloseReason::retired);
  return most > 0;
}

// Clients keep so many connections for txns and no more. Where each asks once and stays, all of them are soon
// idle, and no other client can ask. Guards against that: beyond three quarters the ones idle longest make
// room, some at a time. May hurt clients with so many at work that one is closed just when it is wanted
// again: such a query is sent once more, on a new connection.
void ClientSessions::makeRoomToAsk() {
  if (bounds_.maxActiveClients > 0 && asking_ * 4 > bounds_.maxActiveClients * 3)
    closeIdle(1 + bounds_.maxActiveClients / 32, true);
}

void ClientSessions::refuse(ClientId id) {
  if (clients_.contains(id)) fatal(id, wire::kRefused, "refused: too much is held here");
}

bool ClientSessions::isWaiting(ClientId id) const {
  const auto at = clients_.find(id);
  return at != clients_.end() && (at->second.txn != 0 || at->second.waitsForList);
}

void ClientSessions::nextOf(ClientId id) {
  clients_.at(id).idleSince = ledger_.now();
  clients_.at(id).toRead = true;
  effects_.readClient(id);
  makeRoomToAsk();
}

// --- Final answers

void ClientSessions::committed(transactions::OwnerId owner, const transactions::ResultValue& value) {
  effects_.writeClient(owner, {value[0], value[1], value[2], wire::readyForQuery()});
  answered(owner);
}

void ClientSessions::rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) {
  effects_.writeClient(owner, {wire::refused(retryAfter.inMicros() / 1000, level), wire::readyForQuery()});
  answered(owner);
}

void ClientSessions::rolledBack(transactions::OwnerId owner) {
  effects_.writeClient(owner, {wire::rolledBack(), wire::readyForQuery()});
  answered(owner);
}

void ClientSessions::answered(ClientId id) {
  clients_.at(id).txn = 0;
  nextOf(id);
}

// --- Turns

void ClientSessions::listKnown() {
  listKnown_ = true;
  std::vector<ClientId> waiting;
  for (const auto& [id, client] : clients_)
    if (client.waitsForList) waiting.push_back(id);
  for (const ClientId id : waiting) {
    answerEmpty(id, clients_.at(id));
    nextOf(id);
  }
}

void ClientSessions::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now())
    fatal(due_.begin()->second, wire::kProtocolViolation, "a message has not come whole in time");
}

void ClientSessions::closeIdleAtEnd() {
  std::vector<ClientId> idle;
  for (const auto& [id, client] : clients_)
    if (client.txn == 0 && !client.toRead && !isFresh(client, bounds_.connectLimit)) idle.push_back(id);
  for (const ClientId id : idle) drop(id, ConnectionCloseReason::shuttingDown);
}

}  // namespace gulltrestle::downstream::postgres
