// The table of open transactions, independent of the downstream handlers that open them and the upstream
// transports that carry them to nodes. It stores the recipient of each transaction's one final answer and
// the state and outcome of each attempt, and tracks how much is open against the limits.
// It runs the rounds of the router (routing/router.h): events are collected and delivered to the router once
// per turn, and the router's decisions are passed to the transaction's downstream handler or upstream
// transport. No socket I/O, no clock.
//
// A transaction is open from openTransaction() until its final answer was given and its last attempt has
// ended. Each attempt and each health check ends exactly once, by onAttemptEnded().
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
#include "transactions/execution_history.h"
#include "transactions/open_transaction.h"
#include "transactions/trace.h"
#include "transactions/upstream_transport.h"

namespace gulltrestle::transactions {

// See above. Single-threaded. Handlers, transports, gates and controllers must outlive the table.
class TransactionTable final : private EventSource, private DecisionSink {
 public:
  // `maxMessageBytes`: limit on the total size of the messages of all open transactions. `pollEndpointList`:
  // called when the router requests the endpoint list, if lists are polled.
  TransactionTable(const RoutingConfig& config, std::uint64_t seed, std::size_t maxMessageBytes,
                   std::function<void()> pollEndpointList);

  // Sets the current time, which never decreases. Must be called before the events of that time.
  void advanceTo(Instant now);
  Instant now() const { return now_; }

  // Health checks use the transport set for them, or else the one added first.
  void addTransport(UpstreamTransport& transport) { transports_.push_back(&transport); }
  void setHealthCheckTransport(UpstreamTransport& transport) { healthCheckTransport_ = &transport; }

  const EndpointRegistry& endpoints() const { return endpoints_; }

  // The process shuts down and may be killed: all transactions, also those opened later, get their final
  // answers by `answerBy`.
  void shutDown(Instant answerBy);
  // Returns the part of a client's remaining time within which its request is answered; not zero, as the
  // router decides also on requests that come too late.
  Duration limitedToShutdown(Duration remainingTime) const;

  // Makes `controller` observe the transactions and set the groups' degradation levels. `listener` is
  // notified of each change. Requires RoutingConfig::degradationEnabled.
  using DegradationListener = DegradationUpdates::Listener;
  void enableDegradation(degradation::DegradationController& controller, degradation::AdmissionTable table,
                         DegradationListener listener) {
    degradation_.enable(controller, std::move(table), std::move(listener));
  }

  // The gate is consulted before an at-most-once transaction is passed to the router. Null: all may execute.
  // Must be set before the first transaction.
  void setExecutionGate(ExecutionGate* gate) { executionGate_ = gate; }
  // The controller is consulted for each transaction, before the execution gate. Null: all are admitted. Must
  // be set before the first transaction.
  void setAdmissionController(AdmissionController* controller) { admissionController_ = controller; }
  // Sends a health check to the node; its report is passed to the router and the admission controller. Must
  // not be called from within a call of either.
  void requestLoadReport(const NodeId& node) { sendHealthCheck(node); }
  // Passes on a load report that another router has received, as if the node had sent it to this one.
  void onPeerLoadReport(const NodeId& node, const LoadReport& report);

  // --- For the execution gate, outside its own calls. Ignored unless the transaction awaits the gate.

  void admit(TxnId txn);
  // These three give the final answer of a transaction that must not run: committed if its commit and value
  // are known, rejected if a retry is safe, otherwise rolled back.
  void answerCommitted(TxnId txn, const ResultValue& value);
  void answerRejected(TxnId txn, Duration retryAfter);
  void answerRolledBack(TxnId txn);

  // --- For downstream handlers

  bool isOpen(std::string_view id) const { return openIds_.contains(id); }
  bool hasCapacityFor(std::size_t bytes) const { return messageBytes_ + bytes <= maxMessageBytes_; }
  // Returns the id assigned to the transaction. `id`: the id that the client gave to it, if the message does
  // not contain one: the handler then has to know of earlier transactions with the same id itself.
  TxnId openTransaction(DownstreamHandler& handler, OwnerId owner, UpstreamTransport& transport,
                        Transaction transaction, RequestMessage message, std::string_view id = {});
  // Its client has left: the transaction gets no answer, and no further attempt is started.
  void onClientDisconnected(TxnId txn);

  // --- For upstream transports

  const RequestMessage& message(TxnId txn) const { return openTransactions_.at(txn).message; }
  // Returns null if the attempt is not known any more. The pointer is valid until the next event.
  const AttemptRecord* attempt(AttemptId attemptId) const;
  // Returns whether the transaction still awaits its final answer.
  bool isAnswerPending(TxnId txn) const;
  // Whether the attempt is a read that the node may answer only while it is primary.
  bool isReadAtPrimary(AttemptId attemptId, const NodeId& node) const;
  // Must be called right before an attempt is sent to its node with `timeoutSent` as its time limit. If it
  // returns false, the attempt must not be sent and must end as notSent: the node no longer qualifies for it,
  // or a rule of invariants.h would be violated.
  [[nodiscard]] bool maySend(AttemptId attemptId, const NodeId& node, Duration timeoutSent);
  // Gives the transaction its final answer. Must be called before onAttemptEnded().
  void commit(TxnId txn, const ResultValue& value);
  // Further calls for the same attempt are ignored. `answerReport`: the load report within the node's answer.
  // `report`: the load report that the node sent in addition, or in response to a health check.
  void onAttemptEnded(AttemptId attemptId, const NodeId& node, AttemptOutcome outcome,
                      const LoadReport& answerReport = {}, const LoadReport& report = {});
  // The node accepted no connection or closed the last one: it may have been down. Called in addition to
  // onAttemptEnded() if the connection carried an attempt.
  void onNodeDisconnected(const NodeId& node);

  // --- Endpoint lists

  // `version`: the list's version number, as assigned by discovery.
  void onEndpointList(EndpointUpdateKind kind, std::vector<ResolvedEndpoint> list, std::uint64_t version = 0);
  void onEndpointListFailed();
  // The next three are for installations with an execution gate.
  // Marks these nodes as draining, overriding the last list.
  void markDraining(const std::vector<NodeId>& nodes);
  // Until the next call, starts no new attempts at the nodes of `current` and, from `startsAt` on, at those
  // of `upcoming`, regardless of the lists. If `startsAt` is Instant(), both are excluded at once.
  void excludeNodes(std::set<NodeId> current, std::set<NodeId> upcoming, Instant startsAt);
  // Each node's entry in the last endpoint lists.
  const std::map<NodeId, ResolvedEndpoint>& lastEndpointList() const {
    return exclusions_.lastEndpointList();
  }
  // Returns whether an attempt is in flight at one of these nodes, or waits for a connection to one.
  bool hasAttemptAt(const std::set<NodeId>& nodes) const;

  // --- Turns

  // Runs a round of the router if there are new events or its wake-up is due. Returns nextDue().
  Instant endTurn();
  // Returns when the next turn is needed; Instant() if none is needed before the next event.
  Instant nextDue() const;

  // Returns whether any group is at a degradation level above 0.
  bool isDegraded() const { return degradation_.isDegraded(); }
  std::size_t openCount() const { return openTransactions_.size(); }

  // Downstream handlers and upstream transports write their own trace lines to it.
  Trace& trace() { return trace_; }
  const Trace& trace() const { return trace_; }
  invariants::Invariants& invariants() { return invariants_; }
  const invariants::Invariants& invariants() const { return invariants_; }

 private:
  // EventSource and DecisionSink, called by the router during a round.
  void deliver(Router& router) override;
  void sendAttempt(TxnId txn, const NodeId& node, Instant sendBy, Instant abandonAt) override;
  void withdraw(TxnId txn, unsigned attempt) override;
  void cancel(TxnId txn, unsigned attempt) override;
  void reject(TxnId txn, Duration retryAfter) override;
  void rollBack(TxnId txn) override;
  void sendHealthCheck(const NodeId& node) override;
  void wakeAfter(Duration delay) override;
  void subscribeToEndpointList() override;
  void forgetNode(const NodeId& node) override;

  // An event is a call of the router, to be made in the next round.
  using RouterEvent = std::function<void(Router&)>;
  void enqueue(RouterEvent event) { events_.push_back(std::move(event)); }
  bool isWakeUpDue() const { return wakeUpAt_ != Instant() && wakeUpAt_ <= now_; }
  void detectProcessStall();
  void answerRejectedByAdmission();
  void answerAwaitingGateAtShutdown();
  void updateDegradation();
  double ownUtilization() const;
  void applyEndpointList(EndpointUpdateKind kind, const std::vector<ResolvedEndpoint>& list);
  void applyChangedEndpoints(const std::vector<ResolvedEndpoint>& changed);

  OpenTransaction* find(TxnId txn);
  const OpenTransaction* find(TxnId txn) const;
  // Also returns null for a transaction that does not await its final answer any more.
  OpenTransaction* findAwaitingAnswer(TxnId txn);
  void submit(TxnId txn, OpenTransaction& open, const Transaction& transaction, std::string_view gateId);
  bool remembersExecutions(Effect effect) const;
  bool addPriorExecution(Transaction& transaction, std::string_view id) const;
  void rememberExecution(const OpenTransaction& open);
  bool stopAwaitingGate(TxnId txn);
  void notifyAdmissionController(OpenTransaction& open, bool isCommitted);
  void traceAnswer(TxnId txn, std::string_view answer, unsigned level = 0);
  void withdrawAttempts(TxnId txn);
  const AttemptRecord* attemptInFlight(AttemptId attemptId) const;
  void forgetIfFinished(TxnId txn);

  // Gives the final answer by `answer(DownstreamHandler&, OwnerId)`, unless it was given already.
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
  EndpointExclusions exclusions_;  // used only if there is an execution gate
  DegradationUpdates degradation_;
  invariants::Invariants invariants_;
  Trace trace_;
  ExecutionGate* executionGate_ = nullptr;
  AdmissionController* admissionController_ = nullptr;
  std::vector<UpstreamTransport*> transports_;
  UpstreamTransport* healthCheckTransport_ = nullptr;

  Instant now_;
  Instant wakeUpAt_;                         // when the router requested a round; Instant() if it did not
  std::optional<Instant> shutdownAnswerBy_;  // all final answers are due by then; none: no shutdown
  TxnId lastTxn_ = 0;
  std::map<TxnId, OpenTransaction> openTransactions_;
  std::unordered_set<std::string_view> openIds_;  // views into the messages in openTransactions_
  std::size_t messageBytes_ = 0;                  // total size of the messages in openTransactions_
  // Of deduplicated transactions, and of at-most-once ones unless an execution gate records them.
  ExecutionHistory executionHistory_;
  std::vector<RouterEvent> events_;
  struct AdmissionRejection {
    TxnId txn = 0;
    Duration retryAfter;
  };
  std::vector<AdmissionRejection> admissionRejections_;  // answered at the end of this turn
};

}  // namespace gulltrestle::transactions
