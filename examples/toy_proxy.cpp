// A proxy that asks an external processor for each request, the nodes behind it, and discovery: to try
// gulltrestle as an external processor with. Everything stays on 127.0.0.1.
#include <csignal>
#include <iostream>

#include "testing/fake_servers/fake_node.h"
#include "testing/fake_servers/fake_proxy.h"

using namespace gulltrestle;

namespace {

constexpr unsigned short kDiscoveryPort = 8500;  // as examples/config.json has it

struct Toy {
  event_loop::EventLoop loop;
  fake_servers::FakeDiscovery discovery{loop, kDiscoveryPort};
  fake_servers::FakeNode primary{loop, "primary", true}, one{loop, "replica-1", false},
      two{loop, "replica-2", false};
  fake_servers::FakeProxy proxy{loop, setup()};
  int asked = 0;

  static fake_servers::FakeProxyConfig setup() {
    fake_servers::FakeProxyConfig made;
    made.processor = "127.0.0.1:9002";
    return made;
  }

  void ask(const std::string& type, const std::string& writeAge) {
    const std::string id = "toy-" + std::to_string(loop.now().inMicros()) + "-" + std::to_string(++asked);
    ext_proc::Headers headers{{":method", type == "order" ? "POST" : "GET"},
                              {":path", "/" + type},
                              {"x-txn-id", id},
                              {"x-txn-type", type},
                              {"x-txn-group", "1"},
                              {"x-txn-session", "toy"}};
    if (!writeAge.empty()) headers.push_back({"x-txn-write-age-ms", writeAge});
    proxy.send({.headers = headers, .isWrite = type == "order", .remainingTime = Duration::millis(900)},
               [this, type](const fake_servers::Answer& answer) {
                 std::string from = "nobody";
                 for (const auto* node : {&primary, &one, &two})
                   if (node->address() == answer.nodeAddress) from = node->id();
                 std::cout << type << ": " << answer.status << " " << answer.outcome << ", answered by "
                           << from << std::endl;
               });
  }
};

event_loop::Task play(Toy& toy) {
  // Once for every tenth request.
  const auto busy = [&toy, last = 0](const std::string&) mutable {
    if (toy.asked % 10 != 0 || toy.asked == last) return fake_servers::Fault::none;
    last = toy.asked;
    return fake_servers::Fault::rejection;
  };
  for (auto* node : {&toy.primary, &toy.one, &toy.two}) {
    toy.discovery.set({node->id(), node->address(), "up", node->isPrimary, 1});
    node->chooseFault = busy;
    node->lag = Duration::millis(300);
  }
  for (;;) {
    toy.ask("order", "");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(500));
    toy.ask("my-own", "500");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(500));
    toy.ask("browse", "");
    co_await toy.loop.sleepUntil(toy.loop.now() + Duration::millis(1000));
  }
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    Toy toy;
    toy.loop.spawn(play(toy));
    toy.loop.run([](Instant) { return Instant(); },
                 [](std::exception_ptr failure) { std::rethrow_exception(failure); });
  } catch (const std::exception& bad) {
    std::cerr << "toy_proxy: " << bad.what() << std::endl;
    return 1;
  }
}
