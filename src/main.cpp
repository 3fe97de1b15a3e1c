#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "config/router_config.h"
#include "degradation_service/degradation_service.h"
#include "observability/build_info/build_info.h"
#include "observability/logging/process_log.h"
#include "observability/logging/transaction_logging.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/server/server.h"

#ifdef GULLTRESTLE_EXT_PROC
#include "runtime/ext_proc_server/ext_proc_server.h"
#endif

#ifdef GULLTRESTLE_FLEET
#include "cli/command_line.h"
#include "cluster/cluster_server.h"
#endif

namespace {

using namespace gulltrestle;

// Variables that name the configuration files of optional parts.
constexpr const char *kLevels = "GULLTRESTLE_LEVELS", *kLogging = "GULLTRESTLE_LOGGING",
                     *kProcessor = "GULLTRESTLE_EXT_PROC", *kFleet = "GULLTRESTLE_FLEET";

// The path that an environment variable names; empty where it is unset.
std::string pathFrom(const char* variable) {
  const char* path = std::getenv(variable);
  return path ? path : "";
}

// Reads the configuration files of the optional parts and collects what is wrong with all of them, so that an
// operator can fix every fault in one go.
class OptionalConfigFiles {
 public:
  // The parsed file; none where the variable is unset or the file can't be used.
  template <typename Read>
  auto read(const char* variable, Read readFile) -> std::optional<decltype(readFile())> {
    if (pathFrom(variable).empty()) return std::nullopt;
    try {
      return readFile();
    } catch (const config::ConfigError& error) {
      addFault(variable, error.what());
      return std::nullopt;
    }
  }
  void requireBuiltIn(const char* variable, bool isBuiltIn, const std::string& part) {
    if (!pathFrom(variable).empty() && !isBuiltIn)
      addFault(variable, "is set, and " + part + " is not built in");
  }
  // Throws std::runtime_error with all faults; returns where there are none.
  void throwIfFaulty() const {
    if (!faults_.empty()) throw std::runtime_error(faults_);
  }

 private:
  void addFault(const std::string& variable, const std::string& fault) {
    faults_ += (faults_.empty() ? "" : "; ") + variable + ": " + fault;
  }
  std::string faults_;
};

void logStart(const config::RouterConfig& config) {
  logging::StartEvent event;
  event.version = build_info::version();
  event.partsBuiltIn = build_info::partsBuiltIn();
  for (const char* variable : {kLevels, kLogging, kProcessor, kFleet})
    if (!pathFrom(variable).empty()) event.enabledParts.emplace_back(variable);
  event.routerName = config.name;
  event.transactionClasses = config.deployment.classNames.size();
  event.routerCount = config.deployment.routing.routerCount;
  logging::logStart(event);
}

#ifdef GULLTRESTLE_FLEET
Duration longestAtMostOnceDeadline(const RoutingConfig& routing) {
  Duration longest;
  for (const auto& transactionClass : routing.transactionClasses)
    if (transactionClass.effect == Effect::atMostOnce) longest = std::max(longest, transactionClass.deadline);
  return longest;
}
#endif

// The configuration of the router and of each optional part that the environment names.
class Configuration {
 public:
  // Throws config::ConfigError or std::runtime_error, which name the key, or every faulty file.
  Configuration() : router_(config::readRouterConfig()) {
    OptionalConfigFiles files;
    files.requireBuiltIn(kProcessor, build_info::hasExternalProcessor(), "the external processor");
    files.requireBuiltIn(kFleet, build_info::hasFleet(), "what several routers settle among themselves");
    degradation_ = files.read(kLevels, [this] { return readDegradation(); });
    logging_ = files.read(kLogging, readLogging);
#ifdef GULLTRESTLE_EXT_PROC
    extProc_ =
        files.read(kProcessor, [] { return ext_proc_server::readExtProcConfigFile(pathFrom(kProcessor)); });
#endif
#ifdef GULLTRESTLE_FLEET
    cluster_ = files.read(kFleet, [this] { return readCluster(); });
#endif
    files.throwIfFaulty();
  }

  const config::RouterConfig& router() const { return router_; }
  const auto& degradation() const { return degradation_; }
  const auto& logging() const { return logging_; }

  // Read again at each SIGHUP; each throws config::ConfigError.
  degradation_service::DegradationConfig readDegradation() const {
    return degradation_service::readDegradationConfigFile(
        pathFrom(kLevels), router_.deployment.routing.transactionClasses, router_.deployment.classNames);
  }
  static logging::LoggingConfig readLogging() { return logging::readLoggingConfigFile(pathFrom(kLogging)); }

  // What the optional parts take of the process's limits.
  server::ReservedResources reservedResources() const {
    server::ReservedResources reserved;
    reserved.isDegradationEnabled = degradation_.has_value();
#ifdef GULLTRESTLE_EXT_PROC
    if (extProc_) {
      reserved.descriptors += extProc_->maxConnections + ext_proc_server::kMaxHealthChecks;
      reserved.openTransactions = extProc_->streams.maxStreams;
    }
#endif
#ifdef GULLTRESTLE_FLEET
    if (cluster_) reserved.descriptors += cluster::ClusterServer::descriptors(*cluster_);
#endif
    return reserved;
  }

#ifdef GULLTRESTLE_EXT_PROC
  const auto& extProc() const { return extProc_; }
#endif
#ifdef GULLTRESTLE_FLEET
  const auto& cluster() const { return cluster_; }
  cluster::ClusterConfig readCluster() const {
    return cluster::readClusterConfigFile(pathFrom(kFleet), router_.name,
                                          longestAtMostOnceDeadline(router_.deployment.routing));
  }
#endif

 private:
  config::RouterConfig router_;
  std::optional<degradation_service::DegradationConfig> degradation_;
  std::optional<logging::LoggingConfig> logging_;
#ifdef GULLTRESTLE_EXT_PROC
  std::optional<ext_proc_server::ExtProcConfig> extProc_;
#endif
#ifdef GULLTRESTLE_FLEET
  std::optional<cluster::ClusterConfig> cluster_;
#endif
};

// Assembles the server and its optional parts, and serves until it is told to end.
void serve() {
  const Configuration configuration;
  const config::RouterConfig& router = configuration.router();
  logStart(router);

  server::Server server(router, configuration.reservedResources());
  std::optional<logging::TransactionLogging> transactionLogging;
  if (configuration.logging())
    server.add(transactionLogging.emplace(server.transactions().trace(), *configuration.logging(),
                                          Configuration::readLogging, logging::logLine));
  std::optional<degradation_service::DegradationService> degradationService;
  if (configuration.degradation())
    server.add(degradationService.emplace(
        server.transactions(), *configuration.degradation(), router.deployment.classNames, router.seed,
        [&configuration] { return configuration.readDegradation(); }, logging::logLine));
#ifdef GULLTRESTLE_EXT_PROC
  std::optional<ext_proc_server::ExtProcServer> extProcServer;
  if (configuration.extProc()) {
    // Names this start in the tokens of its leases: the time in microseconds tells two starts apart.
    const std::string startName = router.name + "." + std::to_string(server.loop().now().inMicros());
    server.add(extProcServer.emplace(server.loop(), server.transactions(), router.deployment,
                                     *configuration.extProc(), startName));
  }
#endif
#ifdef GULLTRESTLE_FLEET
  std::optional<cluster::ClusterServer> clusterServer;
  if (configuration.cluster())
    server.add(clusterServer.emplace(server.loop(), server.transactions(), router.deployment.routing,
                                     *configuration.cluster(), router.name,
                                     [&configuration] { return configuration.readCluster(); }));
#endif
  server.run();
}

// Runs a sub-command. Returns its exit code: 2 where the arguments are wrong.
int runCommand(int count, char** arguments) {
  if (std::string(arguments[1]) == "--version") {
    std::cout << "gulltrestle " << build_info::version() << ", built in: " << build_info::partsBuiltIn()
              << "\n";
    return 0;
  }
#ifdef GULLTRESTLE_FLEET
  return cli::run(count, arguments, std::cout, std::cerr);
#else
  std::cerr << "gulltrestle: " << count - 1 << " words on the command line, and no commands are built in\n";
  return 2;
#endif
}

}  // namespace

int main(int count, char** arguments) {
  try {
    if (count > 1) return runCommand(count, arguments);
    event_loop::blockSignals();
    logging::setUpLog();
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "gulltrestle: " << error.what() << std::endl;
    return 1;
  }
}
