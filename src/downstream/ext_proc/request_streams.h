// Streams of proxies that request an endpoint lease for each HTTP request: the phases of a stream, its
// transaction, and the answers to the proxy. One stream is one attempt; endpoint_leases::LeaseRegistry
// decides which streams are attempts of one transaction. Reads no socket and no clock.
//
//   stage             meaning                                        next stage
//   opened            nothing was requested yet                      awaitingPrior or awaitingDecision: the
//                                                                    request headers were received
//   awaitingPrior     an earlier attempt of the transaction has      awaitingDecision: that attempt has ended
//                     not ended                                      or is given up
//   awaitingDecision  the router has the transaction                 leased: a lease was granted
//   leased            the proxy sends the attempt                    reported: the answer's headers were
//                                                                    received
//   reported          the node's answer is held back until the       answered: the router has decided
//                     router has decided
//   answered          the decision is final; further phases pass
//                     through
//
// Every stage can change to answered, by a rejection or the end of the stream.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "downstream/ext_proc/header_mapping.h"
#include "endpoint_leases/lease_duration.h"
#include "endpoint_leases/lease_registry.h"
#include "protocol/ext_proc/messages.h"
#include "transactions/transaction_table.h"
#include "upstream/delegated/delegated_transport.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::StreamKey;

// Why the gateway closes a stream. Each reason maps to a gRPC status.
enum class StreamCloseReason { finished, invalidMessage, timedOut, tooManyStreams, unavailable };

// Actions that the streams request from the owner of the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  virtual void send(StreamKey stream, std::string_view message) = 0;
  // Closes the stream once all sent messages are written.
  virtual void close(StreamKey stream, StreamCloseReason reason, std::string_view message) = 0;
  // `event`: stable name of the event. `fields`: key=value pairs.
  virtual void log(std::string_view event, const std::string& fields) = 0;
};

// The streams of the connection on which a stream was opened.
struct ConnectionStreams {
  ConnectionId connection = 0;  // identifies the connection; 0: unknown
  std::size_t open = 1;         // with the one that was opened
  bool isOnlyConnection = true;
};

// Limits on streams of proxies.
struct StreamLimits {
  // Open at the same time. A quarter is kept from each connection for the others, if there are others.
  std::size_t maxStreams = 1000;
  Duration requestTimeout = Duration::millis(2000);  // from the opening of a stream to its request headers
  endpoint_leases::MessageTimeout messageTimeout;
};

// Serves the streams of all proxies. At most one instance per process.
class RequestStreams final : private transactions::DownstreamHandler,
                             private upstream::delegated::LeaseHandler {
 public:
  // The references must outlive this.
  RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                 endpoint_leases::LeaseRegistry leaseRegistry, endpoint_leases::DrainRule drainRule,
                 StreamLimits limits, Effects& effects);

  // --- Events. TransactionTable::advanceTo() must be called with the time of the event first.

  void onOpened(StreamKey key, const ConnectionStreams& connection = {});
  void onMessage(StreamKey key, std::string_view bytes);
  // The proxy sends no more messages.
  void onHalfClosed(StreamKey key);
  void onEnded(StreamKey key);
  // Discovery sent a message, even if it changes nothing.
  void onDiscoveryActivity() { transport_.onDiscoveryActivity(); }

  // Answers and closes the streams whose deadline has expired.
  void endTurn();
  // Returns when endTurn() has to be called next; never: no timer is pending.
  Instant nextDue() const;
  // Closes every stream that is opened from now on.
  void stop() { isStopped_ = true; }
  // Answers and closes all streams: the process may soon be killed. Called after stop().
  void closeRemaining();
  bool empty() const { return streams_.empty(); }
  transactions::UpstreamTransport& transport() { return transport_; }

  // Counts since the start of the process, for logs and status.
  struct Counts {
    std::uint64_t requested = 0, granted = 0, committed = 0, rejected = 0, rolledBack = 0;
    std::uint64_t denied = 0;      // requests answered without the router
    std::uint64_t unreported = 0;  // leases whose attempt's outcome was not reported
    std::uint64_t misused = 0;     // leases that were used for another address than the granted one
    std::uint64_t malformed = 0;   // invalid messages and requests
  };
  const Counts& counts() const { return counts_; }
  std::size_t rememberedTransactionCount() const { return leaseRegistry_.size(); }
  std::size_t outstandingLeaseCount() const { return transport_.outstandingLeaseCount(); }

 private:
  enum class Stage { opened, awaitingPrior, awaitingDecision, leased, reported, answered };
  // Final answer to a transaction.
  struct Answer {
    endpoint_leases::FinalOutcome outcome = endpoint_leases::FinalOutcome::rejected;
    Duration retryAfter{};      // of a rejection; zero: unspecified
    unsigned level = 0;         // degradation level that caused the rejection; 0: none
    std::string_view reason{};  // why it was not committed; static storage, may be empty
  };
  struct Stream {
    Stage stage = Stage::opened;
    ConnectionId connection = 0;  // as in Transaction
    HeaderMapping::ParsedRequest request;
    TxnId txn = 0;                // 0: no transaction was opened
    bool ownsTransaction = true;  // false: another stream owns the transaction with this id
    endpoint_leases::DecisionDeadlines decisionDeadlines;
    upstream::delegated::EndpointLease lease;
    std::optional<Answer> pendingAnswer;  // answer of the router that can't be sent yet
    bool hasHalfClosed = false, hasReported = false;
    Instant deadline;  // never: no timer is pending
  };
  struct Deadline {
    Instant at;
    StreamKey key = 0;
    auto operator<=>(const Deadline&) const = default;
  };
  struct LogLimit {
    Instant loggedAt;
    std::size_t suppressedCount = 0;  // since the last logged line
  };

  // DownstreamHandler
  void onTransactionCommitted(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void onTransactionRejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void onTransactionRolledBack(transactions::OwnerId owner) override;
  bool requiresValue() const override { return false; }
  // LeaseHandler
  bool onLeaseGranted(TxnId txn, const upstream::delegated::EndpointLease& lease) override;

  // Messages and requests
  bool hasCapacityFor(const ConnectionStreams& connection) const;
  void onRequestHeaders(StreamKey key, Stream& stream, const wire::Headers& headers);
  void onResponseHeaders(StreamKey key, Stream& stream, const wire::Headers& headers);
  void onBodyOrTrailers(StreamKey key, Stream& stream, wire::Phase phase);
  void requestLease(StreamKey key, Stream& stream);
  void openTransaction(StreamKey key, Stream& stream, PriorAttempts priorAttempts);
  void supersede(StreamKey key);
  void releaseTransaction(StreamKey key, Stream& stream);

  // Reports and answers (stream_answers.cpp)
  void handleReport(StreamKey key, Stream& stream, const endpoint_leases::ProxyReport& report);
  void deliverAnswer(StreamKey key, const Answer& answer);
  void sendCommitted(StreamKey key, Stream& stream);
  void sendImmediate(StreamKey key, Stream& stream, const Answer& answer);
  void deny(StreamKey key, Stream& stream, const endpoint_leases::LeaseDecision& decision);
  void rejectRequest(StreamKey key, Stream& stream, std::string_view reason);
  void rejectMessage(StreamKey key, std::string_view reason);

  // Deadlines
  void onDeadline(StreamKey key);
  void onDecisionDeadline(StreamKey key, Stream& stream, Instant deadline);
  void closeAtShutDown(StreamKey key, Stream& stream);
  void setDeadline(StreamKey key, Stream& stream, Instant deadline);
  void logLimited(std::string_view event, const std::string& fields);

  transactions::TransactionTable& transactions_;
  HeaderMapping mapping_;
  endpoint_leases::LeaseRegistry leaseRegistry_;
  StreamLimits limits_;
  Effects& effects_;
  upstream::delegated::DelegatedTransport transport_;
  std::map<StreamKey, Stream> streams_;
  std::map<TxnId, StreamKey> owners_;  // transactions that wait for their answer or have a lease
  std::set<StreamKey> awaitingPrior_;  // streams in stage awaitingPrior
  std::set<Deadline> deadlines_;       // deadlines of streams_
  std::map<std::string, LogLimit, std::less<>> logLimits_;  // by event name
  Counts counts_;
  bool isStopped_ = false;
};

}  // namespace gulltrestle::downstream::ext_proc
