// The core of a router on sockets: passes each event, with its time, to the part that owns the state it
// changes (the table of transactions, the client sessions, the connection pool), runs their turns in order,
// and holds what concerns the whole router: endpoint list, configuration, shutdown. It reads no socket and no
// clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gateway/effects.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::gateway {

using transactions::ResolvedEndpoint;

// What the settings and the process's limits leave for connections.
struct Bounds {
  Duration idleLimit;                  // nodes close connections that were idle for this long
  Duration connectLimit;               // for a connection to be established; also for a health check
  std::size_t maxNodeConnections = 0;  // connections to nodes that may be open at a time
  std::size_t maxBufferedBytes = 0;    // of the statements of open transactions
  std::size_t maxActiveClients = 0;    // connections that clients keep for transactions; 0: any number
};

// A part of the process beside the PostgreSQL clients, on the same table of transactions: a further
// downstream handler with sockets of its own, or an observer.
class Component {
 public:
  virtual ~Component() = default;
  virtual void onDiscoveryActivity() = 0;  // discovery sent something, be it nothing new
  virtual void endTurn() = 0;              // ahead of the router's round
  virtual void flush() = 0;                // after it
  virtual Instant nextDue() const = 0;     // when the next turn is wanted; never: none is
  virtual void stop() = 0;                 // nothing new may be taken from now on
  virtual bool empty() const = 0;          // all is answered after stop()
  virtual void reloadConfig() {}           // its own configuration, after a signal
};

// One per process. The effects must outlive it.
class Gateway final {
 public:
  // `classNames`: of the transaction classes, in the same order.
  Gateway(const RoutingConfig& config, const std::vector<std::string>& classNames, std::uint64_t seed,
          Bounds bounds, Effects& effects);

  // Before the first event. The component must outlive the gateway's last event.
  void add(Component& component) { components_.push_back(&component); }
  transactions::TransactionTable& transactions() { return transactions_; }

  // --- Events. `now`: when each was seen.

  void clientOpened(Instant now, ClientId client);
  // Returns how many bytes were consumed; the rest is offered again, with more behind it, after readClient().
  // `unreadSince`: since when the latest bytes had been left unread; never: they were read as they came.
  std::size_t clientReceived(Instant now, ClientId client, std::string_view bytes, Instant unreadSince = {});
  void clientHalfClosed(Instant now, ClientId client);
  void clientClosed(Instant now, ClientId client, ConnectionCloseReason reason);
  void nodeConnected(Instant now, NodeConnectionId connection);
  void nodeWritten(Instant now, NodeConnectionId connection);
  // Returns how many bytes were consumed; the rest is offered again, with more behind it.
  std::size_t nodeReceived(Instant now, NodeConnectionId connection, std::string_view bytes);
  void nodeConnectionClosed(Instant now, NodeConnectionId connection, ConnectionCloseReason reason);
  void onEndpointList(Instant now, EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                      std::uint64_t version = 0);
  void onEndpointListFailed(Instant now);
  void onDiscoveryActivity(Instant now);
  // The configuration was read, at the start or for a reload. `discovery`: its address. `keysNeedingRestart`:
  // that differ, and take effect after a restart only.
  void onConfigLoaded(Instant now, const std::string& discovery,
                      const std::vector<std::string>& keysNeedingRestart);
  // It can't be used, and the former one stays in effect.
  void onConfigRejected(Instant now, std::string_view fault);
  // Has the components reload their own configurations.
  void reloadConfig(Instant now);
  // Starts the shutdown: new clients are still served for a while, then only what was taken is answered.
  void shutDown(Instant now);

  // Ends a turn: handles what is due, and runs a round of the router if one is needed. Returns when the next
  // turn is needed at the latest; never: none is.
  Instant endTurn(Instant now);

  // All is answered after shutDown().
  bool finished() const;
  // Closes the clients that have been idle longest, `max` at most; false if none is idle.
  bool closeIdleClients(std::size_t max = 1) { return clientSessions_.closeIdle(max); }
  // There is no memory for what the client sends.
  void rejectClient(Instant now, ClientId client);
  // Whether the client awaits an answer.
  bool isWaiting(ClientId client) const { return clientSessions_.isWaiting(client); }

 private:
  void stop();
  Instant nextDue(Instant transactionsDue) const;
  Instant nextShutDownStep() const;

  Bounds bounds_;
  Effects& effects_;
  transactions::TransactionTable transactions_;
  upstream::postgres::ConnectionPool connectionPool_;
  downstream::postgres::ClientSessions clientSessions_;
  std::vector<Component*> components_;
  std::string discoveryAddress_;
  // Shutting down: serving on until stopAt_. Stop due: that time was over in the last turn. Stopped: nothing
  // new is taken.
  bool isShuttingDown_ = false, isStopDue_ = false, isStopped_ = false;
  Instant stopAt_;
};

}  // namespace gulltrestle::gateway
