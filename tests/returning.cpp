// How service returns after a start: what others' sightings prove, the stages of a group, the ramp. Run as
// `returning CASE`: prints the case's trace.
#include <iostream>

#include "recovery/admission_ramp.h"
#include "recovery/peer_observations.h"
#include "recovery/recovery_stages.h"
#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::recovery;
using trace::ms;

namespace {

constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);

// One group of a primary p and replicas a and b, as one starting router sees it.
class World {
 public:
  explicit World(const std::string& what, unsigned routers = 3)
      : stages_({trace::type(ReadLevel::any), trace::type(ReadLevel::session), trace::type(ReadLevel::write),
                 trace::type(ReadLevel::write, Effect::atMostOnce)},
                routers, true, 7) {
    std::cout << "-- " << what << "\n";
  }
  void list(ListVersion version, const NodeId& primary, std::vector<NodeId> nodes, Instant start = {},
            EndpointUpdateKind kind = EndpointUpdateKind::snapshot) {
    std::vector<EndpointEntry> entries;
    for (const auto& node : nodes) {
      entries.emplace_back();
      entries.back().node = node;
      entries.back().group = 1;
      entries.back().primary = node == primary;
      entries.back().startedAt = start;
      observations.onListed(node, start);
    }
    std::vector<EndpointEntry*> pointers;
    for (auto& entry : entries) pointers.push_back(&entry);
    stages_.onEndpointList(now, kind, version, pointers);
    decide((kind == EndpointUpdateKind::restored ? "from before " : "list ") + std::to_string(version));
  }
  void report(const NodeId& node, Role role, std::int64_t position = 0) {
    observations.observe(now, node, {role, kStart + ms(position), {}});
    decide(node + (role == Role::primary ? " says primary" : " says replica"));
  }
  // Nothing comes in for so long.
  void wait(std::int64_t millis) {
    for (const Instant until = now + ms(millis); now < until;) {
      now =
          stages_.due() == Instant() || stages_.due() > until ? until : std::max(stages_.due(), now + ms(1));
      decide("");
    }
  }
  void decide(const std::string& after) {
    if (!after.empty()) std::cout << timestamp() << after << "\n";
    for (const auto& step : stages_.decide(now, observations))
      std::cout << timestamp() << "  to " << nameOf(step.to) << " (" << nameOf(step.reason) << ")\n";
    for (const auto& node : stages_.takeReportRequests()) ++requests[node];
    for (const auto& [group, primary] : stages_.takeConfirmed())
      std::cout << timestamp() << "  confirmed " << primary.node << " by list " << primary.version << "\n";
  }
  void printStatus() {
    const auto group = stages_.statusOf(1);
    std::cout << timestamp() << "  " << nameOf(group.stage) << (group.awaits.empty() ? "" : ", awaits ")
              << group.awaits;
    for (const auto& node : group.claimed) std::cout << " contested by " << node;
    std::cout << "; lets in";
    for (std::size_t type = 0; type < 4; ++type) std::cout << (stages_.admits(1, type) ? " 1" : " 0");
    std::cout << "; asked";
    for (const auto& [node, times] : requests) std::cout << " " << node << " " << times;
    std::cout << "\n";
  }
  std::string timestamp() const { return std::to_string((now - kStart).inMicros() / 1000) + " "; }
  RecoveryStages& stages() { return stages_; }

  Instant now = kStart;
  PeerObservations observations;
  std::map<NodeId, int> requests;

 private:
  RecoveryStages stages_;
};

void stages() {
  {
    World world("each stage as what it waits for comes");
    world.printStatus();
    world.list(5, "p", {"p", "a", "b"});
    world.printStatus();
    world.wait(100);
    world.report("a", Role::replica);
    world.printStatus();
    world.report("p", Role::primary);
    world.printStatus();
    world.stages().setQuorumReached(true);
    world.decide("keepers");
    world.printStatus();
  }
  {
    World world("nobody tells anything: each wait ends, and is given up on");
    world.list(5, "p", {"p", "a", "b"});
    world.wait(20'000);
    world.printStatus();
  }
  {
    World world("the list is older than what the disk knew: the one it names believes in itself");
    world.list(5, "p", {"p", "a", "b"});
    world.stages().onKnownPrimary(1, {"a", 7});
    world.report("p", Role::primary);
    world.wait(30'000);
    world.printStatus();
    world.report("a", Role::primary);
    world.printStatus();
    world.report("p", Role::replica);
    world.printStatus();
  }
  {
    World world("the same; the one that was known never returns, a newer list settles it");
    world.list(5, "p", {"p", "b"});
    world.stages().onKnownPrimary(1, {"a", 7});
    world.report("p", Role::primary);
    world.wait(30'000);
    world.printStatus();
    world.list(8, "p", {"p", "b"});
  }
  {
    World world("discovery is away: nodes are known from before, and the primary from a later list");
    world.list(0, "p", {"p", "a", "b"}, {}, EndpointUpdateKind::restored);
    world.stages().onKnownPrimary(1, {"a", 7});
    world.wait(4000);
    world.printStatus();
    world.report("p", Role::primary);
    world.wait(16'000);
    world.printStatus();
    world.report("a", Role::primary);
    world.report("p", Role::replica);
    world.wait(10'000);
    world.printStatus();
  }
  {
    World world("two claim to be it: an operator decides");
    world.list(5, "p", {"p", "a", "b"});
    world.report("p", Role::primary);
    world.report("a", Role::primary);
    world.stages().force(Stage::writes);
    world.decide("forced");
    world.printStatus();
  }
  {
    World world("300 routers: each asks seldom", 300);
    world.list(5, "p", {"p", "a", "b"});
    world.wait(1900);
    world.printStatus();
  }
}

void peerObservations() {
  PeerObservations observations(2);
  const auto gossip = [&](const std::string& by, const NodeId& node, Role role, std::int64_t position,
                          std::int64_t ageMs = 5, Instant start = Instant()) {
    const auto proven =
        observations.onObservation(kStart, by, {node, start, role, kStart + ms(position), ms(ageMs)});
    std::cout << by << " tells of " << node << " at " << position << ": ";
    if (!proven) return void(std::cout << "nothing proven\n");
    constexpr const char* kRoles[] = {"of unknown role", "primary", "replica"};
    std::cout << "proven at " << (*proven->position - kStart).inMicros() / 1000 << ", "
              << kRoles[static_cast<int>(proven->role)] << "\n";
  };
  observations.onListed("a", Instant());
  std::cout << "-- two witnesses prove the lower of what they tell; one, twice, nothing\n";
  gossip("r1", "a", Role::replica, -100);
  gossip("r1", "a", Role::replica, -50);
  gossip("r2", "a", Role::replica, -80);
  gossip("r3", "a", Role::replica, -70);
  std::cout << "-- one that tells falsely: too far, another role\n";
  gossip("r4", "a", Role::primary, 1'000'000);
  gossip("r1", "a", Role::replica, -50);
  std::cout << "-- old news, and of an earlier start of the node\n";
  gossip("r2", "a", Role::replica, -10, 61'000);
  gossip("r2", "a", Role::replica, -10, 5, kStart);
  std::cout << "-- it started again: what was known is void\n";
  observations.observe(kStart, "a", {Role::replica, kStart, {}});
  std::cout << "position known " << observations.knowsPosition("a") << ", tells "
            << observations.firstHand(kStart).size();
  observations.onListed("a", kStart + ms(1));
  std::cout << "; then " << observations.knowsPosition("a") << ", " << observations.firstHand(kStart).size()
            << "\n";
  std::cout << "-- told ahead of the list: proven when it comes; strangers are bounded\n";
  gossip("r1", "b", Role::replica, -5);
  gossip("r2", "b", Role::replica, -5);
  gossip("r1", "c", Role::replica, -5);
  gossip("r1", "d", Role::replica, -5);
  std::cout << "b proven " << observations.onListed("b", Instant()).has_value() << ", c "
            << observations.onListed("c", Instant()).has_value() << "\n";
}

void ramp() {
  std::cout << "-- 10 routers, 20 nodes, 100 a second come; all in time: let in a second, state\n";
  const auto play = [](AdmissionRamp ramp, int seconds, int requests, std::function<bool(int)> inTime) {
    for (int second = 0; second < seconds; ++second) {
      int admitted = 0;
      Duration longest;
      for (int n = 0; n < requests; ++n) {
        const Instant now = kStart + ms(second * 1000 + n * 1000 / requests);
        const auto retryAfter = ramp.rejectsWithRetryAfter(now);
        if (retryAfter) longest = std::max(longest, *retryAfter);
        if (retryAfter) continue;
        ++admitted;
        ramp.onTransactionEnded(now, true, inTime(second));
      }
      constexpr const char* kStates[] = {"opening", "steady", "over"};
      std::cout << second << ": " << admitted << " " << kStates[static_cast<int>(ramp.state())]
                << (longest > Duration()
                        ? ", back within " + std::to_string(longest.inMicros() / 100'000) + "00 ms"
                        : "")
                << "\n";
    }
  };
  const auto newRamp = [](std::size_t nodes) {
    AdmissionRamp ramp(kStart, 10, AdmissionRamp::kInitialRatePerNode, ms(400), 7);
    ramp.setNodeCount(nodes);
    return ramp;
  };
  play(newRamp(20), 8, 100, [](int) { return true; });
  std::cout << "-- most are late from the third second to the eighth, as nodes are overloaded\n";
  play(newRamp(20), 12, 400, [](int second) { return second < 3 || second > 8; });
  std::cout << "-- what was never sent on is held against nobody\n";
  AdmissionRamp unforwarded = newRamp(20);
  for (int n = 0; n < 100; ++n) unforwarded.onTransactionEnded(kStart + ms(n), false, false);
  play(unforwarded, 3, 100, [](int) { return true; });
  std::cout << "-- those that live serve as usual: all are let in\n";
  AdmissionRamp skipped = newRamp(20);
  skipped.skip();
  play(skipped, 1, 1000, [](int) { return true; });
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{
      {"stages", stages}, {"sightings", peerObservations}, {"ramp", ramp}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
