// Clients that speak the PostgreSQL protocol: their openings, messages and turns, the txns they ask for and
// the answers they get. It reads no socket and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "downstream/postgres/arrival_times.h"
#include "protocol/postgres/messages.h"
#include "transactions/connection_close.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::downstream::postgres {

using ClientId = std::uint64_t;

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  virtual void writeClient(ClientId client, transactions::ByteSlices parts) = 0;
  // Hands over what the client has sent meanwhile, and all that follows.
  virtual void readClient(ClientId client) = 0;
  // Closes once all is written.
  virtual void closeClient(ClientId client) = 0;
};

struct Bounds {
  Duration connectLimit;             // in which a connection comes up
  std::size_t maxActiveClients = 0;  // connections that clients keep for txns; 0: any number
};

class ClientSessions final : private transactions::DownstreamHandler {
 public:
  // `carrier`: takes their txns to nodes.
  ClientSessions(transactions::TransactionTable& ledger, transactions::UpstreamTransport& carrier,
                 const RoutingConfig& terms, const std::vector<std::string>& typeNames, Bounds bounds,
                 Effects& effects);

  // Events. The ledger has been told when.
  void opened(ClientId client);
  // Returns how much was taken; the rest is offered again, with more behind it, after readClient().
  // `unreadSince`: from when on what came last had been left unread; never: it was read as it came.
  std::size_t sent(ClientId client, std::string_view bytes, Instant unreadSince = {});
  void sendsNoMore(ClientId client);
  void ended(ClientId client);
  void refuse(ClientId client);  // there is no room for what it sends
  // Some list is known: what waits for one is answered.
  void listKnown();

  void endTurn();
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

  // Who is owed an answer, or has sent more before, is closed after that; more that comes from those is
  // refused. One that has just come is served once.
  void stop() { stoppedAt_ = ledger_.now(); }
  // Closes those that are idle and did not just come.
  void closeIdleAtEnd();
  // Closes the clients that have been idle longest, some at most; false if none is idle.
  bool closeIdle(std::size_t most, bool onlyAsked = false);

  bool empty() const { return clients_.empty(); }
  bool isWaiting(ClientId client) const;  // for an answer

 private:
  enum class Stage { opening, ready, refusing };
  struct Client {
    Stage stage = Stage::opening;
    TxnId txn = 0;              // that it waits for
    bool waitsForList = false;  // with an empty query
    bool sendsNoMore = false;
    bool asked = false;     // had a txn here
    bool toRead = false;    // what it has sent meanwhile is not looked at yet
    ArrivalTimes arrivals;  // of what it has sent and is not taken yet
    Instant idleSince;
    Instant due;  // when a message that has begun, or its greeting, must be whole; never: nothing is awaited
  };

  // Front.
  void committed(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void rolledBack(transactions::OwnerId owner) override;

  bool takeOpening(ClientId id, Client& client, std::string_view& bytes);
  bool takeMessage(ClientId id, Client& client, std::string_view& bytes, std::size_t before);
  void takeStatement(ClientId id, Client& client, std::string_view text, Instant cameAt);
  void answerEmpty(ClientId id, Client& client);
  void answerError(ClientId id, std::string_view code, std::string_view text, std::string_view detail = {});
  void fatal(ClientId id, std::string_view code, std::string_view text);
  void answered(ClientId id);
  void nextOf(ClientId id);
  // What it is owed has been answered; `why`: for the trace.
  void drop(ClientId id, transactions::ConnectionCloseReason why);
  void traceClose(ClientId id, std::string_view why) const;
  void makeRoomToAsk();
  void awaitMessage(ClientId id, Client& client, Instant due);
  bool isFresh(const Client& client, Duration limit) const;

  transactions::TransactionTable& ledger_;
  transactions::UpstreamTransport& carrier_;
  std::map<std::string, std::size_t, std::less<>> types_;
  std::vector<ReadLevel> levels_;
  Bounds bounds_;
  Effects& effects_;
  bool listKnown_ = false;
  Instant stoppedAt_;  // never: it goes on
  std::map<ClientId, Client> clients_;
  std::set<std::pair<Instant, ClientId>> due_;
  std::size_t asking_ = 0;  // clients that had a txn
};

}  // namespace gulltrestle::downstream::postgres
