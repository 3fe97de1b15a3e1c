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
  virtual void toKeeper(idempotency::KeeperNumber keeper, const Word& word) = 0;
  virtual void reply(StreamKey stream, const Reply& reply) = 0;
  // Ends a stream of somebody who does not belong, or says what makes no sense.
  virtual void refuse(StreamKey stream, std::string_view why) = 0;
  // To be made durable; wrote() tells.
  virtual Ticket write(std::vector<idempotency::Keeper::Change> changes) = 0;
  virtual void log(std::string_view event, const std::string& fields) = 0;
  // What is settled of work on machines says so: this router stands on one that leaves.
  virtual void endItself() = 0;
  // For whoever feeds discovery: these nodes are out, by the plan of that version.
  virtual void announce(std::uint64_t version, const std::set<std::string>& out) = 0;
};

class Desk final : public transactions::Guard {
 public:
  // `kept`: where this router is a keeper. `draw`: of this start, from all 64-bit numbers.
  Desk(transactions::Ledger& ledger, const Terms& terms, const Setup& setup, const std::string& name,
       std::uint64_t draw, std::optional<idempotency::Kept> kept, Effects& effects);

  // --- Streams of other routers to this keeper
  void said(StreamKey stream, std::string_view bytes);
  void ended(StreamKey stream);
  // --- This router's streams to other keepers
  Word hello() const;
  void replied(idempotency::KeeperNumber keeper, std::string_view bytes);  // throws Malformed
  void lost(idempotency::KeeperNumber keeper);
  // --- The disk
  void wrote(Ticket ticket, bool durable);

  // --- The ledger. What is decided is told to it at the end of a turn.
  void asked(TxnId txn, std::string_view id, Span patience) override;
  void commits(TxnId txn, const transactions::Value& value) override;
  void over(TxnId txn, transactions::Fate fate) override;
  void listed(ListKind kind, std::uint64_t version, std::vector<transactions::Addressed>& list) override;

  void endTurn();
  // What the ledger has told since.
  void sayOn() { settle(); }
  Instant nextDue() const { return due_; }
  // Its configuration was read anew: who belongs, and what an operator forces.
  void readAnew(const Setup& setup);

  // --- Work on machines
  Worker& worker() { return worker_; }
  const Worker& worker() const { return worker_; }

  const idempotency::Claimant& claimant() const { return claimant_; }
  Service& service() { return service_; }
  const Service& service() const { return service_; }
  const Membership& membership() const { return membership_; }
  const idempotency::Keeper* keeper() const { return keeper_ ? &*keeper_ : nullptr; }
  std::optional<idempotency::KeeperNumber> own() const { return own_; }

 private:
  struct Speaker {
    std::string router;
    std::uint64_t draw = 0;
  };
  struct Waiting {  // for the disk
    enum class What { heard, vote, hello, enter, work } what = What::vote;
    StreamKey stream = 0;
    std::uint64_t number = 0;
    std::string id;  // enter: of the router
    idempotency::Token token;
    idempotency::Start knew;
  };
  void hear(StreamKey stream, const Speaker& speaker, const Word& word);
  void greet(StreamKey stream, const Hello& hello);
  void give(StreamKey stream, std::uint64_t number, const idempotency::Vote& vote);
  void enter(StreamKey stream, const Speaker& speaker, std::uint64_t number);
  void tellEntered(StreamKey stream, const std::string& router);
  void entered(idempotency::KeeperNumber keeper, const membership::Incarnation& newest);
  void workOn(StreamKey stream, const Word& word);
  void workSaid(StreamKey stream, const maintenance::Acceptor::Answer& answer);
  void workTurn(Instant now);
  void forgetWork();
  void toDisk(std::optional<Waiting> waiting = {});
  void settle();
  // News of nodes: those that are new here are kept, and their drains bind.
  void learn(const Nodes& news, std::string_view from);
  void keep(const Nodes& news);
  // News of primaries: kept where that was not known, and told on to whom it did not come from.
  void learn(const Primaries& news);
  void keep(const Primaries& news);
  void force();
  void belong(std::set<std::string> routers);
  void logState();
  void logOnce(std::string_view event, const std::string& fields);

  transactions::Ledger& ledger_;
  Setup setup_;
  std::string name_;
  std::uint64_t draw_;
  Effects& effects_;
  idempotency::Claimant claimant_;
  std::optional<idempotency::Keeper> keeper_;
  recovery::Leaving leaving_;
  Service service_;
  std::optional<idempotency::KeeperNumber> own_;  // this router's row among the keepers
  Membership membership_;
  Worker worker_;
  std::map<StreamKey, Speaker> speakers_;  // those that have greeted
  std::map<Ticket, Waiting> waiting_;
  std::map<idempotency::KeeperNumber, std::string> heard_;
  Instant due_, strangerAt_;  // when one who does not belong was last logged
  std::optional<idempotency::Keeper::State> logged_;
};

}  // namespace gulltrestle::cluster
