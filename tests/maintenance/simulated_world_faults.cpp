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
  requests_["order"] = request;
}

void SimulatedWorld::workOn(const std::string& machine) {
  ++totals_.released;
  after(Duration::millis(200) + pickMillis(3000), [this, machine] {
    OperatorRequest request;
    request.kind = OperatorRequest::Kind::done;
    request.requestedBy = "kim";
    request.machine = machine;
    requests_["done " + machine + std::to_string(++eventNumber_)] = request;
  });
}

// Every router sends attempts now and then, wherever it may by the plan that it knows.
void SimulatedWorld::sendAttempts() {
  constexpr int kAttempts = 3;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const std::size_t router = pick(kRouters);
    const std::string node = nodes_[pick(nodes_.size())];
    run(router, routers_[router].processId, [this, router, node] { send(router, node); });
  }
  after(Duration::millis(15), [this] { sendAttempts(); });
}

void SimulatedWorld::send(std::size_t router, const std::string& node) {
  Process& process = routers_[router];
  if (process.planView->excludedNodes().contains(node)) return;
  const bool hasLease = process.lease->until() != Instant() && clock(router) < process.lease->until();
  const bool needsLease = process.planView->leaseRequiredNodes().contains(node);
  if (needsLease && !hasLease && injectedFault_ != InjectedFault::sendWithoutLease) return;
  // An incarnation that has reached no voter goes by the endpoint list, of which discovery was notified.
  if (process.planView->chosen().version == 0 && !hasLease && chosenPlan_.version > 0) return;
  ++totals_.attempts;
  if (releasedNodes_.contains(node)) {
    if (std::getenv("WORK_TRACE")) {
      std::cerr << name(router) << " sends to " << node << " at " << elapsedMillis() << ", lease " << hasLease
                << ", next " << needsLease << "\n";
      trace();
    }
    return fail("a txn came to a node that was told free");
  }
  process.inFlight.push_back(node);
  after(Duration::millis(5) + pickMillis(pick(20) == 0 ? 990 : 40),
        [this, router, node, processId = process.processId] {
          Process& later = routers_[router];
          if (later.processId != processId) return;
          const auto attempt = std::find(later.inFlight.begin(), later.inFlight.end(), node);
          if (attempt != later.inFlight.end()) later.inFlight.erase(attempt);
        });
}

// --- Faults

void SimulatedWorld::injectFault() {
  if (now_ - kBegin > kFaultTime) return endAllFaults();
  const std::size_t router = pick(kRouters), voter = pick(kVoters);
  const Duration length = pickMillis(pick(3) == 0 ? 15'000 : 3000);
  constexpr std::size_t kKinds = 7;
  switch (pick(kKinds)) {
    case 0:
      killRouter(router, length);
      break;
    case 1:
      stallRouter(router, length);
      break;
    case 2:
    case 3:
      cutLink(router, voter, length);
      break;
    case 4:
      losePower();
      break;
    case 5:
      loseDisk(voter, length);
      break;
    default:
      break;
  }
  after(Duration::millis(500) + pickMillis(6000), [this] { injectFault(); });
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
  after(downtime, [this, router] {
    if (!routers_[router].isUp) start(router);
  });
}

void SimulatedWorld::stallRouter(std::size_t router, Duration pause) {
  ++totals_.stalls;
  routers_[router].isStalled = routers_[router].isUp;
  after(pause, [this, router, processId = routers_[router].processId] {
    if (routers_[router].processId == processId) resume(router);
  });
}

// One way, or both.
void SimulatedWorld::cutLink(std::size_t router, std::size_t voter, Duration outage) {
  ++totals_.cutLinks;
  cutLinks_.insert({router, voter});
  if (pick(2) == 0) cutLinks_.insert({voter, router});
  after(outage, [this, router, voter] {
    cutLinks_.erase({router, voter});
    cutLinks_.erase({voter, router});
    routers_[voter].reportedBallots.erase(router);  // a stream that is reopened
    routers_[voter].reportedVersions.erase(router);
  });
}

// Of all routers.
void SimulatedWorld::losePower() {
  ++totals_.powerLosses;
  for (std::size_t router = 0; router < kRouters; ++router) kill(router);
  for (std::size_t router = 0; router < kRouters; ++router)
    after(pickMillis(3000), [this, router] {
      if (!routers_[router].isUp) start(router);
    });
}

// One disk at a time: a majority that lost their state is beyond what is promised. Its next incarnations
// know of the loss, too, until the voter has accepted what is chosen.
void SimulatedWorld::loseDisk(std::size_t voter, Duration downtime) {
  if (std::any_of(disks_.begin(), disks_.begin() + kVoters, [](auto& disk) { return !disk.isComplete; }))
    return;
  ++totals_.diskLosses;
  kill(voter);
  disks_[voter] = {"", false};
  after(downtime, [this, voter] {
    if (!routers_[voter].isUp) start(voter);
  });
}

}  // namespace gulltrestle::maintenance
