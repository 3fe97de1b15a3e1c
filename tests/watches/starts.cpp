// Discovery while descriptors are short, and while the program starts.
#include "watches/cases.h"
#include "watches/setup.h"

namespace gulltrestle::watches_test {

// Idle clients use all client connections while discovery is down. The router must still notice when
// discovery is available again.
void discoveryAtClientLimit() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(5, first, second, "draining"));
  Events events;
  for (int i = 0; i < 200; ++i)
    discovery.nextList([&](Peer& peer) {
      if (events.has("back")) return peer.send(http(bothNodesList(5, first, second, "draining")));
      peer.readMore();
    });
  Program router(discovery.port(), bothNodesList(1, first, second, "up"), 250, 64);
  std::vector<Peer> idle;
  int answered = 0;
  for (int i = 0; i < 70; ++i) {
    idle.push_back(router.client());
    idle.back().send(query(""));
    answered += idle.back().answer() == "I Z ";
  }
  std::cout << answered << " connected one after another and stayed idle\n";
  events.signal("back");
  router.waitForLine("list version 5");
  printWrite(router, first, second, "an additional client");
}

// The configured node is not running, and discovery never answers. The router must still accept clients, and
// answer each statement before its deadline.
void startWithoutDiscovery() {
  unsigned short unusedPort = 0;
  {
    FakeNode gone;
    unusedPort = gone.port();
  }
  FakeServer discovery(silentDiscovery);
  Program router(discovery.port(), R"({"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:)" +
                                       std::to_string(unusedPort) +
                                       R"(","zone":"a","cell":1,"state":"up","part":"master"}]})");
  Peer client = router.client();
  client.send(query("") + query("SELECT body FROM objects WHERE oid = 'k' /* " + nextId() +
                                ",c=read,d=500,cluster=1 */"));
  std::cout << client.answer() << client.answer() << "\n";
}

// Thirty routers start at the same moment with an outdated list. Each must accept clients, serve by the new
// list and exit with code 0.
void simultaneousStarts() {
  FakeNode first, second;
  FakeDiscovery discovery(bothNodesList(5, first, second, "draining"));
  std::atomic<int> ready = 0, served = 0, ended = 0;
  Events events;
  std::vector<std::jthread> routers;
  for (int i = 0; i < 30; ++i)
    routers.emplace_back([&, i] {
      events.waitFor("start");
      Program router(discovery.port(), bothNodesList(1, first, second, "up"));
      Peer client = router.client();
      client.send(query(""));
      ready += client.answer() == "I Z ";
      router.waitForLine("list version 5");
      client.send(write("k" + std::to_string(i)));
      served += client.answer().starts_with("T D");
      ended += router.end() == 0;
    });
  events.signal("start");
  routers.clear();
  const auto receivedKeys = second.receivedKeys();
  std::cout << ready << " ready, " << served << " served, " << ended << " ended with code 0; first received "
            << first.receivedKeys() << ", second "
            << 1 + std::count(receivedKeys.begin(), receivedKeys.end(), ' ') << "\n";
}

}  // namespace gulltrestle::watches_test
