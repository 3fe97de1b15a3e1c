// Harness for the request streams of the external processor: simulated clock, transaction table, proxies and
// nodes. Prints each answer with its time, in milliseconds from the start.
#pragma once

#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "downstream/ext_proc/request_streams.h"
#include "trace.h"

namespace gulltrestle::ext_proc_test {

using downstream::ext_proc::StreamCloseReason;
using downstream::ext_proc::StreamKey;
using trace::ms;
namespace wire = gulltrestle::ext_proc;
using wire::Phase;

// Configuration with the transaction classes any, bounded, session and latest, which are reads, and charge, a
// write that executes at most once.
RoutingConfig routingConfig();
const std::vector<std::string>& classNames();
std::string addressOf(const std::string& node);
// Endpoint list with some of the nodes p (the primary), a and b (its replicas).
std::vector<transactions::ResolvedEndpoint> endpointList(const std::vector<std::string>& nodes,
                                                         Health health = Health::live);

// Headers of attempt number `count`, which is a retry.
wire::Headers attemptHeaders(int count, const std::string& written = "", const std::string& token = "");

// Encoding of a header value: as raw bytes, or as text like older proxies send it.
enum class ValueForm { raw, text };

// Parameters of an ExtProcHarness.
struct ExtProcSetup {
  endpoint_leases::ProxyPlacement placement = endpoint_leases::ProxyPlacement::perAttempt;
  endpoint_leases::MessageTimeout messageTimeout{.timeout = ms(200), .maxExtension = ms(0)};
  std::size_t maxStreams = 100, maxTransactionsPerKind = 100;
  std::string incarnation = "one";
  Duration notificationBound;
};

// Request streams and their transaction table on a simulated clock. Prints the trace to standard output.
class ExtProcHarness final : private downstream::ext_proc::Effects {
 public:
  explicit ExtProcHarness(ExtProcSetup setup = {});

  void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool isQuiet = false;  // suppresses the output

  // --- Events of proxies

  void openStream(StreamKey stream, const downstream::ext_proc::ConnectionStreams& connection = {});
  // Opens a stream and requests a lease. `more` adds headers or replaces the default ones of the same name;
  // an empty value removes the header.
  void request(StreamKey stream, const std::string& id, const std::string& transactionClass,
               const wire::Headers& more = {}, ValueForm form = ValueForm::raw);
  // The same on a stream that is open.
  void sendRequest(StreamKey stream, const std::string& id, const std::string& transactionClass,
                   const wire::Headers& more, ValueForm form = ValueForm::raw);
  void sendMessage(StreamKey stream, const wire::Request& request, ValueForm form = ValueForm::raw);
  void sendBytes(StreamKey stream, const std::string& bytes);
  void sendPhase(StreamKey stream, Phase phase);
  // Sends the headers of the node's answer. An empty `nodeOutcome` leaves out that header.
  void report(StreamKey stream, const std::string& nodeOutcome, wire::Headers more = {},
              const std::string& status = "200");
  // Returns headers of a node's load report. `behindMillis`: age of its applied position.
  wire::Headers loadReport(const std::string& role, std::int64_t behindMillis) const;
  void halfClose(StreamKey stream);
  void resetStream(StreamKey stream);
  // Sends a request and resets its stream in the same turn.
  void requestAndReset(StreamKey stream, const std::string& id, const std::string& transactionClass);

  // --- Other events

  void updateEndpoints(const std::vector<std::string>& nodes, Health health = Health::live);
  void onDiscoveryActivity() { streams_.onDiscoveryActivity(); }
  // Advances the clock and runs each turn that becomes due.
  void advance(std::int64_t millis);
  // All answers are due within this time.
  void shutDown(std::int64_t answerWithinMillis);
  void stop() { streams_.stop(); }
  // The time of shutDown() is over.
  void closeRemaining();

  void printCounts();
  // Returns the token of the last lease that the stream was granted.
  const std::string& token(StreamKey stream) { return tokens_[stream]; }

 private:
  void turn();
  // Runs a turn, and the further ones that are due immediately.
  void settle();
  std::ostream& line(StreamKey stream);
  void printLease(std::ostream& out, StreamKey stream, const wire::Headers& headers);

  // Effects
  void send(StreamKey stream, std::string_view message) override;
  void close(StreamKey stream, StreamCloseReason reason, std::string_view message) override;
  void log(std::string_view event, const std::string& fields) override;

  static constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);
  Instant now_ = kStart, next_;
  std::map<StreamKey, std::string> tokens_;
  transactions::TransactionTable transactions_;
  downstream::ext_proc::RequestStreams streams_;
};

}  // namespace gulltrestle::ext_proc_test
