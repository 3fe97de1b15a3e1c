// Streams of proxies that request an endpoint lease for each HTTP request: their phases, the transactions
// that they stand for, and what each is answered. One stream is one attempt; endpoint_leases::LeaseRegistry
// decides which streams are attempts of one transaction. It reads no socket and no clock.
//
//   stage             meaning                                        next stage
//   opened            it has not requested anything                  awaitingPrior or awaitingDecision: the
//                                                                    request's headers have come
//   awaitingPrior     an earlier attempt of its transaction has      awaitingDecision: it has, or is given up
//                     not ended
//   awaitingDecision  its transaction is with the router             leased: a lease was granted
//   leased            the proxy sends the attempt                    reported: the answer's headers have come
//   reported          the node's answer is held until the router     answered: it has
//                     has decided
//   answered          all is decided, further phases pass
//
// From every stage it may go to answered, by a rejection or its end.
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

// Why a stream is closed here; each stands for a status of gRPC.
enum class StreamCloseReason { finished, invalidMessage, overdue, tooManyStreams, unavailable };

// What the streams request of whoever has the sockets.
class Effects {
 public:
  virtual ~Effects() = default;
  virtual void send(StreamKey stream, std::string_view message) = 0;
  // Closes the stream after what was sent.
  virtual void close(StreamKey stream, StreamCloseReason reason, std::string_view message) = 0;
  // `event`: its stable name; `fields`: as key=value.
  virtual void log(std::string_view event, const std::string& fields) = 0;
};

// Limits on streams of proxies.
struct Bounds {
  std::size_t maxStreams = 1000;                     // open at a time
  Duration requestTimeout = Duration::millis(2000);  // for the request's headers, from the stream's opening
  endpoint_leases::MessageTimeout messageTimeout;
};

// One per process at most.
class RequestStreams final : private transactions::DownstreamHandler,
                             private upstream::delegated::LeaseHandler {
 public:
  // The references must outlive this.
  RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                 endpoint_leases::LeaseRegistry leaseRegistry, endpoint_leases::DrainRule drainRule,
                 Bounds bounds, Effects& effects);

  // --- Events, after TransactionTable::advanceTo() for their time.

  void onOpened(StreamKey key);
  void onMessage(StreamKey key, std::string_view bytes);
  // The proxy sends no more.
  void onHalfClosed(StreamKey key);
  void onEnded(StreamKey key);
  // Discovery sent something, be it nothing new.
  void onDiscoveryActivity() { transport_.onDiscoveryActivity(); }

  // Answers and closes the streams whose time is over.
  void endTurn();
  // When endTurn() has something to do; never: nothing is due.
  Instant nextDue() const;
  // From now on, further streams are closed.
  void stop() { isStopped_ = true; }
  bool empty() const { return streams_.empty(); }
  transactions::UpstreamTransport& transport() { return transport_; }

  // Since the start, for logs and status.
  struct Counts {
    std::uint64_t requested = 0, granted = 0, committed = 0, rejected = 0, rolledBack = 0;
    std::uint64_t denied = 0;      // answered without the router
    std::uint64_t unreported = 0;  // leases whose attempt's outcome was not reported
    std::uint64_t misused = 0;     // leases that were used for another address
    std::uint64_t malformed = 0;   // messages and requests
  };
  const Counts& counts() const { return counts_; }
  std::size_t rememberedTransactionCount() const { return leaseRegistry_.size(); }
  std::size_t outstandingLeaseCount() const { return transport_.outstandingLeaseCount(); }

 private:
  enum class Stage { opened, awaitingPrior, awaitingDecision, leased, reported, answered };
  // A transaction's final answer.
  struct Answer {
    endpoint_leases::FinalOutcome outcome = endpoint_leases::FinalOutcome::rejected;
    Duration retryAfter{};      // of a rejection; zero: no advice
    unsigned level = 0;         // the degradation level that rejected it; 0: none did
    std::string_view reason{};  // of what is not committed, static; may be empty
  };
  struct Stream {
    Stage stage = Stage::opened;
    HeaderMapping::ParsedRequest request;
    TxnId txn = 0;                // 0: none was opened
    bool ownsTransaction = true;  // false: the transaction of its id is another stream's
    endpoint_leases::HoldDeadlines hold;
    upstream::delegated::EndpointLease lease;
    std::optional<Answer> pendingAnswer;  // the router's, given while nothing could be sent
    bool hasHalfClosed = false, hasReported = false;
    Instant deadline;  // never: nothing is awaited
  };
  struct Deadline {
    Instant at;
    StreamKey key = 0;
    auto operator<=>(const Deadline&) const = default;
  };
  struct LogLimit {
    Instant loggedAt;
    std::size_t suppressedCount = 0;  // since then
  };

  // DownstreamHandler.
  void committed(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void rolledBack(transactions::OwnerId owner) override;
  bool requiresValue() const override { return false; }
  // LeaseHandler.
  bool onLeaseGranted(TxnId txn, const upstream::delegated::EndpointLease& lease) override;

  // Messages and requests
  void onRequestHeaders(StreamKey key, Stream& stream, const wire::Headers& headers);
  void onResponseHeaders(StreamKey key, Stream& stream, const wire::Headers& headers);
  void onBodyOrTrailers(StreamKey key, Stream& stream, wire::Phase phase);
  void requestLease(StreamKey key, Stream& stream);
  void openTransaction(StreamKey key, Stream& stream, PriorAttempts priorAttempts);
  void replace(StreamKey key);
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
  void onDue(StreamKey key);
  void onHoldDue(StreamKey key, Stream& stream, Instant deadline);
  void setDeadline(StreamKey key, Stream& stream, Instant deadline);
  void logLimited(std::string_view event, const std::string& fields);

  transactions::TransactionTable& transactions_;
  HeaderMapping mapping_;
  endpoint_leases::LeaseRegistry leaseRegistry_;
  Bounds bounds_;
  Effects& effects_;
  upstream::delegated::DelegatedTransport transport_;
  std::map<StreamKey, Stream> streams_;
  std::map<TxnId, StreamKey> owners_;  // of transactions that await their answer or have a lease
  std::set<StreamKey> awaitingPrior_;  // in that stage
  std::set<Deadline> deadlines_;       // of streams_
  std::map<std::string, LogLimit, std::less<>> logLimits_;  // by event
  Counts counts_;
  bool isStopped_ = false;
};

}  // namespace gulltrestle::downstream::ext_proc
