// Tests of the transaction table with an execution gate: which transactions wait for the gate's decision, and
// which notifications the gate receives. Run as `execution_gate CASE`: prints the case's trace.
#include "transactions/execution_gate.h"

#include <utility>

#include "trace.h"
#include "transactions/transaction_table.h"

using namespace gulltrestle;
using namespace gulltrestle::transactions;
using trace::ms;

namespace {

// Indices of the transaction classes.
constexpr std::size_t kAtMostOnceWrite = 0, kRead = 1;

// A transaction table whose downstream handler, upstream transport and execution gate print the calls that
// they receive. The endpoint list contains one node, the primary p.
class GateBench final : DownstreamHandler, UpstreamTransport, ExecutionGate {
 public:
  GateBench() : transactions_(routingConfig(), 7, 1 << 20, [] {}) {
    transactions_.advanceTo(now_);
    transactions_.addTransport(*this);
    transactions_.setExecutionGate(this);
    transactions_.onEndpointList(EndpointUpdateKind::snapshot, endpointList());
    transactions_.endTurn();
  }

  TxnId openWrite(const std::string& id) { return open(transactionOf(kAtMostOnceWrite), id); }
  TxnId openRead(const std::string& id) { return open(transactionOf(kRead), id); }
  // A retry by the client: an earlier attempt may have run.
  TxnId openAmbiguousWrite(const std::string& id) {
    Transaction transaction = transactionOf(kAtMostOnceWrite);
    transaction.priorAttempts.ambiguousAttemptAge = ms(10);
    return open(std::move(transaction), id);
  }
  // Advances the clock, then ends the turn.
  void turn(std::int64_t laterMillis = 0) {
    now_ = now_ + ms(laterMillis);
    transactions_.advanceTo(now_);
    transactions_.endTurn();
  }
  void endAttempt(TxnId txn, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome::committed) transactions_.commit(txn, {"va", "lue", ""});
    transactions_.onAttemptEnded({txn, 0}, "p", outcome);
    turn();
  }
  // All answers are due within this time.
  void shutDown(std::int64_t answerWithinMillis) {
    std::cout << "shutdown, all answers are due within " << answerWithinMillis << " ms\n";
    transactions_.shutDown(now_ + ms(answerWithinMillis));
    turn();
  }
  TransactionTable& transactions() { return transactions_; }
  bool requiresValues = true;
  NodeId knownDraining;  // the node that the gate knows to be draining
  void excludeNodes(std::set<NodeId> current, std::set<NodeId> upcoming, std::int64_t startsAfterMillis) {
    transactions_.excludeNodes(std::move(current), std::move(upcoming), now_ + ms(startsAfterMillis));
    turn();
  }
  void updateEndpoints(std::uint64_t version) {
    transactions_.onEndpointList(EndpointUpdateKind::snapshot, endpointList(), version);
    turn();
    std::cout << "p is draining: " << transactions_.endpoints().isDraining("p") << "\n";
  }

 private:
  static RoutingConfig routingConfig() {
    return trace::defaultConfig({trace::transactionClass(ReadLevel::write, Effect::atMostOnce),
                                 trace::transactionClass(ReadLevel::any)});
  }
  static std::vector<ResolvedEndpoint> endpointList() {
    EndpointEntry entry;
    entry.node = "p";
    entry.group = 1;
    entry.primary = true;
    return {{entry, "127.0.0.1:1"}};
  }
  static Transaction transactionOf(std::size_t transactionClass) {
    Transaction transaction;
    transaction.type = transactionClass;
    transaction.group = 1;
    transaction.remainingTime = ms(2000);
    return transaction;
  }
  TxnId open(Transaction transaction, const std::string& id) {
    const TxnId txn = transactions_.openTransaction(*this, ++lastOwner_, *this, std::move(transaction),
                                                    {"text", 0, 0, 0, 0}, id);
    std::cout << id << " opened\n";
    turn();
    return txn;
  }

  // DownstreamHandler.
  void onTransactionCommitted(OwnerId owner, const ResultValue& value) override {
    std::cout << "  handler " << owner << ": committed '" << value[0] << value[1] << value[2] << "'\n";
  }
  void onTransactionRejected(OwnerId owner, Duration retryAfter, unsigned) override {
    std::cout << "  handler " << owner << ": rejected, retry after " << retryAfter.inMicros() / 1000 << "\n";
  }
  void onTransactionRolledBack(OwnerId owner) override {
    std::cout << "  handler " << owner << ": rolled back\n";
  }
  bool requiresValue() const override { return requiresValues; }

  // UpstreamTransport.
  void startAttempt(AttemptId attemptId, const NodeId& node) override {
    if (!attemptId.isHealthCheck()) std::cout << "  transport: " << attemptId.txn << " to " << node << "\n";
  }
  void cancelAttempt(AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}

  // ExecutionGate.
  void requestExecution(TxnId txn, std::string_view id, Duration remainingTime) override {
    std::cout << "  gate: requested " << txn << ", " << id << ", " << remainingTime.inMicros() / 1000
              << " ms\n";
  }
  void onCommitted(TxnId txn, const ResultValue& value) override {
    std::cout << "  gate: " << txn << " committed '" << value[0] << value[1] << value[2] << "'\n";
  }
  void amendEndpointList(EndpointUpdateKind, std::uint64_t version,
                         std::vector<ResolvedEndpoint>& list) override {
    for (auto& [entry, address] : list) {
      std::cout << "  gate: list " << version << " contains " << entry.node << "\n";
      if (entry.node == knownDraining) entry.health = Health::draining;
    }
  }
  void onTransactionEnded(TxnId txn, ExecutionOutcome outcome) override {
    constexpr const char* kOutcomes[] = {"committed", "never ran", "unknown"};
    std::cout << "  gate: " << txn << " ended, " << kOutcomes[static_cast<int>(outcome)] << "\n";
  }

  TransactionTable transactions_;
  Instant now_ = Instant() + ms(1'000'000);
  OwnerId lastOwner_ = 0;
};

void executesAdmitted() {
  GateBench bench;
  bench.openRead("any read");
  const TxnId first = bench.openWrite("b1");
  bench.turn(30);
  bench.transactions().admit(first);
  bench.transactions().admit(first);
  bench.turn();
  bench.endAttempt(first, AttemptOutcome::committed);
  for (const AttemptOutcome outcome : {AttemptOutcome::connectionLost, AttemptOutcome::notSent}) {
    const TxnId txn = bench.openWrite("b2");
    bench.transactions().admit(txn);
    bench.turn();
    bench.endAttempt(txn, outcome);
    bench.turn(3000);
  }
}

void answersWithoutExecuting() {
  GateBench bench;
  bench.transactions().answerRejected(bench.openWrite("b1"), ms(200));
  bench.transactions().answerRolledBack(bench.openWrite("b2"));
  bench.transactions().answerCommitted(bench.openWrite("b3"), {"known", "", ""});
  bench.transactions().answerCommitted(bench.openWrite("b4"), {});
  bench.requiresValues = false;
  bench.transactions().answerCommitted(bench.openWrite("b5"), {});
  std::cout << "late responses of the gate\n";
  bench.transactions().admit(6);
  bench.transactions().answerRolledBack(6);
  bench.turn();
  std::cout << "open: " << bench.transactions().openCount() << "\n";
}

void clientLeaves() {
  GateBench bench;
  const TxnId awaitingGate = bench.openWrite("b1");
  bench.transactions().onClientDisconnected(awaitingGate);
  bench.transactions().admit(awaitingGate);
  bench.turn();
  const TxnId inFlight = bench.openWrite("b2");
  bench.transactions().admit(inFlight);
  bench.turn();
  bench.transactions().onClientDisconnected(inFlight);
  bench.endAttempt(inFlight, AttemptOutcome::cancelled);
  std::cout << "retry after an earlier attempt that may have run\n";
  const TxnId retried = bench.openAmbiguousWrite("b3");
  bench.transactions().admit(retried);
  bench.turn();
  std::cout << "open: " << bench.transactions().openCount() << "\n";
}

// Guards against requests without an answer when SIGKILL comes: the gate may answer later than that.
void shutdownWhileAwaitingGate() {
  GateBench bench;
  bench.openWrite("b1");
  bench.turn(100);
  bench.shutDown(500);
  bench.turn(100);
  const TxnId admitted = bench.openWrite("b2");
  bench.transactions().admit(admitted);
  bench.turn(390);
  bench.turn(10);
  std::cout << "open: " << bench.transactions().openCount() << "\n";
}

// The gate marks nodes as draining: in each endpoint list before it is applied, and between lists by
// markDraining().
void amendsEndpointLists() {
  GateBench bench;
  bench.updateEndpoints(7);
  bench.transactions().markDraining({"p", "nobody"});
  bench.turn();
  std::cout << "after markDraining: p is draining: " << bench.transactions().endpoints().isDraining("p")
            << "\n";
  bench.updateEndpoints(8);
  bench.knownDraining = "p";
  bench.updateEndpoints(6);
}

// Excluded nodes receive no attempts, regardless of the endpoint lists. A node is excluded either now or from
// a start time on. The start time is checked before any event of a turn is handled.
void excludesNodes() {
  GateBench bench;
  const auto sendWrite = [&](const char* situation) {
    std::cout << situation << ": draining " << bench.transactions().endpoints().isDraining("p") << "\n";
    bench.transactions().requestLoadReport("p");
    const TxnId txn = bench.openWrite("b");
    bench.transactions().admit(txn);
    bench.turn();
    std::cout << "  attempt at p: " << bench.transactions().hasAttemptAt({"p"}) << ", at q "
              << bench.transactions().hasAttemptAt({"q"}) << "\n";
    const auto* attempt = bench.transactions().attempt({txn, 0});
    if (attempt && !attempt->hasEnded) {
      bench.endAttempt(txn, AttemptOutcome::committed);
    } else {
      bench.transactions().onClientDisconnected(txn);
    }
    bench.turn(5000);
  };
  sendWrite("not excluded");
  bench.excludeNodes({}, {"p"}, 20'000);
  sendWrite("exclusion scheduled");
  bench.updateEndpoints(3);
  bench.turn(20'000);
  sendWrite("the router stalled past the start of the exclusion");
  bench.updateEndpoints(4);
  bench.excludeNodes({}, {"p"}, 60'000);
  sendWrite("lease renewed");
  bench.excludeNodes({"p"}, {}, 0);
  sendWrite("excluded now");
  bench.excludeNodes({}, {}, 0);
  sendWrite("exclusion withdrawn");
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, void (*)()> cases{
      {"executes-admitted", executesAdmitted}, {"answers-without-executing", answersWithoutExecuting},
      {"client-leaves", clientLeaves},         {"amends-endpoint-lists", amendsEndpointLists},
      {"excludes-nodes", excludesNodes},       {"shutdown-while-awaiting", shutdownWhileAwaitingGate}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
}
