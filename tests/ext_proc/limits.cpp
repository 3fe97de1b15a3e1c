// Proxies that send what is malformed or too much, or report nothing; drains; the configuration file.
#include "ext_proc/bench.h"
#include "ext_proc/cases.h"
#include "runtime/ext_proc_server/ext_proc_config.h"

namespace gulltrestle::ext_proc_test {

void rejectsMalformedMessages() {
  ExtProcBench bench;
  bench.say("headers");
  StreamKey stream = 0;
  for (const wire::Headers& bad : std::vector<wire::Headers>{{{"x-txn-id", ""}},
                                                             {{"x-txn-id", std::string(200, 'x')}},
                                                             {{"x-txn-type", ""}},
                                                             {{"x-txn-type", "rare\n\"type\""}},
                                                             {{"x-txn-group", "one"}},
                                                             {{"x-txn-group", "-1"}},
                                                             {{"x-txn-group", "99999999999999999999"}},
                                                             {{"x-txn-patience-ms", ""}},
                                                             {{"x-txn-patience-ms", "1e3"}},
                                                             {{"x-envoy-attempt-count", "two"}}})
    bench.request(++stream, "r1", "any", bad);
  bench.request(++stream, "r1", "session", {{"x-txn-session", ""}});
  bench.request(++stream, "r1", "session", {{"x-txn-write-age-ms", "soon"}});
  bench.openStream(++stream);
  bench.sendMessage(stream, {Phase::requestHeaders, {{"x-txn-id", "a"}, {"x-txn-id", "b"}}, false});
  bench.say("messages and phases out of order");
  for (const std::string& text : {std::string("\xff\xff\xff"), std::string("\x12\x7f"), std::string()}) {
    bench.openStream(++stream);
    bench.sendBytes(stream, text);
  }
  for (const Phase phase : {Phase::responseHeaders, Phase::requestBody, Phase::responseTrailers}) {
    bench.openStream(++stream);
    bench.sendPhase(stream, phase);
  }
  bench.request(++stream, "r2", "any");
  bench.sendMessage(stream, {Phase::requestHeaders, {{"x-txn-id", "r3"}}, false});
  bench.request(++stream, "r4", "any");
  bench.report(stream, "committed", bench.loadReport("replica", 0));
  bench.report(stream, "committed", bench.loadReport("replica", 0));
  bench.say("unknown fields are skipped");
  bench.openStream(++stream);
  bench.sendBytes(stream, std::string("\xa2\x06\x03xyz", 6) + wire::request({Phase::requestHeaders,
                                                                             {{"x-txn-id", "r5"},
                                                                              {"x-txn-type", "any"},
                                                                              {"x-txn-group", "1"},
                                                                              {"x-txn-patience-ms", "1000"}},
                                                                             false}));
  bench.say("nothing at all");
  bench.openStream(++stream);
  bench.advance(2000);
  bench.printCounts();
}

void unreportedOutcomes() {
  ExtProcBench bench;
  bench.say("a proxy that never tells an end: the place is free when the txn's time is up, the stream later");
  bench.request(1, "r1", "any", {{"x-txn-patience-ms", "400"}});
  bench.advance(395);
  bench.printCounts();
  bench.advance(10);
  bench.printCounts();
  bench.advance(5000);
  bench.say("its answer comes after the module gave it up: nothing else was told, so it stands");
  bench.request(2, "w1", "charge", {{"x-txn-patience-ms", "300"}});
  bench.advance(320);
  bench.report(2, "committed", bench.loadReport("primary", 0));
  bench.say("a failure as late is rolled back");
  bench.request(3, "w2", "charge", {{"x-txn-patience-ms", "300"}});
  bench.advance(320);
  bench.report(3, "error", bench.loadReport("primary", 0), "500");
  bench.say("a stream that ends in order without a word");
  bench.request(4, "r2", "any");
  bench.halfClose(4);
  bench.say("one that sends no more while it is held still gets its answer");
  bench.updateEndpoints({"a", "b"}, Health::draining);
  bench.request(5, "r3", "any");
  bench.halfClose(5);
  bench.updateEndpoints({"a"});
  bench.advance(50);
  bench.updateEndpoints({"a"}, Health::draining);
  bench.say(
      "sent to another node than told: what it answers is nobody's, and nothing is learnt of the one told");
  bench.updateEndpoints({"b"});
  auto elsewhere = bench.loadReport("replica", 0);
  elsewhere.push_back({"x-txn-sent-to", "10.0.0.99:1"});
  bench.request(6, "r4", "any");
  bench.report(6, "committed", elsewhere);
  bench.request(7, "w3", "charge");
  bench.report(7, "committed", elsewhere);
  bench.request(8, "r5", "session", {{"x-txn-write-age-ms", "1"}});
  bench.advance(100);
  bench.printCounts();
}

void drainsLimitLeases() {
  ExtProcSetup setup;
  setup.notifiedWithin = ms(6000);
  ExtProcBench bench(setup);
  bench.say("a grant may be used for half of the grace at most, and not beyond what its client waits");
  bench.request(1, "r1", "any");
  bench.request(2, "r2", "any", {{"x-txn-patience-ms", "120"}});
  bench.say("nothing is granted to a node that drains, and what is held goes elsewhere");
  bench.updateEndpoints({"a", "p"}, Health::draining);
  bench.request(3, "r3", "any");
  bench.updateEndpoints({"b"}, Health::draining);
  bench.request(4, "r4", "any");
  bench.updateEndpoints({"a"});
  for (StreamKey stream = 1; stream <= 4; ++stream)
    bench.report(stream, "committed", bench.loadReport("replica", 0));
  bench.say("the list falls silent: late news of a drain counts as told in the end, so grants get shorter");
  for (const std::int64_t silentMillis : {1900, 4000, 500, 60, 40, 20}) {
    bench.advance(silentMillis);
    const auto stream = 100 + static_cast<StreamKey>(silentMillis);
    bench.request(stream, "x" + std::to_string(silentMillis), "any");
    if (silentMillis >= 60) bench.report(stream, "committed", bench.loadReport("replica", 0));
  }
  bench.say("it is heard again");
  bench.onDiscoveryActivity();
  bench.request(5, "r5", "any");
}

void streamAndMemoryLimits() {
  ExtProcSetup setup;
  setup.maxStreams = 4;
  setup.maxTransactionsPerKind = 100;
  ExtProcBench bench(setup);
  bench.say("streams: the fifth is closed at once, and there is room when one has ended");
  for (StreamKey stream = 1; stream <= 5; ++stream) bench.openStream(stream);
  bench.resetStream(5);
  bench.resetStream(4);
  bench.request(6, "r1", "any");
  bench.resetStream(6);
  for (StreamKey stream = 1; stream <= 3; ++stream) bench.resetStream(stream);
  bench.say("what may not run twice is remembered to a bound; then no more of it is taken, other txns are");
  bench.isQuiet = true;
  for (StreamKey stream = 10; stream < 110; ++stream) {
    bench.request(stream, "w" + std::to_string(stream), "charge");
    bench.report(stream, "committed", bench.loadReport("primary", 0));
    bench.resetStream(stream);
  }
  bench.isQuiet = false;
  bench.request(200, "w200", "charge");
  bench.request(201, "r201", "any");
  bench.say("what may is forgotten, oldest first");
  bench.isQuiet = true;
  for (StreamKey stream = 300; stream < 1300; ++stream) {
    bench.request(stream, "r" + std::to_string(stream), "any");
    bench.report(stream, "committed", bench.loadReport("replica", 0));
    bench.resetStream(stream);
  }
  bench.isQuiet = false;
  bench.printCounts();
  bench.say("and there is room again when the expiry is over");
  bench.advance(2100);
  bench.onDiscoveryActivity();
  bench.request(1400, "w1400", "charge");
  bench.printCounts();
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
