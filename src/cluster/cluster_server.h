// The cluster component of a router, on sockets and a disk: a stream to each voter, which is reopened
// whenever it ends; a listener and a store where this router is a voter. For a private network: whoever can
// reach the listener and knows the member list is accepted.
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

// One for each process that has a cluster configuration. It carries out the claim dispatcher's effects.
class ClusterServer final : public gateway::Component, private Effects, private grpc_server::CallHandler {
 public:
  // `readConfig`: reads the configuration anew; it may throw config::ConfigError. The constructor throws
  // config::ConfigError where the store or the address to listen on can't be used.
  ClusterServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                const RoutingConfig& routing, const ClusterConfig& config, const std::string& name,
                std::function<ClusterConfig()> readConfig);
  ~ClusterServer() override;

  // File descriptors that it may need.
  static std::size_t descriptors(const ClusterConfig& config) {
    const std::size_t asVoter = config.storeFolder.empty() ? 0 : config.maxConnections + kStoreDescriptors;
    return config.voters.size() + asVoter;
  }

  void onDiscoveryActivity() override {}
  void endTurn() override;
  void flush() override;
  Instant nextDue() const override;
  // Takes over the members and the forced stage alone. A configuration that can't be used is logged with its
  // key.
  void reloadConfig() override;
  // A voter goes on for the other routers until this router's own transactions are answered.
  void stop() override {}
  bool empty() const override { return true; }

 private:
  // The store's files, the listening socket, and a few to spare.
  static constexpr std::size_t kStoreDescriptors = 8;

  // While it exists, messages to the voter go to that stream.
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
  void opened(grpc_server::CallKey) override {}
  void message(grpc_server::CallKey call, std::string_view bytes) override {
    ++streamStatistics_.messagesReceived;
    dispatcher_->onMessage(call, bytes);
  }
  void halfClosed(grpc_server::CallKey call) override { listener_->finish(call, grpc::Status::ok, ""); }
  void ended(grpc_server::CallKey call) override { dispatcher_->onStreamEnded(call); }

  std::optional<idempotency::StoredState> openStore(const std::string& name, std::uint64_t draw);
  void startStreams();
  // Keeps a stream to the voter open for as long as the server lives.
  event_loop::Task maintainStream(idempotency::VoterIndex voter);
  // Receives and sends what can be at once. False: the stream is to be closed. A reply resets the backoff.
  bool exchange(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff);
  bool receiveReplies(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff);
  // Hands on the store's completed writes, and logs when it begins or ceases to fail.
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
  bool isStoreFailing_ = false;  // as it was logged last
};

}  // namespace gulltrestle::cluster
