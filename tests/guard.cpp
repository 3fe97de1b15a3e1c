// The ledger with a guard: which txns are held for its word, and what it is told of each. Run as
// `guard CASE`: prints the case's trace.
#include <utility>

#include "trace.h"
#include "transactions/execution_gate.h"
#include "transactions/transaction_table.h"

using namespace gulltrestle;
using namespace gulltrestle::transactions;
using trace::ms;

namespace {

// A ledger between a front, a carrier and a guard that all print what they are told.
class World final : DownstreamHandler, UpstreamTransport, ExecutionGate {
 public:
  World() : ledger_(terms(), 7, 1 << 20, [] {}) {
    ledger_.advanceTo(now_);
    ledger_.addTransport(*this);
    ledger_.setExecutionGate(this);
    EndpointEntry entry;
    entry.node = "p";
    entry.group = 1;
    entry.primary = true;
    ledger_.onEndpointList(EndpointUpdateKind::snapshot, {{entry, "127.0.0.1:1"}});
    ledger_.endTurn();
  }

  TxnId take(std::size_t type, const std::string& id, bool mayHaveRunEarlier = false) {
    Transaction txn;
    txn.type = type;
    txn.group = 1;
    txn.remainingTime = ms(2000);
    if (mayHaveRunEarlier) txn.priorAttempts.ambiguousAttemptAge = ms(10);
    const TxnId made = ledger_.openTransaction(*this, ++owner_, *this, txn, {"text", 0, 0, 0, 0}, id);
    std::cout << id << " is taken\n";
    turn();
    return made;
  }
  void turn(std::int64_t later = 0) {
    now_ = now_ + ms(later);
    ledger_.advanceTo(now_);
    ledger_.endTurn();
  }
  void end(TxnId txn, AttemptOutcome how) {
    if (how == AttemptOutcome::committed) ledger_.commit(txn, {"va", "lue", ""});
    ledger_.onAttemptEnded({txn, 0}, "p", how);
    turn();
  }
  TransactionTable& ledger() { return ledger_; }
  bool wantsValue = true;
  NodeId better;  // whose drain the guard knows of
  void keepOut(std::set<NodeId> now, std::set<NodeId> later, std::int64_t after) {
    ledger_.excludeNodes(std::move(now), std::move(later), now_ + ms(after));
    turn();
  }
  void list(std::uint64_t version) {
    EndpointEntry entry;
    entry.node = "p";
    entry.group = 1;
    entry.primary = true;
    ledger_.onEndpointList(EndpointUpdateKind::snapshot, {{entry, "127.0.0.1:1"}}, version);
    turn();
    std::cout << "p is leaving: " << ledger_.endpoints().isDraining("p") << "\n";
  }

 private:
  static RoutingConfig terms() {
    return trace::usualTerms(
        {trace::type(ReadLevel::write, Effect::atMostOnce), trace::type(ReadLevel::any)});
  }
  void committed(OwnerId owner, const ResultValue& v) override {
    std::cout << "  front " << owner << ": committed '" << v[0] << v[1] << v[2] << "'\n";
  }
  void rejected(OwnerId owner, Duration after, unsigned) override {
    std::cout << "  front " << owner << ": refused, retry after " << after.inMicros() / 1000 << "\n";
  }
  void rolledBack(OwnerId owner) override { std::cout << "  front " << owner << ": rolled back\n"; }
  bool requiresValue() const override { return wantsValue; }
  void startAttempt(AttemptId job, const NodeId& node) override {
    if (job.txn != 0) std::cout << "  carrier: " << job.txn << " to " << node << "\n";
  }
  void cancelAttempt(AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}
  void requestExecution(TxnId txn, std::string_view id, Duration patience) override {
    std::cout << "  guard: asked for " << txn << ", " << id << ", " << patience.inMicros() / 1000 << " ms\n";
  }
  void onCommitted(TxnId txn, const ResultValue& v) override {
    std::cout << "  guard: " << txn << " committed '" << v[0] << v[1] << v[2] << "'\n";
  }
  void amendEndpointList(EndpointUpdateKind, std::uint64_t version,
                         std::vector<ResolvedEndpoint>& list) override {
    for (auto& [entry, address] : list) {
      std::cout << "  guard: list " << version << " names " << entry.node << "\n";
      if (entry.node == better) entry.health = Health::draining;
    }
  }
  void onTransactionEnded(TxnId txn, ExecutionOutcome fate) override {
    constexpr const char* kFates[] = {"committed", "never ran", "unknown"};
    std::cout << "  guard: " << txn << " over, " << kFates[static_cast<int>(fate)] << "\n";
  }

  TransactionTable ledger_;
  Instant now_ = Instant() + ms(1'000'000);
  OwnerId owner_ = 0;
};

void admitted() {
  World world;
  world.take(1, "any read");
  const TxnId first = world.take(0, "b1");
  world.turn(30);
  world.ledger().admit(first);
  world.ledger().admit(first);
  world.turn();
  world.end(first, AttemptOutcome::committed);
  for (const AttemptOutcome how : {AttemptOutcome::connectionLost, AttemptOutcome::notSent}) {
    const TxnId txn = world.take(0, "b2");
    world.ledger().admit(txn);
    world.turn();
    world.end(txn, how);
    world.turn(3000);
  }
}

void refused() {
  World world;
  world.ledger().answerRejected(world.take(0, "b1"), ms(200));
  world.ledger().answerRolledBack(world.take(0, "b2"));
  world.ledger().answerCommitted(world.take(0, "b3"), {"known", "", ""});
  world.ledger().answerCommitted(world.take(0, "b4"), {});
  world.wantsValue = false;
  world.ledger().answerCommitted(world.take(0, "b5"), {});
  std::cout << "a word that comes late\n";
  world.ledger().admit(6);
  world.ledger().answerRolledBack(6);
  world.turn();
  std::cout << "open: " << world.ledger().openCount() << "\n";
}

void left() {
  World world;
  const TxnId waiting = world.take(0, "b1");
  world.ledger().onClientLeft(waiting);
  world.ledger().admit(waiting);
  world.turn();
  const TxnId out = world.take(0, "b2");
  world.ledger().admit(out);
  world.turn();
  world.ledger().onClientLeft(out);
  world.end(out, AttemptOutcome::cancelled);
  std::cout << "tried elsewhere before\n";
  const TxnId again = world.take(0, "b3", true);
  world.ledger().admit(again);
  world.turn();
  std::cout << "open: " << world.ledger().openCount() << "\n";
}

// What the guard knows of a node counts, in a list that comes and after it.
void lists() {
  World world;
  world.list(7);
  world.ledger().markDraining({"p", "nobody"});
  world.turn();
  std::cout << "learnt: p is leaving: " << world.ledger().endpoints().isDraining("p") << "\n";
  world.list(8);
  world.better = "p";
  world.list(6);
}

// Nodes that are kept out, whatever lists say: now, and from a moment on that is looked at ahead of any
// event.
void keptOut() {
  World world;
  const auto asks = [&](const char* what) {
    std::cout << what << ": leaving " << world.ledger().endpoints().isDraining("p") << "\n";
    world.ledger().requestLoadReport("p");
    const TxnId txn = world.take(0, "b");
    world.ledger().admit(txn);
    world.turn();
    std::cout << "  out there: " << world.ledger().hasAttemptAt({"p"}) << ", elsewhere "
              << world.ledger().hasAttemptAt({"q"}) << "\n";
    const auto* attempt = world.ledger().attempt({txn, 0});
    if (attempt && !attempt->hasEnded)
      world.end(txn, AttemptOutcome::committed);
    else
      world.ledger().onClientLeft(txn);
    world.turn(5000);
  };
  asks("as ever");
  world.keepOut({}, {"p"}, 20'000);
  asks("out in a while");
  world.list(3);
  world.turn(20'000);
  asks("it stood still until after that");
  world.list(4);
  world.keepOut({}, {"p"}, 60'000);
  asks("and has a lease again");
  world.keepOut({"p"}, {}, 0);
  asks("out for good, whatever comes");
  world.keepOut({}, {}, 0);
  asks("given back");
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{
      {"admitted", admitted}, {"refused", refused}, {"left", left}, {"lists", lists}, {"kept-out", keptOut}};
  const auto at = cases.find(argc > 1 ? argv[1] : "");
  if (at == cases.end()) return 2;
  at->second();
  return 0;
}
