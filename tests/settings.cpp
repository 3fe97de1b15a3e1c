// Checks that a router starts with random settings, which cover what the deployment page allows. Run as
// `settings CASE`.
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

constexpr std::uint64_t kInProcessSeeds = 10'000, kProcessSeeds = 48;
constexpr std::uint64_t kMaxPrintedFailures = 5;

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Effects without sockets: no connection is ever established.
class NoSockets final : public gateway::Effects {
 public:
  void connect(gateway::NodeConnectionId, const std::string&) override {}
  bool writeNode(gateway::NodeConnectionId, transactions::ByteSlices) override { return true; }
  void closeNode(gateway::NodeConnectionId) override {}
  void writeClient(gateway::ClientId, transactions::ByteSlices) override { ++answers; }
  void readClient(gateway::ClientId) override {}
  void closeClient(gateway::ClientId) override {}
  bool hasUnreadBytes(gateway::ClientId) override { return false; }
  void stopListening() override {}
  void requestEndpointList() override {}
  void setDiscoveryAddress(const std::string&) override {}
  void log(std::string) override {}
  int answers = 0;
};

// Parses the text of a configuration file, builds the router from it like main(), and runs it for some turns.
void startInProcess(const std::string& text, const std::string& levels) {
  const auto config = config::parseRouterConfig(text);
  RoutingConfig routing = config.deployment.routing;
  routing.degradationEnabled = routing.connectionPerAttempt = true;
  const auto degradationConfig = degradation_service::readDegradationConfig(
      levels, routing.transactionClasses, config.deployment.classNames);
  NoSockets sockets;
  gateway::Gateway router(routing, config.deployment.classNames, config.seed,
                          {config.deployment.idleTimeout, config.deployment.connectTimeout, 16, 1 << 20, 32},
                          sockets);
  degradation_service::DegradationService service(
      router.transactions(), degradationConfig, config.deployment.classNames, config.seed,
      [&] { return degradationConfig; }, [](const auto&) {});
  router.add(service);
  Instant now = Instant::atMicros(1'767'225'600'000'000);
  router.onEndpointList(now, EndpointUpdateKind::restored, {});
  router.clientOpened(now, 1);
  router.clientReceived(now, 1, postgres::startup("worker", "catalog"));
  for (std::size_t row = 0; row < routing.transactionClasses.size(); ++row) {
    const std::string comment = " /* id=" + std::to_string(row) + ",c=" + config.deployment.classNames[row] +
                                ",t=t,d=100,cluster=1 */";
    const bool writes = routing.transactionClasses[row].level == ReadLevel::write;
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
  // Each client gets a response to its startup message, and each transaction a final answer: no node is
  // reachable.
  const auto expected = 1 + 2 * routing.transactionClasses.size();
  if (sockets.answers != static_cast<int>(expected))
    throw std::runtime_error(std::to_string(sockets.answers) + " answers for " + std::to_string(expected));
}

// Counts failed starts, and prints the first ones.
class StartFailures {
 public:
  void add(std::uint64_t seed, const std::string& error) {
    if (++count_ <= kMaxPrintedFailures) std::cout << "  seed " << seed << ": " << error << "\n";
  }
  std::uint64_t count() const { return count_; }

 private:
  std::uint64_t count_ = 0;
};

// Guards against values that are derived from valid settings and then fail a check of their own, so that the
// router does not start (the incident of 2026-12-02).
void startRoutersInProcess(std::uint64_t firstSeed, std::uint64_t count) {
  const std::string levels = readFile(GULLTRESTLE_LEVELS_FILE);
  StartFailures failures;
  for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) try {
      startInProcess(settings::randomConfiguration(seed), levels);
    } catch (const std::exception& error) { failures.add(seed, error.what()); }
  std::cout << count << " settings, " << failures.count() << " did not start\n";
}

// A process of the program, with its seed, port and configuration file.
struct StartedProcess {
  explicit StartedProcess(std::uint64_t settingsSeed)
      : seed(settingsSeed),
        file("settings-" + std::to_string(getpid()) + "-" + std::to_string(seed) + ".json") {
    settings::RouterAddresses addresses;
    addresses.listen = "127.0.0.1:" + std::to_string(port.number());
    addresses.known = R"({"version":1,"full":true,"servers":[]})";
    std::ofstream(file) << settings::randomConfiguration(seed, addresses);
    child = std::make_unique<Child>(std::vector<std::string>{
        "BALANCER_CONFIG=" + file, std::string("GULLTRESTLE_LEVELS=") + GULLTRESTLE_LEVELS_FILE});
  }
  ~StartedProcess() { unlink(file.c_str()); }

  std::uint64_t seed;
  Port port;
  std::string file;
  std::unique_ptr<Child> child;
};

// Starts the program itself with random settings: each process must log that it listens, and exit with code 0
// on SIGTERM.
void startProcesses(std::uint64_t firstSeed, std::uint64_t count) {
  StartFailures failures;
  std::vector<std::unique_ptr<StartedProcess>> started;
  for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed)
    started.push_back(std::make_unique<StartedProcess>(seed));
  for (const auto& process : started) {
    process->child->waitForLine("listens on");
    process->child->signal(SIGTERM);
  }
  for (const auto& process : started) {
    process->child->waitForLine("(matches no line: reads to the end)");
    if (const int code = process->child->wait(); code != 0)
      failures.add(process->seed, "exit code " + std::to_string(code) + ", " + process->child->lastLine());
  }
  std::cout << count << " processes, " << failures.count() << " did not start\n";
}

}  // namespace

int main(int count, char** arguments) {
  const std::string name = count > 1 ? arguments[1] : "";
  // `settings random-in-process FIRST COUNT`, run manually, covers seeds beyond those of CI.
  const std::uint64_t firstSeed = count > 3 ? std::stoull(arguments[2]) : 1;
  const std::uint64_t seedCount = count > 3 ? std::stoull(arguments[3]) : 0;
  if (name == "random-in-process")
    return startRoutersInProcess(firstSeed, seedCount > 0 ? seedCount : kInProcessSeeds), 0;
  if (name == "random-processes")
    return startProcesses(firstSeed, seedCount > 0 ? seedCount : kProcessSeeds), 0;
  return 2;
}
