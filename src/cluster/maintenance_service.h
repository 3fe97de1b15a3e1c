// Maintenance at this router. It tracks the maintenance plan and excludes nodes as the plan requires; on a
// voter it also takes part in agreeing on the plan and advancing it. It is a reducer: it maps messages and
// operators' requests to messages and answers. The protocols are implemented in src/maintenance.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership_service.h"
#include "cluster/messages.h"
#include "cluster/recovery_service.h"
#include "cluster/router_identity.h"
#include "maintenance/lease.h"
#include "maintenance/maintenance_leader.h"
#include "maintenance/operator_requests.h"
#include "maintenance/plan_view.h"
#include "maintenance/proposal_round.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

// Owned by the claim dispatcher, which delivers the messages and calls endTurn().
class MaintenanceService {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  struct Limits {
    maintenance::MaintenanceLimits bounds;
    Duration proposalTimeout;  // maximum duration of a proposal round
  };
  // State of a voter's acceptor as read from its store.
  struct StoredAcceptor {
    std::string text;         // Acceptor::serialized()
    bool isComplete = false;  // whether the text includes every promise that the acceptor made
  };
  // `stored`: none if this router is not a voter.
  MaintenanceService(transactions::TransactionTable& transactions, RouterIdentity identity,
                     const Limits& limits, std::optional<StoredAcceptor> stored, Log log);

  // --- On every router
  void onHeartbeatSent(Instant now, maintenance::VoterIndex voter, std::uint64_t number);
  void onHeartbeatReply(maintenance::VoterIndex voter, const HeartbeatReply& reply);
  // Renews the lease with this router's own vote. Called if it is a voter whose heartbeat replies grant
  // leases.
  void renewOwnLease(Instant now);
  // A voter reports the value that it has accepted.
  void onAccepted(maintenance::VoterIndex voter, const maintenance::AcceptedValue& accepted);
  void onVoterLost(maintenance::VoterIndex voter) { lease_.onVoterLost(voter); }
  // The version of the plan that this router applies, and the latest version for which it has no attempts in
  // flight on excluded nodes.
  std::uint64_t planVersion() const { return planView_.chosen().version; }
  std::uint64_t drainedVersion() const { return drainedVersion_; }
  // Returns true, once, if this router has to terminate because its machine is draining.
  bool takeTermination();

  // --- On a voter
  // Handles a prepare or an accept request. Called while this voter may take part in rounds. If the outcome
  // needs a write, the caller writes serializedAcceptor().
  [[nodiscard]] maintenance::Acceptor::RequestOutcome onProposal(const PeerMessage& message);
  std::optional<maintenance::Acceptor::AcceptorReply> onWritten(bool durable);
  std::string serializedAcceptor() const { return acceptor_->serialized(); }
  // The accepted value that is durable on this voter.
  const maintenance::AcceptedValue& accepted() const { return acceptor_->accepted(); }
  // Whether this router is a voter with a complete acceptor.
  bool isComplete() const { return acceptor_ && acceptor_->isComplete(); }
  void markIncomplete() { acceptor_->markIncomplete(); }
  // A voter's reply to a proposal round of this router.
  void onAcceptorReply(Instant now, maintenance::VoterIndex voter,
                       const maintenance::Acceptor::AcceptorReply& reply);

  // --- Operators
  void onOperatorRequest(std::string requestId, maintenance::OperatorRequest request);
  struct Answer {
    std::string requestId, rejection;  // empty rejection: the request was applied
  };
  std::vector<Answer> takeAnswers() { return std::exchange(answers_, {}); }

  // State of the router's other services that a turn reads.
  struct TurnInput {
    const MembershipService& membership;
    const RecoveryService& recovery;
    bool isDegraded = false;  // a degradation level is active, or recovery has not finished
    bool mayVote = false;     // this router is a voter that may take part in rounds now
  };
  // Called before the router's own turn ends. Returns messages for all voters, including this router.
  std::vector<PeerMessage> endTurn(Instant now, const TurnInput& input);
  Instant nextDue() const { return nextDue_; }
  // The nodes that a plan version excludes, for the system that feeds discovery.
  struct Announcement {
    std::uint64_t version = 0;
    std::set<std::string> excludedNodes;
  };
  // Returns none if the plan version has not changed since the last call.
  std::optional<Announcement> takeAnnouncement();

  // --- For the status document
  const maintenance::Plan& plan() const { return planView_.chosen(); }
  std::string waitingFor(const maintenance::Machine& machine) const;
  bool isLeader() const { return isLeader_; }
  Instant leaseUntil() const { return lease_.until(); }

 private:
  struct PendingRequest {
    std::string id;
    maintenance::OperatorRequest request;
  };
  // Changes to the plan that are proposed by the round in its accept phase.
  struct ProposedChange {
    std::vector<maintenance::PhaseTransition> transitions;
    std::vector<Answer> answers;
    std::uint64_t version = 0;
  };

  maintenance::FleetState fleetState(const TurnInput& input) const;
  void addNodeStates(const RecoveryService& recovery, maintenance::FleetState& fleet) const;
  void addRouterStates(const MembershipService& membership, maintenance::FleetState& fleet) const;
  // Number of alive voters with a lower index than this router.
  std::size_t countAliveVotersAhead(const MembershipService& membership) const;
  void requestLoadReports(Instant now);
  void excludeNodes(Instant now);
  void observeFleet(Instant now, const TurnInput& input);
  // Returns the accept request to send after a majority of promises.
  AcceptRequest propose(Instant now, const maintenance::ProposalRound::PreparedValue& prepared);
  void applyChosen();

  transactions::TransactionTable& transactions_;
  RouterIdentity identity_;
  Log log_;
  maintenance::PlanView planView_;
  maintenance::Lease lease_;
  std::optional<maintenance::Acceptor> acceptor_;
  std::optional<maintenance::ProposalRound> round_;
  maintenance::MaintenanceLeader leader_;
  maintenance::FleetState fleet_;
  // The values that were last passed to the transaction table.
  std::set<std::string> excludedNodes_, leaseRequiredNodes_;
  Instant leaseUntil_;
  std::uint64_t ownHeartbeatNumber_ = 0;
  std::uint64_t drainedVersion_ = 0;
  bool isTerminationTaken_ = false, isLeader_ = false, isDue_ = false;
  Instant observedAt_, reportsRequestedAt_, nextDue_, now_;
  std::deque<PendingRequest> pendingRequests_;  // not part of a chosen plan yet
  std::vector<Answer> answers_;
  ProposedChange proposedChange_;
  std::uint64_t announcedVersion_ = 0;
};

}  // namespace gulltrestle::cluster
