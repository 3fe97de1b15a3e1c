// Delivers the messages between routers: from other routers' streams to this router's voting member, and its
// replies back once they are durable; from the transaction table to the claim coordinator, and its decisions
// back; likewise for membership, recovery and maintenance. A reducer: events in, effects out; it decides
// nothing itself.
//
//   claim_dispatcher.cpp              the router's side: construction, transactions, replies, turns
//   claim_dispatcher_voter.cpp        the voter's side: messages on other routers' streams, and the store
//   claim_dispatcher_maintenance.cpp  proposals on the maintenance plan
//   claim_dispatcher_updates.cpp      updates on draining nodes and on primaries
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cluster/cluster_config.h"
#include "cluster/identifiers.h"
#include "cluster/maintenance_service.h"
#include "cluster/messages.h"
#include "cluster/router_identity.h"
#include "idempotency/claim_coordinator.h"
#include "idempotency/voting_member.h"
#include "transactions/execution_gate.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

// What this router is when it starts.
struct LocalRouter {
  std::string name;
  std::uint64_t draw = 0;                          // random, of this incarnation
  std::optional<idempotency::StoredState> stored;  // what its store holds, where it is a voter
};

// What the dispatcher has done: by the cluster server on sockets and a disk, by tests otherwise.
class Effects {
 public:
  virtual ~Effects() = default;
  // To another voter; dropped while there is no stream to it.
  virtual void sendToVoter(idempotency::VoterIndex voter, const PeerMessage& message) = 0;
  virtual void reply(PeerStreamId stream, const PeerReply& reply) = 0;
  // Ends a stream whose router is no member, or whose messages are invalid.
  virtual void rejectStream(PeerStreamId stream, std::string_view reason) = 0;
  // Begins to make the changes durable; onWritten() reports the end.
  virtual StoreWriteId write(std::vector<idempotency::DiskChange> changes) = 0;
  virtual void log(std::string_view event, const std::string& fields) = 0;
  // This router runs on a machine whose maintenance begins.
  virtual void terminate() = 0;
  // Notifies whoever feeds discovery: the plan of that version excludes these nodes.
  virtual void announce(std::uint64_t version, const std::set<std::string>& excludedNodes) = 0;
};

// One for each router, owned by the cluster server. It is the transaction table's execution gate.
class ClaimDispatcher final : public transactions::ExecutionGate {
 public:
  ClaimDispatcher(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                  const ClusterConfig& config, LocalRouter localRouter, Effects& effects);

  // --- Streams of other routers to this voter
  void onMessage(PeerStreamId stream, std::string_view bytes);
  void onStreamEnded(PeerStreamId stream);
  // --- This router's streams to other voters
  PeerMessage greeting() const;
  void onReply(idempotency::VoterIndex voter, std::string_view bytes);  // throws MalformedMessage
  void onVoterLost(idempotency::VoterIndex voter);
  // --- The store. `durable`: the changes of that write, and all before it, are; else the disk failed.
  void onWritten(StoreWriteId write, bool durable);

  // --- The transaction table. Decisions are delivered to it by endTurn().
  void requestExecution(TxnId txn, std::string_view id, Duration remainingTime) override;
  void onCommitted(TxnId txn, const transactions::ResultValue& value) override;
  void onTransactionEnded(TxnId txn, transactions::ExecutionOutcome outcome) override;
  void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                         std::vector<transactions::ResolvedEndpoint>& list) override;

  // Runs all timers, sends what is due and delivers decisions.
  void endTurn();
  // Sends what the transaction table has reported since the turn ended.
  void flushDecisions() { sendClaimMessages(); }
  Instant nextDue() const { return nextDue_; }
  // Takes over the members and the forced stage of a configuration that was read anew.
  void reloadConfig(const ClusterConfig& config);

  MaintenanceService& maintenance() { return maintenance_; }
  const MaintenanceService& maintenance() const { return maintenance_; }
  RecoveryService& recovery() { return recovery_; }
  const RecoveryService& recovery() const { return recovery_; }
  const idempotency::ClaimCoordinator& coordinator() const { return coordinator_; }
  const MembershipService& membership() const { return membership_; }
  // Null: this router is no voter.
  const idempotency::VotingMember* votingMember() const { return votingMember_ ? &*votingMember_ : nullptr; }
  std::optional<idempotency::VoterIndex> ownIndex() const { return identity_.ownIndex; }

 private:
  // The router incarnation behind a stream.
  struct PeerIdentity {
    std::string router;
    std::uint64_t draw = 0;
  };

  // --- What is done once a write to the store has ended
  // Reply to a greeting.
  struct PendingGreetingReply {
    PeerStreamId stream;
    std::string router;
    std::uint64_t number;  // of the voter incarnation that was greeted with
    idempotency::VoterIncarnation previousVoterIncarnation;
  };
  // Deliver a vote.
  struct PendingVote {
    PeerStreamId stream;
    std::uint64_t claimNumber;
    std::string id;  // the idempotency key
    idempotency::ClaimToken token;
  };
  // Reply to a join request.
  struct PendingJoinReply {
    PeerStreamId stream;
    std::string router;
  };
  // Deliver the acceptor's reply.
  struct PendingAcceptorReply {
    PeerStreamId stream;
  };
  // Greet all voters by this router's new voter incarnation.
  struct PendingRegreeting {};
  using PendingWrite = std::variant<PendingGreetingReply, PendingVote, PendingJoinReply, PendingAcceptorReply,
                                    PendingRegreeting>;

  // --- The voter's side
  void onGreeting(PeerStreamId stream, const Greeting& greeting);
  void onPeerMessage(PeerStreamId stream, const PeerIdentity& sender, const PeerMessage& message);
  void onJoinRequest(PeerStreamId stream, const PeerIdentity& sender, std::uint64_t number);
  void onHeartbeat(PeerStreamId stream, const Heartbeat& heartbeat);
  void onClaim(PeerStreamId stream, const PeerIdentity& sender, const Claim& claim);
  void deliverVote(PeerStreamId stream, std::uint64_t claimNumber, const idempotency::Vote& vote);
  void deliverJoinReply(PeerStreamId stream, const std::string& router);
  // Makes durable what has changed at this voter; `pending` is done once all changes up to now are.
  void writeChanges(std::optional<PendingWrite> pending = {});
  // `durable`: as for onWritten().
  void finishWrite(const PendingGreetingReply& pending, bool durable);
  void finishWrite(const PendingVote& pending, bool durable);
  void finishWrite(const PendingJoinReply& pending, bool durable);
  void finishWrite(const PendingAcceptorReply& pending, bool durable);
  void finishWrite(const PendingRegreeting& pending, bool durable);
  void logVotingState();

  // --- The router's side
  void onGreetingReply(idempotency::VoterIndex voter, const GreetingReply& reply);
  void onJoinReply(idempotency::VoterIndex voter, const membership::Incarnation& newest);
  void sendClaimMessages();
  void sendMembershipMessages(Instant now);
  void advanceRecovery();
  void applyDecisions();
  void setMembers(std::set<std::string> routers);
  void applyForcedStage();
  void logQuorum(std::string_view event, const std::string& voter);
  void logRateLimited(std::string_view event, const std::string& fields);
  // To a voter, which may be this router itself, or to all others.
  void sendOrHandle(idempotency::VoterIndex voter, const PeerMessage& message);
  void sendToOtherVoters(const PeerMessage& message);

  // --- Maintenance
  void onProposal(PeerStreamId stream, const PeerMessage& message);
  void deliverAcceptorReply(PeerStreamId stream, const maintenance::Acceptor::AcceptorReply& reply);
  void endMaintenanceTurn(Instant now);
  void markAcceptorIncomplete();
  bool mayVote() const;

  // --- Updates on draining nodes and on primaries. New ones are stored and take effect.
  void onDrainUpdates(const DrainUpdates& updates, std::string_view from);
  void storeDrains(const DrainUpdates& updates);
  void onPrimaryUpdates(const PrimaryUpdates& updates);
  void storePrimaries(const PrimaryUpdates& updates);

  transactions::TransactionTable& transactions_;
  ClusterConfig config_;
  RouterIdentity identity_;
  Effects& effects_;
  idempotency::ClaimCoordinator coordinator_;
  std::optional<idempotency::VotingMember> votingMember_;
  recovery::DrainRegistry drains_;
  RecoveryService recovery_;
  MembershipService membership_;
  MaintenanceService maintenance_;
  std::map<PeerStreamId, PeerIdentity> greetedStreams_;
  std::map<StoreWriteId, PendingWrite> pendingWrites_;
  std::map<idempotency::VoterIndex, std::string> greetedVoters_;  // that have replied to a greeting
  Instant nextDue_;
  Instant rejectionLoggedAt_;
  std::optional<idempotency::VotingMember::State> loggedState_;
};

}  // namespace gulltrestle::cluster
