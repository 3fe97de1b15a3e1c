// The program: reads the configuration, runs the gateway with its optional parts, or runs a sub-command.
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

// Environment variables that name the configuration files of the optional parts.
constexpr const char *kLevelsVariable = "GULLTRESTLE_LEVELS", *kLoggingVariable = "GULLTRESTLE_LOGGING",
                     *kExtProcVariable = "GULLTRESTLE_EXT_PROC", *kFleetVariable = "GULLTRESTLE_FLEET";

// The value of an environment variable that holds a path; empty if it is unset.
std::string pathFrom(const char* variable) {
  const char* path = std::getenv(variable);
  return path ? path : "";
}

// Reads the configuration files of the optional parts and collects the errors of all of them, so that an
// operator sees every error at once.
class OptionalConfigFiles {
 public:
  // Returns the parsed file; nullopt if the variable is unset or the file is invalid.
  template <typename Read>
  auto read(const char* variable, Read readFile) -> std::optional<decltype(readFile())> {
    if (pathFrom(variable).empty()) return std::nullopt;
    try {
      return readFile();
    } catch (const config::ConfigError& error) {
      addError(variable, error.what());
      return std::nullopt;
    }
  }
  // Adds an error if the variable is set and the part is not built in.
  void requireBuiltIn(const char* variable, bool isBuiltIn, const std::string& part) {
    if (!pathFrom(variable).empty() && !isBuiltIn)
      addError(variable, "is set, but " + part + " is not built in");
  }
  // Throws std::runtime_error with the collected errors, if there are any.
  void throwIfInvalid() const {
    if (!errors_.empty()) throw std::runtime_error(errors_);
  }

 private:
  void addError(const std::string& variable, const std::string& message) {
    errors_ += (errors_.empty() ? "" : "; ") + variable + ": " + message;
  }
  std::string errors_;
};

void logStart(const config::RouterConfig& config) {
  logging::StartEvent event;
  event.version = build_info::version();
  event.partsBuiltIn = build_info::partsBuiltIn();
  for (const char* variable : {kLevelsVariable, kLoggingVariable, kExtProcVariable, kFleetVariable})
    if (!pathFrom(variable).empty()) event.enabledParts.emplace_back(variable);
  event.routerName = config.name;
  event.transactionClasses = config.deployment.classNames.size();
  event.routerCount = config.deployment.routing.routerCount;
  logging::logStart(event);
}

#ifdef GULLTRESTLE_FLEET
// The longest deadline of the at-most-once transaction classes; zero if there are none.
Duration longestAtMostOnceDeadline(const RoutingConfig& routing) {
  Duration longest;
  for (const auto& transactionClass : routing.transactionClasses)
    if (transactionClass.effect == Effect::atMostOnce) longest = std::max(longest, transactionClass.deadline);
  return longest;
}
#endif

// The configuration of the router and of each optional part whose environment variable is set.
class Configuration {
 public:
  // Throws config::ConfigError, which names the invalid key of the router's configuration, or
  // std::runtime_error, which names every invalid file of the optional parts.
  Configuration() : router_(config::readRouterConfig()) {
    OptionalConfigFiles files;
    files.requireBuiltIn(kExtProcVariable, build_info::hasExternalProcessor(), "the external processor");
    files.requireBuiltIn(kFleetVariable, build_info::hasFleet(), "coordination between routers");
    degradation_ = files.read(kLevelsVariable, [this] { return readDegradation(); });
    logging_ = files.read(kLoggingVariable, readLogging);
#ifdef GULLTRESTLE_EXT_PROC
    extProc_ = files.read(kExtProcVariable, [this] { return readExtProc(); });
#endif
#ifdef GULLTRESTLE_FLEET
    cluster_ = files.read(kFleetVariable, [this] { return readCluster(); });
#endif
    files.throwIfInvalid();
  }

  const config::RouterConfig& router() const { return router_; }
  const auto& degradation() const { return degradation_; }
  const auto& logging() const { return logging_; }

  // Called again at each SIGHUP. Each throws config::ConfigError.
  degradation_service::DegradationConfig readDegradation() const {
    return degradation_service::readDegradationConfigFile(pathFrom(kLevelsVariable),
                                                          router_.deployment.routing.transactionClasses,
                                                          router_.deployment.classNames);
  }
#ifdef GULLTRESTLE_EXT_PROC
  ext_proc_server::ExtProcConfig readExtProc() const {
    ext_proc_server::ExtProcConfig config =
        ext_proc_server::readExtProcConfigFile(pathFrom(kExtProcVariable));
    config.maxIncompleteBytes = server::maxIncompleteMessageBytes(router_);
    return config;
  }
#endif
  static logging::LoggingConfig readLogging() {
    return logging::readLoggingConfigFile(pathFrom(kLoggingVariable));
  }

  // The share of the process's limits that the optional parts use.
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
    cluster::ClusterConfig config = cluster::readClusterConfigFile(
        pathFrom(kFleetVariable), router_.name, longestAtMostOnceDeadline(router_.deployment.routing));
    config.maxIncompleteBytes = server::maxIncompleteMessageBytes(router_);
    return config;
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

// Assembles the server and its optional parts, and serves until shutdown is requested.
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
    // Identifies this incarnation in the tokens of its leases; the time in microseconds makes it unique.
    const std::string incarnationName = router.name + "." + std::to_string(server.loop().now().inMicros());
    server.add(extProcServer.emplace(server.loop(), server.transactions(), router.deployment,
                                     *configuration.extProc(), incarnationName));
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

// Runs a sub-command and returns its exit code; 2 if the arguments are invalid.
int runCommand(int argc, char** argv) {
  if (std::string(argv[1]) == "--version") {
    std::cout << "gulltrestle " << build_info::version() << ", built in: " << build_info::partsBuiltIn()
              << "\n";
    return 0;
  }
#ifdef GULLTRESTLE_FLEET
  return cli::run(argc, argv, std::cout, std::cerr);
#else
  std::cerr << "gulltrestle: " << argc - 1 << " command-line arguments, but no sub-commands are built in\n";
  return 2;
#endif
}

}  // namespace

int main(int argc, char** argv) {
  try {
    if (argc > 1) return runCommand(argc, argv);
    event_loop::blockSignals();
    logging::setUpLog();
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "gulltrestle: " << error.what() << std::endl;
    return 1;
  }
}
