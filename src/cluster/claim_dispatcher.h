// Delivers the messages between routers: from other routers' streams to this router's voting member, and its
// replies back once they are durable; from the transaction table to the claim coordinator, and its decisions
// back; likewise for membership, recovery and maintenance. A reducer: events in, effects out; it decides
// nothing itself.
//
//   claim_dispatcher.cpp              the router's side: construction, transactions, replies, turns
//   claim_dispatcher_voter.cpp        the voter's side: messages on other routers' streams, and the store
//   claim_dispatcher_maintenance.cpp  proposals on the maintenance plan
//   gossip.cpp                        updates on draining nodes and on primaries
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

using StreamKey = std::uint64_t;     // of another router's stream to this voter
constexpr StreamKey kOwnStream = 0;  // of this router's messages to itself as a voter
using Ticket = std::uint64_t;        // of a write to the store

// What the dispatcher has done: by the cluster server on sockets and a disk, by tests otherwise.
class Effects {
 public:
  virtual ~Effects() = default;
  // To another voter; dropped while there is no stream to it.
  virtual void sendToVoter(idempotency::VoterIndex voter, const PeerMessage& message) = 0;
  virtual void reply(StreamKey stream, const PeerReply& reply) = 0;
  // Ends a stream whose router is no member, or whose messages are invalid.
  virtual void rejectStream(StreamKey stream, std::string_view reason) = 0;
  // Begins to make the changes durable; onWritten() reports the end.
  virtual Ticket write(std::vector<idempotency::DiskChange> changes) = 0;
  virtual void log(std::string_view event, const std::string& fields) = 0;
  // This router runs on a machine whose maintenance begins.
  virtual void terminate() = 0;
  // Notifies whoever feeds discovery: the plan of that version excludes these nodes.
  virtual void announce(std::uint64_t version, const std::set<std::string>& excludedNodes) = 0;
};

// One for each router, owned by the cluster server. It is the transaction table's execution gate.
class ClaimDispatcher final : public transactions::ExecutionGate {
 public:
  // `stored`: what the store holds, where this router is a voter. `draw`: random, of this incarnation.
  ClaimDispatcher(transactions::TransactionTable& transactions, const RoutingConfig& routing,
                  const ClusterConfig& config, const std::string& name, std::uint64_t draw,
                  std::optional<idempotency::StoredState> stored, Effects& effects);

  // --- Streams of other routers to this voter
  void onMessage(StreamKey stream, std::string_view bytes);
  void onStreamEnded(StreamKey stream);
  // --- This router's streams to other voters
  PeerMessage greeting() const;
  void onReply(idempotency::VoterIndex voter, std::string_view bytes);  // throws MalformedMessage
  void onVoterLost(idempotency::VoterIndex voter);
  // --- The store
  void onWritten(Ticket ticket, bool durable);

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
  std::optional<idempotency::VoterIndex> ownIndex() const { return ownIndex_; }

 private:
  // The router incarnation behind a stream.
  struct PeerIdentity {
    std::string router;
    std::uint64_t draw = 0;
  };
  // What is done once a write to the store has ended.
  struct PendingWrite {
    enum class Kind {
      greetingReply,  // reply to a greeting
      vote,           // deliver a vote
      join,           // reply to a join request
      proposal,       // deliver the acceptor's reply
      regreet,        // greet all voters by this router's new voter incarnation
    } kind = Kind::vote;
    StreamKey stream = kOwnStream;
    std::uint64_t number = 0;       // greetingReply: of the voter incarnation; vote: of the claim
    std::string id;                 // greetingReply, join: the router; vote: the idempotency key
    idempotency::ClaimToken token;  // vote
    idempotency::VoterIncarnation previousVoterIncarnation;  // greetingReply
  };

  // --- The voter's side
  void onGreeting(StreamKey stream, const Greeting& greeting);
  void onPeerMessage(StreamKey stream, const PeerIdentity& sender, const PeerMessage& message);
  void onJoinRequest(StreamKey stream, const PeerIdentity& sender, std::uint64_t number);
  void onHeartbeat(StreamKey stream, const Heartbeat& heartbeat);
  void onClaim(StreamKey stream, const PeerIdentity& sender, const Claim& claim);
  void deliverVote(StreamKey stream, std::uint64_t claimNumber, const idempotency::Vote& vote);
  void deliverJoinReply(StreamKey stream, const std::string& router);
  // Makes durable what has changed at this voter; `pending` is done once all changes up to now are.
  void writeChanges(std::optional<PendingWrite> pending = {});
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
  void onProposal(StreamKey stream, const PeerMessage& message);
  void onProposalWritten(StreamKey stream, bool durable);
  void deliverAcceptorReply(StreamKey stream, const maintenance::Acceptor::AcceptorReply& reply);
  void endMaintenanceTurn(Instant now);
  void markAcceptorIncomplete();
  bool mayVote() const;

  // --- Gossip. New updates are stored and take effect.
  void onDrainUpdates(const DrainUpdates& updates, std::string_view from);
  void storeDrains(const DrainUpdates& updates);
  void onPrimaryUpdates(const PrimaryUpdates& updates);
  void storePrimaries(const PrimaryUpdates& updates);

  transactions::TransactionTable& transactions_;
  ClusterConfig config_;
  std::string name_;
  std::uint64_t draw_;
  Effects& effects_;
  idempotency::ClaimCoordinator coordinator_;
  std::optional<idempotency::VotingMember> votingMember_;
  recovery::DrainRegistry drains_;
  RecoveryService recovery_;
  std::optional<idempotency::VoterIndex> ownIndex_;  // among the voters
  MembershipService membership_;
  MaintenanceService maintenance_;
  std::map<StreamKey, PeerIdentity> greetedStreams_;
  std::map<Ticket, PendingWrite> pendingWrites_;
  std::map<idempotency::VoterIndex, std::string> greetedVoters_;  // that have replied to a greeting
  Instant nextDue_;
  Instant rejectionLoggedAt_;
  std::optional<idempotency::VotingMember::State> loggedState_;
};

}  // namespace gulltrestle::cluster
