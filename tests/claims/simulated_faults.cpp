// Faults and operator actions in the simulated fleet.
#include <algorithm>

#include "claims/simulated_fleet.h"

namespace gulltrestle::idempotency::simulation {

void SimulatedFleet::injectFault() {
  const std::size_t router = pick(routers_.size());
  const Duration pause = pickMillis(50, 3000);
  switch (pick(7)) {
    case 0:
      ++statistics_.kills;
      return killFor(router, pause);
    case 1:
      return losePower(oneIn(3) ? router : routers_.size());
    case 2:
    case 3:
      return loseDisk(pick(routers_.size()), pause);
    case 4:
      return disconnect(router, pick(routers_.size()));
    case 5:
      return stall(router, pause);
    case 6:
      return changeList();
  }
}

// Kills all routers, or all except `spared`. Each restarts after a random pause of its own.
void SimulatedFleet::losePower(std::size_t spared) {
  ++statistics_.powerLosses;
  for (std::size_t router = 0; router < routers_.size(); ++router)
    if (router != spared) killFor(router, pickMillis(50, 3000));
}

// Loses a voter's disk or replaces it by an old copy.
void SimulatedFleet::loseDisk(std::size_t router, Duration pause) {
  if (!isVoter(router) || !mayLoseDisk(router)) return;
  kill(router);
  Router& lost = routers_[router];
  lost.diskLostAt = now_;
  const bool isRestored = oneIn(2) && isNewestStartKnown(router);
  lost.disk = isRestored ? lost.diskBefore : Disk();
  ++(isRestored ? statistics_.disksRestored : statistics_.disksLost);
  log("", name(router) + (isRestored ? " restarts with an old copy of its disk" : " has lost its disk"));
  schedule(pause, [this, router] {
    if (!routers_[router].isUp) boot(router);
  });
}

// Delays all messages in one direction of one connection.
void SimulatedFleet::stall(std::size_t router, Duration pause) {
  ++statistics_.stalls;
  const std::size_t peer = pick(routers_.size());
  const std::size_t direction = pick(2);
  Instant& arrival = routers_[router].lastArrival[peer * 2 + direction];
  arrival = std::max(arrival, now_ + pause);
}

bool SimulatedFleet::mayLoseDisk(std::size_t router) const {
  std::size_t lost = 1;
  for (std::size_t other = 0; other < routers_.size(); ++other) {
    const Instant lostAt = routers_[other].diskLostAt;
    if (other != router && lostAt != Instant() && now_ - lostAt < kRetention * 3) ++lost;
  }
  return lost < majorityOf(lists_.back().names.size());
}

bool SimulatedFleet::isNewestStartKnown(std::size_t voter) {
  if (disk(voter).ownStarts.empty()) return false;
  const std::uint64_t draw = disk(voter).ownStarts.back().draw;
  const auto voters = votersOf(voter);
  std::size_t knowingVoters = 0;
  for (const std::size_t other : voters)
    if (other != voter && disk(other).voterStarts[name(voter)].draw == draw) ++knowingVoters;
  return voters.size() > 1 && knowingVoters + majorityOf(voters.size()) - 1 > voters.size() - 1;
}

void SimulatedFleet::changeList() {
  VoterList list = lists_.back();
  std::vector<std::size_t> others;
  for (std::size_t router = 0; router < routers_.size(); ++router)
    if (!list.names.contains(name(router))) others.push_back(router);
  std::shuffle(others.begin(), others.end(), random_);
  ++list.version;
  if (others.size() >= 2 && list.names.size() < 5 && oneIn(3)) {
    list.names.insert({name(others[0]), name(others[1])});
  } else if (!others.empty() && list.names.size() > 1) {
    list.names.erase(std::next(list.names.begin(), static_cast<std::ptrdiff_t>(pick(list.names.size()))));
    list.names.insert(name(others[0]));
  } else {
    return;
  }
  for (std::size_t router = 0; router < routers_.size(); ++router)
    if (routers_[router].list != lists_.size() - 1 || !disk(router).lists.previous.empty())
      return;  // an earlier change is still in progress
  ++statistics_.listChanges;
  lists_.push_back(list);
  log("", "the voter list changes");
  for (std::size_t router = 0; router < routers_.size(); ++router) {
    const auto restart = [this, router] { killFor(router, pickMillis(50, 500)); };
    schedule(pickMillis(0, oneIn(4) ? 35'000 : 2000), restart);
  }
}

}  // namespace gulltrestle::idempotency::simulation
