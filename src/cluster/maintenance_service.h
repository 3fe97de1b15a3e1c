// Work on machines at this router: what it knows of the plan and where it may not send by it; where it is a
// keeper, its part in settling the plan and carrying it on. A reducer: words and operators' requests in,
// words and answers out; the decisions stand in src/work.
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

#include "cluster/membership.h"
#include "cluster/messages.h"
#include "cluster/recovery_service.h"
#include "maintenance/lease.h"
#include "maintenance/maintenance_leader.h"
#include "maintenance/operator_requests.h"
#include "maintenance/plan_view.h"
#include "maintenance/proposal_round.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

class MaintenanceService {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  struct Place {  // of this router
    std::string name;
    std::vector<std::string> keepers;
    std::optional<maintenance::VoterIndex> own;
  };
  // `kept`: where it is a keeper, what its disk holds of the plan, and whether that is all it ever promised.
  MaintenanceService(transactions::TransactionTable& ledger, Place place, std::uint64_t draw,
                     const maintenance::Bounds& bounds, Duration mostRound,
                     std::optional<std::pair<std::string, bool>> kept, Log log);

  // --- At the router
  // Its beat goes to a keeper, and its answer came.
  void beats(Instant now, maintenance::VoterIndex keeper, std::uint64_t number);
  void answered(maintenance::VoterIndex keeper, const HeartbeatReply& reports);
  void answersItself(Instant now);  // where it is a keeper whose word counts
  void holds(maintenance::VoterIndex keeper, const maintenance::AcceptedValue& held);
  void lost(maintenance::VoterIndex keeper) { lease_.onVoterLost(keeper); }
  std::uint64_t known() const { return known_.chosen().version; }
  std::uint64_t clear() const { return clear_; }
  // It stands on a machine that leaves, and has to end; once.
  bool takeEnd();

  // --- At a keeper. `counts`: it may take part in rounds now.
  struct Heard {          // what came of a word of a round
    bool toDisk = false;  // text() is to be made durable; then wrote() answers
    std::optional<maintenance::Acceptor::AcceptorReply> said;  // at once
  };
  Heard hear(const PeerMessage& word, bool counts);
  std::optional<maintenance::Acceptor::AcceptorReply> wrote(bool durable);
  std::string text() const { return acceptor_->serialized(); }
  // Kind it has on disk, for whoever beats or greets.
  const maintenance::AcceptedValue& held() const { return acceptor_->accepted(); }
  bool isWhole() const { return acceptor_ && acceptor_->isComplete(); }
  // A keeper's answer to this one's round.
  void told(Instant now, maintenance::VoterIndex keeper, const maintenance::Acceptor::AcceptorReply& answer);
  void forgets() { acceptor_->markIncomplete(); }

  // --- Operators
  void asked(std::string request, maintenance::OperatorRequest ask);
  struct Answer {
    std::string request, why;  // empty: it was carried out
  };
  std::vector<Answer> takeAnswers() { return std::exchange(answers_, {}); }

  // Ahead of the module's round. Words to all keepers, this one among them. `counts`: as for hear().
  std::vector<PeerMessage> turn(Instant now, const MembershipService& membership,
                                const RecoveryService& service, bool strained, bool counts);
  Instant nextDue() const { return due_; }
  // Kind discovery is to be told: nodes that leave, by which version. Empty version: nothing new.
  std::optional<std::pair<std::uint64_t, std::set<std::string>>> takeNews();

  // --- For the status document
  const maintenance::Plan& plan() const { return known_.chosen(); }
  std::string awaits(const maintenance::Machine& machine) const;
  bool isForeman() const { return foremanNow_; }
  Instant leaseUntil() const { return lease_.until(); }

 private:
  maintenance::FleetState factsOf(const MembershipService& membership, const RecoveryService& service,
                                  bool strained) const;
  std::size_t livingBefore(const MembershipService& membership) const;  // keepers ahead of this one
  void askNodes(Instant now);
  void change(Instant now, const maintenance::ProposalRound::PreparedValue& read,
              std::vector<PeerMessage>& words);
  void settle();

  transactions::TransactionTable& ledger_;
  Place place_;
  std::uint64_t draw_;
  Log log_;
  maintenance::PlanView known_;
  maintenance::Lease lease_;
  std::optional<maintenance::Acceptor> acceptor_;
  std::optional<maintenance::ProposalRound> round_;
  maintenance::MaintenanceLeader foreman_;
  maintenance::FleetState facts_;
  std::set<std::string> outTold_, nextTold_;
  Instant untilTold_;
  std::uint64_t ownBeat_ = 0;
  std::uint64_t clear_ = 0;
  bool endTold_ = false, foremanNow_ = false, isDue_ = false;
  Instant lookedAt_, askedAt_, due_, now_;
  std::deque<std::pair<std::string, maintenance::OperatorRequest>> asks_;  // not settled yet
  std::vector<Answer> answers_;
  struct Proposed {  // by the round that writes
    std::vector<maintenance::PhaseTransition> steps;
    std::vector<Answer> answers;
    std::uint64_t version = 0;
  };
  Proposed proposed_;
  std::uint64_t newsOf_ = 0;
};

}  // namespace gulltrestle::cluster
