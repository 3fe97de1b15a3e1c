#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "about/about.h"
#include "logging/logging.h"
#include "loop/sockets.h"
#include "reduced/reduced.h"
#include "server/server.h"
#include "startup/startup.h"

#ifdef GULLTRESTLE_EXT_PROC
#include "processor/processor.h"
#endif

#ifdef GULLTRESTLE_FLEET
#include "commands/commands.h"
#include "peers/peers.h"
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
    } catch (const startup::BadKey& bad) {
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

void tellStart(const startup::Start& start) {
  std::string on;
  for (const char* variable : {kLevels, kLogging, kProcessor, kFleet})
    if (!named(variable).empty()) on += (on.empty() ? "" : ",") + std::string(variable);
  spdlog::info("event=start version={} built_in={} on={} name={} types={} routers={}", about::version(),
               about::partsBuiltIn(), on.empty() ? "none" : on, start.name, start.told.typeNames.size(),
               start.told.terms.routers);
}

#ifdef GULLTRESTLE_FLEET
Span longestOnceOnly(const Terms& terms) {
  Span longest;
  for (const auto& type : terms.types)
    if (type.effect == Effect::onceOnly) longest = std::max(longest, type.deadline);
  return longest;
}
#endif

void serve() {
  const startup::Start start = startup::readStart();
  const auto& told = start.told;
  const auto readLevels = [&told] {
    return reduced::readSetupFile(named(kLevels), told.terms.types, told.typeNames);
  };
  const auto readLogging = [] { return logging::readSetupFile(named(kLogging)); };
  Faults faults;
  faults.needs(kProcessor, about::hasExternalProcessor(), "the external processor");
  faults.needs(kFleet, about::hasFleet(), "what several routers settle among themselves");
  const auto levels = faults.read(kLevels, readLevels);
  const auto logs = faults.read(kLogging, readLogging);
  server::Beside beside;
  beside.reducedByLevel = levels.has_value();
#ifdef GULLTRESTLE_EXT_PROC
  const auto processing = faults.read(kProcessor, [] { return processor::readSetupFile(named(kProcessor)); });
  if (processing) {
    beside.descriptors += processing->mostConnections + processor::kMostProbes;
    beside.openTxns = processing->streams.mostStreams;
  }
#endif
#ifdef GULLTRESTLE_FLEET
  const auto readFleet = [&] {
    return peers::readSetupFile(named(kFleet), start.name, longestOnceOnly(told.terms));
  };
  const auto fleet = faults.read(kFleet, readFleet);
  if (fleet) beside.descriptors += peers::Peers::descriptors(*fleet);
#endif
  faults.raise();
  tellStart(start);

  server::Server server(start, beside);
  std::optional<logging::Logging> logging;
  if (logs) server.add(logging.emplace(server.ledger().trace(), *logs, readLogging, logLine));
  std::optional<reduced::Reduced> service;
  if (levels)
    server.add(service.emplace(server.ledger(), *levels, told.typeNames, start.seed, readLevels, logLine));
#ifdef GULLTRESTLE_EXT_PROC
  std::optional<processor::Processor> part;
  if (processing) {
    // Names this start in the tokens of its grants: the time in microseconds tells two starts apart.
    const std::string name = start.name + "." + std::to_string(server.loop().now().inMicros());
    server.add(part.emplace(server.loop(), server.ledger(), told, *processing, name));
  }
#endif
#ifdef GULLTRESTLE_FLEET
  std::optional<peers::Peers> others;
  if (fleet)
    server.add(others.emplace(server.loop(), server.ledger(), told.terms, *fleet, start.name, readFleet));
#endif
  server.run();
}

// The words of the command line; none: it serves.
int command(int count, char** words) {
  if (std::string(words[1]) == "--version") {
    std::cout << "gulltrestle " << about::version() << ", built in: " << about::partsBuiltIn() << "\n";
    return 0;
  }
#ifdef GULLTRESTLE_FLEET
  return commands::run(count, words, std::cout, std::cerr);
#else
  std::cerr << "gulltrestle: " << count - 1 << " words on the command line, and no commands are built in\n";
  return 2;
#endif
}

}  // namespace

int main(int count, char** words) {
  try {
    if (count > 1) return command(count, words);
    loop::holdSignals();
    spdlog::set_pattern("%H:%M:%S.%e %L %v");
    spdlog::flush_on(spdlog::level::info);
    serve();
    return 0;
  } catch (const std::exception& bad) {
    std::cerr << "gulltrestle: " << bad.what() << std::endl;
    return 1;
  }
}
