// A randomized fault soak: 10 to 40 router processes with random settings and injected machine faults,
// between fake clients, nodes and discovery that fail as well. Violations are derived from what the clients
// and the nodes record. After the end of the faults all routers have to serve again. One seed determines the
// settings and the faults; their timing in the processes differs from run to run.
//
//   soak --seed 1 --seconds 20 --routers 12 --report soak.json
#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "config/router_config.h"
#include "drawn_settings.h"
#include "scratch.h"
#include "soak/schedule.h"

using namespace gulltrestle;
using namespace gulltrestle::soak;

namespace {

constexpr std::size_t kClientsPerRouter = 5;
// In one of so many seeds, a crowd of idle clients fills the descriptors of some routers.
constexpr std::uint64_t kCrowdOneIn = 3;
constexpr std::size_t kCrowdedRouters = 2, kCrowdSize = 200;
// A router has to serve again within this time after the end of the faults.
constexpr Duration kRecoveryTimeout = Duration::seconds(12);
constexpr Duration kStartupTimeout = Duration::seconds(10);
// SIGKILL follows SIGTERM after the longest deadline, limited to three seconds, plus the shutdown margin.
constexpr Duration kMaxShutdownDeadline = Duration::seconds(3), kShutdownMargin = Duration::millis(700);
// The first violations are printed; the report has all of them.
constexpr std::size_t kMaxPrintedViolations = 8;

struct Options {
  std::uint64_t seed = 1;
  double seconds = 20;
  std::size_t routers = 12;
  std::int64_t machineDelayMillis = 150;
  std::string report;
  std::string program = GULLTRESTLE_PROGRAM;
  bool keep = false;
};

class Soak {
 public:
  explicit Soak(const Options& options)
      : options_(options),
        folder_(scratchFolder("soak")),
        deployment_(config::parseRouterConfig(settings::randomConfiguration(options.seed)).deployment),
        history_(deployment_.routing.transactionClasses, deployment_.drainGrace,
                 Duration::millis(options.machineDelayMillis)),
        harness_(loop_, history_, deployment_.routing, options.routers, options.seed * 3 + 1) {
    for (const auto& transactionClass : deployment_.routing.transactionClasses)
      longestDeadline_ = std::max(longestDeadline_, transactionClass.deadline);
    for (std::size_t i = 0; i < options.routers; ++i) {
      routers_.push_back(
          std::make_unique<RouterProcess>(options.program, folder_, i, options.seed * 1000 + i));
      routers_[i]->configure(options.seed, harness_.discoveryAgents()[i]->port(), harness_.endpointList(i));
      clients_.push_back(std::make_unique<Clients>(harness_, *routers_[i], i));
    }
    schedule_ = std::make_unique<Schedule>(
        harness_, routers_, options.seed * 7 + 5,
        std::min(longestDeadline_, kMaxShutdownDeadline) + kShutdownMargin +
            Duration::millis(options.machineDelayMillis - Options().machineDelayMillis));
  }
  ~Soak() {
    loop_.destroyTasks();
    routers_.clear();
    if (!options_.keep) std::filesystem::remove_all(folder_);
  }

  int run() {
    loop_.spawn(monitorRouters());
    loop_.spawn(runScenario());
    loop_.run(
        [this](Instant now) {
          history_.onLoopIteration(now);
          return Instant();
        },
        [this](std::exception_ptr exception) {
          try {
            std::rethrow_exception(exception);
          } catch (const std::exception& error) {
            history_.recordViolation(loop_.now(), "soak", error.what());
          }
        });
    history_.reportUnanswered(loop_.now());
    return writeReport();
  }

 private:
  // Checks the router processes and restarts those that exited. Because it runs often, the history notices
  // delays of this process itself.
  event_loop::Task monitorRouters() {
    for (;;) {
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(2));
      const Instant now = loop_.now();
      for (std::size_t i = 0; i < routers_.size(); ++i) checkRouter(now, i);
    }
  }
  void checkRouter(Instant now, std::size_t index) {
    RouterProcess& router = *routers_[index];
    const std::string name = "router " + std::to_string(index);
    if (router.running && router.readyAt == Instant() && !router.terminating &&
        now - router.startedAt > kStartupTimeout &&
        reportedStarts_.insert(std::pair(index, router.starts)).second)
      history_.recordViolation(now, "ready", name + " is not ready after 10 s");
    if (!router.reap() || router.killed) return;
    if (!router.terminating || router.status != 0)
      history_.recordViolation(now, "ended",
                               name + " exited unexpectedly, status " + std::to_string(router.status) + ": " +
                                   router.lastLogLine());
    if (!router.terminating) router.start(now);
  }
  event_loop::Task runScenario() {
    for (const auto& router : routers_) router->start(loop_.now());
    for (const auto& clients : clients_) clients->start(kClientsPerRouter);
    if (hasCrowd())
      for (std::size_t i = 0; i < std::min(kCrowdedRouters, clients_.size()); ++i)
        clients_[i]->startCrowd(kCrowdSize);
    const Instant until = loop_.now() + Duration::seconds(options_.seconds);
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(500));
    loop_.spawn(schedule_->run(until));
    while (!schedule_->finished()) co_await loop_.sleepUntil(loop_.now() + Duration::millis(20));
    for (const auto& router : routers_) router->machine().clearFaults();
    for (const auto& node : harness_.nodes()) clearFaults(*node);
    for (const auto& clients : clients_) clients->endCrowd();
    const Instant serviceDeadline = loop_.now() + kRecoveryTimeout;
    for (const auto& clients : clients_) loop_.spawn(clients->expectService(serviceDeadline));
    co_await loop_.sleepUntil(loop_.now() + Duration::millis(200));
    while (std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& clients) { return clients->pendingServiceChecks > 0; }))
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(20));
    for (const auto& clients : clients_) clients->stop();
    const Instant idleDeadline = loop_.now() + Clients::longestWait(longestDeadline_) + Duration::seconds(5);
    while (loop_.now() < idleDeadline && std::any_of(clients_.begin(), clients_.end(),
                                                     [](const auto& clients) { return !clients->idle(); }))
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(20));
    loop_.stop();
  }
  bool hasCrowd() const { return options_.seed % kCrowdOneIn == 0; }
  void clearFaults(Node& node) {
    node.hang(Instant());
    node.fail(Instant());
    node.lag(Instant());
  }

  int writeReport() {
    std::map<std::string, std::uint64_t> violationsByRule, failedCalls;
    for (const auto& violation : history_.violations()) ++violationsByRule[violation.rule];
    for (std::size_t kind = 0; kind < faults::kFaultKindCount; ++kind)
      for (const auto& router : routers_)
        failedCalls[faults::kFaultNames[kind]] +=
            router->machine().injectedCount(static_cast<faults::FaultKind>(kind));
    for (const auto& router : routers_) failedCalls["wall-reads"] += router->machine().wallClockReads();
    nlohmann::ordered_json report;
    report["seed"] = options_.seed;
    report["seconds"] = options_.seconds;
    report["routers"] = options_.routers;
    report["crowd"] = hasCrowd();
    report["requests"] = history_.requests();
    report["committed"] = history_.committed;
    report["refused"] = history_.rejected;
    report["failed"] = history_.failed;
    report["crossed"] = history_.excused;
    report["faults"] = schedule_->counts();
    report["system_calls"] = failedCalls;
    report["broken"] = violationsByRule;
    report["verdicts"] = nlohmann::ordered_json::array();
    for (const auto& violation : history_.violations())
      report["verdicts"].push_back({{"rule", violation.rule}, {"what", violation.description}});
    if (!options_.report.empty()) std::ofstream(options_.report) << report.dump(2) << "\n";
    std::cout << "seed " << options_.seed << ": " << history_.requests() << " requests, "
              << history_.committed << " committed, " << history_.rejected << " refused, " << history_.failed
              << " failed, " << history_.violations().size() << " broken\n";
    for (std::size_t i = 0; i < history_.violations().size() && i < kMaxPrintedViolations; ++i)
      std::cout << "  " << history_.violations()[i].rule << ": " << history_.violations()[i].description
                << "\n";
    if (options_.keep) std::cout << "  files kept in " << folder_ << "\n";
    return history_.violations().empty() && history_.committed > 0 ? 0 : 1;
  }

  Options options_;
  std::string folder_;
  deployment::DeploymentSettings deployment_;
  Duration longestDeadline_;
  event_loop::EventLoop loop_;
  RequestHistory history_;
  Harness harness_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::unique_ptr<Clients>> clients_;
  std::unique_ptr<Schedule> schedule_;
  std::set<std::pair<std::size_t, unsigned>> reportedStarts_;
};

}  // namespace

int main(int count, char** arguments) {
  Options options;
  CLI::App app("A randomized fault soak of the program");
  app.add_option("--seed", options.seed, "seed of the settings and the faults");
  app.add_option("--seconds", options.seconds, "how long faults are injected")
      ->check(CLI::Range(1.0, 3600.0));
  app.add_option("--routers", options.routers, "number of router processes")->check(CLI::Range(1, 40));
  app.add_option("--program", options.program, "path of the router program");
  app.add_option("--report", options.report, "path of the JSON report");
  app.add_option("--held-up", options.machineDelayMillis,
                 "milliseconds for which a busy machine may delay a router")
      ->check(CLI::Range(150, 5000));
  app.add_flag("--keep", options.keep, "keep configurations and logs");
  CLI11_PARSE(app, count, arguments);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak(options).run();
}
