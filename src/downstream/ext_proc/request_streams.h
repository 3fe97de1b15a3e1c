// Streams of proxies that ask for each request where it goes: their phases, the txns they stand for, and what
// each is told. One stream is one try; endpoint_leases::Book says which streams are tries of one txn. It
// reads no socket and no clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "downstream/ext_proc/header_mapping.h"
#include "endpoint_leases/lease_duration.h"
#include "endpoint_leases/lease_registry.h"
#include "protocol/ext_proc/messages.h"
#include "transactions/transaction_table.h"
#include "upstream/delegated/delegated_transport.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::StreamKey;

// How a stream is ended here, in the words of gRPC that its server gives.
enum class StreamCloseReason { done, invalid, overdue, full, unavailable };

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  virtual void send(StreamKey stream, std::string_view message) = 0;
  // After what was sent.
  virtual void close(StreamKey stream, StreamCloseReason reason, std::string_view message) = 0;
  // An event's stable name, and its fields as key=value.
  virtual void log(std::string_view event, const std::string& fields) = 0;
};

// Limits on streams of proxies.
struct Bounds {
  std::size_t mostStreams = 1000;
  Duration openLimit = Duration::millis(2000);  // a stream must have asked by then
  endpoint_leases::MessageTimeout messageTimeout;
};

class RequestStreams final : private transactions::DownstreamHandler,
                             private upstream::delegated::LeaseHandler {
 public:
  RequestStreams(transactions::TransactionTable& transactions, HeaderMapping mapping,
                 endpoint_leases::LeaseRegistry leaseRegistry, endpoint_leases::DrainRule rule, Bounds bounds,
                 Effects& effects);

  // Events. The ledger has been told when.
  void opened(StreamKey stream);
  void message(StreamKey stream, std::string_view bytes);
  void halfClosed(StreamKey stream);
  void ended(StreamKey stream);
  // Discovery sent something, be it nothing new.
  void onDiscoveryActivity() { transport_.onDiscoveryActivity(); }

  void endTurn();
  Instant nextDue() const;
  void stop() { stopped_ = true; }  // nothing new is taken
  bool empty() const { return streams_.empty(); }
  transactions::UpstreamTransport& transport() { return transport_; }

  // Since the start, for logs and status.
  struct Counts {
    std::uint64_t asked = 0, granted = 0, committed = 0, refused = 0, rolledBack = 0, denied = 0,
                  unreported = 0, misused = 0, malformed = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t rememberedTransactionCount() const { return leaseRegistry_.size(); }
  std::size_t outstandingLeaseCount() const { return transport_.outstandingLeaseCount(); }

 private:
  enum class Stage {
    opened,    // has not asked
    waiting,   // for an earlier try of its txn to end
    asking,    // its txn is with the module
    granted,   // it was told where to send
    reported,  // the node's answer is held until the module has decided
    answered   // all decisions are told: further phases go on
  };
  struct Stream {
    Stage stage = Stage::opened;
    HeaderMapping::ParsedRequest asked;
    TxnId txn = 0;
    endpoint_leases::HoldDeadlines hold;
    upstream::delegated::EndpointLease grant;
    std::optional<endpoint_leases::FinalOutcome>
        pendingOutcome;  // by the module, while nothing could be told
    Duration retryAfter;
    unsigned level = 0;  // of reduced service, by which it was refused
    bool halfClosed = false, hasReportedEnd = false;
    Instant due;  // never: nothing is awaited
  };

  // Front.
  void committed(transactions::OwnerId owner, const transactions::ResultValue& value) override;
  void rejected(transactions::OwnerId owner, Duration retryAfter, unsigned level) override;
  void rolledBack(transactions::OwnerId owner) override;
  bool requiresValue() const override { return false; }
  // Granting.
  bool onLeaseGranted(TxnId txn, const upstream::delegated::EndpointLease& grant) override;

  void ask(StreamKey key, Stream& stream);
  void report(StreamKey key, Stream& stream, const wire::Headers& headers);
  void deliverAnswer(StreamKey key, endpoint_leases::FinalOutcome outcome, Duration retryAfter);
  void sendImmediate(StreamKey key, Stream& stream, endpoint_leases::FinalOutcome outcome,
                     Duration retryAfter, std::string_view reason);
  void rejectRequest(StreamKey key, Stream& stream, std::string_view reason);
  void rejectMessage(StreamKey key, std::string_view reason);
  void releaseTransaction(StreamKey key, Stream& stream);
  void onDue(StreamKey key);
  void onHoldDue(StreamKey key, Stream& stream, Instant due);
  void setDue(StreamKey key, Stream& stream, Instant due);
  void logBounded(std::string_view event, const std::string& fields);

  transactions::TransactionTable& transactions_;
  HeaderMapping mapping_;
  endpoint_leases::LeaseRegistry leaseRegistry_;
  Bounds bounds_;
  Effects& effects_;
  upstream::delegated::DelegatedTransport transport_;
  std::map<StreamKey, Stream> streams_;
  std::map<TxnId, StreamKey> owners_;  // of txns that are owed an answer or have a grant out
  std::set<StreamKey> waiting_;
  std::set<std::pair<Instant, StreamKey>> due_;
  struct LogLimit {
    Instant at;
    std::size_t since = 0;
  };
  std::map<std::string, LogLimit, std::less<>>
      logLimits_;  // when each event was last logged, and how often since
  Counts counts_;
  bool stopped_ = false;
};

}  // namespace gulltrestle::downstream::ext_proc
