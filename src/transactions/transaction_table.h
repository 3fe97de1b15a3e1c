// The ledger of open txns, whoever asked and however they are sent: who is owed the one final answer, which
// attempts are out and how each ended, and what is bounded. It runs the decision module's rounds: what
// comes in is gathered, and handed to the module once a turn; what the module writes goes to the txn's
// front or carrier. It reads no socket and no clock.
//
// A txn is open from take() until its final answer went to its front and its last attempt has ended.
// An attempt ends once, by ended(); so does a probe.
#pragma once

#include <array>
#include <functional>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "degradation/admission_table.h"
#include "invariants/invariants.h"
#include "routing/router.h"
#include "transactions/admission_controller.h"
#include "transactions/connection_close.h"
#include "transactions/endpoint_registry.h"
#include "transactions/execution_gate.h"
#include "transactions/trace.h"

namespace gulltrestle::transactions {

using OwnerId = std::uint64_t;  // whom a front owes an answer, by the front's own number; never 0
using ByteSlices = std::initializer_list<std::string_view>;

struct AttemptId {  // what a carrier has in hand
  TxnId txn = 0;    // 0: a probe
  unsigned attempt = 0;
  bool operator==(const AttemptId&) const = default;
};

// What of a txn is passed on to nodes. A carrier that tells the node how long it may take does so in place of
// these digits.
struct RequestMessage {
  std::string bytes;
  std::size_t timeoutOffset = 0, timeoutSize = 0;
  std::size_t idOffset = 0, idSize = 0;  // where the client's own id of the txn stands
};

// Who asks. Each call is the final answer to an owner; there is one a txn.
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  virtual void committed(OwnerId owner, const ResultValue& value) = 0;
  // `level`: of reduced service, where that is why it was refused as it came; 0: it is not.
  virtual void rejected(OwnerId owner, Duration retryAfter, unsigned level) = 0;
  virtual void rolledBack(OwnerId owner) = 0;
  // Committed means nothing to its clients without the value that a node answered.
  virtual bool requiresValue() const { return true; }
};

// Who takes an attempt to a node and tells how it ended, by TransactionTable::ended(), once; at once or
// later.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  virtual void startAttempt(AttemptId job, const NodeId& node) = 0;  // a probe, too
  // Nobody waits for it any more. It has not ended yet, and ends soon.
  virtual void cancelAttempt(AttemptId job, const NodeId& node) = 0;
  // Its txn has its final answer, or its client left: what the node has not got whole is not to get there. It
  // ends at once where that is so; else as it would.
  virtual void withdrawAttempt(AttemptId, const NodeId&) {}
  // A list was taken over by the ledger's nodes: these have another address now, others may be leaving.
  virtual void onEndpointList(const std::vector<NodeId>& moved) = 0;
  // The node is known no more: whatever waits for it ends.
  virtual void forgetNode(const NodeId& node) = 0;
};

class TransactionTable final : private EventSource, private DecisionSink {
 public:
  // `mostBytes`: of the messages of all open txns. `askForList`: what the module asks for where lists must be
  // asked for.
  TransactionTable(const RoutingConfig& terms, std::uint64_t seed, std::size_t mostBytes,
                   std::function<void()> askForList);

  // The newest point in time that was told; it never goes back.
  void advanceTo(Instant now);
  Instant now() const { return now_; }

  // Probes go to the carrier that was added first, or to this one.
  void addTransport(UpstreamTransport& carrier) { carriers_.push_back(&carrier); }
  void setHealthCheckTransport(UpstreamTransport& carrier) { prober_ = &carrier; }

  const EndpointRegistry& endpoints() const { return nodes_; }

  // Levels of reduced service, which are told what is observed and asked each turn; `changed` is told of each
  // change. Where the terms say that levels reduce.
  using DegradationListener = std::function<void(const degradation::Change&)>;
  void enableDegradation(degradation::DegradationController& levels, degradation::AdmissionTable table,
                         DegradationListener changed);

  // Asked before a txn that may run only once comes to the module. Null: none is asked. Before the first txn.
  void setExecutionGate(ExecutionGate* guard) { guard_ = guard; }
  // Asked for each txn, ahead of the guard. Null: all are let in. Before the first txn.
  void setAdmissionController(AdmissionController* door) { door_ = door; }
  // Has the node asked for its standing; the answer goes to the module and the door. Outside their calls.
  void requestLoadReport(const NodeId& node) { sendHealthCheck(node); }
  // Others have seen a node so: the module learns it as if the node had told it.
  void learnLoadReport(const NodeId& node, const LoadReport& standing);

  // --- For the guard, from outside its own calls. A txn that is not waiting for it is passed over.

  void admit(TxnId txn);
  // It may not run, and this is its final answer: committed where that and its value are known, refused
  // where trying again is harmless, else rolled back.
  void answerCommitted(TxnId txn, const ResultValue& value);
  void answerRejected(TxnId txn, Duration retryAfter);
  void answerRolledBack(TxnId txn);

  // --- For fronts

  struct Attempt {
    NodeId node;
    Instant sentAt, sendBy, abandonAt;
    bool hasEnded = false;
    AttemptOutcome outcome = AttemptOutcome::notSent;  // once it is over
  };

  bool isOpen(std::string_view id) const { return openIds_.contains(id); }
  bool hasCapacityFor(std::size_t bytes) const { return heldBytes_ + bytes <= mostBytes_; }
  // The txn gets its number here. `id`: by which its client names it, where the message doesn't say.
  TxnId openTransaction(DownstreamHandler& front, OwnerId owner, UpstreamTransport& carrier, Transaction txn,
                        RequestMessage message, std::string_view id = {});
  // Its owner gave up: it gets no answer and nothing new is sent for it.
  void leave(TxnId txn);

  // --- For carriers

  const RequestMessage& message(TxnId txn) const { return live_.at(txn).message; }
  // Null once it is not known any more; valid until the next event.
  const Attempt* attempt(AttemptId job) const;
  // Nobody waits for its answer any more, or for that of any other of its txn.
  bool isAnswerPending(TxnId txn) const;
  // Asked right before an attempt goes to its node, which is told to take no longer than `told`. False: it
  // may not go, and ends as not sent.
  bool maySend(AttemptId job, const NodeId& node, Duration told);
  // The txn's final answer, ahead of ended().
  void commit(TxnId txn, const ResultValue& value);
  // A second call for the same attempt is passed over.
  void onAttemptEnded(AttemptId job, const NodeId& node, AttemptOutcome how, const LoadReport& answer = {},
                      const LoadReport& report = {});

  // It took no connection, or the last one to it was ended from there: it may have been down. Called beside
  // ended() where an attempt was on it.
  void onNodeDisconnected(const NodeId& node);

  // --- Lists and turns

  // `version`: of the list, as discovery counts them.
  void onEndpointList(EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list, std::uint64_t version = 0);
  // The guard has learnt of these nodes: they leave, whatever the last list said.
  void leave(const std::vector<NodeId>& nodes);
  // Nothing new goes to the nodes of `now`; nor, from `from` on, to those of `later`: whatever lists say,
  // until it is called again. Never: there is no such moment. Where there is a guard.
  void excludeNodes(std::set<NodeId> now, std::set<NodeId> later, Instant from);
  // An attempt is out at one of these, or waits for a connection there.
  bool hasAttemptAt(const std::set<NodeId>& nodes) const;
  // Service of some group is reduced.
  bool isDegraded() const;
  // What the last lists said of each node, where there is a guard.
  const std::map<NodeId, ResolvedEndpoint>& lastEndpointList() const { return last_; }
  void onEndpointListFailed();
  // The module has its round if anything came in or its wake is due. Returns when it wants the next one;
  // never: not before something comes in.
  Instant endTurn();

  std::size_t openCount() const { return live_.size(); }

  // What becomes of each txn; fronts and carriers add what they know.
  Trace& trace() { return trace_; }
  const Trace& trace() const { return trace_; }
  invariants::Invariants& invariants() { return invariants_; }
  const invariants::Invariants& invariants() const { return invariants_; }

 private:
  struct OpenTransaction {               // a txn that is owed its answer, or has attempts out
    DownstreamHandler* front = nullptr;  // null: it has its final answer
    OwnerId owner = 0;
    UpstreamTransport* carrier = nullptr;
    RequestMessage message;
    std::vector<Attempt> attempts;
    GroupId group = 0;
    std::size_t type = 0;
    Instant takenAt;
    Duration latencyTarget;
    bool guarded = false;
    Instant earlierSentAt;  // when the first attempt elsewhere that may have run was sent; never: none was
    bool admitted = false;  // by the door, which is owed a word once it is over
    std::optional<Transaction> waiting;  // for the guard's word: the module has not seen it
    std::string_view id() const {
      return std::string_view(message.bytes).substr(message.idOffset, message.idSize);
    }
  };

  // Feed and Writer.
  void deliver(Router& router) override;
  void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) override;
  void cancel(TxnId txn, unsigned attempt) override;
  void reject(TxnId txn, Duration retryAfter) override;
  void rollBack(TxnId txn) override;
  void sendHealthCheck(const NodeId& node) override;
  void wakeAfter(Duration after) override;
  void followEndpointList() override;
  void forgetNode(const NodeId& node) override;

  void reduce();
  double waitedShare(const OpenTransaction& live) const { return (now_ - live.takenAt) / live.latencyTarget; }

  using Arrival = std::function<void(Router&)>;
  void arrived(Arrival call) { arrivals_.push_back(std::move(call)); }
  void takeOver(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);
  void keepOutAnew(const std::set<NodeId>& before);
  OpenTransaction* owed(TxnId txn);
  bool stopWaiting(TxnId txn);
  ExecutionOutcome fateOf(const OpenTransaction& live) const;
  Instant firstSentBefore(const OpenTransaction& live, unsigned attempt) const;
  template <typename Answer>
  void finish(TxnId txn, Answer answer);
  void pass(OpenTransaction& live, bool committed);
  void traceAnswer(TxnId txn, std::string_view answer, unsigned level = 0);
  void withdrawAll(TxnId txn);
  void forget(TxnId txn);

  Router router_;
  std::size_t mostBytes_, mostOpen_;
  std::function<void()> askForList_;
  EndpointRegistry nodes_;
  std::vector<TransactionClass> types_;  // a row a txn type
  invariants::Invariants invariants_;
  Trace trace_;
  ExecutionGate* guard_ = nullptr;
  AdmissionController* door_ = nullptr;
  std::map<NodeId, ResolvedEndpoint> last_;  // of each node that lists name, where there is a guard
  std::set<NodeId> out_, outLater_;          // that are kept out, whatever lists say
  Instant outFrom_;                          // of those later; never: none is
  degradation::DegradationController* levels_ = nullptr;
  degradation::AdmissionTable table_;
  DegradationListener changed_;
  std::map<GroupId, std::pair<degradation::Level, double>> reduced_;  // as the module was last told
  std::vector<UpstreamTransport*> carriers_;
  UpstreamTransport* prober_ = nullptr;
  Instant now_, wakeAt_;
  std::map<TxnId, OpenTransaction> live_;
  std::unordered_set<std::string_view> openIds_;  // of the txns in live_
  std::vector<Arrival> arrivals_;
  std::vector<std::pair<TxnId, Duration>> rejected_;  // by the door, to be refused in this turn
  std::size_t heldBytes_ = 0;                         // of the messages in live_
  TxnId lastTxn_ = 0;
};

}  // namespace gulltrestle::transactions
