#include "maintenance/maintenance_leader.h"

#include <algorithm>

#include "maintenance/scheduling.h"

namespace gulltrestle::maintenance {

namespace {

// Machines that are over stay to be looked at, the newest; and requests, so that one that is repeated is
// known. Far more than operators look back at.
constexpr std::size_t kMostOver = 50, kMostTaken = 200;
// see() is called twice a second; beyond this its process stood still.
constexpr Span kStoodStill = Span::millis(2000);
// Some rounds, each with its pauses.
constexpr Span kTakesOver = Span::millis(5000);
// A plan's text has to fit a message between routers.
constexpr std::size_t kMostMachines = 200, kLongestWhy = 160;

constexpr const char* kAsked = "asked";

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t i = 0; i < names.size() && i < 5; ++i) out += (i ? " " : "") + names[i];
  if (names.size() > 5) out += " and " + std::to_string(names.size() - 5) + " more";
  return out;
}

Step go(Plan& plan, Machine& machine, Phase to, std::string why) {
  if (why.size() > kLongestWhy) why.resize(kLongestWhy);
  Step step{machine.name, machine.phase, to, why};
  machine.phase = to;
  machine.since = plan.version;
  machine.why = std::move(why);
  return step;
}

void take(Plan& plan, const std::string& request) {
  plan.taken.push_back(request);
  if (plan.taken.size() > kMostTaken) plan.taken.erase(plan.taken.begin());
}
bool wasTaken(const Plan& plan, const std::string& request) {
  return std::find(plan.taken.begin(), plan.taken.end(), request) != plan.taken.end();
}

bool standsOnFree(const Plan& plan, const std::string& router) {
  return std::any_of(plan.machines.begin(), plan.machines.end(), [&](const auto& m) {
    return (m.phase == Phase::free || m.phase == Phase::returns) &&
           std::find(m.routers.begin(), m.routers.end(), router) != m.routers.end();
  });
}

// The oldest that are over go.
void prune(Plan& plan) {
  std::size_t over = 0;
  for (const auto& m : plan.machines) over += m.phase == Phase::over;
  for (; over > kMostOver; --over) {
    const auto oldest = std::min_element(plan.machines.begin(), plan.machines.end(), [](auto& a, auto& b) {
      return std::pair(a.phase != Phase::over, a.since) < std::pair(b.phase != Phase::over, b.since);
    });
    plan.machines.erase(oldest);
  }
}

// It is given back as it was, and tried again later, or given up for good.
Step giveBack(Plan& plan, Machine& machine, const Bounds& bounds, const std::string& why) {
  if (++machine.tries < bounds.tries) return go(plan, machine, Phase::waits, why);
  return go(plan, machine, Phase::over, "given up: " + why);
}

}  // namespace

// --- What is seen

void Foreman::see(Instant now, const Plan& plan, const Facts& facts) {
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
    if (!router.silent) seen.silentAt = Instant();
    if (router.silent && seen.silentAt == Instant()) seen.silentAt = now;
    if (!router.left) seen.leftAt = Instant();
    if (router.left && seen.leftAt == Instant()) seen.leftAt = now;
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

bool Foreman::serves(const Machine& machine, const Facts& facts) const {
  for (const auto& name : machine.nodes) {
    const auto at = facts.nodes.find(name);
    if (at == facts.nodes.end() || !at->second.live || !at->second.serves) return false;
    if (at->second.behind > bounds_.caughtUp) return false;
  }
  return std::all_of(machine.routers.begin(), machine.routers.end(), [&](const auto& name) {
    const auto at = facts.routers.find(name);
    return at != facts.routers.end() && at->second.lives;
  });
}

bool Foreman::isListed(const Machine& machine, const Facts& facts) const {
  return bounds_.discoveryIsTold &&
         std::any_of(machine.nodes.begin(), machine.nodes.end(), [&](const auto& name) {
           const auto at = facts.nodes.find(name);
           return at != facts.nodes.end() && at->second.live;
         });
}

std::vector<std::string> Foreman::unknowing(Instant now, const Plan& plan, const Machine& machine,
                                            const Facts& facts) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : facts.routers) {
    if (router.left && fenced(now, routers_.at(name).leftAt)) continue;
    // It had ended before its own machine was told free, and is told the plan first when it starts.
    if (!router.lives && standsOnFree(plan, name)) continue;
    if (router.left || !router.lives || router.known < machine.since) names.push_back(name);
  }
  return names;
}

std::vector<std::string> Foreman::inTheWay(Instant now, const Machine& machine, const Facts& facts) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : facts.routers) {
    const SeenRouter& seen = routers_.at(name);
    const bool goes =
        std::find(machine.routers.begin(), machine.routers.end(), name) != machine.routers.end();
    // One that stands on the machine has to have ended.
    if (!goes && !router.left && router.lives && router.clear >= machine.since && fenced(now, seen.startAt))
      continue;
    if (fenced(now, seen.silentAt) || (router.left && fenced(now, seen.leftAt))) continue;
    names.push_back(name);
  }
  return names;
}

std::string Foreman::awaits(Instant now, const Plan& plan, const Machine& machine, const Facts& facts) const {
  switch (machine.phase) {
    case Phase::waits: {
      if (facts.strained) return "service is reduced, or has not returned yet";
      const std::string why = heldUp(plan, machine, facts, bounds_);
      return why.empty() ? "its turn" : why;
    }
    case Phase::next:
      return "to know: " + joined(unknowing(now, plan, machine, facts));
    case Phase::leaves: {
      const auto who = inTheWay(now, machine, facts);
      return who.empty() ? "discovery to list it as leaving" : "nothing out there: " + joined(who);
    }
    case Phase::free:
      return "an operator's word that it is done";
    case Phase::returns:
      return "what stands on it to serve";
    case Phase::over:
      break;
  }
  return "";
}

// --- Steps

std::vector<Step> Foreman::advance(Instant now, Plan& plan, const Facts& facts) {
  std::vector<Step> steps;
  for (auto& m : plan.machines) {
    const auto at = machines_.find(m.name);
    if (at == machines_.end() || at->second.since != m.since) continue;  // it has not been seen so yet
    const Span inPhase = now - at->second.at;
    switch (m.phase) {
      case Phase::next:
        if (const auto why = hindrance(plan, m, facts, bounds_); !why.empty())
          steps.push_back(go(plan, m, Phase::waits, why));
        else if (const auto who = unknowing(now, plan, m, facts); who.empty())
          steps.push_back(go(plan, m, Phase::leaves, "all routers know"));
        else if (inPhase >= bounds_.announce)
          steps.push_back(giveBack(plan, m, bounds_, "not known in time to " + joined(who)));
        break;
      case Phase::leaves:
        if (const auto why = hindrance(plan, m, facts, bounds_); !why.empty())
          steps.push_back(go(plan, m, Phase::waits, why));
        else if (const auto who = inTheWay(now, m, facts); who.empty() && !isListed(m, facts))
          steps.push_back(go(plan, m, Phase::free, "no router can send there"));
        else if (inPhase >= bounds_.leave)
          steps.push_back(giveBack(
              plan, m, bounds_,
              who.empty() ? "discovery still lists it as live" : "still in the way: " + joined(who)));
        break;
      case Phase::returns:
        if (at->second.servesAt != Instant() && now - at->second.servesAt >= bounds_.warm)
          steps.push_back(go(plan, m, Phase::over, "it serves"));
        else if (inPhase >= bounds_.comeBack)
          steps.push_back(go(plan, m, Phase::over, "given up: it does not serve again"));
        break;
      default:
        break;
    }
  }
  std::map<std::string, Span> waited;
  Plan may;  // those that were given back rest first
  may.version = plan.version;
  for (const auto& m : plan.machines) {
    const auto at = machines_.find(m.name);
    const bool isSeen = at != machines_.end() && at->second.since == m.since;
    if (isSeen) waited[m.name] = now - at->second.askedAt;
    const bool rests = m.why != kAsked && (!isSeen || now - at->second.at < bounds_.rest);
    if (m.phase != Phase::waits || (isSeen && !rests)) may.machines.push_back(m);
  }
  while (const Machine* next = nextOf(may, facts, bounds_, waited)) {
    const std::string name = next->name;
    steps.push_back(go(plan, *plan.find(name), Phase::next, "its turn"));
    go(may, *may.find(name), Phase::next, "");
  }
  if (!steps.empty()) prune(plan);
  return steps;
}

bool Foreman::isDue(Instant now, const Plan& plan, const Facts& facts) {
  Plan tried = plan;
  return !advance(now, tried, facts).empty();
}

bool Foreman::carriesOn(Instant now, bool isDue, std::size_t before) {
  if (!isDue) dueSince_ = Instant();
  if (isDue && dueSince_ == Instant()) dueSince_ = now;
  return before == 0 || (isDue && now - dueSince_ > kTakesOver * static_cast<double>(before));
}

// --- Operators

std::string ask(Plan& plan, const std::string& request, const std::vector<Machine>& machines,
                const Facts& facts, const Bounds& bounds) {
  if (wasTaken(plan, request)) return "";
  if (machines.empty()) return "it names no machine";
  std::set<std::string> names, stand;
  std::size_t open = 0;
  for (const auto& m : plan.machines) open += m.phase != Phase::over;
  if (open + machines.size() > kMostMachines)
    return "more than " + std::to_string(kMostMachines) + " machines would be open";
  for (const auto& m : machines) {
    const std::string of = "machine '" + m.name + "': ";
    if (m.name.empty()) return "a machine has no name";
    if (!names.insert(m.name).second) return of + "it is named twice";
    const Machine* known = plan.find(m.name);
    if (known && known->phase != Phase::over) return of + "'" + known->by + "' has asked for it already";
    if (const auto why = impossible(m, facts, bounds); !why.empty()) return of + why;
    for (const auto* all : {&m.nodes, &m.routers})
      for (const auto& name : *all) {
        if (!stand.insert(name).second) return of + "'" + name + "' is named twice";
        for (const auto& other : plan.machines)
          if (other.phase != Phase::over && other.name != m.name)
            for (const auto* there : {&other.nodes, &other.routers})
              if (std::find(there->begin(), there->end(), name) != there->end())
                return of + "'" + name + "' stands on '" + other.name + "', by '" + other.by + "'";
      }
  }
  for (const auto& m : machines) {
    std::erase_if(plan.machines, [&](const auto& old) { return old.name == m.name; });
    plan.machines.push_back(m);
    plan.machines.back().order = request;
    plan.machines.back().phase = Phase::waits;
    plan.machines.back().since = plan.version;
    plan.machines.back().why = kAsked;
  }
  take(plan, request);
  return "";
}

std::string stop(Plan& plan, const std::string& request, const std::string& machine, const std::string& by) {
  if (wasTaken(plan, request)) return "";
  bool any = false;
  for (auto& m : plan.machines) {
    if ((!machine.empty() && m.name != machine) || m.phase == Phase::over || m.phase == Phase::returns)
      continue;
    any = true;
    go(plan, m, m.phase == Phase::free ? Phase::returns : Phase::over, "stopped by " + by);
  }
  if (!any) return machine.empty() ? "nothing is in work" : "'" + machine + "' is not in work";
  take(plan, request);
  return "";
}

std::string done(Plan& plan, const std::string& request, const std::string& machine, const std::string& by) {
  if (wasTaken(plan, request)) return "";
  Machine* m = plan.find(machine);
  if (!m || m->phase == Phase::over) return "'" + machine + "' is not in work";
  if (m->phase == Phase::returns) return "'" + machine + "' is done already";
  if (m->phase != Phase::free) return "'" + machine + "' has not been told free";
  go(plan, *m, Phase::returns, "done by " + by);
  take(plan, request);
  return "";
}

}  // namespace gulltrestle::maintenance
