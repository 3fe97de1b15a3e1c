// The cluster component of a router, on sockets and a disk: a stream to each voter, which is reopened
// whenever it ends, and on a voter also a listener and a store. Peers are not authenticated: every client
// that can reach the listener and knows the member list is accepted, so the listener must be on a private
// network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "cluster/claim_dispatcher.h"
#include "cluster/cluster_config.h"
#include "cluster/peer_stream.h"
#include "cluster/request_directory.h"
#include "cluster/status_document.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/grpc_server/grpc_server.h"
#include "store/store.h"

namespace gulltrestle::cluster {

// Each process with a cluster configuration has one. It implements the claim dispatcher's effects.
class ClusterServer final : public gateway::Component, private Effects, private grpc_server::CallHandler {
 public:
  // `readConfig` reads the configuration again for a reload; it may throw config::ConfigError. The
  // constructor throws config::ConfigError if the store or the listen address can't be used.
  ClusterServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                const RoutingConfig& routing, const ClusterConfig& config, const std::string& name,
                std::function<ClusterConfig()> readConfig);
  ~ClusterServer() override;

  // Maximum number of file descriptors that a server with this configuration uses.
  static std::size_t descriptors(const ClusterConfig& config) {
    const std::size_t asVoter = config.storeFolder.empty() ? 0 : config.maxConnections + kStoreDescriptors;
    return config.voters.size() + asVoter;
  }

  void onDiscoveryActivity() override {}
  void endTurn() override;
  void flush() override;
  Instant nextDue() const override;
  // Applies the members and the forced stage; all other values need a restart. An invalid configuration is
  // logged with the key at fault and is not applied.
  void reloadConfig() override;
  // Does nothing: a voter continues to serve the other routers until this router's own transactions have
  // finished.
  void stop() override {}
  bool isDrained() const override { return true; }

 private:
  // Descriptors for the store's files and the listening socket, with a small reserve.
  static constexpr std::size_t kStoreDescriptors = 8;

  // Routes messages for a voter to a stream for as long as the registration exists.
  class StreamRegistration;

  // --- Effects
  void sendToVoter(idempotency::VoterIndex voter, const PeerMessage& message) override;
  void reply(PeerStreamId stream, const PeerReply& reply) override;
  void rejectStream(PeerStreamId stream, std::string_view reason) override;
  StoreWriteId write(std::vector<idempotency::DiskChange> changes) override {
    return store_->write(std::move(changes));
  }
  void log(std::string_view event, const std::string& fields) override;
  void terminate() override;
  void announce(std::uint64_t version, const std::set<std::string>& excludedNodes) override;

  // --- grpc_server::CallHandler
  void advanceTo(Instant now) override { transactions_.advanceTo(now); }
  void opened(grpc_server::CallKey, const grpc_server::ConnectionLoad&) override {}
  void message(grpc_server::CallKey call, std::string_view bytes) override {
    ++streamStatistics_.messagesReceived;
    dispatcher_->onMessage(call, bytes);
  }
  void halfClosed(grpc_server::CallKey call) override { listener_->finish(call, grpc::Status::ok, ""); }
  void ended(grpc_server::CallKey call) override { dispatcher_->onStreamEnded(call); }

  // Returns the stored state; none: this router is not a voter.
  std::optional<idempotency::StoredState> openStore(const std::string& name, std::uint64_t draw);
  void startStreams();
  // Keeps a stream to the voter open until the server is destroyed.
  event_loop::Task maintainStream(idempotency::VoterIndex voter);
  // Receives and sends as much as possible without blocking. Returns false if the stream has to be closed. A
  // reply resets the backoff.
  bool exchange(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff);
  bool receiveReplies(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff);
  // Passes completed writes of the store to the dispatcher, and logs when writes start to fail and when they
  // succeed again.
  event_loop::Task watchStore();
  void logStoreHealth();
  void logCounts(Instant now);
  void writeStatus(Instant now);
  void readRequests(Instant now);

  event_loop::EventLoop& loop_;
  transactions::TransactionTable& transactions_;
  ClusterConfig config_;
  std::unique_ptr<store::Store> store_;
  std::unique_ptr<ClaimDispatcher> dispatcher_;
  std::unique_ptr<grpc_server::GrpcServer> listener_;
  std::optional<RequestDirectory> requests_;
  std::map<idempotency::VoterIndex, PeerStream*> openStreams_;
  std::mt19937_64 random_;
  std::function<ClusterConfig()> readConfig_;
  Instant countsLoggedAt_, statusWrittenAt_, requestsReadAt_;
  StreamStatistics streamStatistics_;
  bool isStatusFailing_ = false;
  std::uint64_t loggedClaims_ = 0;
  bool isStoreFailing_ = false;  // the last logged state
};

}  // namespace gulltrestle::cluster
