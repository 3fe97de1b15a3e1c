// How service returns after a start: what observations of peers prove, the stages of a group, the admission
// ramp. Run as `returning CASE`: prints the case's trace.
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "recovery/admission_ramp.h"
#include "recovery/peer_observations.h"
#include "recovery/recovery_stages.h"
#include "trace.h"

using namespace gulltrestle;
using namespace gulltrestle::recovery;
using trace::ms;

namespace {

constexpr Instant kBegin = Instant::atMicros(1'700'000'000'000'000);

// One group of a primary p and replicas a and b, as one starting router sees it.
class StartingRouter {
 public:
  explicit StartingRouter(const std::string& scenario, unsigned routers = 3)
      : stages_(
            {.classes = {trace::transactionClass(ReadLevel::any), trace::transactionClass(ReadLevel::session),
                         trace::transactionClass(ReadLevel::write),
                         trace::transactionClass(ReadLevel::write, Effect::atMostOnce)},
             .routers = routers,
             .mayRequestReports = true,
             .seed = 7}) {
    std::cout << "-- " << scenario << "\n";
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
    observations.observe(now, node, {role, kBegin + ms(position), {}});
    decide(node + (role == Role::primary ? " says primary" : " says replica"));
  }
  // Nothing comes in for so long.
  void wait(std::int64_t millis) {
    for (const Instant until = now + ms(millis); now < until;) {
      const Instant due = stages_.nextDue();
      now = due == Instant() || due > until ? until : std::max(due, now + ms(1));
      decide("");
    }
  }
  void decide(const std::string& after) {
    if (!after.empty()) std::cout << timestamp() << after << "\n";
    for (const auto& transition : stages_.decide(now, observations))
      std::cout << timestamp() << "  to " << nameOf(transition.to) << " (" << nameOf(transition.reason)
                << ")\n";
    for (const auto& node : stages_.takeReportRequests()) ++requests[node];
    for (const auto& [group, primary] : stages_.takeConfirmed())
      std::cout << timestamp() << "  confirmed " << primary.node << " by list " << primary.version << "\n";
  }
  void printStatus() {
    const auto group = stages_.statusOf(1);
    std::cout << timestamp() << "  " << nameOf(group.stage) << (group.awaits.empty() ? "" : ", awaits ")
              << group.awaits;
    for (const auto& node : group.contenders) std::cout << " contested by " << node;
    std::cout << "; lets in";
    for (std::size_t classIndex = 0; classIndex < 4; ++classIndex)
      std::cout << (stages_.admits(1, classIndex) ? " 1" : " 0");
    std::cout << "; asked";
    for (const auto& [node, times] : requests) std::cout << " " << node << " " << times;
    std::cout << "\n";
  }
  std::string timestamp() const { return std::to_string((now - kBegin).inMicros() / 1000) + " "; }
  RecoveryStages& stages() { return stages_; }

  Instant now = kBegin;
  PeerObservations observations;
  std::map<NodeId, int> requests;

 private:
  RecoveryStages stages_;
};

void advanceByEvidence() {
  StartingRouter router("each stage as what it waits for comes");
  router.printStatus();
  router.list(5, "p", {"p", "a", "b"});
  router.printStatus();
  router.wait(100);
  router.report("a", Role::replica);
  router.printStatus();
  router.report("p", Role::primary);
  router.printStatus();
  router.stages().setQuorumReached(true);
  router.decide("keepers");
  router.printStatus();
}

void advanceByTimeouts() {
  StartingRouter router("nobody tells anything: each wait ends, and is given up on");
  router.list(5, "p", {"p", "a", "b"});
  router.wait(20'000);
  router.printStatus();
}

void waitForContestedPrimary() {
  StartingRouter router("the list is older than what the disk knew: the one it names believes in itself");
  router.list(5, "p", {"p", "a", "b"});
  router.stages().onKnownPrimary(1, {"a", 7});
  router.report("p", Role::primary);
  router.wait(30'000);
  router.printStatus();
  router.report("a", Role::primary);
  router.printStatus();
  router.report("p", Role::replica);
  router.printStatus();
}

void settleContestByNewerList() {
  StartingRouter router("the same; the one that was known never returns, a newer list settles it");
  router.list(5, "p", {"p", "b"});
  router.stages().onKnownPrimary(1, {"a", 7});
  router.report("p", Role::primary);
  router.wait(30'000);
  router.printStatus();
  router.list(8, "p", {"p", "b"});
}

void startWithoutDiscovery() {
  StartingRouter router("discovery is away: nodes are known from before, and the primary from a later list");
  router.list(0, "p", {"p", "a", "b"}, {}, EndpointUpdateKind::restored);
  router.stages().onKnownPrimary(1, {"a", 7});
  router.wait(4000);
  router.printStatus();
  router.report("p", Role::primary);
  router.wait(16'000);
  router.printStatus();
  router.report("a", Role::primary);
  router.report("p", Role::replica);
  router.wait(10'000);
  router.printStatus();
}

void forceStage() {
  StartingRouter router("two claim to be it: an operator decides");
  router.list(5, "p", {"p", "a", "b"});
  router.report("p", Role::primary);
  router.report("a", Role::primary);
  router.stages().force(Stage::writes);
  router.decide("forced");
  router.printStatus();
}

void limitRequests() {
  StartingRouter router("300 routers: each asks seldom", 300);
  router.list(5, "p", {"p", "a", "b"});
  router.wait(1900);
  router.printStatus();
}

void printRecoveryStagesTrace() {
  advanceByEvidence();
  advanceByTimeouts();
  waitForContestedPrimary();
  settleContestByNewerList();
  startWithoutDiscovery();
  forceStage();
  limitRequests();
}

// Observations of four peers, of up to two nodes that no list has named.
class PrintedObservations {
 public:
  PeerObservations& quietly() { return observations_; }
  void gossip(const std::string& peer, const NodeId& node, Role role, std::int64_t positionMillis,
              Duration age = ms(5), Instant nodeStart = Instant()) {
    const auto proven = observations_.onObservation(kBegin, peer,
                                                    {.node = node,
                                                     .nodeStart = nodeStart,
                                                     .role = role,
                                                     .position = kBegin + ms(positionMillis),
                                                     .age = age});
    std::cout << peer << " tells of " << node << " at " << positionMillis << ": ";
    if (!proven) {
      std::cout << "nothing proven\n";
      return;
    }
    constexpr const char* kRoles[] = {"of unknown role", "primary", "replica"};
    std::cout << "proven at " << (*proven->position - kBegin).inMicros() / 1000 << ", "
              << kRoles[static_cast<int>(proven->role)] << "\n";
  }

 private:
  PeerObservations observations_{2};
};

void printPeerObservationsTrace() {
  PrintedObservations observations;
  PeerObservations& quietly = observations.quietly();
  quietly.onListed("a", Instant());
  std::cout << "-- two witnesses prove the lower of what they tell; one, twice, nothing\n";
  observations.gossip("r1", "a", Role::replica, -100);
  observations.gossip("r1", "a", Role::replica, -50);
  observations.gossip("r2", "a", Role::replica, -80);
  observations.gossip("r3", "a", Role::replica, -70);
  std::cout << "-- one that tells falsely: too far, another role\n";
  observations.gossip("r4", "a", Role::primary, 1'000'000);
  observations.gossip("r1", "a", Role::replica, -50);
  std::cout << "-- old news, and of an earlier start of the node\n";
  observations.gossip("r2", "a", Role::replica, -10, ms(61'000));
  observations.gossip("r2", "a", Role::replica, -10, ms(5), kBegin);
  std::cout << "-- it started again: what was known is void\n";
  quietly.observe(kBegin, "a", {Role::replica, kBegin, {}});
  std::cout << "position known " << quietly.knowsPosition("a") << ", tells "
            << quietly.firstHand(kBegin).size();
  quietly.onListed("a", kBegin + ms(1));
  std::cout << "; then " << quietly.knowsPosition("a") << ", " << quietly.firstHand(kBegin).size() << "\n";
  std::cout << "-- told ahead of the list: proven when it comes; strangers are bounded\n";
  observations.gossip("r1", "b", Role::replica, -5);
  observations.gossip("r2", "b", Role::replica, -5);
  observations.gossip("r1", "c", Role::replica, -5);
  observations.gossip("r1", "d", Role::replica, -5);
  std::cout << "b proven " << quietly.onListed("b", Instant()).has_value() << ", c "
            << quietly.onListed("c", Instant()).has_value() << "\n";
}

AdmissionRamp newRamp() {
  constexpr std::size_t kNodes = 20;
  AdmissionRamp ramp(
      kBegin,
      {.routers = 10, .initialRatePerNode = kInitialRatePerNode, .maxRetryAfter = ms(400), .seed = 7});
  ramp.setNodeCount(kNodes);
  return ramp;
}

struct Load {
  int seconds = 0;
  int requestsPerSecond = 0;
  std::function<bool(int second)> isInTime = [](int) { return true; };
};

void printAdmitted(AdmissionRamp ramp, const Load& load) {
  constexpr const char* kStates[] = {"opening", "steady", "over"};
  for (int second = 0; second < load.seconds; ++second) {
    int admitted = 0;
    Duration longest;
    for (int n = 0; n < load.requestsPerSecond; ++n) {
      const Instant now = kBegin + ms(second * 1000 + n * 1000 / load.requestsPerSecond);
      if (const auto retryAfter = ramp.rejectsWithRetryAfter(now)) {
        longest = std::max(longest, *retryAfter);
        continue;
      }
      ++admitted;
      ramp.onTransactionEnded(now, {.isForwarded = true, .isInTime = load.isInTime(second)});
    }
    std::cout << second << ": " << admitted << " " << kStates[static_cast<int>(ramp.state())];
    if (longest > Duration()) std::cout << ", back within " << longest.inMicros() / 100'000 << "00 ms";
    std::cout << "\n";
  }
}

void printAdmissionRampTrace() {
  std::cout << "-- 10 routers, 20 nodes, 100 a second come; all in time: let in a second, state\n";
  printAdmitted(newRamp(), {.seconds = 8, .requestsPerSecond = 100});
  std::cout << "-- most are late from the third second to the eighth, as nodes are overloaded\n";
  const auto isOutsideOverload = [](int second) { return second < 3 || second > 8; };
  printAdmitted(newRamp(), {.seconds = 12, .requestsPerSecond = 400, .isInTime = isOutsideOverload});
  std::cout << "-- what was never sent on is held against nobody\n";
  AdmissionRamp unforwarded = newRamp();
  for (int n = 0; n < 100; ++n)
    unforwarded.onTransactionEnded(kBegin + ms(n), {.isForwarded = false, .isInTime = false});
  printAdmitted(unforwarded, {.seconds = 3, .requestsPerSecond = 100});
  std::cout << "-- those that live serve as usual: all are let in\n";
  AdmissionRamp skipped = newRamp();
  skipped.skip();
  printAdmitted(skipped, {.seconds = 1, .requestsPerSecond = 1000});
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{{"recovery-stages", printRecoveryStagesTrace},
                                                           {"peer-observations", printPeerObservationsTrace},
                                                           {"admission-ramp", printAdmissionRampTrace}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
