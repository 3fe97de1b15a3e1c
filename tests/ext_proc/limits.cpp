// Malformed messages, unreported outcomes, limits on streams and memory, drains, and the configuration file.
#include "allocations.h"
#include "ext_proc/bench.h"
#include "ext_proc/cases.h"
#include "runtime/ext_proc_server/ext_proc_config.h"

namespace gulltrestle::ext_proc_test {

void rejectsMalformedMessages() {
  ExtProcHarness harness;
  harness.describe("headers");
  StreamKey stream = 0;
  for (const wire::Headers& invalidHeaders :
       std::vector<wire::Headers>{{{"x-txn-id", ""}},
                                  {{"x-txn-id", std::string(200, 'x')}},
                                  {{"x-txn-type", ""}},
                                  {{"x-txn-type", "rare\n\"type\""}},
                                  {{"x-txn-group", "one"}},
                                  {{"x-txn-group", "-1"}},
                                  {{"x-txn-group", "99999999999999999999"}},
                                  {{"x-txn-patience-ms", ""}},
                                  {{"x-txn-patience-ms", "1e3"}},
                                  {{"x-envoy-attempt-count", "two"}}})
    harness.request(++stream, "r1", "any", invalidHeaders);
  harness.request(++stream, "r1", "session", {{"x-txn-session", ""}});
  harness.request(++stream, "r1", "session", {{"x-txn-write-age-ms", "soon"}});
  harness.openStream(++stream);
  harness.sendMessage(stream, {Phase::requestHeaders, {{"x-txn-id", "a"}, {"x-txn-id", "b"}}, false});
  harness.describe("malformed messages, and phases out of order");
  for (const std::string& text : {std::string("\xff\xff\xff"), std::string("\x12\x7f"), std::string()}) {
    harness.openStream(++stream);
    harness.sendBytes(stream, text);
  }
  for (const Phase phase : {Phase::responseHeaders, Phase::requestBody, Phase::responseTrailers}) {
    harness.openStream(++stream);
    harness.sendPhase(stream, phase);
  }
  harness.request(++stream, "r2", "any");
  harness.sendMessage(stream, {Phase::requestHeaders, {{"x-txn-id", "r3"}}, false});
  harness.request(++stream, "r4", "any");
  harness.report(stream, "committed", harness.loadReport("replica", 0));
  harness.report(stream, "committed", harness.loadReport("replica", 0));
  harness.describe("unknown fields are skipped");
  harness.openStream(++stream);
  harness.sendBytes(stream,
                    std::string("\xa2\x06\x03xyz", 6) + wire::encodeRequest({Phase::requestHeaders,
                                                                             {{"x-txn-id", "r5"},
                                                                              {"x-txn-type", "any"},
                                                                              {"x-txn-group", "1"},
                                                                              {"x-txn-patience-ms", "1000"}},
                                                                             false}));
  harness.describe("a stream without a message");
  harness.openStream(++stream);
  harness.advance(2000);
  harness.printCounts();
}

void unreportedOutcomes() {
  ExtProcHarness harness;
  harness.describe("no report: the lease ends at the transaction's deadline, the stream is closed later");
  harness.request(1, "r1", "any", {{"x-txn-patience-ms", "400"}});
  harness.advance(395);
  harness.printCounts();
  harness.advance(10);
  harness.printCounts();
  harness.advance(5000);
  harness.describe("a commit that is reported after the deadline: no other answer was sent, so it counts");
  harness.request(2, "w1", "charge", {{"x-txn-patience-ms", "300"}});
  harness.advance(320);
  harness.report(2, "committed", harness.loadReport("primary", 0));
  harness.describe("a failure that is reported as late is rolled back");
  harness.request(3, "w2", "charge", {{"x-txn-patience-ms", "300"}});
  harness.advance(320);
  harness.report(3, "error", harness.loadReport("primary", 0), "500");
  harness.describe("a stream that is half-closed without a report");
  harness.request(4, "r2", "any");
  harness.halfClose(4);
  harness.describe("a stream that is half-closed while it is queued still gets its answer");
  harness.updateEndpoints({"a", "b"}, Health::draining);
  harness.request(5, "r3", "any");
  harness.halfClose(5);
  harness.updateEndpoints({"a"});
  harness.advance(50);
  harness.updateEndpoints({"a"}, Health::draining);
  harness.describe("sent to another node than granted: neither the outcome nor the load report counts");
  harness.updateEndpoints({"b"});
  auto elsewhere = harness.loadReport("replica", 0);
  elsewhere.push_back({"x-txn-sent-to", "10.0.0.99:1"});
  harness.request(6, "r4", "any");
  harness.report(6, "committed", elsewhere);
  harness.request(7, "w3", "charge");
  harness.report(7, "committed", elsewhere);
  harness.request(8, "r5", "session", {{"x-txn-write-age-ms", "1"}});
  harness.advance(100);
  harness.printCounts();
}

void drainsLimitLeases() {
  ExtProcSetup setup;
  setup.notificationBound = ms(6000);
  ExtProcHarness harness(setup);
  harness.describe(
      "a lease is valid for half of the grace period at most, and not beyond the client's deadline");
  harness.request(1, "r1", "any");
  harness.request(2, "r2", "any", {{"x-txn-patience-ms", "120"}});
  harness.describe("a draining node is granted no lease, and queued requests are sent to another node");
  harness.updateEndpoints({"a", "p"}, Health::draining);
  harness.request(3, "r3", "any");
  harness.updateEndpoints({"b"}, Health::draining);
  harness.request(4, "r4", "any");
  harness.updateEndpoints({"a"});
  for (StreamKey stream = 1; stream <= 4; ++stream)
    harness.report(stream, "committed", harness.loadReport("replica", 0));
  harness.describe(
      "discovery is silent: a late drain counts as notified after the bound, so leases get shorter");
  for (const std::int64_t silenceMillis : {1900, 4000, 500, 60, 40, 20}) {
    harness.advance(silenceMillis);
    const auto stream = 100 + static_cast<StreamKey>(silenceMillis);
    harness.request(stream, "x" + std::to_string(silenceMillis), "any");
    if (silenceMillis >= 60) harness.report(stream, "committed", harness.loadReport("replica", 0));
  }
  harness.describe("discovery is active again");
  harness.onDiscoveryActivity();
  harness.request(5, "r5", "any");
}

// Guards against data from before a hand-over: a lease for a read that needs the primary could be used half a
// second after the node had reported that it is a replica.
void roleChangesLimitLeases() {
  ExtProcHarness harness;
  harness.describe(
      "reads that need the primary are leased it for less than a reported role takes to be known");
  harness.request(1, "r1", "latest");
  harness.request(2, "r2", "latest", {{"x-txn-patience-ms", "30"}});
  harness.describe("a write has no effect at a replica, and a read of any age no such need");
  harness.request(3, "r3", "charge");
  harness.request(4, "r4", "any");
  harness.describe("p reports that it is a replica: the next read waits for another primary");
  harness.report(1, "committed", harness.loadReport("replica", 500));
  harness.request(5, "r5", "latest");
  harness.advance(30);
  ExtProcHarness session;
  session.describe("a session read that no replica can answer in time is leased the primary");
  session.request(1, "r1", "session", {{"x-txn-write-age-ms", "1"}});
  session.advance(145);
}

void streamAndMemoryLimits() {
  ExtProcSetup setup;
  setup.maxStreams = 4;
  setup.maxTransactionsPerKind = 100;
  ExtProcHarness harness(setup);
  harness.describe(
      "stream limit: the fifth stream is closed at once, and the next one opens once one has ended");
  for (StreamKey stream = 1; stream <= 5; ++stream) harness.openStream(stream);
  harness.resetStream(5);
  harness.resetStream(4);
  harness.request(6, "r1", "any");
  harness.resetStream(6);
  for (StreamKey stream = 1; stream <= 3; ++stream) harness.resetStream(stream);
  harness.describe(
      "at-most-once ids are remembered up to a bound; beyond it they are rejected, others are not");
  harness.isQuiet = true;
  for (StreamKey stream = 10; stream < 110; ++stream) {
    harness.request(stream, "w" + std::to_string(stream), "charge");
    harness.report(stream, "committed", harness.loadReport("primary", 0));
    harness.resetStream(stream);
  }
  harness.isQuiet = false;
  harness.request(200, "w200", "charge");
  harness.request(201, "r201", "any");
  harness.describe("idempotent ids are forgotten, oldest first");
  harness.isQuiet = true;
  for (StreamKey stream = 300; stream < 1300; ++stream) {
    harness.request(stream, "r" + std::to_string(stream), "any");
    harness.report(stream, "committed", harness.loadReport("replica", 0));
    harness.resetStream(stream);
  }
  harness.isQuiet = false;
  harness.printCounts();
  harness.describe("after the expiry at-most-once transactions are accepted again");
  harness.advance(2100);
  harness.onDiscoveryActivity();
  harness.request(1400, "w1400", "charge");
  harness.printCounts();
}

// Guards against a proxy that opens streams at full speed and asks for nothing: it used up the streams of
// all.
void streamsOfOneConnection() {
  ExtProcSetup setup;
  setup.maxStreams = 8;
  ExtProcHarness harness(setup);
  harness.describe("one of two connections opens eight streams: the seventh and eighth are closed at once");
  for (StreamKey stream = 1; stream <= 8; ++stream) harness.openStream(stream, {1, stream, false});
  harness.resetStream(7);
  harness.resetStream(8);
  harness.describe("the other one opens two");
  harness.openStream(21, {2, 1, false});
  harness.openStream(22, {2, 2, false});
  ExtProcHarness single(setup);
  single.describe("the only connection uses all eight; the ninth stream is closed");
  for (StreamKey stream = 1; stream <= 9; ++stream) single.openStream(stream, {1, stream, true});
}

// Guards against a proxy that keeps the process busy with messages of thousands of short headers: each was
// parsed as a whole before it was rejected.
void messageWithTooManyHeaders() {
  for (const std::size_t count : {1000u, 1001u, 7000u}) {
    const std::string message =
        wire::encodeRequest({Phase::requestHeaders, wire::Headers(count, {"a", ""}), false});
    testing::allocatedBytes = 0;
    std::string result = "accepted";
    try {
      wire::readRequest(message);
    } catch (const wire::Malformed& malformed) { result = malformed.what(); }
    constexpr std::size_t kMaxAllocatedToReject = 1000;
    std::cout << count << " headers: " << result << ", allocated " << kMaxAllocatedToReject
              << " bytes at the most: " << (testing::allocatedBytes <= kMaxAllocatedToReject) << "\n";
  }
}

void configFile() {
  const auto read = [](const std::string& text) {
    try {
      const auto config = ext_proc_server::readExtProcConfig(text);
      std::cout << "listens on " << config.listen.host << ":" << config.listen.port << ", "
                << (config.placement == endpoint_leases::ProxyPlacement::perAttempt ? "try" : "request")
                << ", timeout " << config.streams.messageTimeout.timeout.inMicros() / 1000 << " to "
                << config.streams.messageTimeout.maxExtension.inMicros() / 1000 << " ms, "
                << config.streams.maxStreams << " streams, id in " << config.headers.id << "\n";
    } catch (const std::exception& error) { std::cout << error.what() << "\n"; }
  };
  read(R"({"listen":"127.0.0.1:9002"})");
  read(R"({"listen":"127.0.0.1:9002","placement":"request","message_timeout_ms":500,
           "max_message_timeout_ms":2000,"limits":{"streams":10},"headers":{"id":"x-request-id"}})");
  for (const std::string& rest :
       {std::string(R"("placement":"both")"), std::string(R"("message_timeout_ms":5)"),
        std::string(R"("message_timeout_ms":"200")"), std::string(R"("mesage_timeout_ms":200)"),
        std::string(R"("limits":{"streams":0})"), std::string(R"("limits":{"streem":1})"),
        std::string(R"("limits":[])"), std::string(R"("headers":{"id":"X-Id"})"),
        std::string(R"("headers":{"ID":"x"})"), std::string(R"("headers":{"id":""})")})
    read(R"({"listen":"127.0.0.1:9002",)" + rest + "}");
  for (const std::string& text : {std::string("{"), std::string("[]"), std::string("{}"),
                                  std::string(R"({"listen":"nowhere"})"), std::string(R"({"listen":1})")})
    read(text);
}

}  // namespace gulltrestle::ext_proc_test
