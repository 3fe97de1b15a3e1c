// Dispatches messages between routers. It passes messages from other routers' streams to this router's voting
// member and sends the replies once they are durable; it passes requests from the transaction table to the
// claim coordinator and returns the decisions. It does the same for membership, recovery and maintenance. It
// is a reducer: it maps events to effects and makes no decisions of its own.
//
//   claim_dispatcher.cpp              router role: construction, transactions, replies, turns
//   claim_dispatcher_voter.cpp        voter role: messages on other routers' streams, and the store
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

// Identity and stored state of this router at startup.
struct LocalRouter {
  std::string name;
  std::uint64_t draw = 0;                          // random number that identifies this incarnation
  std::optional<idempotency::StoredState> stored;  // contents of its store; none: it is not a voter
};

// The dispatcher's output interface. The cluster server implements it with sockets and a disk; tests have
// their own implementations.
class Effects {
 public:
  virtual ~Effects() = default;
  // Sends a message to another voter. The message is dropped while there is no stream to that voter.
  virtual void sendToVoter(idempotency::VoterIndex voter, const PeerMessage& message) = 0;
  // Sends a reply on another router's stream.
  virtual void reply(PeerStreamId stream, const PeerReply& reply) = 0;
  // Closes a stream whose router is not a member, or whose messages are invalid.
  virtual void rejectStream(PeerStreamId stream, std::string_view reason) = 0;
  // Starts to make the changes durable. The result is reported by ClaimDispatcher::onWritten().
  virtual StoreWriteId write(std::vector<idempotency::DiskChange> changes) = 0;
  virtual void log(std::string_view event, const std::string& fields) = 0;
  // Starts a graceful shutdown: maintenance of the machine that this router runs on begins.
  virtual void terminate() = 0;
  // Publishes the nodes that the plan of that version excludes, for the system that feeds discovery.
  virtual void announce(std::uint64_t version, const std::set<std::string>& excludedNodes) = 0;
};

// Each router has one, owned by its cluster server. It is the transaction table's execution gate.
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
  // --- The store. `durable`: the changes of that write and of all earlier ones are durable; false: the write
  // failed.
  void onWritten(StoreWriteId write, bool durable);

  // --- The transaction table. Decisions are delivered to it by endTurn().
  void requestExecution(TxnId txn, std::string_view id, Duration remainingTime) override;
  void onCommitted(TxnId txn, const transactions::ResultValue& value) override;
  void onTransactionEnded(TxnId txn, transactions::ExecutionOutcome outcome) override;
  void amendEndpointList(EndpointUpdateKind kind, std::uint64_t version,
                         std::vector<transactions::ResolvedEndpoint>& list) override;

  // Runs all timers, sends messages that are due and delivers decisions.
  void endTurn();
  // Sends claim messages for what the transaction table has reported since endTurn().
  void flushDecisions() { sendClaimMessages(); }
  // When endTurn() has to be called next; never: no timer is pending.
  Instant nextDue() const { return nextDue_; }
  // Applies the members and the forced stage of a reloaded configuration. Its other values need a restart.
  void reloadConfig(const ClusterConfig& config);

  MaintenanceService& maintenance() { return maintenance_; }
  const MaintenanceService& maintenance() const { return maintenance_; }
  RecoveryService& recovery() { return recovery_; }
  const RecoveryService& recovery() const { return recovery_; }
  const idempotency::ClaimCoordinator& coordinator() const { return coordinator_; }
  const MembershipService& membership() const { return membership_; }
  // Null: this router is not a voter.
  const idempotency::VotingMember* votingMember() const { return votingMember_ ? &*votingMember_ : nullptr; }
  // This router's index among the voters; none: it is not a voter.
  std::optional<idempotency::VoterIndex> ownIndex() const { return identity_.ownIndex; }

 private:
  // The router incarnation behind a stream.
  struct PeerIdentity {
    std::string router;
    std::uint64_t draw = 0;
  };

  // --- Actions to take when a write to the store has completed
  // Reply to a greeting.
  struct PendingGreetingReply {
    PeerStreamId stream;
    std::string router;
    std::uint64_t number;  // of the voter incarnation in the greeting
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
  // Send all voters a new greeting with this router's new voter incarnation.
  struct PendingRegreeting {};
  using PendingWrite = std::variant<PendingGreetingReply, PendingVote, PendingJoinReply, PendingAcceptorReply,
                                    PendingRegreeting>;

  // --- Voter role
  void onGreeting(PeerStreamId stream, const Greeting& greeting);
  void onPeerMessage(PeerStreamId stream, const PeerIdentity& sender, const PeerMessage& message);
  void onJoinRequest(PeerStreamId stream, const PeerIdentity& sender, std::uint64_t number);
  void onHeartbeat(PeerStreamId stream, const Heartbeat& heartbeat);
  void onClaim(PeerStreamId stream, const PeerIdentity& sender, const Claim& claim);
  void deliverVote(PeerStreamId stream, std::uint64_t claimNumber, const idempotency::Vote& vote);
  void deliverJoinReply(PeerStreamId stream, const std::string& router);
  // Writes all changes of this voter to the store. `pending` is carried out once they are durable.
  void writeChanges(std::optional<PendingWrite> pending = {});
  // Carry out a pending action. `durable`: as for onWritten().
  void finishWrite(const PendingGreetingReply& pending, bool durable);
  void finishWrite(const PendingVote& pending, bool durable);
  void finishWrite(const PendingJoinReply& pending, bool durable);
  void finishWrite(const PendingAcceptorReply& pending, bool durable);
  void finishWrite(const PendingRegreeting& pending, bool durable);
  void logVotingState();

  // --- Router role
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
  // Send a message to one voter, which may be this router itself, or to all other voters.
  void sendOrHandle(idempotency::VoterIndex voter, const PeerMessage& message);
  void sendToOtherVoters(const PeerMessage& message);

  // --- Maintenance
  void onProposal(PeerStreamId stream, const PeerMessage& message);
  void deliverAcceptorReply(PeerStreamId stream, const maintenance::Acceptor::AcceptorReply& reply);
  void endMaintenanceTurn(Instant now);
  void markAcceptorIncomplete();
  bool mayVote() const;

  // --- Updates on draining nodes and on primaries. An update that is new here is stored and applied.
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
  std::map<idempotency::VoterIndex, std::string>
      greetedVoters_;  // names of voters that replied to a greeting
  Instant nextDue_;
  Instant rejectionLoggedAt_;
  std::optional<idempotency::VotingMember::State> loggedState_;
};

}  // namespace gulltrestle::cluster
