// Carries out on sockets what the reducer asks for, and hands it what happens there. Each connection is one
// coroutine, which owns its descriptor and what is kept of its bytes.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>

#include "config/router_config.h"
#include "gateway/gateway.h"
#include "protocol/json/json.h"
#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::server {

// What other parts of the same process take of its limits, and whether one of them reduces service by levels.
struct ReservedResources {
  std::size_t descriptors = 0, openTxns = 0;
  bool reducedByLevel = false;
};

class Server final : private gateway::Effects {
 public:
  // Throws where the address to listen on can't be had.
  explicit Server(config::RouterConfig start, ReservedResources beside = {});
  ~Server() override;

  // For a front that is added before run(), and outlives the server.
  void add(gateway::Component& part) { gateway_.add(part); }
  event_loop::EventLoop& loop() { return loop_; }
  transactions::TransactionTable& ledger() { return gateway_.transactions(); }

  // Serves until it is told to end and all is answered.
  void run();

 private:
  struct Connection;
  template <typename Id>
  class ConnectionEntry;  // a connection's entry in a table, for as long as its coroutine runs

  // Effects.
  void connect(gateway::NodeConnectionId link, const std::string& address) override;
  bool writeNode(gateway::NodeConnectionId link, gateway::ByteSlices parts) override;
  void closeNode(gateway::NodeConnectionId link) override;
  void writeClient(gateway::ClientId client, gateway::ByteSlices parts) override;
  void readClient(gateway::ClientId client) override;
  void closeClient(gateway::ClientId client) override;
  void stopListening() override;
  void requestEndpointList() override;
  void followDiscovery(const std::string& address) override;
  void log(std::string line) override;

  event_loop::Task acceptClients();
  // `knockedSince`: it may have been waiting, with a statement, since then.
  event_loop::Task serveClient(gateway::ClientId id, event_loop::Descriptor descriptor, bool welcome,
                               Instant knockedSince);
  Instant arrivedSince() const;
  event_loop::Task serveNodeConnection(gateway::NodeConnectionId id, std::string address);
  event_loop::Task followEndpointList();
  event_loop::Task watchSignals();

  void send(Connection& connection, gateway::ByteSlices parts);
  void flush(Connection& connection);
  template <typename Take>
  void read(Connection& connection, Take take);
  void account(Connection& connection);
  bool mayKeep(gateway::ClientId id, Connection& client);
  bool mayBeGone(const Connection& client) const;
  bool hurried();
  void reloadConfig();
  void takeList(json::Value value, bool isChange);
  Instant endTurn(Instant now);

  config::RouterConfig start_;
  event_loop::EventLoop loop_;
  Instant begunAt_ = loop_.now();
  std::unique_ptr<event_loop::Stream> signals_, listener_;
  std::size_t mostClients_;
  std::size_t mostBytes_, bytes_ = 0;  // that connections may keep, and do
  Duration longestDeadline_;
  gateway::Gateway gateway_;
  std::map<gateway::ClientId, Connection*> clients_;
  std::map<gateway::NodeConnectionId, Connection*> links_;
  std::vector<gateway::ClientId> closing_;  // that have been told the end, those that were first in front
  gateway::ClientId lastClient_ = 0;
  config::Address discovery_;
  event_loop::Stream* toDiscovery_ = nullptr;  // the connection to it, while there is one
  std::uint64_t listVersion_ = 0;
  bool accepting_ = true;
  std::array<char, 64 * 1024> buffer_;  // what was just read, of any connection
};

}  // namespace gulltrestle::server
