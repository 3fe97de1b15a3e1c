// The reducer of a router on sockets: hands each event to the part that owns the state it changes (the ledger
// of txns, the clients, the connections to nodes) with the time, runs their turns in order, and keeps what is
// the whole router's: the list, the configuration, the end. It reads no socket and no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gateway/effects.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::gateway {

using transactions::ResolvedEndpoint;

// What the settings and the limits leave for connections.
struct Bounds {
  Duration idleLimit;     // nodes close connections that were idle for this long
  Duration connectLimit;  // what is not up by then does not come up; a probe waits no longer either
  std::size_t maxNodeConnections = 0;  // connections to nodes that may be open at one time
  std::size_t maxBufferedBytes = 0;    // of statements that are held
  std::size_t maxActiveClients = 0;    // connections that clients keep for txns; 0: any number
};

// A part beside the clients on the same ledger: a further front with sockets of its own, or what watches.
class Component {
 public:
  virtual ~Component() = default;
  virtual void onDiscoveryActivity() = 0;  // discovery said something, be it nothing new
  virtual void endTurn() = 0;              // ahead of the module's round
  virtual void flush() = 0;                // after it
  virtual Instant nextDue() const = 0;
  virtual void stop() = 0;         // nothing new is taken
  virtual bool empty() const = 0;  // all is answered after stop()
  virtual void reloadConfig() {}   // its configuration, as a signal asks for
};

class Gateway final {
 public:
  Gateway(const RoutingConfig& terms, const std::vector<std::string>& typeNames, std::uint64_t seed,
          Bounds bounds, Effects& effects);

  // Before the first event.
  void add(Component& part) { parts_.push_back(&part); }
  transactions::TransactionTable& transactions() { return ledger_; }

  // Events. Each tells when it was seen.
  void clientOpened(Instant now, ClientId client);
  // Returns how much was taken; the rest is offered again, with more behind it, after readClient().
  // `unreadSince`: from when on what came last had been left unread; never: it was read as it came.
  std::size_t clientReceived(Instant now, ClientId client, std::string_view bytes, Instant unreadSince = {});
  void clientHalfClosed(Instant now, ClientId client);
  void clientClosed(Instant now, ClientId client, ConnectionCloseReason how);
  void nodeConnected(Instant now, NodeConnectionId link);
  void nodeWritten(Instant now, NodeConnectionId link);
  std::size_t nodeReceived(Instant now, NodeConnectionId link, std::string_view bytes);
  void nodeConnectionClosed(Instant now, NodeConnectionId link, ConnectionCloseReason how);
  void onEndpointList(Instant now, EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list,
                      std::uint64_t version = 0);
  void onEndpointListFailed(Instant now);
  void onDiscoveryActivity(Instant now);
  // The configuration was read, at the start or anew. `kept`: keys that differ and wait for a restart.
  void onConfigLoaded(Instant now, const std::string& discovery, const std::vector<std::string>& kept);
  // It can't be used: all goes on as it was.
  void onConfigRejected(Instant now, std::string_view fault);
  void reloadConfig(Instant now);  // the parts' own configurations
  void shutDown(Instant now);

  // The end of a turn: what has come due happens, and the decision module has its round if anything came in
  // or its wake is due. Returns when the next turn is needed at the latest; never: none is.
  Instant endTurn(Instant now);

  // All is answered after shutDown().
  bool finished() const;
  // Closes the clients that have been idle longest, some at most; false if none is idle.
  bool closeIdleClients(std::size_t most = 1) { return clients_.closeIdle(most); }
  void rejectClient(Instant now, ClientId client);  // there is no room for what it sends
  bool isWaiting(ClientId client) const { return clients_.isWaiting(client); }  // for an answer

 private:
  Bounds bounds_;
  Effects& effects_;
  transactions::TransactionTable ledger_;
  upstream::postgres::ConnectionPool links_;
  downstream::postgres::ClientSessions clients_;
  std::vector<Component*> parts_;
  Instant stopAt_;
  std::string discovery_;                                      // its address
  bool stopping_ = false, stopDue_ = false, stopped_ = false;  // stopped: takes nothing new
};

}  // namespace gulltrestle::gateway
