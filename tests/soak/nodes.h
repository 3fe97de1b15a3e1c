// Stand-in nodes and discovery of a soak, in one process with the clients. Each router reaches each node and
// its own discovery at addresses of its own, so that whoever comes is known.
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

enum class NodeState { up, draining, removed };

class World;

class Node {
 public:
  Node(World& world, std::string id, bool isPrimary, std::size_t routers);
  Node(const Node&) = delete;

  // Faults. `hang`: takes nothing and answers nothing until then; `crash`: all its connections end, new ones
  // too.
  void hang(Instant until) { hangsUntil_ = until; }
  void crash(Instant until);
  void fail(Instant until) { errsUntil_ = until; }  // half of what runs answers an error
  void lag(Instant until) { lagsUntil_ = until; }   // a replica applies nothing new

  const std::string& id() const { return id_; }
  std::string entry(std::size_t router) const;  // as discovery words it

  NodeState state = NodeState::up;
  bool primary;
  Instant startedAt;

 private:
  event_loop::Task accept(std::size_t router, std::shared_ptr<event_loop::Stream> listener);
  event_loop::Task serve(std::size_t router, event_loop::Descriptor descriptor);
  std::string answer(std::size_t router, std::string_view text);
  Instant position() const;
  bool isTooOld(Instant now, Instant position, const TransactionClass& type,
                const postgres::Statement& statement) const;
  bool isDown() const;

  World& world_;
  std::string id_;
  std::vector<unsigned short> ports_;  // a row a router
  Instant hangsUntil_, downUntil_, errsUntil_, lagsUntil_;
  mutable Instant applied_;
  std::uint64_t life_ = 0;  // connections of an earlier one end
};

// Discovery's agent of one router.
class Agent {
 public:
  Agent(World& world, std::size_t router);
  void down(Instant until) { downUntil_ = until; }
  void changed();  // the list: watches are told
  unsigned short port() const { return port_; }
  // When this router was told that a node drains, at the latest; never: it does not.
  Instant drainedSince(const std::string& node) const;

 private:
  event_loop::Task accept(std::shared_ptr<event_loop::Stream> listener);
  event_loop::Task serve(event_loop::Descriptor descriptor);
  bool isDown() const;

  World& world_;
  std::size_t router_;
  unsigned short port_ = 0;
  Instant downUntil_;
  std::map<std::string, Instant> drained_;  // as this router counts as told
};

class World {
 public:
  World(event_loop::EventLoop& loop, Books& books, const RoutingConfig& terms, std::size_t routers,
        std::uint64_t seed);

  event_loop::EventLoop& loop() { return loop_; }
  Books& books() { return books_; }
  const TransactionClass& type(std::size_t row) const { return types_.at(row); }
  bool agesCarried() const { return agesCarried_; }  // reads name their session's last commit
  bool nodesGuard() const { return nodesGuard_; }    // they reject a read that they are too far behind for
  std::size_t types() const { return types_.size(); }
  std::uint64_t below(std::uint64_t most) { return chance_() % most; }

  std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }
  std::vector<std::unique_ptr<Agent>>& agents() { return agents_; }
  std::string list(std::size_t router) const;
  std::uint64_t version() const { return version_; }
  void changed();  // some node's state: a new version

  // Whether an effect of this txn is new; nodes drop repeats of referenced types within their window.
  bool runs(const std::string& id, const TransactionClass& type);

 private:
  event_loop::EventLoop& loop_;
  Books& books_;
  std::vector<TransactionClass> types_;
  bool agesCarried_, nodesGuard_;
  std::mt19937_64 chance_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::uint64_t version_ = 1;
  std::map<std::string, Instant> ran_;
};

}  // namespace gulltrestle::soak
