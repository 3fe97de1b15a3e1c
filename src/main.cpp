#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>
#include <memory>

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

std::string named(const char* variable) {
  const char* path = std::getenv(variable);
  return path ? path : "";
}

void serve() {
  const startup::Start start = startup::readStart();
  const auto& told = start.told;
  const std::string levels = named("GULLTRESTLE_LEVELS");
  const auto readLevels = [levels, &told] {
    return reduced::readSetupFile(levels, told.terms.types, told.typeNames);
  };
  server::Beside beside;
  beside.reducedByLevel = !levels.empty();
  const reduced::Setup levelsSetup = levels.empty() ? reduced::Setup() : readLevels();
#ifdef GULLTRESTLE_EXT_PROC
  const std::string processorFile = named("GULLTRESTLE_EXT_PROC");
  const auto setup = processorFile.empty() ? processor::Setup() : processor::readSetupFile(processorFile);
  if (!processorFile.empty()) {
    beside.descriptors += setup.mostConnections + processor::kMostProbes;
    beside.openTxns = setup.streams.mostStreams;
  }
#endif
#ifdef GULLTRESTLE_FLEET
  const std::string fleetFile = named("GULLTRESTLE_FLEET");
  peers::Setup fleet;
  Span longest;
  for (const auto& type : told.terms.types)
    if (type.effect == Effect::onceOnly) longest = std::max(longest, type.deadline);
  const auto readFleet = [&] { return peers::readSetupFile(fleetFile, start.name, longest); };
  if (!fleetFile.empty()) {
    fleet = readFleet();
    beside.descriptors += peers::Peers::descriptors(fleet);
  }
#endif
  server::Server server(start, beside);
  std::unique_ptr<reduced::Reduced> service;
  if (!levels.empty()) {
    service = std::make_unique<reduced::Reduced>(server.ledger(), levelsSetup, told.typeNames, start.seed,
                                                 readLevels,
                                                 [](const std::string& line) { spdlog::info("{}", line); });
    server.add(*service);
  }
#ifdef GULLTRESTLE_EXT_PROC
  std::unique_ptr<processor::Processor> part;
  if (!processorFile.empty()) {
    // Names this start in the tokens of its grants: the time in microseconds tells two starts apart.
    const std::string name = start.name + "." + std::to_string(server.loop().now().inMicros());
    part = std::make_unique<processor::Processor>(server.loop(), server.ledger(), told, setup, name);
    server.add(*part);
  }
#endif
#ifdef GULLTRESTLE_FLEET
  std::unique_ptr<peers::Peers> others;
  if (!fleetFile.empty()) {
    others = std::make_unique<peers::Peers>(server.loop(), server.ledger(), told.terms, fleet, start.name,
                                            readFleet);
    server.add(*others);
  }
#endif
  server.run();
}

}  // namespace

int main([[maybe_unused]] int count, [[maybe_unused]] char** words) {
  try {
#ifdef GULLTRESTLE_FLEET
    if (count > 1) return commands::run(count, words, std::cout, std::cerr);
#endif
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
