// The server's connections to clients: accepts them and serves each in a separate coroutine, which passes the
// received data to the gateway.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "config/router_config.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/server/connection.h"
#include "runtime/server/resource_limits.h"

namespace gulltrestle::server {

// The clients whose connections this server has closed.
struct ClosedClients {
  std::size_t clients = 0;
  std::size_t withUnreadBytes = 0;     // they had sent bytes that were not read
  std::size_t withPartialMessage = 0;  // a part of a message had been read; they were sent an error
};

// Accepts, serves and closes client connections. One per server.
class ClientConnections {
 public:
  // Listens from now on; connections wait until start(). Throws config::ConfigError if the address can't be
  // bound or no descriptor is left for clients. The references must outlive this object.
  ClientConnections(event_loop::EventLoop& loop, gateway::Gateway& gateway, SharedBuffers& buffers,
                    const config::RouterConfig& config, const ReservedResources& reserved);

  void start() { loop_.spawn(acceptClients()); }

  // Effects of the gateway. They do nothing if the client has disconnected.
  void write(gateway::ClientId id, gateway::ByteSlices slices);
  // Delivers the received bytes that the gateway has not consumed to it again.
  void read(gateway::ClientId id);
  // Closes the connection once all data is sent.
  void close(gateway::ClientId id);
  // Returns whether bytes of the client have arrived that were not read yet.
  bool hasUnreadBytes(gateway::ClientId id);
  // Stops listening. Connections that the kernel has accepted by then are still served.
  void stopListening();

  // Returns whether stopListening() was called and no client is left.
  bool areFinished() const { return !listener_ && clients_.empty(); }
  const ClosedClients& closedClients() const { return closedClients_; }

 private:
  struct Client;
  enum class TurnResult { wait, repeat, close, closeStalled };

  event_loop::Task acceptClients();
  // `isAccepted`: if false, the client is rejected with an error, as there are too many clients.
  // `maybeWaitingSince`: the time since which the client may have been waiting, with a statement sent.
  event_loop::Task serve(gateway::ClientId id, event_loop::Descriptor descriptor, bool isAccepted,
                         Instant maybeWaitingSince);

  Client* find(gateway::ClientId id);
  bool isFull() const;
  Instant earliestArrival() const;
  void open(gateway::ClientId id, Client& client, bool isAccepted);
  TurnResult serveTurn(gateway::ClientId id, Client& client);
  std::size_t deliver(gateway::ClientId id, Client& client, std::string_view bytes);
  TurnResult redeliverReceived(gateway::ClientId id, Client& client);
  TurnResult readClient(gateway::ClientId id, Client& client);
  bool hasStalled(Client& client) const;
  bool mayBeDisconnected(const Client& client) const;
  void sendNotice(Client& client) const;
  void checkConnection(Client& client) const;
  bool mayRead(gateway::ClientId id, const Client& client);
  void recordDisconnect(gateway::ClientId id, const Client& client);
  void startLingering(gateway::ClientId id, Client& client);
  bool isLingering(Client& client) const;
  bool closeOldestLingering();

  event_loop::EventLoop& loop_;
  gateway::Gateway& gateway_;
  SharedBuffers& buffers_;
  Duration connectTimeout_;
  Duration longestDeadline_;  // of all transaction classes
  std::unique_ptr<event_loop::Stream> listener_;
  std::size_t maxClients_;
  bool isListening_ = true;
  gateway::ClientId lastClientId_ = 0;
  std::map<gateway::ClientId, Client*> clients_;  // null if the client is accepted but not served yet
  std::vector<gateway::ClientId> lingering_;      // clients that were sent the end of stream, oldest first
  ClosedClients closedClients_;
};

}  // namespace gulltrestle::server
