// Clock, routers, connections and disks of the simulated fleet.
#include "claims/simulated_fleet.h"

#include <algorithm>
#include <iostream>

namespace gulltrestle::idempotency::simulation {

SimulatedFleet::SimulatedFleet(std::uint64_t seed, InjectedBug bug, FleetStatistics& statistics,
                               std::string loggedId)
    : random_(seed), bug_(bug), statistics_(statistics), loggedId_(std::move(loggedId)) {
  const std::size_t voters = 1 + 2 * pick(3);
  routers_.resize(std::max<std::size_t>(voters, 3 + pick(7)));
  lists_.push_back({.version = 1, .names = {}});
  for (std::size_t i = 0; i < voters; ++i) lists_[0].names.insert(name(i));
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    if (i < voters) disk(i).isComplete = true;  // a new installation, by an operator's command
    boot(i);
  }
}

std::string SimulatedFleet::runScenario() {
  constexpr std::int64_t kEndMillis = 40'000;
  constexpr int kFaults = 30;
  for (std::int64_t at = 0; at < kEndMillis; at += 20 + static_cast<std::int64_t>(pick(200)))
    schedule(Duration::millis(at), [this] { sendRequest(); });
  for (int i = 0; i < kFaults; ++i) schedule(pickMillis(0, kEndMillis), [this] { injectFault(); });
  run(Duration::millis(kEndMillis));
  // After all faults have ended and the retention time has passed, every router must admit a new id.
  areFaultsOver_ = true;
  for (std::size_t i = 0; i < routers_.size(); ++i)
    if (!routers_[i].isUp || routers_[i].list != lists_.size() - 1) killFor(i, Duration::millis(50));
  run(kRetention + kRetention + Duration::millis(10'000));
  admittedAt_.clear();
  for (std::size_t i = 0; i < routers_.size(); ++i)
    schedule(Duration(), [=, this] { request(i, "new" + name(i)); });
  run(Duration::millis(2000));
  if (failure_.empty() && admittedAt_.size() < routers_.size())
    fail("only " + std::to_string(admittedAt_.size()) + " of " + std::to_string(routers_.size()) +
         " routers admit claims after all faults ended");
  return failure_;
}

void SimulatedFleet::log(const std::string& id, const std::string& text) const {
  if (!loggedId_.empty() && (id.empty() || id == loggedId_))
    std::cout << (now_ - Instant()).inMicros() / 1000 - 1'000'000 << " " << text << "\n";
}

void SimulatedFleet::fail(const std::string& text) {
  if (failure_.empty()) failure_ = text;
}

std::size_t SimulatedFleet::pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

Duration SimulatedFleet::pickMillis(std::int64_t shortest, std::size_t range) {
  return Duration::millis(shortest + static_cast<std::int64_t>(pick(range)));
}

std::vector<std::size_t> SimulatedFleet::votersOf(std::size_t router) const {
  std::vector<std::size_t> voters;
  for (const auto& voter : listOf(router).names) voters.push_back(std::stoul(voter.substr(1)));
  return voters;
}

VoterIndex SimulatedFleet::indexOf(std::size_t router, std::size_t voter) const {
  const auto voters = votersOf(router);
  return static_cast<VoterIndex>(std::find(voters.begin(), voters.end(), voter) - voters.begin());
}

// --- Time

void SimulatedFleet::schedule(Duration delay, std::function<void()> call) {
  events_.push({.at = now_ + delay, .order = ++eventCount_, .call = std::move(call)});
}

void SimulatedFleet::scheduleOnRouter(std::size_t router, Duration delay, std::function<void()> call) {
  schedule(delay, [this, router, startCount = routers_[router].startCount, call = std::move(call)] {
    if (routers_[router].isUp && routers_[router].startCount == startCount) call();
  });
}

void SimulatedFleet::run(Duration span) {
  const Instant end = now_ + span;
  while (failure_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    event.call();
  }
  now_ = end;
}

// --- Router lifecycle

void SimulatedFleet::boot(std::size_t router) {
  Router& booted = routers_[router];
  booted.list = lists_.size() - 1;
  log("", name(router) + (isVoter(router) ? " starts as a voter" : " starts") + " under list " +
              std::to_string(booted.list + 1) +
              (booted.disk.claims.contains(loggedId_)
                   ? ", stores the claim of " + booted.disk.claims[loggedId_].token.router
                   : ""));
  booted.isUp = true;
  ++booted.startCount;
  bootCoordinator(router);
  booted.waiting.clear();
  booted.writes.clear();
  booted.isWriting = false;
  if (isVoter(router)) {
    if (!changeListOnDisk(router)) return;
    bootVoter(router);
  }
  for (const std::size_t voter : votersOf(router)) connect(router, voter);
  tick(router);
}

void SimulatedFleet::bootCoordinator(std::size_t router) {
  const std::size_t voters = listOf(router).names.size();
  routers_[router].tokenStart = bug_ == InjectedBug::tokensRepeated ? 1 : random_() * 4096ULL + router;
  ClaimCoordinatorLimits limits;
  const bool countsTooFew = bug_ == InjectedBug::quorumTooSmall && voters > 1 && router % 2 == 1;
  limits.voterCount = countsTooFew ? voters - 2 : voters;
  limits.retention = kRetention;
  routers_[router].coordinator = std::make_unique<ClaimCoordinator>(limits, random_());
}

bool SimulatedFleet::changeListOnDisk(std::size_t router) {
  Router& booted = routers_[router];
  Disk& onDisk = booted.disk;
  booted.diskBefore = onDisk;
  const std::uint64_t previousNumber = onDisk.ownStarts.empty() ? 0 : onDisk.ownStarts.back().number;
  onDisk.ownStarts.push_back({.number = previousNumber + 1, .draw = random_()});
  const auto decision = transitionTo(onDisk.lists, lists_, name(router));
  if (const auto* rejection = std::get_if<VoterListRejection>(&decision)) {
    fail("did not start: " + rejection->reason);
    return false;
  }
  const auto& transition = std::get<VoterListTransition>(decision);
  onDisk.lists = transition.lists;
  if (bug_ == InjectedBug::listChangedAtOnce) onDisk.lists.previous.clear();
  if (transition.isDiskTrusted) return true;
  if (bug_ == InjectedBug::newVoterVotesAtOnce) {
    onDisk.isComplete = true;
    return true;
  }
  onDisk.isComplete = false;
  onDisk.minValidStart = onDisk.ownStarts.back().number;
  booted.diskLostAt = now_;
  return true;
}

StoredState SimulatedFleet::storedStateOf(const Disk& disk) const {
  StoredState stored;
  stored.ownStarts = disk.ownStarts;
  stored.minValidStart = disk.minValidStart;
  stored.isComplete = disk.isComplete || bug_ == InjectedBug::abstentionForgotten;
  stored.voterStarts = disk.voterStarts;
  stored.voterLists = disk.lists;
  for (const auto& [id, claim] : disk.claims) stored.claims.push_back(claim);
  return stored;
}

void SimulatedFleet::bootVoter(std::size_t router) {
  VotingMemberLimits limits;
  limits.retention = kRetention;
  routers_[router].voter =
      std::make_unique<VotingMember>(now_, name(router), limits, storedStateOf(disk(router)));
}

void SimulatedFleet::tick(std::size_t router) {
  Router& ticking = routers_[router];
  if (ticking.voter) ticking.voter->runTimers(now_);
  ticking.coordinator->runTimers(now_);
  processCoordinatorOutput(router);
  scheduleOnRouter(router, Duration::millis(50), [this, router] { tick(router); });
}

void SimulatedFleet::kill(std::size_t router) {
  Router& killed = routers_[router];
  if (!killed.isUp) return;
  log("", name(router) + " is killed");
  killed.isUp = false;
  // Any prefix of the pending writes may have become durable.
  for (const PendingWrite& pending : killed.writes) {
    if (oneIn(2)) break;
    apply(killed.disk, pending.changes);
  }
  for (std::size_t other = 0; other < routers_.size(); ++other)
    if (other != router) disconnect(other, router);
  killed.connections.clear();
  killed.coordinator.reset();
  killed.voter.reset();
}

void SimulatedFleet::killFor(std::size_t router, Duration pause) {
  kill(router);
  schedule(pause, [this, router] {
    if (!routers_[router].isUp) boot(router);
  });
}

// --- Connections

void SimulatedFleet::connect(std::size_t from, std::size_t to) {
  Router& connecting = routers_[from];
  if (connecting.connections[to] & 1) return;
  // A voter that is down or serves under another list rejects the connection, so retry later.
  if (!routers_[to].isUp || routers_[to].list != connecting.list)
    return scheduleOnRouter(from, Duration::millis(200), [this, from, to] { connect(from, to); });
  ++connecting.connections[to];
  connecting.coordinator->setReachable(indexOf(from, to), true);
  greet(from, to);
  processCoordinatorOutput(from);
}

void SimulatedFleet::disconnect(std::size_t from, std::size_t to) {
  Router& disconnected = routers_[from];
  if (!disconnected.isUp || !(disconnected.connections[to] & 1)) return;
  ++disconnected.connections[to];
  disconnected.coordinator->setReachable(indexOf(from, to), false);
  processCoordinatorOutput(from);
  scheduleOnRouter(from, pickMillis(100, 1000), [this, from, to] { connect(from, to); });
}

void SimulatedFleet::send(std::size_t from, std::size_t to, std::size_t owner, std::size_t voter,
                          std::function<void()> call) {
  Router& ownerState = routers_[owner];
  const auto generation = ownerState.connections[voter];
  if (!(generation & 1)) return;
  Instant& arrival = ownerState.lastArrival[voter * 2 + (from == owner)];
  arrival = std::max(arrival, now_ + pickMillis(1, 20));
  // A coordinator's message that was sent on a connection that broke meanwhile may still arrive, late.
  const bool isStray = from == owner && oneIn(3);
  schedule(arrival - now_, [=, this, startCount = routers_[to].startCount, call = std::move(call)] {
    Router& ownerNow = routers_[owner];
    const bool isConnected = ownerNow.isUp && ownerNow.connections[voter] == generation;
    if (routers_[to].isUp && routers_[to].startCount == startCount && (isConnected || isStray)) call();
  });
}

void SimulatedFleet::greet(std::size_t from, std::size_t to) {
  if (!isVoter(from) || from == to) return;
  const VoterIncarnation start = routers_[from].voter->start();
  send(from, to, from, to, [=, this] {
    const auto knownStart = routers_[to].voter->onGreeting(name(from), start);
    if (!knownStart) return disconnect(from, to);
    write(to, [=, this, known = *knownStart] { replyToGreeting(to, from, start, known); });
    processCoordinatorOutput(to);
  });
}

void SimulatedFleet::replyToGreeting(std::size_t voter, std::size_t greeter, const VoterIncarnation& start,
                                     const VoterIncarnation& knownStart) {
  send(voter, greeter, greeter, voter, [=, this] {
    const bool isIgnored = bug_ == InjectedBug::staleDiskTrusted;
    const bool hasNewNumber = routers_[greeter].voter->onGreetingReply(
        now_, name(voter), start.number, isIgnored ? VoterIncarnation() : knownStart);
    if (!hasNewNumber) return;
    write(greeter, [=, this] {
      for (const std::size_t other : votersOf(greeter)) greet(greeter, other);
    });
  });
}

// --- Disks

void SimulatedFleet::write(std::size_t router, std::function<void()> whenDurable) {
  Router& writing = routers_[router];
  writing.writes.push_back({writing.voter->takeChanges(), std::move(whenDurable)});
  if (writing.isWriting) return;
  writing.isWriting = true;
  writeNext(router);
}

void SimulatedFleet::writeNext(std::size_t router) {
  constexpr Duration kSlowWrite = Duration::millis(800);
  const bool isSlow = !areFaultsOver_ && oneIn(20);
  scheduleOnRouter(router, isSlow ? kSlowWrite : pickMillis(1, 10), [this, router] {
    Router& writing = routers_[router];
    const PendingWrite written = std::move(writing.writes.front());
    writing.writes.pop_front();
    apply(writing.disk, written.changes);
    written.whenDurable();
    if (writing.writes.empty())
      writing.isWriting = false;
    else
      writeNext(router);
  });
}

void SimulatedFleet::apply(Disk& disk, const std::vector<DiskChange>& changes) {
  for (const DiskChange& change : changes) {
    if (const auto* claim = std::get_if<ClaimRecord>(&change)) disk.claims[claim->id] = *claim;
    if (const auto* removal = std::get_if<ClaimRemoval>(&change)) disk.claims.erase(removal->id);
    if (const auto* lists = std::get_if<VoterListHistory>(&change)) disk.lists = *lists;
    if (const auto* voting = std::get_if<VotingRecord>(&change)) {
      disk.isComplete = voting->isComplete;
      disk.minValidStart = voting->minValidStart;
    }
    const auto* start = std::get_if<VoterStartRecord>(&change);
    if (!start) continue;
    if (start->voter.empty())
      disk.ownStarts.push_back(start->incarnation);
    else
      disk.voterStarts[start->voter] = start->incarnation;
  }
}

}  // namespace gulltrestle::idempotency::simulation
