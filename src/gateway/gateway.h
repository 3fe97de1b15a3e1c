// The core of a router that runs on sockets. Dispatches each event, with its time, to the component that owns
// the affected state (transaction table, client sessions, connection pool), runs their turns in order, and
// handles the concerns of the whole router: endpoint list, configuration, shutdown. No socket I/O, no clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/effects.h"
#include "gateway/shutdown_schedule.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::gateway {

using transactions::ResolvedEndpoint;

// Limits on connections, derived from the settings and the process's limits.
struct GatewayLimits {
  Duration idleTimeout;                // nodes close connections that are idle for this long
  Duration connectTimeout;             // time limit for establishing a connection, and for a health check
  std::size_t maxNodeConnections = 0;  // connections to nodes that may be open at the same time
  std::size_t maxBufferedBytes = 0;    // total size of the statements of open transactions
  std::size_t maxActiveClients = 0;    // connections that clients keep for transactions; 0: unlimited
};

// A part of the process that shares the transaction table with the PostgreSQL clients: a further downstream
// handler with sockets of its own, or an observer.
class Component {
 public:
  virtual ~Component() = default;
  virtual void onDiscoveryActivity() = 0;  // discovery sent something, even if nothing new
  virtual void endTurn() = 0;              // called before the router's round
  virtual void flush() = 0;                // called after the router's round
  virtual Instant nextDue() const = 0;     // when the next turn is needed; Instant(): none
  virtual void stop() = 0;                 // nothing new may be accepted from now on
  virtual bool isDrained() const = 0;      // after stop(): whether everything is answered
  // The process may soon be killed: whatever is still open is answered and closed now. Called in each turn
  // from then on, after the router's round.
  virtual void closeRemaining() {}
  virtual void reloadConfig() {}  // reloads its own configuration, after a signal
};

// One per process. `effects` must outlive it.
class Gateway final {
 public:
  // `classNames`: the names of the transaction classes, in the same order.
  Gateway(const RoutingConfig& config, const std::vector<std::string>& classNames, std::uint64_t seed,
          GatewayLimits limits, Effects& effects);

  // Must be called before the first event. The component must outlive the gateway's last event.
  void add(Component& component) { components_.push_back(&component); }
  transactions::TransactionTable& transactions() { return transactions_; }

  // --- Events. `now`: when the event was observed.

  void clientOpened(Instant now, ClientId client);
  // Returns how many bytes were consumed; the rest is passed again, followed by newer bytes, after
  // readClient(). `unreadSince`: since when the latest bytes had been left unread; Instant() if they were
  // read on arrival.
  std::size_t clientReceived(Instant now, ClientId client, std::string_view bytes, Instant unreadSince = {});
  void clientHalfClosed(Instant now, ClientId client);
  void clientClosed(Instant now, ClientId client, ConnectionCloseReason reason);
  void nodeConnected(Instant now, NodeConnectionId connection);
  void nodeWritten(Instant now, NodeConnectionId connection);
  // Returns how many bytes were consumed; the rest is passed again, followed by newer bytes.
  std::size_t nodeReceived(Instant now, NodeConnectionId connection, std::string_view bytes);
  void nodeConnectionClosed(Instant now, NodeConnectionId connection, ConnectionCloseReason reason);
  void onEndpointList(Instant now, EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                      std::uint64_t version = 0);
  void onEndpointListFailed(Instant now);
  void onDiscoveryActivity(Instant now);
  // The configuration was read, at the start or for a reload. `discovery`: the address of discovery.
  // `keysNeedingRestart`: the keys whose values have changed and take effect only after a restart.
  void onConfigLoaded(Instant now, const std::string& discovery,
                      const std::vector<std::string>& keysNeedingRestart);
  // The configuration can't be used; the previous one stays in effect.
  void onConfigRejected(Instant now, std::string_view fault);
  // Makes the components reload their own configurations.
  void reloadConfig(Instant now);
  // Starts the graceful shutdown: new clients are still served for a grace period, then only accepted
  // transactions are answered, all of them before the process may be killed. `requestedSince`: the earliest
  // time at which the request may have arrived.
  void shutDown(Instant now, Instant requestedSince);

  // Ends a turn: handles everything that is due, and runs a round of the router if one is needed. Returns
  // when the next turn is needed at the latest; Instant() if none is.
  Instant endTurn(Instant now);

  // Returns the time until which a closed connection may be kept, at most `until`, for a client that has not
  // read everything: connections don't outlast the process.
  Instant lingerLimit(Instant until) const;
  // Returns whether everything is answered after shutDown().
  bool isFinished() const;
  // Closes up to `max` of the clients that have been idle longest. Returns false if none is idle.
  bool closeIdleClients(std::size_t max = 1) { return clientSessions_.closeIdle(max); }
  // Rejects the client because there is no memory for the data that it sends.
  void rejectClient(Instant now, ClientId client);
  // Returns whether the client awaits an answer.
  bool isWaiting(ClientId client) const { return clientSessions_.isWaiting(client); }

 private:
  void stop();
  bool isAnswerTimeOver() const { return shutdown_ && transactions_.now() >= shutdown_->answerBy; }
  Instant nextDue() const;
  Instant nextShutDownStep() const;

  RoutingConfig config_;
  GatewayLimits limits_;
  Effects& effects_;
  transactions::TransactionTable transactions_;
  upstream::postgres::ConnectionPool connectionPool_;
  downstream::postgres::ClientSessions clientSessions_;
  std::vector<Component*> components_;
  std::string discoveryAddress_;
  std::optional<ShutdownSchedule> shutdown_;  // set once the shutdown was requested
  // Stop due: stopAt had passed in the last turn. Stopped: nothing new is accepted.
  bool isStopDue_ = false, isStopped_ = false;
};

}  // namespace gulltrestle::gateway
