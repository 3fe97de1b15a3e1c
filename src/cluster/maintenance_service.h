// Maintenance at this router: what it knows of the plan and which nodes that excludes; where it is a voter,
// its part in agreeing on the plan and advancing it. A reducer: messages and operators' requests in, messages
// and answers out; the protocols stand in src/maintenance.
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
    maintenance::Bounds bounds;
    Duration proposalTimeout;  // how long a proposal round may last
  };
  // What a voter's store holds of its acceptor.
  struct StoredAcceptor {
    std::string text;         // Acceptor::serialized()
    bool isComplete = false;  // that is all that it ever promised
  };
  // `stored`: where this router is a voter.
  MaintenanceService(transactions::TransactionTable& transactions, RouterIdentity identity,
                     const Limits& limits, std::optional<StoredAcceptor> stored, Log log);

  // --- At each router
  void onHeartbeatSent(Instant now, maintenance::VoterIndex voter, std::uint64_t number);
  void onHeartbeatReply(maintenance::VoterIndex voter, const HeartbeatReply& reply);
  // This router is a voter itself, and its reply would grant a lease.
  void renewOwnLease(Instant now);
  // A voter reports what it has accepted.
  void onAccepted(maintenance::VoterIndex voter, const maintenance::AcceptedValue& accepted);
  void onVoterLost(maintenance::VoterIndex voter) { lease_.onVoterLost(voter); }
  // The version of the plan that this router obeys, and the one up to which it has no attempts in flight at
  // excluded nodes.
  std::uint64_t planVersion() const { return planView_.chosen().version; }
  std::uint64_t drainedVersion() const { return drainedVersion_; }
  // This router runs on a machine that is draining, and has to terminate; once.
  bool takeTermination();

  // --- At a voter
  // A prepare or an accept request, while this voter may take part in rounds. The outcome's write is that of
  // serializedAcceptor().
  [[nodiscard]] maintenance::Acceptor::RequestOutcome onProposal(const PeerMessage& message);
  std::optional<maintenance::Acceptor::AcceptorReply> onWritten(bool durable);
  std::string serializedAcceptor() const { return acceptor_->serialized(); }
  // The accepted value that is durable here.
  const maintenance::AcceptedValue& accepted() const { return acceptor_->accepted(); }
  // Whether this is a voter whose acceptor is complete.
  bool isComplete() const { return acceptor_ && acceptor_->isComplete(); }
  void markIncomplete() { acceptor_->markIncomplete(); }
  // A voter's reply to this one's round.
  void onAcceptorReply(Instant now, maintenance::VoterIndex voter,
                       const maintenance::Acceptor::AcceptorReply& reply);

  // --- Operators
  void onOperatorRequest(std::string requestId, maintenance::OperatorRequest request);
  struct Answer {
    std::string requestId, rejection;  // empty rejection: it was applied
  };
  std::vector<Answer> takeAnswers() { return std::exchange(answers_, {}); }

  // What a turn goes by.
  struct TurnInput {
    const MembershipService& membership;
    const RecoveryService& recovery;
    bool isDegraded = false;  // a degradation level is in force, or recovery has not finished
    bool mayVote = false;     // this router is a voter that may take part in rounds now
  };
  // Before the router's own turn ends. Returns messages to all voters, this one included.
  std::vector<PeerMessage> endTurn(Instant now, const TurnInput& input);
  Instant nextDue() const { return nextDue_; }
  // The nodes that a plan excludes, for whoever feeds discovery; none: the plan is the same as last time.
  struct Announcement {
    std::uint64_t version = 0;
    std::set<std::string> excludedNodes;
  };
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
  // What the round that is accepting changes in the plan.
  struct ProposedChange {
    std::vector<maintenance::PhaseTransition> transitions;
    std::vector<Answer> answers;
    std::uint64_t version = 0;
  };

  maintenance::FleetState fleetState(const TurnInput& input) const;
  void addNodeStates(const RecoveryService& recovery, maintenance::FleetState& fleet) const;
  void addRouterStates(const MembershipService& membership, maintenance::FleetState& fleet) const;
  // Voters ahead of this one that are alive.
  std::size_t aliveAhead(const MembershipService& membership) const;
  void requestLoadReports(Instant now);
  void excludeNodes(Instant now);
  void observeFleet(Instant now, const TurnInput& input);
  // The accept request that follows a majority of promises.
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
  // As the transaction table was told last.
  std::set<std::string> excludedNodes_, leaseRequiredNodes_;
  Instant leaseUntil_;
  std::uint64_t ownHeartbeatNumber_ = 0;
  std::uint64_t drainedVersion_ = 0;
  bool isTerminationTaken_ = false, isLeader_ = false, isDue_ = false;
  Instant observedAt_, reportsRequestedAt_, nextDue_, now_;
  std::deque<PendingRequest> pendingRequests_;  // not chosen yet
  std::vector<Answer> answers_;
  ProposedChange proposedChange_;
  std::uint64_t announcedVersion_ = 0;
};

}  // namespace gulltrestle::cluster
