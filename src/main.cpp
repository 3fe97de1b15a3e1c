#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "config/router_config.h"
#include "degradation_service/degradation_service.h"
#include "observability/build_info/build_info.h"
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

std::string named(const char* variable) {
  const char* path = std::getenv(variable);
  return path ? path : "";
}

// What is wrong with the files of the optional parts, all of it at once: an operator mends it in one go.
class Faults {
 public:
  // What the part's file says; none where none is named, or it can't be used.
  template <typename Read>
  auto read(const char* variable, Read readFile) -> std::optional<decltype(readFile())> {
    if (named(variable).empty()) return std::nullopt;
    try {
      return readFile();
    } catch (const config::ConfigError& bad) {
      add(variable, bad.what());
      return std::nullopt;
    }
  }
  void needs(const char* variable, bool isBuiltIn, const std::string& part) {
    if (!named(variable).empty() && !isBuiltIn) add(variable, "is set, and " + part + " is not built in");
  }
  void raise() const {
    if (!all_.empty()) throw std::runtime_error(all_);
  }

 private:
  void add(const std::string& variable, const std::string& what) {
    all_ += (all_.empty() ? "" : "; ") + variable + ": " + what;
  }
  std::string all_;
};

void logLine(const std::string& line) { spdlog::info("{}", line); }

void tellStart(const config::RouterConfig& start) {
  std::string on;
  for (const char* variable : {kLevels, kLogging, kProcessor, kFleet})
    if (!named(variable).empty()) on += (on.empty() ? "" : ",") + std::string(variable);
  spdlog::info("event=start version={} built_in={} on={} name={} types={} routers={}", build_info::version(),
               build_info::partsBuiltIn(), on.empty() ? "none" : on, start.name,
               start.deployment.typeNames.size(), start.deployment.routing.routerCount);
}

#ifdef GULLTRESTLE_FLEET
Duration longestOnceOnly(const RoutingConfig& terms) {
  Duration longest;
  for (const auto& type : terms.transactionClasses)
    if (type.effect == Effect::atMostOnce) longest = std::max(longest, type.deadline);
  return longest;
}
#endif

void serve() {
  const config::RouterConfig start = config::readRouterConfig();
  const auto& told = start.deployment;
  const auto readLevels = [&told] {
    return degradation_service::readDegradationConfigFile(named(kLevels), told.routing.transactionClasses,
                                                          told.typeNames);
  };
  const auto readLogging = [] { return logging::readLoggingConfigFile(named(kLogging)); };
  Faults faults;
  faults.needs(kProcessor, build_info::hasExternalProcessor(), "the external processor");
  faults.needs(kFleet, build_info::hasFleet(), "what several routers settle among themselves");
  const auto levels = faults.read(kLevels, readLevels);
  const auto logs = faults.read(kLogging, readLogging);
  server::ReservedResources beside;
  beside.reducedByLevel = levels.has_value();
#ifdef GULLTRESTLE_EXT_PROC
  const auto processing =
      faults.read(kProcessor, [] { return ext_proc_server::readExtProcConfigFile(named(kProcessor)); });
  if (processing) {
    beside.descriptors += processing->mostConnections + ext_proc_server::kMostProbes;
    beside.openTxns = processing->streams.mostStreams;
  }
#endif
#ifdef GULLTRESTLE_FLEET
  const auto readFleet = [&] {
    return cluster::readClusterConfigFile(named(kFleet), start.name, longestOnceOnly(told.routing));
  };
  const auto fleet = faults.read(kFleet, readFleet);
  if (fleet) beside.descriptors += cluster::ClusterServer::descriptors(*fleet);
#endif
  faults.raise();
  tellStart(start);

  server::Server server(start, beside);
  std::optional<logging::TransactionLogging> logging;
  if (logs) server.add(logging.emplace(server.ledger().trace(), *logs, readLogging, logLine));
  std::optional<degradation_service::DegradationService> service;
  if (levels)
    server.add(service.emplace(server.ledger(), *levels, told.typeNames, start.seed, readLevels, logLine));
#ifdef GULLTRESTLE_EXT_PROC
  std::optional<ext_proc_server::ExtProcServer> part;
  if (processing) {
    // Names this start in the tokens of its grants: the time in microseconds tells two starts apart.
    const std::string name = start.name + "." + std::to_string(server.loop().now().inMicros());
    server.add(part.emplace(server.loop(), server.ledger(), told, *processing, name));
  }
#endif
#ifdef GULLTRESTLE_FLEET
  std::optional<cluster::ClusterServer> others;
  if (fleet)
    server.add(others.emplace(server.loop(), server.ledger(), told.routing, *fleet, start.name, readFleet));
#endif
  server.run();
}

// The words of the command line; none: it serves.
int command(int count, char** words) {
  if (std::string(words[1]) == "--version") {
    std::cout << "gulltrestle " << build_info::version() << ", built in: " << build_info::partsBuiltIn()
              << "\n";
    return 0;
  }
#ifdef GULLTRESTLE_FLEET
  return cli::run(count, words, std::cout, std::cerr);
#else
  std::cerr << "gulltrestle: " << count - 1 << " words on the command line, and no commands are built in\n";
  return 2;
#endif
}

}  // namespace

int main(int count, char** words) {
  try {
    if (count > 1) return command(count, words);
    event_loop::blockSignals();
    spdlog::set_pattern("%H:%M:%S.%e %L %v");
    spdlog::flush_on(spdlog::level::info);
    serve();
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "gulltrestle: " << bad.what() << std::endl;
    return 1;
  }
}
