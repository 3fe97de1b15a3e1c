#include "maintenance/maintenance_leader.h"

#include <algorithm>

#include "maintenance/scheduling.h"

namespace gulltrestle::maintenance {

namespace {

// Machines that are over stay to be looked at, the newest; and requests, so that one that is repeated is
// known. Far more than operators look back at.
constexpr std::size_t kMostOver = 50, kMostTaken = 200;
// see() is called twice a second; beyond this its process stood still.
constexpr Duration kStoodStill = Duration::millis(2000);
// Some rounds, each with its pauses.
constexpr Duration kTakesOver = Duration::millis(5000);
// A plan's text has to fit a message between routers.
constexpr std::size_t kMostMachines = 200, kLongestWhy = 160;

constexpr const char* kAsked = "asked";

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t i = 0; i < names.size() && i < 5; ++i) out += (i ? " " : "") + names[i];
  if (names.size() > 5) out += " and " + std::to_string(names.size() - 5) + " more";
  return out;
}

PhaseTransition go(Plan& plan, Machine& machine, Phase to, std::string why) {
  if (why.size() > kLongestWhy) why.resize(kLongestWhy);
  PhaseTransition step{machine.name, machine.phase, to, why};
  machine.phase = to;
  machine.since = plan.version;
  machine.reason = std::move(why);
  return step;
}

void take(Plan& plan, const std::string& request) {
  plan.appliedRequests.push_back(request);
  if (plan.appliedRequests.size() > kMostTaken) plan.appliedRequests.erase(plan.appliedRequests.begin());
}
bool wasTaken(const Plan& plan, const std::string& request) {
  return std::find(plan.appliedRequests.begin(), plan.appliedRequests.end(), request) !=
         plan.appliedRequests.end();
}

bool standsOnFree(const Plan& plan, const std::string& router) {
  return std::any_of(plan.machines.begin(), plan.machines.end(), [&](const auto& m) {
    return (m.phase == Phase::released || m.phase == Phase::returning) &&
           std::find(m.routers.begin(), m.routers.end(), router) != m.routers.end();
  });
}

// The oldest that are over go.
void prune(Plan& plan) {
  std::size_t over = 0;
  for (const auto& m : plan.machines) over += m.phase == Phase::finished;
  for (; over > kMostOver; --over) {
    const auto oldest = std::min_element(plan.machines.begin(), plan.machines.end(), [](auto& a, auto& b) {
      return std::pair(a.phase != Phase::finished, a.since) < std::pair(b.phase != Phase::finished, b.since);
    });
    plan.machines.erase(oldest);
  }
}

// It is given back as it was, and tried again later, or given up for good.
PhaseTransition giveBack(Plan& plan, Machine& machine, const Bounds& bounds, const std::string& why) {
  if (++machine.attempts < bounds.tries) return go(plan, machine, Phase::waiting, why);
  return go(plan, machine, Phase::finished, "given up: " + why);
}

}  // namespace

// --- Kind is seen

void MaintenanceLeader::observe(Instant now, const Plan& plan, const FleetState& facts) {
  // Guards against a keeper that stood still and goes on by what it had seen before.
  if (seenAt_ != Instant() && now - seenAt_ > kStoodStill) {
    routers_.clear();
    machines_.clear();
  }
  seenAt_ = now;
  std::erase_if(routers_, [&](const auto& seen) { return !facts.routers.contains(seen.first); });
  for (const auto& [name, router] : facts.routers) {
    SeenRouter& seen = routers_[name];
    if (seen.startAt == Instant() || seen.start != router.start) {
      seen.start = router.start;
      seen.startAt = now;
    }
    if (!router.isSilent) seen.silentAt = Instant();
    if (router.isSilent && seen.silentAt == Instant()) seen.silentAt = now;
    if (!router.wasRemoved) seen.leftAt = Instant();
    if (router.wasRemoved && seen.leftAt == Instant()) seen.leftAt = now;
  }
  std::erase_if(machines_, [&](const auto& seen) { return plan.find(seen.first) == nullptr; });
  for (const auto& m : plan.machines) {
    SeenMachine& seen = machines_[m.name];
    if (seen.askedAt == Instant()) seen.askedAt = now;
    if (seen.at == Instant() || seen.since != m.since || seen.phase != m.phase) {
      seen.since = m.since;
      seen.phase = m.phase;
      seen.at = now;
      seen.servesAt = Instant();
    }
    if (!serves(m, facts))
      seen.servesAt = Instant();
    else if (seen.servesAt == Instant())
      seen.servesAt = now;
  }
}

bool MaintenanceLeader::serves(const Machine& machine, const FleetState& facts) const {
  for (const auto& name : machine.nodes) {
    const auto at = facts.nodes.find(name);
    if (at == facts.nodes.end() || !at->second.live || !at->second.serves) return false;
    if (at->second.behind > bounds_.caughtUp) return false;
  }
  return std::all_of(machine.routers.begin(), machine.routers.end(), [&](const auto& name) {
    const auto at = facts.routers.find(name);
    return at != facts.routers.end() && at->second.isAlive;
  });
}

bool MaintenanceLeader::isListed(const Machine& machine, const FleetState& facts) const {
  return bounds_.discoveryIsTold &&
         std::any_of(machine.nodes.begin(), machine.nodes.end(), [&](const auto& name) {
           const auto at = facts.nodes.find(name);
           return at != facts.nodes.end() && at->second.live;
         });
}

std::vector<std::string> MaintenanceLeader::unknowing(Instant now, const Plan& plan, const Machine& machine,
                                                      const FleetState& facts) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : facts.routers) {
    if (router.wasRemoved && fenced(now, routers_.at(name).leftAt)) continue;
    // It had ended before its own machine was told free, and is told the plan first when it starts.
    if (!router.isAlive && standsOnFree(plan, name)) continue;
    if (router.wasRemoved || !router.isAlive || router.planVersion < machine.since) names.push_back(name);
  }
  return names;
}

std::vector<std::string> MaintenanceLeader::inTheWay(Instant now, const Machine& machine,
                                                     const FleetState& facts) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : facts.routers) {
    const SeenRouter& seen = routers_.at(name);
    const bool goes =
        std::find(machine.routers.begin(), machine.routers.end(), name) != machine.routers.end();
    // One that stands on the machine has to have ended.
    if (!goes && !router.wasRemoved && router.isAlive && router.drainedVersion >= machine.since &&
        fenced(now, seen.startAt))
      continue;
    if (fenced(now, seen.silentAt) || (router.wasRemoved && fenced(now, seen.leftAt))) continue;
    names.push_back(name);
  }
  return names;
}

std::string MaintenanceLeader::waitingFor(Instant now, const Plan& plan, const Machine& machine,
                                          const FleetState& facts) const {
  switch (machine.phase) {
    case Phase::waiting: {
      if (facts.isStrained) return "service is reduced, or has not returned yet";
      const std::string why = startBlockingReason(plan, machine, facts, bounds_);
      return why.empty() ? "its turn" : why;
    }
    case Phase::next:
      return "to know: " + joined(unknowing(now, plan, machine, facts));
    case Phase::draining: {
      const auto who = inTheWay(now, machine, facts);
      return who.empty() ? "discovery to list it as leaving" : "nothing out there: " + joined(who);
    }
    case Phase::released:
      return "an operator's word that it is done";
    case Phase::returning:
      return "what stands on it to serve";
    case Phase::finished:
      break;
  }
  return "";
}

// --- Steps

std::vector<PhaseTransition> MaintenanceLeader::advance(Instant now, Plan& plan, const FleetState& facts) {
  std::vector<PhaseTransition> steps;
  for (auto& m : plan.machines) {
    const auto at = machines_.find(m.name);
    if (at == machines_.end() || at->second.since != m.since) continue;  // it has not been seen so yet
    const Duration inPhase = now - at->second.at;
    switch (m.phase) {
      case Phase::next:
        if (const auto why = blockingReason(plan, m, facts, bounds_); !why.empty())
          steps.push_back(go(plan, m, Phase::waiting, why));
        else if (const auto who = unknowing(now, plan, m, facts); who.empty())
          steps.push_back(go(plan, m, Phase::draining, "all routers know"));
        else if (inPhase >= bounds_.announce)
          steps.push_back(giveBack(plan, m, bounds_, "not known in time to " + joined(who)));
        break;
      case Phase::draining:
        if (const auto why = blockingReason(plan, m, facts, bounds_); !why.empty())
          steps.push_back(go(plan, m, Phase::waiting, why));
        else if (const auto who = inTheWay(now, m, facts); who.empty() && !isListed(m, facts))
          steps.push_back(go(plan, m, Phase::released, "no router can send there"));
        else if (inPhase >= bounds_.leave)
          steps.push_back(giveBack(
              plan, m, bounds_,
              who.empty() ? "discovery still lists it as live" : "still in the way: " + joined(who)));
        break;
      case Phase::returning:
        if (at->second.servesAt != Instant() && now - at->second.servesAt >= bounds_.warm)
          steps.push_back(go(plan, m, Phase::finished, "it serves"));
        else if (inPhase >= bounds_.comeBack)
          steps.push_back(go(plan, m, Phase::finished, "given up: it does not serve again"));
        break;
      default:
        break;
    }
  }
  std::map<std::string, Duration> waited;
  Plan may;  // those that were given back rest first
  may.version = plan.version;
  for (const auto& m : plan.machines) {
    const auto at = machines_.find(m.name);
    const bool isSeen = at != machines_.end() && at->second.since == m.since;
    if (isSeen) waited[m.name] = now - at->second.askedAt;
    const bool rests = m.reason != kAsked && (!isSeen || now - at->second.at < bounds_.rest);
    if (m.phase != Phase::waiting || (isSeen && !rests)) may.machines.push_back(m);
  }
  while (const Machine* next = nextMachine(may, facts, bounds_, waited)) {
    const std::string name = next->name;
    steps.push_back(go(plan, *plan.find(name), Phase::next, "its turn"));
    go(may, *may.find(name), Phase::next, "");
  }
  if (!steps.empty()) prune(plan);
  return steps;
}

bool MaintenanceLeader::isDue(Instant now, const Plan& plan, const FleetState& facts) {
  Plan tried = plan;
  return !advance(now, tried, facts).empty();
}

bool MaintenanceLeader::shouldLead(Instant now, bool isDue, std::size_t before) {
  if (!isDue) dueSince_ = Instant();
  if (isDue && dueSince_ == Instant()) dueSince_ = now;
  return before == 0 || (isDue && now - dueSince_ > kTakesOver * static_cast<double>(before));
}

// --- Operators

std::string ask(Plan& plan, const std::string& request, const std::vector<Machine>& machines,
                const FleetState& facts, const Bounds& bounds) {
  if (wasTaken(plan, request)) return "";
  if (machines.empty()) return "it names no machine";
  std::set<std::string> names, stand;
  std::size_t open = 0;
  for (const auto& m : plan.machines) open += m.phase != Phase::finished;
  if (open + machines.size() > kMostMachines)
    return "more than " + std::to_string(kMostMachines) + " machines would be open";
  for (const auto& m : machines) {
    const std::string of = "machine '" + m.name + "': ";
    if (m.name.empty()) return "a machine has no name";
    if (!names.insert(m.name).second) return of + "it is named twice";
    const Machine* known = plan.find(m.name);
    if (known && known->phase != Phase::finished)
      return of + "'" + known->requestedBy + "' has asked for it already";
    if (const auto why = permanentBlockingReason(m, facts, bounds); !why.empty()) return of + why;
    for (const auto* all : {&m.nodes, &m.routers})
      for (const auto& name : *all) {
        if (!stand.insert(name).second) return of + "'" + name + "' is named twice";
        for (const auto& other : plan.machines)
          if (other.phase != Phase::finished && other.name != m.name)
            for (const auto* there : {&other.nodes, &other.routers})
              if (std::find(there->begin(), there->end(), name) != there->end())
                return of + "'" + name + "' stands on '" + other.name + "', by '" + other.requestedBy + "'";
      }
  }
  for (const auto& m : machines) {
    std::erase_if(plan.machines, [&](const auto& old) { return old.name == m.name; });
    plan.machines.push_back(m);
    plan.machines.back().request = request;
    plan.machines.back().phase = Phase::waiting;
    plan.machines.back().since = plan.version;
    plan.machines.back().reason = kAsked;
  }
  take(plan, request);
  return "";
}

std::string stop(Plan& plan, const std::string& request, const std::string& machine, const std::string& by) {
  if (wasTaken(plan, request)) return "";
  bool any = false;
  for (auto& m : plan.machines) {
    if ((!machine.empty() && m.name != machine) || m.phase == Phase::finished || m.phase == Phase::returning)
      continue;
    any = true;
    go(plan, m, m.phase == Phase::released ? Phase::returning : Phase::finished, "stopped by " + by);
  }
  if (!any) return machine.empty() ? "nothing is in work" : "'" + machine + "' is not in work";
  take(plan, request);
  return "";
}

std::string done(Plan& plan, const std::string& request, const std::string& machine, const std::string& by) {
  if (wasTaken(plan, request)) return "";
  Machine* m = plan.find(machine);
  if (!m || m->phase == Phase::finished) return "'" + machine + "' is not in work";
  if (m->phase == Phase::returning) return "'" + machine + "' is done already";
  if (m->phase != Phase::released) return "'" + machine + "' has not been told free";
  go(plan, *m, Phase::returning, "done by " + by);
  take(plan, request);
  return "";
}

}  // namespace gulltrestle::maintenance
