// Sessions of clients that speak the PostgreSQL protocol: their startup and messages, the transactions that
// they request and the answers that they get. It reads no socket and no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "downstream/postgres/arrival_times.h"
#include "protocol/postgres/messages.h"
#include "protocol/postgres/statement.h"
#include "transactions/connection_close.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::downstream::postgres {

// Identifies a client's connection; never used again for another.
using ClientId = std::uint64_t;

// What the sessions request of whoever has the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // The slices are valid during the call only.
  virtual void writeClient(ClientId client, transactions::ByteSlices slices) = 0;
  // Offers what the client has sent meanwhile, and all that follows, in a later call of onReceived().
  virtual void readClient(ClientId client) = 0;
  // Closes the connection once all is written.
  virtual void closeClient(ClientId client) = 0;
};

// What the settings and the process's limits leave for clients.
struct Bounds {
  Duration connectLimit;             // for a connection to be established
  std::size_t maxActiveClients = 0;  // connections that clients keep for transactions; 0: any number
};

// One per gateway.
class ClientSessions final : private transactions::DownstreamHandler {
 public:
  // `transport`: carries their transactions to nodes. `classNames`: of the transaction classes, in the same
  // order. The references must outlive this.
  ClientSessions(transactions::TransactionTable& transactions, transactions::UpstreamTransport& transport,
                 const RoutingConfig& config, const std::vector<std::string>& classNames, Bounds bounds,
                 Effects& effects);

  // --- Events, after TransactionTable::advanceTo() for their time.

  void onOpened(ClientId id);
  // Returns how many bytes were consumed; the rest is offered again, with more behind it, after readClient().
  // `unreadSince`: since when the latest bytes had been left unread; never: they were read as they came.
  std::size_t onReceived(ClientId id, std::string_view bytes, Instant unreadSince = {});
  // The client sends no more.
  void onHalfClosed(ClientId id);
  void onClosed(ClientId id);
  // There is no memory for what the client sends: it gets an error, and is closed.
  void reject(ClientId id);
  // Some endpoint list is known: empty queries, which wait for one, are answered.
  void onEndpointListKnown();

  // Closes the clients whose time for a message is over.
  void endTurn();
  // When endTurn() has something to do; never: nothing is due.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->at; }

  // From now on, further statements of clients that had a transaction are rejected. One that has just
  // connected is served once.
  void stop() { stoppedAt_ = transactions_.now(); }
  // Closes the clients that are idle and have not just connected.
  void closeIdleAtShutDown();
  // Closes the clients that have been idle longest, `max` at most; false if none is idle.
  bool closeIdle(std::size_t max) { return closeIdle(max, IdleClients::all); }

  bool empty() const { return clients_.empty(); }
  // Whether the client awaits an answer.
  bool isWaiting(ClientId id) const;

 private:
  // Rejecting: an exchange of the extended protocol was rejected, and is skipped up to its Sync.
  enum class Stage { startup, ready, rejecting };
  enum class IdleClients { all, active };
  struct Client {
    Stage stage = Stage::startup;
    TxnId txn = 0;                   // whose answer it awaits; 0: none
    bool awaitsListKnown = false;    // it has sent an empty query
    bool hasHalfClosed = false;      // and was sent a notice
    bool isActive = false;           // it had a transaction here
    bool hasUnreadMessages = false;  // what it has sent meanwhile is not read yet
    ArrivalTimes arrivals;           // of what it has sent and is not consumed yet
    Instant idleSince;
    Instant deadline;  // for a message that has started, or its startup; never: none is awaited

    bool isWaiting() const { return txn != 0 || awaitsListKnown; }
  };
  struct Deadline {
    Instant at;
    ClientId id = 0;
    auto operator<=>(const Deadline&) const = default;
  };

  // DownstreamHandler.
  void committed(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void rolledBack(transactions::OwnerId owner) override;

  // Reading (client_messages.cpp). Each bool: a message was consumed.
  std::size_t consumeMessages(ClientId id, std::string_view bytes);
  bool consumeStartup(ClientId id, Client& client, std::string_view& bytes);
  bool consumeMessage(ClientId id, Client& client, std::string_view& bytes, std::size_t consumedBefore);
  void handleQuery(ClientId id, Client& client, std::string_view text, Instant arrivedAt);
  void openTransaction(ClientId id, Client& client, std::string_view text, Instant arrivedAt);
  Transaction transactionOf(const gulltrestle::postgres::Statement& statement, std::size_t type,
                            Instant arrivedAt) const;
  std::size_t classOf(const gulltrestle::postgres::Statement& statement) const;
  void startMessageTimer(ClientId id, Client& client);
  void setDeadline(ClientId id, Client& client, Instant deadline);

  // Answering and closing
  void answerEmptyQuery(ClientId id, Client& client);
  void answerError(ClientId id, std::string_view code, std::string_view text);
  void onAnswered(ClientId id);
  void resumeReading(ClientId id);
  void closeWithError(ClientId id, std::string_view code, std::string_view text);
  void close(ClientId id, transactions::ConnectionCloseReason reason);
  void traceClose(ClientId id, std::string_view reason) const;
  bool closeIdle(std::size_t max, IdleClients which);
  void limitActiveClients();
  bool hasJustConnected(const Client& client, Duration limit) const;

  transactions::TransactionTable& transactions_;
  transactions::UpstreamTransport& transport_;
  std::map<std::string, std::size_t, std::less<>> classes_;  // rows, by name
  std::vector<ReadLevel> readLevels_;                        // a row per class
  Bounds bounds_;
  Effects& effects_;
  bool isListKnown_ = false;
  Instant stoppedAt_;  // never: it is not
  std::map<ClientId, Client> clients_;
  std::set<Deadline> deadlines_;  // of clients_
  std::size_t activeClients_ = 0;
};

}  // namespace gulltrestle::downstream::postgres
