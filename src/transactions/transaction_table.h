// The table of open transactions, whoever opened them and however they are carried to nodes: who awaits the
// one final answer of each, which attempts are in flight and how each ended, and how much is open at most.
// It runs the rounds of the router (routing/router.h): events are collected and delivered to the
// router once a turn, and its decisions go to the transaction's downstream handler or upstream transport.
// It reads no socket and no clock.
//
// A transaction is open from openTransaction() until its final answer was given and its last attempt has
// ended. An attempt ends once, by onAttemptEnded(); so does a health check.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "degradation/admission_table.h"
#include "invariants/invariants.h"
#include "routing/router.h"
#include "transactions/admission_controller.h"
#include "transactions/connection_close.h"
#include "transactions/degradation_updates.h"
#include "transactions/downstream_handler.h"
#include "transactions/endpoint_exclusions.h"
#include "transactions/endpoint_registry.h"
#include "transactions/execution_gate.h"
#include "transactions/open_transaction.h"
#include "transactions/trace.h"
#include "transactions/upstream_transport.h"

namespace gulltrestle::transactions {

// See above. Single-threaded; handlers, transports and gates must outlive it.
class TransactionTable final : private EventSource, private DecisionSink {
 public:
  // `maxMessageBytes`: of the messages of all open transactions. `pollEndpointList`: called when the router
  // wants the endpoint list, where lists are polled.
  TransactionTable(const RoutingConfig& config, std::uint64_t seed, std::size_t maxMessageBytes,
                   std::function<void()> pollEndpointList);

  // Sets the current time, which never goes back. Called ahead of the events of that time.
  void advanceTo(Instant now);
  Instant now() const { return now_; }

  // Health checks go to the transport that was added first, or to the one set for them.
  void addTransport(UpstreamTransport& transport) { transports_.push_back(&transport); }
  void setHealthCheckTransport(UpstreamTransport& transport) { healthCheckTransport_ = &transport; }

  const EndpointRegistry& endpoints() const { return endpoints_; }

  // Has `controller` observe the transactions and set the groups' degradation levels; `listener` is notified
  // of each change. Requires RoutingConfig::degradationEnabled.
  using DegradationListener = DegradationUpdates::Listener;
  void enableDegradation(degradation::DegradationController& controller, degradation::AdmissionTable table,
                         DegradationListener listener) {
    degradation_.enable(controller, std::move(table), std::move(listener));
  }

  // Asked before an at-most-once transaction goes to the router. Null: none is asked. Set it before the first
  // transaction.
  void setExecutionGate(ExecutionGate* gate) { executionGate_ = gate; }
  // Asked for each transaction, ahead of the execution gate. Null: all are admitted. Set it before the first
  // transaction.
  void setAdmissionController(AdmissionController* controller) { admissionController_ = controller; }
  // Sends a health check to the node; its report goes to the router and the admission controller. Must not
  // be called from within a call of either.
  void requestLoadReport(const NodeId& node) { sendHealthCheck(node); }
  // Gives the router a report that another router has received, as if the node had sent it here.
  void onPeerLoadReport(const NodeId& node, const LoadReport& report);

  // --- For the execution gate, outside its own calls. Ignored for a transaction that does not wait for it.

  void admit(TxnId txn);
  // The transaction must not run, and this is its final answer: committed where that and its value are known,
  // rejected where a retry is harmless, else rolled back.
  void answerCommitted(TxnId txn, const ResultValue& value);
  void answerRejected(TxnId txn, Duration retryAfter);
  void answerRolledBack(TxnId txn);

  // --- For downstream handlers

  bool isOpen(std::string_view id) const { return openIds_.contains(id); }
  bool hasCapacityFor(std::size_t bytes) const { return messageBytes_ + bytes <= maxMessageBytes_; }
  // Returns the number that the transaction gets. `id`: by which its client names it, where the message does
  // not contain it.
  TxnId openTransaction(DownstreamHandler& handler, OwnerId owner, UpstreamTransport& transport,
                        Transaction transaction, RequestMessage message, std::string_view id = {});
  // Its client left: it gets no answer, and no further attempt starts.
  void onClientLeft(TxnId txn);

  // --- For upstream transports

  const RequestMessage& message(TxnId txn) const { return openTransactions_.at(txn).message; }
  // Null once it is no longer known; valid until the next event.
  const AttemptRecord* attempt(AttemptId attemptId) const;
  // Whether the transaction still awaits its final answer.
  bool isAnswerPending(TxnId txn) const;
  // Called right before an attempt is sent to its node with `timeoutSent` as its time limit. False: it must
  // not be sent, and has to end as notSent.
  [[nodiscard]] bool maySend(AttemptId attemptId, const NodeId& node, Duration timeoutSent);
  // Gives the transaction its final answer. Call it ahead of onAttemptEnded().
  void commit(TxnId txn, const ResultValue& value);
  // Further calls for the same attempt are ignored. `answerReport`: the node's load report within its answer;
  // `report`: what it reported besides, or to a health check.
  void onAttemptEnded(AttemptId attemptId, const NodeId& node, AttemptOutcome outcome,
                      const LoadReport& answerReport = {}, const LoadReport& report = {});
  // The node took no connection, or ended the last one: it may have been down. Called in addition to
  // onAttemptEnded() where the connection carried an attempt.
  void onNodeDisconnected(const NodeId& node);

  // --- Endpoint lists

  // `version`: of the list, as discovery counts them.
  void onEndpointList(EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list, std::uint64_t version = 0);
  void onEndpointListFailed();
  // The next three are for installations with an execution gate.
  // These nodes are draining, whatever the last list has.
  void markDraining(const std::vector<NodeId>& nodes);
  // Nothing new goes to the nodes of `current` nor, from `startsAt` on, to those of `upcoming`, whatever the
  // lists say, until the next call. Never: both at once.
  void excludeNodes(std::set<NodeId> current, std::set<NodeId> upcoming, Instant startsAt);
  // Each node's entry in the last lists.
  const std::map<NodeId, ResolvedEndpoint>& lastEndpointList() const {
    return exclusions_.lastEndpointList();
  }
  // An attempt is in flight at one of these, or waits for a connection there.
  bool hasAttemptAt(const std::set<NodeId>& nodes) const;

  // --- Turns

  // Runs a round of the router if an event came in or its wake-up is due. Returns when the next turn is
  // wanted; never: not before the next event.
  Instant endTurn();

  // Some group is at a degradation level above 0.
  bool isDegraded() const { return degradation_.isDegraded(); }
  std::size_t openCount() const { return openTransactions_.size(); }

  // Downstream handlers and upstream transports write their own lines to it.
  Trace& trace() { return trace_; }
  const Trace& trace() const { return trace_; }
  invariants::Invariants& invariants() { return invariants_; }
  const invariants::Invariants& invariants() const { return invariants_; }

 private:
  // EventSource and DecisionSink, called by the router during a round.
  void deliver(Router& router) override;
  void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant abandonAt) override;
  void cancel(TxnId txn, unsigned attempt) override;
  void reject(TxnId txn, Duration retryAfter) override;
  void rollBack(TxnId txn) override;
  void sendHealthCheck(const NodeId& node) override;
  void wakeAfter(Duration delay) override;
  void followEndpointList() override;
  void forgetNode(const NodeId& node) override;

  // An event is a call on the router, to be made in the next round.
  using RouterEvent = std::function<void(Router&)>;
  void enqueue(RouterEvent event) { events_.push_back(std::move(event)); }
  bool isWakeUpDue() const { return wakeUpAt_ != Instant() && wakeUpAt_ <= now_; }
  void detectProcessStall();
  void answerRejectedByAdmission();
  void updateDegradation();
  double ownUtilization() const;
  void applyEndpointList(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);
  void applyChangedEndpoints(const std::vector<ResolvedEndpoint>& changed);

  OpenTransaction* find(TxnId txn);
  const OpenTransaction* find(TxnId txn) const;
  // Null as well for one that does not await its final answer any more.
  OpenTransaction* findAwaitingAnswer(TxnId txn);
  void submit(TxnId txn, OpenTransaction& open, const Transaction& transaction, std::string_view gateId);
  bool stopAwaitingGate(TxnId txn);
  void notifyAdmissionController(OpenTransaction& open, bool isCommitted);
  void traceAnswer(TxnId txn, std::string_view answer, unsigned level = 0);
  void withdrawAttempts(TxnId txn);
  void forgetIfFinished(TxnId txn);

  // Gives the final answer by `answer(DownstreamHandler&, OwnerId)`, unless there was one.
  template <typename Answer>
  void finish(TxnId txn, Answer answer) {
    OpenTransaction* open = findAwaitingAnswer(txn);
    if (!open) return;
    notifyAdmissionController(*open, false);
    answer(*std::exchange(open->handler, nullptr), open->owner);
    forgetIfFinished(txn);
  }

  Router router_;
  std::size_t maxMessageBytes_, maxOpenTransactions_;
  std::function<void()> pollEndpointList_;
  std::vector<TransactionClass> transactionClasses_;
  EndpointRegistry endpoints_;
  EndpointExclusions exclusions_;  // used where there is an execution gate
  DegradationUpdates degradation_;
  invariants::Invariants invariants_;
  Trace trace_;
  ExecutionGate* executionGate_ = nullptr;
  AdmissionController* admissionController_ = nullptr;
  std::vector<UpstreamTransport*> transports_;
  UpstreamTransport* healthCheckTransport_ = nullptr;

  Instant now_;
  Instant wakeUpAt_;  // when the router asked for a round; never: it did not
  TxnId lastTxn_ = 0;
  std::map<TxnId, OpenTransaction> openTransactions_;
  std::unordered_set<std::string_view> openIds_;  // of openTransactions_, whose messages hold the text
  std::size_t messageBytes_ = 0;                  // of the messages in openTransactions_
  std::vector<RouterEvent> events_;
  struct AdmissionRejection {
    TxnId txn = 0;
    Duration retryAfter;
  };
  std::vector<AdmissionRejection> admissionRejections_;  // to be answered at the end of this turn
};

}  // namespace gulltrestle::transactions
