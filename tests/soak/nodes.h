// Fake nodes and discovery of a soak, in one process with the clients. Each router has its own address of
// each node and of discovery, which identifies the router that connects.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/streams.h"
#include "protocol/postgres/statement.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"
#include "soak/books.h"

namespace gulltrestle::soak {

using fleet::readAll;
using fleet::write;

// State of a node in the endpoint list.
enum class NodeState { up, draining, removed };

class Harness;

// A fake node that answers statements and checks them against the history.
class Node {
 public:
  Node(Harness& harness, std::string id, bool isPrimary, std::size_t routers);
  Node(const Node&) = delete;

  // Faults, each until the given time. `hang`: the node delays all answers; `crash`: all its connections end,
  // new ones too.
  void hang(Instant until) { hangsUntil_ = until; }
  void crash(Instant until);
  void fail(Instant until) { errsUntil_ = until; }  // half of the executed statements answer an error
  void lag(Instant until) { lagsUntil_ = until; }   // a replica applies nothing new

  const std::string& id() const { return id_; }
  std::string endpointEntry(std::size_t router) const;  // its JSON object in the endpoint list

  NodeState state = NodeState::up;
  bool primary;
  Instant startedAt;

 private:
  event_loop::Task accept(std::size_t router, std::shared_ptr<event_loop::Stream> listener);
  event_loop::Task serve(std::size_t router, event_loop::Descriptor descriptor);
  std::string answer(std::size_t router, std::string_view text);
  Instant position() const;
  bool isTooStale(Instant now, Instant position, const TransactionClass& transactionClass,
                  const postgres::Statement& statement) const;
  bool isDown() const;

  Harness& harness_;
  std::string id_;
  std::vector<unsigned short> ports_;  // by router
  Instant hangsUntil_, downUntil_, errsUntil_, lagsUntil_;
  mutable Instant applied_;
  std::uint64_t incarnation_ = 0;  // connections of an earlier incarnation end
};

// The discovery agent of one router.
class DiscoveryAgent {
 public:
  DiscoveryAgent(Harness& harness, std::size_t router);
  void down(Instant until) { downUntil_ = until; }
  void endpointListChanged();  // open watches are notified
  unsigned short port() const { return port_; }
  // When this router was notified, at the latest, that a node drains. Instant(): the node does not drain.
  Instant drainNotifiedAt(const std::string& node) const;

 private:
  event_loop::Task accept(std::shared_ptr<event_loop::Stream> listener);
  event_loop::Task serve(event_loop::Descriptor descriptor);
  bool isDown() const;

  Harness& harness_;
  std::size_t router_;
  unsigned short port_ = 0;
  Instant downUntil_;
  std::map<std::string, Instant> drainNotifiedAt_;  // by node: when this router counts as notified
};

// The state that the clients, nodes, discovery agents and faults of a soak share.
class Harness {
 public:
  Harness(event_loop::EventLoop& loop, RequestHistory& history, const RoutingConfig& routingConfig,
          std::size_t routers, std::uint64_t seed);

  event_loop::EventLoop& loop() { return loop_; }
  RequestHistory& history() { return history_; }
  const TransactionClass& transactionClass(std::size_t classIndex) const {
    return transactionClasses_.at(classIndex);
  }
  bool sessionAgeProvided() const { return sessionAgeProvided_; }  // reads name their session's last commit
  // Whether nodes reject a read if their log position is too old for it.
  bool nodesRejectStaleReads() const { return nodesRejectStaleReads_; }
  std::size_t classCount() const { return transactionClasses_.size(); }
  std::uint64_t randomBelow(std::uint64_t limit) { return random_() % limit; }

  std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }
  std::vector<std::unique_ptr<DiscoveryAgent>>& discoveryAgents() { return discoveryAgents_; }
  std::string endpointList(std::size_t router) const;
  std::uint64_t version() const { return version_; }
  void endpointListChanged();  // the state of a node changed: publishes a new version

  // Records an execution and returns whether it has an effect: nodes drop repeats of deduplicated
  // transactions within their window.
  bool recordExecution(const std::string& id, const TransactionClass& transactionClass);

 private:
  event_loop::EventLoop& loop_;
  RequestHistory& history_;
  std::vector<TransactionClass> transactionClasses_;
  bool sessionAgeProvided_, nodesRejectStaleReads_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<DiscoveryAgent>> discoveryAgents_;
  std::uint64_t version_ = 1;
  std::map<std::string, Instant> executedAt_;
};

}  // namespace gulltrestle::soak
