// Kind routers settle among themselves, on sockets and a disk: a stream to each keeper, kept up; a listener
// and a store where this router is a keeper. For a private network: whoever can reach the listener and knows
// the list may speak.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "cluster/claim_dispatcher.h"
#include "cluster/cluster_config.h"
#include "cluster/request_directory.h"
#include "cluster/status_document.h"
#include "gateway/gateway.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/grpc_server/grpc_server.h"
#include "store/store.h"

namespace gulltrestle::cluster {

class ClusterServer final : public gateway::Component, private Effects, private grpc_server::CallHandler {
 public:
  // Throws config::BadKey where the store or the address to listen on can't be had.
  // `read`: reads the configuration anew; it may throw config::BadKey.
  ClusterServer(event_loop::EventLoop& loop, transactions::TransactionTable& ledger,
                const RoutingConfig& terms, const ClusterConfig& setup, const std::string& name,
                std::function<ClusterConfig()> read);
  ~ClusterServer() override;

  // Descriptors that it may take.
  static std::size_t descriptors(const ClusterConfig& setup) {
    return setup.voters.size() + (setup.storeFolder.empty() ? 0 : setup.maxConnections + 8);
  }

  void onDiscoveryActivity() override {}
  void endTurn() override;
  void flush() override;
  Instant nextDue() const override;
  // Only what an operator forces is taken over. Kind can't be used is logged with its key.
  void reloadConfig() override;
  // Keepers go on for the others' sake until this router's own txns are answered.
  void stop() override {}
  bool empty() const override { return true; }

 private:
  struct PeerStream;  // a stream to a keeper

  void sendToVoter(idempotency::VoterIndex keeper, const PeerMessage& word) override;
  void reply(StreamKey stream, const PeerReply& reply) override;
  void rejectStream(StreamKey stream, std::string_view why) override;
  Ticket write(std::vector<idempotency::VotingMember::DiskChange> changes) override {
    return store_->write(std::move(changes));
  }
  void log(std::string_view event, const std::string& fields) override;
  void terminate() override;
  void announce(std::uint64_t version, const std::set<std::string>& out) override;

  void seen(Instant now) override { ledger_.advanceTo(now); }
  void opened(grpc_server::CallKey) override {}
  void message(grpc_server::CallKey call, std::string_view bytes) override {
    ++streamStatistics_.messagesReceived;
    desk_->onMessage(call, bytes);
  }
  void halfClosed(grpc_server::CallKey call) override { listener_->finish(call, grpc::Status::ok, ""); }
  void ended(grpc_server::CallKey call) override { desk_->onStreamEnded(call); }

  event_loop::Task talk(idempotency::VoterIndex keeper);
  event_loop::Task watchDisk();
  void logCounts(Instant now);
  void writeStatus(Instant now);
  void readRequests(Instant now);

  event_loop::EventLoop& loop_;
  transactions::TransactionTable& ledger_;
  ClusterConfig setup_;
  std::unique_ptr<store::Store> store_;
  std::unique_ptr<ClaimDispatcher> desk_;
  std::unique_ptr<grpc_server::GrpcServer> listener_;
  std::optional<RequestDirectory> requests_;
  std::map<idempotency::VoterIndex, PeerStream*> talks_;  // those that are up
  std::mt19937_64 chance_;
  std::function<ClusterConfig()> read_;
  Instant saidAt_, statusAt_, requestsAt_;
  StreamStatistics streamStatistics_;
  bool statusFails_ = false;
  std::uint64_t saidAsked_ = 0;
  bool faulty_ = false;  // the disk, as it was last logged
};

}  // namespace gulltrestle::cluster
