// Plays the same requests through the PostgreSQL client sessions and through the external processor. The
// router must make the same decisions.
#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include "downstream/postgres/client_sessions.h"
#include "ext_proc/bench.h"
#include "ext_proc/cases.h"
#include "protocol/postgres/messages.h"

namespace gulltrestle::ext_proc_test {

namespace {

constexpr std::size_t kSessionClass = 2, kChargeClass = 3;
constexpr int kSteps = 400, kPrintedLines = 40;

// Transport of the PostgreSQL path. Records the attempts, which the test answers.
class RecordingTransport final : public transactions::UpstreamTransport {
 public:
  struct Attempt {
    transactions::AttemptId id;
    NodeId node;
  };
  explicit RecordingTransport(std::string& trace) : trace_(trace) {}

  const Attempt* find(TxnId txn) const {
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&](const Attempt& attempt) { return attempt.id.txn == txn; });
    return found == attempts_.end() ? nullptr : &*found;
  }

  void startAttempt(transactions::AttemptId attemptId, const NodeId& node) override {
    trace_ += " " + std::to_string(attemptId.txn) + ">" + node;
    attempts_.push_back({attemptId, node});
  }
  void cancelAttempt(transactions::AttemptId, const NodeId&) override {}
  void onEndpointList(const std::vector<NodeId>&) override {}
  void forgetNode(const NodeId&) override {}

 private:
  std::string& trace_;
  std::vector<Attempt> attempts_;
};

// Records the decisions for both kinds of clients. Streams and clients have the ids of their transactions.
class RecordingClients final : public downstream::ext_proc::Effects, public downstream::postgres::Effects {
 public:
  explicit RecordingClients(std::string& trace) : trace_(trace) {}

  bool hasLease(StreamKey stream) const { return leased_.contains(stream); }

  void send(StreamKey stream, std::string_view message) override {
    const wire::Response response = wire::readResponse(message);
    if (response.isImmediate) record(stream, response.immediate.status == 503 ? "-" : "!");
    for (const auto& [name, value] : response.set)
      for (const std::string node : {"p", "a", "b"})
        if (value == addressOf(node) && leased_.insert(stream).second) record(stream, ">" + node);
  }
  void close(StreamKey, StreamCloseReason, std::string_view) override {}
  void log(std::string_view, const std::string&) override {}

  void writeClient(downstream::postgres::ClientId client, transactions::ByteSlices slices) override {
    constexpr std::string_view kRejectedCode = "53300", kRolledBackCode = "08007";
    for (const std::string_view slice : slices) {
      if (slice.find(kRejectedCode) != std::string_view::npos) {
        record(client, "-");
      } else if (slice.find(kRolledBackCode) != std::string_view::npos) {
        record(client, "!");
      }
    }
  }
  void readClient(downstream::postgres::ClientId) override {}
  void closeClient(downstream::postgres::ClientId) override {}
  bool hasUnreadBytes(downstream::postgres::ClientId) override { return false; }

 private:
  void record(std::uint64_t txn, const std::string& decision) {
    trace_ += " " + std::to_string(txn) + decision;
  }

  std::string& trace_;
  std::set<StreamKey> leased_;
};

enum class ClientKind { postgres, proxy };

// Plays the requests and records the decisions of the router, one line per turn with decisions: `ID>NODE` is
// sent, `ID-` rejected, `ID!` rolled back.
class Run {
 public:
  explicit Run(ClientKind kind)
      : kind_(kind),
        config_(configOfRun()),
        transactions_(config_, 11, 1 << 20, [] {}),
        transport_(trace_),
        recordingClients_(trace_),
        streams_(transactions_, downstream::ext_proc::HeaderMapping({}, config_, classNames()),
                 endpoint_leases::LeaseRegistry(config_.transactionClasses,
                                                endpoint_leases::ProxyPlacement::perAttempt, {}, "one"),
                 {.grace = ms(1000), .notificationBound = {}},
                 {.maxStreams = 1000,
                  .requestTimeout = ms(2000),
                  .messageTimeout = {.timeout = ms(5000), .maxExtension = {}}},
                 recordingClients_),
        clients_(transactions_, transport_, config_, classNames(),
                 {.connectTimeout = ms(250), .maxActiveClients = 0}, recordingClients_) {
    if (kind_ == ClientKind::proxy) {
      transactions_.addTransport(streams_.transport());
    } else {
      transactions_.addTransport(transport_);
    }
    transactions_.advanceTo(now_);
    transactions_.onEndpointList(EndpointUpdateKind::snapshot, endpointList({"p", "a", "b"}));
    clients_.onEndpointListKnown();
  }

  std::string play() {
    for (int step = 0; step < kSteps; ++step) {
      now_ = now_ + ms(5);
      transactions_.advanceTo(now_);
      answerDue();
      for (int count = static_cast<int>(random_() % 3); count > 0; --count) startRequest();
      endTurn();
    }
    return trace_;
  }

 private:
  // A proxy's stream can carry one attempt and no health check, so hedges, retries and health checks are off.
  static RoutingConfig configOfRun() {
    RoutingConfig config = routingConfig();
    config.hedgingAllowed = false;
    config.healthChecksAllowed = false;
    config.maxAttempts = 1;
    return config;
  }

  void answerDue() {
    for (auto next = answersDue_.begin(); next != answersDue_.end();) {
      const auto [txn, due] = *next;
      const bool wasSent =
          kind_ == ClientKind::proxy ? recordingClients_.hasLease(txn) : transport_.find(txn) != nullptr;
      if (due > now_ || !wasSent) {
        ++next;
        continue;
      }
      next = answersDue_.erase(next);
      answer(txn);
    }
  }

  // One in twenty transactions is rejected by its node.
  void answer(TxnId txn) {
    const bool isRejected = random_() % 20 == 0;
    const Role role = classes_[txn] == kChargeClass ? Role::primary : Role::replica;
    const Instant position = now_ - (role == Role::primary ? Duration() : ms(7));
    const std::int64_t positionMillis = position.inMicros() / 1000;
    if (kind_ == ClientKind::proxy) {
      const wire::Headers headers{{":status", isRejected ? "503" : "200"},
                                  {"x-node-outcome", isRejected ? "turned-away" : "committed"},
                                  {"x-node-role", role == Role::primary ? "primary" : "replica"},
                                  {"x-node-position", std::to_string(positionMillis)}};
      streams_.onMessage(txn, wire::encodeRequest({Phase::responseHeaders, headers, false}));
    } else if (const auto* attempt = transport_.find(txn)) {
      if (!isRejected) transactions_.commit(txn, {});
      transactions_.onAttemptEnded(attempt->id, attempt->node,
                                   isRejected ? AttemptOutcome::rejected : AttemptOutcome::committed,
                                   {role, Instant() + Duration::millis(positionMillis)});
    }
  }

  void startRequest() {
    const TxnId txn = ++lastTxn_;
    const std::size_t transactionClass = classes_[txn] = random_() % 4;
    const std::int64_t writeAgeMillis = 1 + static_cast<std::int64_t>(random_() % 40);
    if (kind_ == ClientKind::proxy) {
      requestLease(txn, transactionClass, writeAgeMillis);
    } else {
      sendQuery(txn, transactionClass, writeAgeMillis);
    }
    answersDue_[txn] = now_ + ms(10 + static_cast<std::int64_t>(random_() % 60));
  }

  void requestLease(TxnId txn, std::size_t transactionClass, std::int64_t writeAgeMillis) {
    wire::Headers headers{{"x-txn-id", "t" + std::to_string(txn)},
                          {"x-txn-type", classNames()[transactionClass]},
                          {"x-txn-group", "1"},
                          {"x-txn-patience-ms", "900"},
                          {"x-txn-session", sessionOf(txn)}};
    if (transactionClass == kSessionClass)
      headers.push_back({"x-txn-write-age-ms", std::to_string(writeAgeMillis)});
    streams_.onOpened(txn);
    streams_.onMessage(txn, wire::encodeRequest({Phase::requestHeaders, headers, false}));
  }

  void sendQuery(TxnId txn, std::size_t transactionClass, std::int64_t writeAgeMillis) {
    const std::string key = sessionOf(txn);
    std::string statement =
        transactionClass == kChargeClass
            ? "INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x9f') RETURNING body"
            : "SELECT body FROM objects WHERE oid = '" + key + "'";
    statement +=
        " /* id=t" + std::to_string(txn) + ",c=" + classNames()[transactionClass] + ",d=900,cluster=1";
    if (transactionClass == kSessionClass)
      statement += ",after=" + std::to_string(now_.inMicros() / 1000 - writeAgeMillis);
    clients_.onOpened(txn);
    clients_.onReceived(txn, postgres::startup("u", "d"));
    clients_.onReceived(txn, postgres::message('Q', statement + " */" + '\0'));
  }

  static std::string sessionOf(TxnId txn) { return "k" + std::to_string(txn % 5); }

  void endTurn() {
    const std::size_t sizeBefore = trace_.size();
    if (kind_ == ClientKind::proxy) streams_.endTurn();
    clients_.endTurn();
    transactions_.endTurn();
    if (trace_.size() > sizeBefore) trace_ += "\n";
  }

  ClientKind kind_;
  std::string trace_;
  RoutingConfig config_;
  transactions::TransactionTable transactions_;
  RecordingTransport transport_;
  RecordingClients recordingClients_;
  downstream::ext_proc::RequestStreams streams_;
  downstream::postgres::ClientSessions clients_;
  Instant now_ = Instant::atMicros(1'700'000'000'000'000);
  std::knuth_b random_{5};
  std::map<TxnId, Instant> answersDue_;   // when the node of each open transaction answers
  std::map<TxnId, std::size_t> classes_;  // class of each transaction
  TxnId lastTxn_ = 0;
};

}  // namespace

void sameDecisionsAsPostgres() {
  const std::string postgresTrace = Run(ClientKind::postgres).play();
  const std::string proxyTrace = Run(ClientKind::proxy).play();

  const auto turns = std::count(proxyTrace.begin(), proxyTrace.end(), '\n');
  std::cout << "same decisions through PostgreSQL and the external processor: "
            << (postgresTrace == proxyTrace ? "yes" : "NO") << ", " << turns
            << " turns with decisions; first " << kPrintedLines << ":\n";
  std::size_t end = 0;
  for (int line = 0; line < kPrintedLines; ++line) end = proxyTrace.find('\n', end) + 1;
  std::cout << proxyTrace.substr(0, end);
  const auto difference =
      std::mismatch(postgresTrace.begin(), postgresTrace.end(), proxyTrace.begin(), proxyTrace.end());
  if (postgresTrace != proxyTrace)
    std::cout << "first difference, in the PostgreSQL trace: "
              << std::string(difference.first, postgresTrace.end()).substr(0, 200) << "\n";
}

}  // namespace gulltrestle::ext_proc_test
