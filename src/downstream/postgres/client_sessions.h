// Sessions of clients that use the PostgreSQL protocol: their startup and messages, the transactions that
// they request and the answers that they receive. Reads no socket and no clock.
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

// Error text for requests that come too late.
constexpr std::string_view kRejectedAtShutDown = "refused: this router ends";

// Identifies a client's connection. Ids are never reused.
using ClientId = std::uint64_t;

// Actions that the sessions request from the owner of the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  // The slices are valid only during the call.
  virtual void writeClient(ClientId client, transactions::ByteSlices slices) = 0;
  // Passes the unconsumed bytes and all that follow to a later call of onReceived().
  virtual void readClient(ClientId client) = 0;
  // Closes the connection once all written bytes are sent.
  virtual void closeClient(ClientId client) = 0;
  // Returns whether bytes of the client have arrived that were not read yet.
  virtual bool hasUnreadBytes(ClientId client) = 0;
};

// Limits for clients, derived from the settings and the process's resource limits.
struct ClientLimits {
  Duration connectTimeout;           // time limit for establishing a connection
  std::size_t maxActiveClients = 0;  // connections that clients keep for transactions; 0: unlimited
};

// Manages the sessions of all PostgreSQL clients. One instance per gateway.
class ClientSessions final : private transactions::DownstreamHandler {
 public:
  // `transport`: carries the transactions to nodes. `classNames`: names of the transaction classes, in the
  // order of `config`. The references must outlive this.
  ClientSessions(transactions::TransactionTable& transactions, transactions::UpstreamTransport& transport,
                 const RoutingConfig& config, const std::vector<std::string>& classNames, ClientLimits limits,
                 Effects& effects);

  // --- Events. TransactionTable::advanceTo() must be called with the time of the event first.

  void onOpened(ClientId id);
  // Returns the number of consumed bytes. After readClient() the rest is passed again, followed by newer
  // bytes. `unreadSince`: since when the latest bytes had been left unread; never: they were read on arrival.
  std::size_t onReceived(ClientId id, std::string_view bytes, Instant unreadSince = {});
  // The client sends no more data.
  void onHalfClosed(ClientId id);
  void onClosed(ClientId id);
  // Sends an error to a client whose data exceeds the memory limit, and closes it.
  void reject(ClientId id);
  // The first endpoint list was received: answers the empty queries that wait for it.
  void onEndpointListKnown();

  // Closes the clients whose message deadline has expired.
  void endTurn();
  // Returns when endTurn() has to be called next; never: no timer is pending.
  Instant nextDue() const { return deadlines_.empty() ? Instant() : deadlines_.begin()->at; }

  // Rejects further statements of clients that had a transaction, and empty queries that wait for the first
  // endpoint list. A client that has just connected is served once.
  void stop();
  // Closes the clients that await no answer. While there is time, clients that have sent a part of a message,
  // or have just connected, keep their connections: what they are sending is answered. Must be called in each
  // turn after stop().
  enum class TimeToAnswer { left, over };
  void closeAtShutDown(TimeToAnswer time);
  // Closes the clients that have been idle longest, at most `max`. Returns false if none is idle.
  bool closeIdle(std::size_t max) { return closeIdle(max, IdleClients::all); }

  bool empty() const { return clients_.empty(); }
  std::size_t count() const { return clients_.size(); }
  // Returns whether the client awaits an answer.
  bool isWaiting(ClientId id) const;

 private:
  // skippingToSync: an exchange of the extended protocol was rejected, and messages are skipped up to its
  // Sync.
  enum class Stage { startup, ready, skippingToSync };
  enum class IdleClients { all, active };
  struct Client {
    Stage stage = Stage::startup;
    TxnId txn = 0;                    // transaction whose answer the client awaits; 0: none
    bool awaitsEndpointList = false;  // it sent an empty query before the first list
    bool hasHalfClosed = false;       // and a notice was sent
    bool isActive = false;            // it has had a transaction
    bool hasSentMessage = false;      // after its startup
    bool hasUnreadMessages = false;   // bytes that were sent meanwhile are not read yet
    ArrivalTimes arrivals;            // of unconsumed bytes
    Instant idleSince;
    Instant deadline;  // of the startup or of a partial message; never: nothing is awaited

    bool isWaiting() const { return txn != 0 || awaitsEndpointList; }
    bool hasPartialMessage() const { return !isWaiting() && !arrivals.empty(); }
    // Something of a request was read that has no answer yet.
    bool hasUnhandledBytes() const { return hasUnreadMessages || hasPartialMessage(); }
  };
  struct Deadline {
    Instant at;
    ClientId id = 0;
    auto operator<=>(const Deadline&) const = default;
  };

  // DownstreamHandler
  void onTransactionCommitted(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void onTransactionRejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void onTransactionRolledBack(transactions::OwnerId owner) override;

  // Reading (client_messages.cpp). A bool result tells whether a message was consumed.
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
  void answerWaitingEmptyQueries();
  void answerError(ClientId id, std::string_view code, std::string_view text);
  void onAnswered(ClientId id);
  void resumeReading(ClientId id);
  void closeWithError(ClientId id, std::string_view code, std::string_view text);
  void close(ClientId id, transactions::ConnectionCloseReason reason);
  void traceClose(ClientId id, std::string_view reason) const;
  bool closeIdle(std::size_t max, IdleClients which);
  void limitActiveClients();
  bool isStopped() const { return stoppedAt_ != Instant(); }
  bool hasJustConnected(const Client& client, Duration limit) const;
  bool mayBeSending(const Client& client) const;

  transactions::TransactionTable& transactions_;
  transactions::UpstreamTransport& transport_;
  std::map<std::string, std::size_t, std::less<>> classes_;  // indexes, by name
  std::vector<ReadLevel> readLevels_;                        // by index of the class
  ClientLimits limits_;
  Effects& effects_;
  bool isEndpointListKnown_ = false;
  Instant stoppedAt_;  // never: not stopped
  std::map<ClientId, Client> clients_;
  std::set<Deadline> deadlines_;  // deadlines of clients_
  std::size_t activeClients_ = 0;
};

}  // namespace gulltrestle::downstream::postgres
