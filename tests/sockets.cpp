// Runs the complete router on loopback sockets, with fake clients, a fake node and a fake discovery service.
// `sockets CASE` prints what the clients and servers received.
#include <spdlog/spdlog.h>

#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>

#include "peers.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;

namespace {

// Progress of the statements with the keys `slow` and `until-the-end` at the node.
std::atomic<bool> slowStarted = false, endlessStarted = false, endlessCancelled = false;

// A fake node. It reports itself as an up-to-date primary. The answer to a write has as many bytes as its
// value. A read of `slow` takes 700 ms, the answer to `cut` is cut off, the answer to `huge` has 64 KiB, and
// `until-the-end` is never answered.
void node(Peer& peer) {
  peer.startup();
  peer.send(postgres::startupAnswer());
  for (;;) {
    const auto [type, body] = peer.message();
    if (type != 'Q') return;
    if (body.size() == 1) {
      peer.send(postgres::emptyQueryResponse() + postgres::readyForQuery());
      continue;
    }
    if (body.starts_with("SHOW")) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      peer.send(row("x0=" + std::to_string(std::chrono::duration<double>(now).count()) + ",x1=1"));
      continue;
    }
    if (body.find("'slow'") != std::string::npos) {
      slowStarted = true;
      slowStarted.notify_all();
      pause(700);
    }
    if (body.find("'until-the-end'") != std::string::npos) {
      endlessStarted = true;
      endlessStarted.notify_all();
      endlessCancelled = !peer.readMore();
      endlessCancelled.notify_all();
      return;
    }
    if (body.find("'cut'") != std::string::npos) {
      peer.send(row(std::string(5000, 'x')).substr(0, 3000));
      return;
    }
    const auto hex = body.find("'\\x");
    const auto size = body.starts_with("INSERT") ? (body.find("')", hex) - hex - 3) / 2 : 65536;
    peer.send(row(
        std::string(body.find("'huge'") != std::string::npos || hex != std::string::npos ? size : 4, 'v')));
  }
}

void largeValuesAndBrokenAnswers() {
  FakeServer nodes(node), discovery(silentDiscovery);
  RunningRouter router(discovery, endpointListJson(1, endpointEntryJson(nodes, "s-1", "up")));
  Peer client = router.client();
  client.send(query("") + read("k") + read("huge"));
  std::cout << client.answer() << "\n" << client.answer() << "\n" << client.answer() << "\n";
  client.send(write(65536), 1000);
  std::cout << client.answer() << "\n";
  std::cout << "many answers that the client reads late\n";
  std::string statements;
  for (int i = 0; i < 100; ++i) statements += read("huge");
  std::jthread sender([&] { client.send(statements); });
  pause(200);
  int completeValues = 0;
  for (int i = 0; i < 100; ++i) completeValues += client.answer() == "T D(65536 bytes) C Z ";
  std::cout << completeValues << " complete values\n";
  sender.join();
  std::cout << "cut off by the node: the read has no attempts left, the write may have run\n";
  client.send(read("cut") + write(1, "cut"));
  std::cout << client.answer() << "\n" << client.answer() << "\n";
  std::cout << "half-closed while its statement is in flight\n";
  client.send(read("slow"));
  client.closeSending();
  std::cout << client.answer() << client.answer() << "\n";
  std::cout << "closed while its statement is in flight: the node's connection is closed; then an invalid "
               "message\n";
  {
    Peer leaving = router.client();
    leaving.send(read("until-the-end", 60000));
    endlessStarted.wait(false);
  }
  endlessCancelled.wait(false);
  Peer other = router.client();
  other.send("nonsense that is not a message");
  std::cout << other.answer() << "\n";
}

void clientLimit() {
  FakeServer nodes(node), discovery(silentDiscovery);
  RunningRouter router(discovery, endpointListJson(1, endpointEntryJson(nodes, "s-1", "up")), 64);
  std::vector<Peer> clients;
  int answered = 0;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(router.client());
    clients.back().send(query(""));
    answered += clients.back().answer() == "I Z ";
  }
  std::cout << answered << " clients were answered, one after another, and stayed connected\n";
  std::vector<Peer> busy;
  int committed = 0, rejected = 0;
  for (int i = 0; i < 60; ++i) {
    busy.push_back(Peer::to(router.port()));
    busy.back().send(postgres::startup("worker", "catalog") + read("slow"));
  }
  for (Peer& client : busy) {
    auto answer = client.answer();
    if (answer == "Z ") answer = client.answer();
    committed += answer == "T D(4 bytes) C Z ";
    rejected += answer.starts_with("E(53300)");
  }
  std::cout << committed + rejected
            << " that connected together were answered, some committed: " << (committed > 0)
            << ", some rejected: " << (rejected > 0) << "\n";
}

void gracefulShutdown() {
  FakeServer nodes(node), discovery(silentDiscovery);
  RunningRouter router(discovery, endpointListJson(1, endpointEntryJson(nodes, "s-1", "up")));
  Peer idle = router.client(), busy = router.client();
  busy.send(read("k"));
  std::cout << busy.answer() << "\n";
  busy.send(read("slow"));
  slowStarted.wait(false);
  std::jthread terminator([&] { router.end(); });
  std::cout << "busy: " << busy.answer() << busy.answer() << "\n";
  std::cout << "idle: " << idle.answer() << "\n";
}

// Records the requested paths in order.
class RequestedPaths {
 public:
  // Returns the number of requests so far.
  std::size_t add(const std::string& path) {
    const std::lock_guard lock(mutex_);
    paths_.push_back(path);
    return paths_.size();
  }
  void waitFor(std::size_t count) {
    for (;; pause(20)) {
      const std::lock_guard lock(mutex_);
      if (paths_.size() >= count) return;
    }
  }
  void print() {
    const std::lock_guard lock(mutex_);
    for (const auto& path : paths_) std::cout << path << "\n";
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> paths_;
};

void sendChunk(Peer& peer, const std::string& content) {
  std::ostringstream chunk;
  chunk << std::hex << content.size() << "\r\n" << content << "\r\n";
  peer.send(chunk.str(), 7);
}

// Discovery answers with half a list, a list, a watch whose version decreases, and an answer without a list;
// after that it sends nothing.
void discoveryFailures() {
  FakeServer first(node), second(node);
  RequestedPaths requested;
  FakeServer discovery([&](Peer& peer) {
    const std::size_t request = requested.add(pathOf(peer));
    if (request == 1) return peer.send(http("{\"version\":1,\"full\":tru"));
    if (request == 2) return peer.send(http(endpointListJson(5, endpointEntryJson(first, "s-1", "up"))));
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (request == 3) {
      sendChunk(peer, "\n");
      sendChunk(peer, endpointListJson(6, endpointEntryJson(second, "s-2", "up"), false) + "\n");
      return sendChunk(peer, endpointListJson(4, endpointEntryJson(second, "s-2", "removed"), false) + "\n");
    }
    if (request == 4) return;  // an answer that ends before its list
    peer.readMore();
  });
  RunningRouter router(discovery, endpointListJson(0, ""));
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog") + query(""));
  client.answer();
  std::cout << client.answer() << "once the list is received\n";
  requested.waitFor(5);
  client.send(read("k"));
  std::cout << client.answer() << "\n";
  requested.print();
}

// Discovery never answers a request for the list, as if it were down. The router must repeat the request well
// before a transaction that waits for the list times out.
void unansweredListCall() {
  FakeServer first(node);
  std::atomic<int> requestCount = 0;
  FakeServer discovery([&](Peer& peer) {
    const auto path = pathOf(peer);
    if (++requestCount > 2 && path.ends_with("targets"))
      return peer.send(http(endpointListJson(5, endpointEntryJson(first, "s-1", "up"))));
    peer.readMore();
  });
  RunningRouter router(discovery, endpointListJson(0, ""));
  Peer client = Peer::to(router.port());
  client.send(postgres::startup("worker", "catalog") + read("k", 3000));
  client.answer();
  std::cout << client.answer() << "\n";
}

// A fake discovery service that serves the list and a watch without changes, and records requests under its
// name.
std::function<void(Peer&)> namedDiscovery(const std::string& name, const std::string& entries,
                                          RequestedPaths& requested) {
  return [name, entries, &requested](Peer& peer) {
    const auto path = pathOf(peer);
    requested.add(name + " " + path);
    if (path.ends_with("targets")) return peer.send(http(endpointListJson(5, entries)));
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    peer.readMore();
  };
}

// SIGHUP with invalid configuration files, and with one that changes the address of discovery.
void configurationReload() {
  FakeServer first(node), second(node);
  RequestedPaths requested;
  FakeServer oldDiscovery(namedDiscovery("old", endpointEntryJson(first, "s-1", "up"), requested));
  FakeServer newDiscovery(namedDiscovery(
      "new", endpointEntryJson(first, "s-1", "draining") + "," + endpointEntryJson(second, "s-2", "up"),
      requested));
  const std::string path = "reload-" + std::to_string(getpid()) + ".json";
  setenv("BALANCER_CONFIG", path.c_str(), 1);
  // The environment variable takes precedence at the start, the file at a reload.
  setenv("BALANCER_DISCOVERY", ("127.0.0.1:" + std::to_string(oldDiscovery.port())).c_str(), 1);
  RunningRouter router(oldDiscovery, endpointListJson(0, ""));
  requested.waitFor(2);
  Peer client = router.client();
  const auto reload = [&](const std::string& text, const char* title) {
    std::ofstream(path) << text;
    kill(getpid(), SIGHUP);
    client.send(read("k"));
    std::cout << title << ": " << client.answer() << "\n";
  };
  unlink(path.c_str());
  kill(getpid(), SIGHUP);
  reload("", "an empty file");
  reload(router.text(newDiscovery, endpointListJson(0, "")).substr(0, 150), "half a file");
  reload(router.text(newDiscovery, endpointListJson(0, "")), "a complete file");
  requested.waitFor(4);
  reload(router.text(newDiscovery, endpointListJson(0, "")), "the same file again");
  requested.print();
  unlink(path.c_str());
}

}  // namespace

int main(int count, char** arguments) {
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  sigaddset(&blocked, SIGHUP);
  std::signal(SIGHUP, SIG_IGN);  // as the process that starts a router may have set it
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  spdlog::set_level(spdlog::level::off);
  const std::map<std::string, void (*)()> cases{{"values", largeValuesAndBrokenAnswers},
                                                {"client-limit", clientLimit},
                                                {"shutdown", gracefulShutdown},
                                                {"discovery-failures", discoveryFailures},
                                                {"unanswered-list-call", unansweredListCall},
                                                {"configuration-reload", configurationReload}};
  const auto found = count == 2 ? cases.find(arguments[1]) : cases.end();
  if (found == cases.end()) return 2;
  found->second();
}
