// Where words between routers are handed on: from streams to this router's keeper and back once its disk has
// them, from the ledger to its claimant and back. A reducer: events in, effects out; decides nothing.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_config.h"
#include "cluster/maintenance_service.h"
#include "cluster/messages.h"
#include "idempotency/claim_coordinator.h"
#include "idempotency/voting_member.h"
#include "transactions/execution_gate.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

using StreamKey = std::uint64_t;  // of a router's stream to this keeper; 0: this router itself
using Ticket = std::uint64_t;

class Effects {
 public:
  virtual ~Effects() = default;
  virtual void sendToVoter(idempotency::VoterIndex keeper, const PeerMessage& word) = 0;
  virtual void reply(StreamKey stream, const PeerReply& reply) = 0;
  // Ends a stream of somebody who does not belong, or says what makes no sense.
  virtual void rejectStream(StreamKey stream, std::string_view why) = 0;
  // To be made durable; wrote() tells.
  virtual Ticket write(std::vector<idempotency::VotingMember::DiskChange> changes) = 0;
  virtual void log(std::string_view event, const std::string& fields) = 0;
  // Kind is settled of work on machines says so: this router stands on one that leaves.
  virtual void terminate() = 0;
  // For whoever feeds discovery: these nodes are out, by the plan of that version.
  virtual void announce(std::uint64_t version, const std::set<std::string>& out) = 0;
};

class ClaimDispatcher final : public transactions::ExecutionGate {
 public:
  // `kept`: where this router is a keeper. `draw`: of this start, from all 64-bit numbers.
  ClaimDispatcher(transactions::TransactionTable& ledger, const RoutingConfig& terms,
                  const ClusterConfig& setup, const std::string& name, std::uint64_t draw,
                  std::optional<idempotency::StoredState> kept, Effects& effects);

  // --- Streams of other routers to this keeper
  void onMessage(StreamKey stream, std::string_view bytes);
  void onStreamEnded(StreamKey stream);
  // --- This router's streams to other keepers
  PeerMessage greeting() const;
  void onReply(idempotency::VoterIndex keeper, std::string_view bytes);  // throws Malformed
  void onVoterLost(idempotency::VoterIndex keeper);
  // --- The disk
  void onWritten(Ticket ticket, bool durable);

  // --- The ledger. Kind is decided is told to it at the end of a turn.
  void requestExecution(TxnId txn, std::string_view id, Duration patience) override;
  void onCommitted(TxnId txn, const transactions::ResultValue& value) override;
  void onTransactionEnded(TxnId txn, transactions::ExecutionOutcome fate) override;
  void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                         std::vector<transactions::ResolvedEndpoint>& list) override;

  void endTurn();
  // Kind the ledger has told since.
  void flushDecisions() { settle(); }
  Instant nextDue() const { return due_; }
  // Its configuration was read anew: who belongs, and what an operator forces.
  void reloadConfig(const ClusterConfig& setup);

  // --- Work on machines
  MaintenanceService& maintenance() { return worker_; }
  const MaintenanceService& worker() const { return worker_; }

  const idempotency::ClaimCoordinator& coordinator() const { return claimant_; }
  RecoveryService& recovery() { return service_; }
  const RecoveryService& service() const { return service_; }
  const MembershipService& membership() const { return membership_; }
  const idempotency::VotingMember* votingMember() const { return keeper_ ? &*keeper_ : nullptr; }
  std::optional<idempotency::VoterIndex> ownIndex() const { return own_; }

 private:
  struct Peer {
    std::string router;
    std::uint64_t draw = 0;
  };
  struct PendingWrite {  // for the disk
    enum class Kind { heard, vote, hello, enter, work } what = Kind::vote;
    StreamKey stream = 0;
    std::uint64_t number = 0;
    std::string id;  // enter: of the router
    idempotency::ClaimToken token;
    idempotency::VoterIncarnation knew;
  };
  void hear(StreamKey stream, const Peer& speaker, const PeerMessage& word);
  void greet(StreamKey stream, const Greeting& hello);
  void give(StreamKey stream, std::uint64_t number, const idempotency::Vote& vote);
  void enter(StreamKey stream, const Peer& speaker, std::uint64_t number);
  void tellEntered(StreamKey stream, const std::string& router);
  void entered(idempotency::VoterIndex keeper, const membership::Incarnation& newest);
  void workOn(StreamKey stream, const PeerMessage& word);
  void workSaid(StreamKey stream, const maintenance::Acceptor::AcceptorReply& answer);
  void workTurn(Instant now);
  void forgetWork();
  void toDisk(std::optional<PendingWrite> waiting = {});
  void settle();
  // News of nodes: those that are new here are kept, and their drains bind.
  void learn(const DrainUpdates& news, std::string_view from);
  void keep(const DrainUpdates& news);
  // News of primaries: kept where that was not known, and told on to whom it did not come from.
  void learn(const PrimaryUpdates& news);
  void keep(const PrimaryUpdates& news);
  void force();
  void belong(std::set<std::string> routers);
  void logState();
  void logOnce(std::string_view event, const std::string& fields);

  transactions::TransactionTable& ledger_;
  ClusterConfig setup_;
  std::string name_;
  std::uint64_t draw_;
  Effects& effects_;
  idempotency::ClaimCoordinator claimant_;
  std::optional<idempotency::VotingMember> keeper_;
  recovery::DrainRegistry leaving_;
  RecoveryService service_;
  std::optional<idempotency::VoterIndex> own_;  // this router's row among the keepers
  MembershipService membership_;
  MaintenanceService worker_;
  std::map<StreamKey, Peer> speakers_;  // those that have greeted
  std::map<Ticket, PendingWrite> waiting_;
  std::map<idempotency::VoterIndex, std::string> heard_;
  Instant due_, strangerAt_;  // when one who does not belong was last logged
  std::optional<idempotency::VotingMember::State> logged_;
};

}  // namespace gulltrestle::cluster
