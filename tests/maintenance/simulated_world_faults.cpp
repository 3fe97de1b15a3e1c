#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "maintenance/simulated_world.h"

namespace gulltrestle::maintenance {

// --- Operators and clients

void SimulatedWorld::requestMaintenance() {
  OperatorRequest request;
  request.requestedBy = "kim";
  for (const char* name : {"a", "b"}) {
    Machine machine;
    machine.name = std::string("m") + name;
    machine.zone = "z";
    machine.nodes = {name + std::string("1"), name + std::string("2")};
    machine.expectedDuration = Duration::millis(1000);
    request.machines.push_back(machine);
  }
  requests_["plan"] = request;
}

void SimulatedWorld::scheduleCompletion(const std::string& machine) {
  ++totals_.released;
  schedule(Duration::millis(200) + randomMillis(3000), [this, machine] {
    OperatorRequest request;
    request.kind = OperatorRequest::Kind::done;
    request.requestedBy = "kim";
    request.machine = machine;
    requests_["done " + machine + std::to_string(++eventNumber_)] = request;
  });
}

// Random routers send attempts to random nodes, as far as the plan that each router knows permits it.
void SimulatedWorld::sendAttempts() {
  constexpr int kAttempts = 3;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const std::size_t router = randomBelow(kRouters);
    const std::string node = nodes_[randomBelow(nodes_.size())];
    run(router, routers_[router].processId, [this, router, node] { send(router, node); });
  }
  schedule(Duration::millis(15), [this] { sendAttempts(); });
}

void SimulatedWorld::send(std::size_t router, const std::string& node) {
  Process& process = routers_[router];
  if (process.planView->excludedNodes().contains(node)) return;
  const bool hasLease = process.lease->until() != Instant() && clock(router) < process.lease->until();
  const bool needsLease = process.planView->leaseRequiredNodes().contains(node);
  if (needsLease && !hasLease && injectedFault_ != InjectedFault::sendWithoutLease) return;
  // An incarnation that has not reached a voter follows the endpoint list, which shows excluded nodes as
  // draining since discovery was notified.
  if (process.planView->chosen().version == 0 && !hasLease && chosenPlan_.version > 0) return;
  ++totals_.attempts;
  if (releasedNodes_.contains(node)) {
    if (std::getenv("WORK_TRACE")) {
      std::cerr << name(router) << " sends to " << node << " at " << elapsedMillis() << ", lease " << hasLease
                << ", next " << needsLease << "\n";
      printState();
    }
    return fail("a transaction was sent to a released node");
  }
  process.inFlight.push_back(node);
  schedule(Duration::millis(5) + randomMillis(randomBelow(20) == 0 ? 990 : 40),
           [this, router, node, processId = process.processId] {
             Process& later = routers_[router];
             if (later.processId != processId) return;
             const auto attempt = std::find(later.inFlight.begin(), later.inFlight.end(), node);
             if (attempt != later.inFlight.end()) later.inFlight.erase(attempt);
           });
}

// --- Faults

void SimulatedWorld::injectFault() {
  if (now_ - kStartTime > kFaultTime) return endAllFaults();
  const std::size_t router = randomBelow(kRouters), voter = randomBelow(kVoters);
  const Duration duration = randomMillis(randomBelow(3) == 0 ? 15'000 : 3000);
  constexpr std::size_t kKinds = 7;
  switch (randomBelow(kKinds)) {
    case 0:
      killRouter(router, duration);
      break;
    case 1:
      stallRouter(router, duration);
      break;
    case 2:
    case 3:
      cutLink(router, voter, duration);
      break;
    case 4:
      losePower();
      break;
    case 5:
      loseDisk(voter, duration);
      break;
    default:
      break;
  }
  schedule(Duration::millis(500) + randomMillis(6000), [this] { injectFault(); });
}

void SimulatedWorld::endAllFaults() {
  cutLinks_.clear();
  for (std::size_t router = 0; router < kRouters; ++router) {
    routers_[router].reportedBallots.clear();  // all streams are reopened
    routers_[router].reportedVersions.clear();
    if (!routers_[router].isUp) start(router);
    resume(router);
  }
}

void SimulatedWorld::killRouter(std::size_t router, Duration downtime) {
  ++totals_.kills;
  kill(router);
  schedule(downtime, [this, router] {
    if (!routers_[router].isUp) start(router);
  });
}

void SimulatedWorld::stallRouter(std::size_t router, Duration pause) {
  ++totals_.stalls;
  routers_[router].isStalled = routers_[router].isUp;
  schedule(pause, [this, router, processId = routers_[router].processId] {
    if (routers_[router].processId == processId) resume(router);
  });
}

// Cuts the link in one direction, or in both.
void SimulatedWorld::cutLink(std::size_t router, std::size_t voter, Duration outage) {
  ++totals_.cutLinks;
  cutLinks_.insert({router, voter});
  if (randomBelow(2) == 0) cutLinks_.insert({voter, router});
  schedule(outage, [this, router, voter] {
    cutLinks_.erase({router, voter});
    cutLinks_.erase({voter, router});
    routers_[voter].reportedBallots.erase(router);  // the stream is reopened
    routers_[voter].reportedVersions.erase(router);
  });
}

// Power loss of all routers at the same time.
void SimulatedWorld::losePower() {
  ++totals_.powerLosses;
  for (std::size_t router = 0; router < kRouters; ++router) kill(router);
  for (std::size_t router = 0; router < kRouters; ++router)
    schedule(randomMillis(3000), [this, router] {
      if (!routers_[router].isUp) start(router);
    });
}

// Loses one disk at a time: the protocol does not tolerate the loss of state at a majority. Later
// incarnations of the voter also know of the loss, until the voter has accepted the chosen value.
void SimulatedWorld::loseDisk(std::size_t voter, Duration downtime) {
  if (std::any_of(disks_.begin(), disks_.begin() + kVoters, [](auto& disk) { return !disk.isComplete; }))
    return;
  ++totals_.diskLosses;
  kill(voter);
  disks_[voter] = {"", false};
  schedule(downtime, [this, voter] {
    if (!routers_[voter].isUp) start(voter);
  });
}

}  // namespace gulltrestle::maintenance
