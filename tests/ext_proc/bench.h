// The request streams of the external processor on a clock of their own, with a table of transactions,
// between proxies and nodes that a test plays. Each answer is printed with its time, in milliseconds from the
// start.
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

// Transaction classes: any, bounded and session are reads, charge is a write that executes at most once.
RoutingConfig routingConfig();
const std::vector<std::string>& classNames();
std::string addressOf(const std::string& node);
// The list of nodes p, the primary, a and b, its replicas, or of some of them.
std::vector<transactions::ResolvedEndpoint> endpointList(const std::vector<std::string>& nodes,
                                                         Health health = Health::live);

// Headers of a retry.
wire::Headers attemptHeaders(int count, const std::string& written = "", const std::string& token = "");

// How a header's value is sent: as raw bytes, or as text as older proxies do.
enum class ValueForm { raw, text };

struct ExtProcSetup {
  endpoint_leases::ProxyPlacement placement = endpoint_leases::ProxyPlacement::perAttempt;
  endpoint_leases::MessageTimeout messageTimeout{.timeout = ms(200), .maxExtension = ms(0)};
  std::size_t maxStreams = 100, maxTransactionsPerKind = 100;
  std::string incarnation = "one";
  Duration notifiedWithin;
};

class ExtProcBench final : private downstream::ext_proc::Effects {
 public:
  explicit ExtProcBench(ExtProcSetup setup = {});

  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool isQuiet = false;  // nothing is printed

  // --- Events of proxies

  void openStream(StreamKey stream);
  // Opens a stream that requests a lease; `more` adds headers, or replaces the usual ones of their name (an
  // empty value: without that header).
  void request(StreamKey stream, const std::string& id, const std::string& transactionClass,
               wire::Headers more = {}, ValueForm form = ValueForm::raw);
  void sendMessage(StreamKey stream, const wire::Request& request, ValueForm form = ValueForm::raw);
  void sendBytes(StreamKey stream, const std::string& bytes);
  void sendPhase(StreamKey stream, Phase phase);
  // The headers of the node's answer. `nodeOutcome` empty: the node reports none.
  void report(StreamKey stream, const std::string& nodeOutcome, wire::Headers more = {},
              const std::string& status = "200");
  // Headers of a node's load report; `behindMillis`: how long ago its position was current.
  wire::Headers loadReport(const std::string& role, std::int64_t behindMillis) const;
  void halfClose(StreamKey stream);
  void resetStream(StreamKey stream);
  // A reset that comes in the same turn as the request.
  void requestAndReset(StreamKey stream, const std::string& id, const std::string& transactionClass);

  // --- Other events

  void updateEndpoints(const std::vector<std::string>& nodes, Health health = Health::live);
  void onDiscoveryActivity() { streams_.onDiscoveryActivity(); }
  // Advances the clock, with each turn that was requested on the way.
  void advance(std::int64_t millis);
  void stop() { streams_.stop(); }

  void printCounts();
  // Of the last lease that the stream was granted.
  const std::string& token(StreamKey stream) { return tokens_[stream]; }

 private:
  void turn();
  // Ends the turn, and plays those that are due at once.
  void settle();
  std::ostream& line(StreamKey stream);
  void printLease(std::ostream& out, StreamKey stream, const wire::Headers& headers);

  // Effects.
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
