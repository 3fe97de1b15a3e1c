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

class Worker {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  struct Place {  // of this router
    std::string name;
    std::vector<std::string> keepers;
    std::optional<maintenance::KeeperNumber> own;
  };
  // `kept`: where it is a keeper, what its disk holds of the plan, and whether that is all it ever promised.
  Worker(transactions::Ledger& ledger, Place place, std::uint64_t draw, const maintenance::Bounds& bounds,
         Span mostRound, std::optional<std::pair<std::string, bool>> kept, Log log);

  // --- At the router
  // Its beat goes to a keeper, and its answer came.
  void beats(Instant now, maintenance::KeeperNumber keeper, std::uint64_t number);
  void answered(maintenance::KeeperNumber keeper, const Reports& reports);
  void answersItself(Instant now);  // where it is a keeper whose word counts
  void holds(maintenance::KeeperNumber keeper, const maintenance::Held& held);
  void lost(maintenance::KeeperNumber keeper) { lease_.lost(keeper); }
  std::uint64_t known() const { return known_.settled().version; }
  std::uint64_t clear() const { return clear_; }
  // It stands on a machine that leaves, and has to end; once.
  bool takeEnd();

  // --- At a keeper. `counts`: it may take part in rounds now.
  struct Heard {                                        // what came of a word of a round
    bool toDisk = false;                                // text() is to be made durable; then wrote() answers
    std::optional<maintenance::Acceptor::Answer> said;  // at once
  };
  Heard hear(const Word& word, bool counts);
  std::optional<maintenance::Acceptor::Answer> wrote(bool durable);
  std::string text() const { return acceptor_->text(); }
  // What it has on disk, for whoever beats or greets.
  const maintenance::Held& held() const { return acceptor_->held(); }
  bool isWhole() const { return acceptor_ && acceptor_->isWhole(); }
  // A keeper's answer to this one's round.
  void told(Instant now, maintenance::KeeperNumber keeper, const maintenance::Acceptor::Answer& answer);
  void forgets() { acceptor_->forgets(); }

  // --- Operators
  void asked(std::string request, maintenance::Ask ask);
  struct Answer {
    std::string request, why;  // empty: it was carried out
  };
  std::vector<Answer> takeAnswers() { return std::exchange(answers_, {}); }

  // Ahead of the module's round. Words to all keepers, this one among them. `counts`: as for hear().
  std::vector<Word> turn(Instant now, const Membership& membership, const Service& service, bool strained,
                         bool counts);
  Instant nextDue() const { return due_; }
  // What discovery is to be told: nodes that leave, by which version. Empty version: nothing new.
  std::optional<std::pair<std::uint64_t, std::set<std::string>>> takeNews();

  // --- For the status document
  const maintenance::Plan& plan() const { return known_.settled(); }
  std::string awaits(const maintenance::Machine& machine) const;
  bool isForeman() const { return foremanNow_; }
  Instant leaseUntil() const { return lease_.until(); }

 private:
  maintenance::Facts factsOf(const Membership& membership, const Service& service, bool strained) const;
  std::size_t livingBefore(const Membership& membership) const;  // keepers ahead of this one
  void askNodes(Instant now);
  void change(Instant now, const maintenance::Round::Read& read, std::vector<Word>& words);
  void settle();

  transactions::Ledger& ledger_;
  Place place_;
  std::uint64_t draw_;
  Log log_;
  maintenance::Known known_;
  maintenance::Lease lease_;
  std::optional<maintenance::Acceptor> acceptor_;
  std::optional<maintenance::Round> round_;
  maintenance::Foreman foreman_;
  maintenance::Facts facts_;
  std::set<std::string> outTold_, nextTold_;
  Instant untilTold_;
  std::uint64_t ownBeat_ = 0;
  std::uint64_t clear_ = 0;
  bool endTold_ = false, foremanNow_ = false, isDue_ = false;
  Instant lookedAt_, askedAt_, due_, now_;
  std::deque<std::pair<std::string, maintenance::Ask>> asks_;  // not settled yet
  std::vector<Answer> answers_;
  struct Proposed {  // by the round that writes
    std::vector<maintenance::Step> steps;
    std::vector<Answer> answers;
    std::uint64_t version = 0;
  };
  Proposed proposed_;
  std::uint64_t newsOf_ = 0;
};

}  // namespace gulltrestle::cluster
