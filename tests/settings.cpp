// Settings drawn at random: each that the deployment page allows has to start a router. Run as `settings
// CASE`.
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include "child.h"
#include "config/router_config.h"
#include "degradation_service/degradation_service.h"
#include "drawn_settings.h"
#include "gateway/gateway.h"
#include "peers.h"

using namespace gulltrestle;
using namespace gulltrestle::testing;

namespace {

constexpr std::uint64_t kDrawn = 10'000, kProcesses = 48;
constexpr int kMostNamed = 5;  // faults that are printed

std::string textOf(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Carries nothing out: no connection ever comes up.
class NoSockets final : public gateway::Effects {
 public:
  void connect(gateway::NodeConnectionId, const std::string&) override {}
  bool writeNode(gateway::NodeConnectionId, transactions::ByteSlices) override { return true; }
  void closeNode(gateway::NodeConnectionId) override {}
  void writeClient(gateway::ClientId, transactions::ByteSlices) override { ++answers; }
  void readClient(gateway::ClientId) override {}
  void closeClient(gateway::ClientId) override {}
  void stopListening() override {}
  void requestEndpointList() override {}
  void followDiscovery(const std::string&) override {}
  void log(std::string) override {}
  int answers = 0;
};

// From the text of the file to a router that has had some turns, as main() puts them together.
void startInProcess(const std::string& text, const std::string& levels) {
  const auto start = config::parseRouterConfig(text);
  RoutingConfig terms = start.deployment.routing;
  terms.degradationEnabled = terms.connectionPerAttempt = true;
  const auto setup = degradation_service::readDegradationConfig(levels, terms.transactionClasses,
                                                                start.deployment.classNames);
  NoSockets sockets;
  gateway::Gateway router(terms, start.deployment.classNames, start.seed,
                          {start.deployment.idleLimit, start.deployment.connectLimit, 16, 1 << 20, 32},
                          sockets);
  degradation_service::DegradationService service(
      router.transactions(), setup, start.deployment.classNames, start.seed, [&] { return setup; },
      [](const auto&) {});
  router.add(service);
  Instant now = Instant::atMicros(1'767'225'600'000'000);
  router.onEndpointList(now, EndpointUpdateKind::restored, {});
  router.clientOpened(now, 1);
  router.clientReceived(now, 1, postgres::startup("worker", "catalog"));
  for (std::size_t row = 0; row < terms.transactionClasses.size(); ++row) {
    const std::string comment = " /* id=" + std::to_string(row) + ",c=" + start.deployment.classNames[row] +
                                ",t=t,d=100,cluster=1 */";
    const bool writes = terms.transactionClasses[row].level == ReadLevel::write;
    router.clientOpened(now, 2 + row);
    router.clientReceived(
        now, 2 + row,
        postgres::startup("worker", "catalog") +
            query((writes ? "INSERT INTO objects (oid, body) VALUES ('k', '\\x77') RETURNING body"
                          : "SELECT body FROM objects WHERE oid = 'k'") +
                  comment));
  }
  for (int turn = 0; turn < 8; ++turn) {
    router.endTurn(now);
    now = now + Duration::millis(100);
  }
  // A greeting each, and the final answer of each txn: nothing can be reached.
  const auto owed = 1 + 2 * terms.transactionClasses.size();
  if (sockets.answers != static_cast<int>(owed))
    throw std::runtime_error(std::to_string(sockets.answers) + " answers for " + std::to_string(owed));
}

// Faults of a kind of start, by what they say.
class Faults {
 public:
  void add(std::uint64_t seed, const std::string& what) {
    if (++count_ <= kMostNamed) std::cout << "  seed " << seed << ": " << what << "\n";
  }
  std::uint64_t count() const { return count_; }

 private:
  std::uint64_t count_ = 0;
};

// Finds: what is derived from settings and fails a check of its own (the incident of 2026-12-02).
void drawn(std::uint64_t first, std::uint64_t count) {
  const std::string levels = textOf(GULLTRESTLE_LEVELS_FILE);
  Faults faults;
  for (std::uint64_t seed = first; seed < first + count; ++seed) try {
      startInProcess(settings::configuration(seed), levels);
    } catch (const std::exception& fault) { faults.add(seed, fault.what()); }
  std::cout << count << " settings, " << faults.count() << " did not start\n";
}

// One process of the program and what it was started with.
struct Started {
  explicit Started(std::uint64_t ofSeed)
      : seed(ofSeed), file("settings-" + std::to_string(getpid()) + "-" + std::to_string(seed) + ".json") {
    settings::Place place;
    place.listen = "127.0.0.1:" + std::to_string(port.number());
    place.known = R"({"version":1,"full":true,"servers":[]})";
    std::ofstream(file) << settings::configuration(seed, place);
    child = std::make_unique<Child>(std::vector<std::string>{
        "BALANCER_CONFIG=" + file, std::string("GULLTRESTLE_LEVELS=") + GULLTRESTLE_LEVELS_FILE});
  }
  ~Started() { unlink(file.c_str()); }

  std::uint64_t seed;
  Port port;
  std::string file;
  std::unique_ptr<Child> child;
};

// The same with the program itself: each says that it listens, and ends in good order when it is told to.
void processes(std::uint64_t first, std::uint64_t count) {
  Faults faults;
  std::vector<std::unique_ptr<Started>> all;
  for (std::uint64_t seed = first; seed < first + count; ++seed)
    all.push_back(std::make_unique<Started>(seed));
  for (const auto& one : all) {
    one->child->untilItSays("listens on");
    one->child->signal(SIGTERM);
  }
  for (const auto& one : all) {
    one->child->untilItSays("no line has this");
    if (const int code = one->child->wait(); code != 0)
      faults.add(one->seed, "exit code " + std::to_string(code) + ", " + one->child->lastLine());
  }
  std::cout << count << " processes, " << faults.count() << " did not start\n";
}

}  // namespace

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  // By hand: `settings drawn FIRST COUNT` goes on where CI ends.
  const std::uint64_t first = count > 3 ? std::stoull(words[2]) : 1;
  const std::uint64_t most = count > 3 ? std::stoull(words[3]) : 0;
  if (name == "drawn") return drawn(first, most > 0 ? most : kDrawn), 0;
  if (name == "processes") return processes(first, most > 0 ? most : kProcesses), 0;
  return 2;
}
