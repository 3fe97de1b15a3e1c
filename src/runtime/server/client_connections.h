// The server's client side: accepts connections and serves each in a coroutine of its own, which passes what
// it receives to the gateway.
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

// One per server.
class ClientConnections {
 public:
  // Listens from now on; connections wait until start(). Throws config::ConfigError where the address can't
  // be bound or no descriptor is left for clients. The references must outlive this.
  ClientConnections(event_loop::EventLoop& loop, gateway::Gateway& gateway, SharedBuffers& buffers,
                    const config::RouterConfig& config, const ReservedResources& reserved);

  void start() { loop_.spawn(acceptClients()); }

  // Effects of the gateway; without effect for a client that is gone.
  void write(gateway::ClientId id, gateway::ByteSlices slices);
  // Offers the gateway what it has not consumed yet.
  void read(gateway::ClientId id);
  // Closes the connection once all is sent.
  void close(gateway::ClientId id);
  // What the kernel has accepted by then is still served.
  void stopListening();

  // No client is left after stopListening().
  bool areFinished() const { return !listener_ && clients_.empty(); }

 private:
  struct Client;
  enum class TurnResult { wait, repeat, close, closeStalled };

  event_loop::Task acceptClients();
  // `isAccepted`: else it is told that there are too many clients. `maybeWaitingSince`: it may have been
  // waiting, with a statement, since then.
  event_loop::Task serve(gateway::ClientId id, event_loop::Descriptor descriptor, bool isAccepted,
                         Instant maybeWaitingSince);

  Client* find(gateway::ClientId id);
  bool isFull() const;
  Instant earliestArrival() const;
  void open(gateway::ClientId id, Client& client, bool isAccepted);
  TurnResult serveTurn(gateway::ClientId id, Client& client);
  std::size_t deliver(gateway::ClientId id, Client& client, std::string_view bytes);
  TurnResult offerReceived(gateway::ClientId id, Client& client);
  TurnResult readClient(gateway::ClientId id, Client& client);
  bool hasStalled(Client& client) const;
  bool mayBeGone(const Client& client) const;
  void sendNotice(Client& client) const;
  bool mayRead(gateway::ClientId id, const Client& client);
  Instant startLingering(gateway::ClientId id, Client& client);
  bool isLingering(const Client& client, Instant until) const;
  bool hurryOldestClosing();

  event_loop::EventLoop& loop_;
  gateway::Gateway& gateway_;
  SharedBuffers& buffers_;
  Duration connectLimit_;
  Duration longestDeadline_;  // of all transaction classes
  std::unique_ptr<event_loop::Stream> listener_;
  std::size_t maxClients_;
  bool isListening_ = true;
  gateway::ClientId lastClient_ = 0;
  std::map<gateway::ClientId, Client*> clients_;  // null: accepted, and not served yet
  std::vector<gateway::ClientId> closing_;        // that were sent the end, oldest first
};

}  // namespace gulltrestle::server
