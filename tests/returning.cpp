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
      seen.onListed(node, start);
    }
    std::vector<EndpointEntry*> pointers;
    for (auto& entry : entries) pointers.push_back(&entry);
    stages_.onEndpointList(now, kind, version, pointers);
    decide((kind == EndpointUpdateKind::restored ? "from before " : "list ") + std::to_string(version));
  }
  void says(const NodeId& node, Role role, std::int64_t position = 0) {
    seen.observe(now, node, {role, kStart + ms(position), {}});
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
    if (!after.empty()) std::cout << at() << after << "\n";
    for (const auto& step : stages_.decide(now, seen))
      std::cout << at() << "  to " << nameOf(step.to) << " (" << nameOf(step.reason) << ")\n";
    for (const auto& node : stages_.takeReportRequests()) ++asked[node];
    for (const auto& [group, primary] : stages_.takeConfirmed())
      std::cout << at() << "  confirmed " << primary.node << " by list " << primary.version << "\n";
  }
  void tell() {
    const auto group = stages_.statusOf(1);
    std::cout << at() << "  " << nameOf(group.stage) << (group.awaits.empty() ? "" : ", awaits ")
              << group.awaits;
    for (const auto& node : group.claimed) std::cout << " contested by " << node;
    std::cout << "; lets in";
    for (std::size_t type = 0; type < 4; ++type) std::cout << (stages_.admits(1, type) ? " 1" : " 0");
    std::cout << "; asked";
    for (const auto& [node, times] : asked) std::cout << " " << node << " " << times;
    std::cout << "\n";
  }
  std::string at() const { return std::to_string((now - kStart).inMicros() / 1000) + " "; }
  RecoveryStages& stages() { return stages_; }

  Instant now = kStart;
  PeerObservations seen;
  std::map<NodeId, int> asked;

 private:
  RecoveryStages stages_;
};

void stages() {
  {
    World w("each stage as what it waits for comes");
    w.tell();
    w.list(5, "p", {"p", "a", "b"});
    w.tell();
    w.wait(100);
    w.says("a", Role::replica);
    w.tell();
    w.says("p", Role::primary);
    w.tell();
    w.stages().setQuorumReached(true);
    w.decide("keepers");
    w.tell();
  }
  {
    World w("nobody tells anything: each wait ends, and is given up on");
    w.list(5, "p", {"p", "a", "b"});
    w.wait(20'000);
    w.tell();
  }
  {
    World w("the list is older than what the disk knew: the one it names believes in itself");
    w.list(5, "p", {"p", "a", "b"});
    w.stages().onKnownPrimary(1, {"a", 7});
    w.says("p", Role::primary);
    w.wait(30'000);
    w.tell();
    w.says("a", Role::primary);
    w.tell();
    w.says("p", Role::replica);
    w.tell();
  }
  {
    World w("the same; the one that was known never returns, a newer list settles it");
    w.list(5, "p", {"p", "b"});
    w.stages().onKnownPrimary(1, {"a", 7});
    w.says("p", Role::primary);
    w.wait(30'000);
    w.tell();
    w.list(8, "p", {"p", "b"});
  }
  {
    World w("discovery is away: nodes are known from before, and the primary from a later list");
    w.list(0, "p", {"p", "a", "b"}, {}, EndpointUpdateKind::restored);
    w.stages().onKnownPrimary(1, {"a", 7});
    w.wait(4000);
    w.tell();
    w.says("p", Role::primary);
    w.wait(16'000);
    w.tell();
    w.says("a", Role::primary);
    w.says("p", Role::replica);
    w.wait(10'000);
    w.tell();
  }
  {
    World w("two claim to be it: an operator decides");
    w.list(5, "p", {"p", "a", "b"});
    w.says("p", Role::primary);
    w.says("a", Role::primary);
    w.stages().force(Stage::writes);
    w.decide("forced");
    w.tell();
  }
  {
    World w("300 routers: each asks seldom", 300);
    w.list(5, "p", {"p", "a", "b"});
    w.wait(1900);
    w.tell();
  }
}

void sightings() {
  PeerObservations seen(2);
  const auto told = [&](const std::string& by, const NodeId& node, Role role, std::int64_t position,
                        std::int64_t ageMs = 5, Instant start = Instant()) {
    const auto proven = seen.onObservation(kStart, by, {node, start, role, kStart + ms(position), ms(ageMs)});
    std::cout << by << " tells of " << node << " at " << position << ": ";
    if (!proven) return void(std::cout << "nothing proven\n");
    constexpr const char* kRoles[] = {"of unknown role", "primary", "replica"};
    std::cout << "proven at " << (*proven->position - kStart).inMicros() / 1000 << ", "
              << kRoles[static_cast<int>(proven->role)] << "\n";
  };
  seen.onListed("a", Instant());
  std::cout << "-- two witnesses prove the lower of what they tell; one, twice, nothing\n";
  told("r1", "a", Role::replica, -100);
  told("r1", "a", Role::replica, -50);
  told("r2", "a", Role::replica, -80);
  told("r3", "a", Role::replica, -70);
  std::cout << "-- one that tells falsely: too far, another role\n";
  told("r4", "a", Role::primary, 1'000'000);
  told("r1", "a", Role::replica, -50);
  std::cout << "-- old news, and of an earlier start of the node\n";
  told("r2", "a", Role::replica, -10, 61'000);
  told("r2", "a", Role::replica, -10, 5, kStart);
  std::cout << "-- it started again: what was known is void\n";
  seen.observe(kStart, "a", {Role::replica, kStart, {}});
  std::cout << "position known " << seen.knowsPosition("a") << ", tells " << seen.firstHand(kStart).size();
  seen.onListed("a", kStart + ms(1));
  std::cout << "; then " << seen.knowsPosition("a") << ", " << seen.firstHand(kStart).size() << "\n";
  std::cout << "-- told ahead of the list: proven when it comes; strangers are bounded\n";
  told("r1", "b", Role::replica, -5);
  told("r2", "b", Role::replica, -5);
  told("r1", "c", Role::replica, -5);
  told("r1", "d", Role::replica, -5);
  std::cout << "b proven " << seen.onListed("b", Instant()).has_value() << ", c "
            << seen.onListed("c", Instant()).has_value() << "\n";
}

void ramp() {
  std::cout << "-- 10 routers, 20 nodes, 100 a second come; all in time: let in a second, state\n";
  const auto play = [](AdmissionRamp ramp, int seconds, int asked, std::function<bool(int)> inTime) {
    for (int second = 0; second < seconds; ++second) {
      int in = 0;
      Duration longest;
      for (int n = 0; n < asked; ++n) {
        const Instant now = kStart + ms(second * 1000 + n * 1000 / asked);
        const auto back = ramp.rejectsWithRetryAfter(now);
        if (back) longest = std::max(longest, *back);
        if (back) continue;
        ++in;
        ramp.onTransactionEnded(now, true, inTime(second));
      }
      constexpr const char* kStates[] = {"opening", "steady", "over"};
      std::cout << second << ": " << in << " " << kStates[static_cast<int>(ramp.state())]
                << (longest > Duration()
                        ? ", back within " + std::to_string(longest.inMicros() / 100'000) + "00 ms"
                        : "")
                << "\n";
    }
  };
  const auto made = [](std::size_t nodes) {
    AdmissionRamp ramp(kStart, 10, AdmissionRamp::kInitialRatePerNode, ms(400), 7);
    ramp.setNodeCount(nodes);
    return ramp;
  };
  play(made(20), 8, 100, [](int) { return true; });
  std::cout << "-- most are late from the third second to the eighth, as nodes are overloaded\n";
  play(made(20), 12, 400, [](int second) { return second < 3 || second > 8; });
  std::cout << "-- what was never sent on is held against nobody\n";
  AdmissionRamp unsent = made(20);
  for (int n = 0; n < 100; ++n) unsent.onTransactionEnded(kStart + ms(n), false, false);
  play(unsent, 3, 100, [](int) { return true; });
  std::cout << "-- those that live serve as usual: all are let in\n";
  AdmissionRamp alone = made(20);
  alone.skip();
  play(alone, 1, 1000, [](int) { return true; });
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{
      {"stages", stages}, {"sightings", sightings}, {"ramp", ramp}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
