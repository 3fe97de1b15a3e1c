// Example environment to try gulltrestle as an external processor: a fake proxy that calls it for each
// request, the fake nodes behind the proxy, and discovery. All sockets are on 127.0.0.1.
#include <csignal>
#include <iostream>

#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

using namespace gulltrestle;

namespace {

constexpr unsigned short kDiscoveryPort = 8500;  // also set in examples/config.json

// The fake servers, and a client that sends requests through the proxy.
struct Toy {
  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery{loop, kDiscoveryPort};
  fake_servers::FakeNode primary{loop, "primary", true}, replica1{loop, "replica-1", false},
      replica2{loop, "replica-2", false};
  fake_servers::FakeProxy proxy{loop, proxyConfig()};
  int requestsSent = 0;

  static fake_servers::FakeProxyConfig proxyConfig() {
    fake_servers::FakeProxyConfig config;
    config.processor = "127.0.0.1:9002";
    return config;
  }

  // Sends a request and prints its answer. `writeAge`: milliseconds since the last write of the session;
  // empty: the header is left out.
  void sendRequest(const std::string& type, const std::string& writeAge) {
    const std::string id =
        "toy-" + std::to_string(loop.now().inMicros()) + "-" + std::to_string(++requestsSent);
    ext_proc::Headers headers{{":method", type == "order" ? "POST" : "GET"},
                              {":path", "/" + type},
                              {"x-txn-id", id},
                              {"x-txn-type", type},
                              {"x-txn-group", "1"},
                              {"x-txn-session", "toy"}};
    if (!writeAge.empty()) headers.push_back({"x-txn-write-age-ms", writeAge});
    proxy.send({.headers = headers, .isWrite = type == "order", .remainingTime = Duration::millis(900)},
               [this, type](const fake_servers::Answer& answer) {
                 std::string from = "no node";
                 for (const auto* node : {&primary, &replica1, &replica2})
                   if (node->address() == answer.nodeAddress) from = node->id();
                 std::cout << type << ": " << answer.status << " " << answer.outcome << ", answered by "
                           << from << std::endl;
               });
  }
};

event_loop::Task sendRequests(Toy& toy) {
  // Rejects the first attempt of every tenth request.
  const auto rejectEveryTenth = [&toy, last = 0](const std::string&) mutable {
    if (toy.requestsSent % 10 != 0 || toy.requestsSent == last) return fake_servers::Fault::none;
    last = toy.requestsSent;
    return fake_servers::Fault::rejection;
  };
  for (auto* node : {&toy.primary, &toy.replica1, &toy.replica2}) {
    toy.discovery.set({node->id(), node->address(), "up", node->isPrimary, 1});
    node->chooseFault = rejectEveryTenth;
    node->lag = Duration::millis(300);
  }
  for (;;) {
    toy.sendRequest("order", "");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(500));
    toy.sendRequest("my-own", "500");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(500));
    toy.sendRequest("browse", "");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(1000));
  }
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    Toy toy;
    toy.loop.spawn(sendRequests(toy));
    toy.loop.run([](Instant) { return Instant(); },
                 [](std::exception_ptr failure) { std::rethrow_exception(failure); });
  } catch (const std::exception& error) {
    std::cerr << "toy_proxy: " << error.what() << std::endl;
    return 1;
  }
}
