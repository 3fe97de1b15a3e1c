// Tests of the recovery of service after a router's start: observations of peers, recovery stages, admission
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

constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);

// The recovery stages of one starting router, for a group with the primary p and the replicas a and b.
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
  // An endpoint list arrives.
  void receiveList(ListVersion version, const NodeId& primary, std::vector<NodeId> nodes, Instant start = {},
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
    decide((kind == EndpointUpdateKind::restored ? "restored list " : "list ") + std::to_string(version));
  }
  // A load report of a node arrives.
  void receiveReport(const NodeId& node, Role role, std::int64_t position = 0) {
    observations.observe(now, node, {role, kStart + ms(position), {}});
    decide(node + (role == Role::primary ? " reports primary" : " reports replica"));
  }
  // Advances the clock without any event, and decides whenever a timeout is due.
  void wait(std::int64_t millis) {
    for (const Instant until = now + ms(millis); now < until;) {
      const Instant due = stages_.nextDue();
      now = due == Instant() || due > until ? until : std::max(due, now + ms(1));
      decide("");
    }
  }
  // Prints the event, unless it is empty, and the decisions that follow from it.
  void decide(const std::string& event) {
    if (!event.empty()) std::cout << timestamp() << event << "\n";
    for (const auto& transition : stages_.decide(now, observations))
      std::cout << timestamp() << "  to " << nameOf(transition.to) << " (" << nameOf(transition.reason)
                << ")\n";
    for (const auto& node : stages_.takeReportRequests()) ++requests[node];
    for (const auto& [group, primary] : stages_.takeConfirmed())
      std::cout << timestamp() << "  confirmed " << primary.node << " by list " << primary.version << "\n";
  }
  void printStatus() {
    const auto group = stages_.statusOf(1);
    std::cout << timestamp() << "  " << nameOf(group.stage) << (group.waitingFor.empty() ? "" : ", awaits ")
              << group.waitingFor;
    for (const auto& node : group.contenders) std::cout << " contested by " << node;
    std::cout << "; admits";
    for (std::size_t classIndex = 0; classIndex < 4; ++classIndex)
      std::cout << (stages_.admits(1, classIndex) ? " 1" : " 0");
    std::cout << "; requested";
    for (const auto& [node, times] : requests) std::cout << " " << node << " " << times;
    std::cout << "\n";
  }
  std::string timestamp() const { return std::to_string((now - kStart).inMicros() / 1000) + " "; }
  RecoveryStages& stages() { return stages_; }

  Instant now = kStart;
  PeerObservations observations;
  std::map<NodeId, int> requests;  // number of requested load reports

 private:
  RecoveryStages stages_;
};

void advanceByEvidence() {
  StartingRouter router("each stage begins once its condition is met");
  router.printStatus();
  router.receiveList(5, "p", {"p", "a", "b"});
  router.printStatus();
  router.wait(100);
  router.receiveReport("a", Role::replica);
  router.printStatus();
  router.receiveReport("p", Role::primary);
  router.printStatus();
  router.stages().setQuorumReached(true);
  router.decide("quorum reached");
  router.printStatus();
}

void advanceByTimeouts() {
  StartingRouter router("no reports arrive: each wait ends by its timeout");
  router.receiveList(5, "p", {"p", "a", "b"});
  router.wait(20'000);
  router.printStatus();
}

void waitForContestedPrimary() {
  StartingRouter router(
      "the list is older than the stored primary, and the node it names reports itself as primary");
  router.receiveList(5, "p", {"p", "a", "b"});
  router.stages().onKnownPrimary(1, {"a", 7});
  router.receiveReport("p", Role::primary);
  router.wait(30'000);
  router.printStatus();
  router.receiveReport("a", Role::primary);
  router.printStatus();
  router.receiveReport("p", Role::replica);
  router.printStatus();
}

void resolveContestByNewerList() {
  StartingRouter router("the same, but the stored primary never returns: a newer list resolves the contest");
  router.receiveList(5, "p", {"p", "b"});
  router.stages().onKnownPrimary(1, {"a", 7});
  router.receiveReport("p", Role::primary);
  router.wait(30'000);
  router.printStatus();
  router.receiveList(8, "p", {"p", "b"});
}

void startWithoutDiscovery() {
  StartingRouter router(
      "discovery is unavailable: the nodes are restored, the stored primary is from a later list");
  router.receiveList(0, "p", {"p", "a", "b"}, {}, EndpointUpdateKind::restored);
  router.stages().onKnownPrimary(1, {"a", 7});
  router.wait(4000);
  router.printStatus();
  router.receiveReport("p", Role::primary);
  router.wait(16'000);
  router.printStatus();
  router.receiveReport("a", Role::primary);
  router.receiveReport("p", Role::replica);
  router.wait(10'000);
  router.printStatus();
}

void forceStage() {
  StartingRouter router("two nodes report themselves as primary: an operator decides");
  router.receiveList(5, "p", {"p", "a", "b"});
  router.receiveReport("p", Role::primary);
  router.receiveReport("a", Role::primary);
  router.stages().force(Stage::writes);
  router.decide("forced");
  router.printStatus();
}

void limitRequests() {
  StartingRouter router("300 routers: each requests few reports", 300);
  router.receiveList(5, "p", {"p", "a", "b"});
  router.wait(1900);
  router.printStatus();
}

void printRecoveryStagesTrace() {
  advanceByEvidence();
  advanceByTimeouts();
  waitForContestedPrimary();
  resolveContestByNewerList();
  startWithoutDiscovery();
  forceStage();
  limitRequests();
}

// Receives observations of four peers and prints what they prove. At most two unlisted nodes are stored.
class PrintedObservations {
 public:
  PeerObservations& withoutOutput() { return observations_; }
  void receive(const std::string& peer, const NodeId& node, Role role, std::int64_t positionMillis,
               Duration age = ms(5), Instant nodeStart = Instant()) {
    const auto proven = observations_.onObservation(kStart, peer,
                                                    {.node = node,
                                                     .nodeStart = nodeStart,
                                                     .role = role,
                                                     .position = kStart + ms(positionMillis),
                                                     .age = age});
    std::cout << peer << " observed " << node << " at " << positionMillis << ": ";
    if (!proven) {
      std::cout << "nothing proven\n";
      return;
    }
    constexpr const char* kRoles[] = {"unknown role", "primary", "replica"};
    std::cout << "proven at " << (*proven->position - kStart).inMicros() / 1000 << ", "
              << kRoles[static_cast<int>(proven->role)] << "\n";
  }

 private:
  PeerObservations observations_{2};
};

void printPeerObservationsTrace() {
  PrintedObservations observations;
  PeerObservations& peerObservations = observations.withoutOutput();
  peerObservations.onListed("a", Instant());
  std::cout
      << "-- two peers prove the lower of their positions; one peer that reports twice proves nothing\n";
  observations.receive("r1", "a", Role::replica, -100);
  observations.receive("r1", "a", Role::replica, -50);
  observations.receive("r2", "a", Role::replica, -80);
  observations.receive("r3", "a", Role::replica, -70);
  std::cout << "-- a peer with false observations: position too far ahead, another role\n";
  observations.receive("r4", "a", Role::primary, 1'000'000);
  observations.receive("r1", "a", Role::replica, -50);
  std::cout << "-- an outdated observation, and one of another start of the node\n";
  observations.receive("r2", "a", Role::replica, -10, ms(61'000));
  observations.receive("r2", "a", Role::replica, -10, ms(5), kStart);
  std::cout << "-- the node restarted: earlier observations are discarded\n";
  peerObservations.observe(kStart, "a", {Role::replica, kStart, {}});
  std::cout << "position known " << peerObservations.knowsPosition("a") << ", own observations "
            << peerObservations.ownObservations(kStart).size();
  peerObservations.onListed("a", kStart + ms(1));
  std::cout << "; then " << peerObservations.knowsPosition("a") << ", "
            << peerObservations.ownObservations(kStart).size() << "\n";
  std::cout << "-- observed before the list arrives: proven once it does; unlisted nodes are limited\n";
  observations.receive("r1", "b", Role::replica, -5);
  observations.receive("r2", "b", Role::replica, -5);
  observations.receive("r1", "c", Role::replica, -5);
  observations.receive("r1", "d", Role::replica, -5);
  std::cout << "b proven " << peerObservations.onListed("b", Instant()).has_value() << ", c "
            << peerObservations.onListed("c", Instant()).has_value() << "\n";
}

AdmissionRamp newRamp() {
  constexpr std::size_t kNodes = 20;
  AdmissionRamp ramp(
      kStart,
      {.routers = 10, .initialRatePerNode = kInitialRatePerNode, .maxRetryAfter = ms(400), .seed = 7});
  ramp.setNodeCount(kNodes);
  return ramp;
}

// Load on the router, and which of its transactions are committed in time.
struct Load {
  int seconds = 0;
  int requestsPerSecond = 0;
  std::function<bool(int second)> isInTime = [](int) { return true; };
};

// Prints the number of admitted transactions and the state of the ramp, for each second.
void printAdmitted(AdmissionRamp ramp, const Load& load) {
  constexpr const char* kStates[] = {"doubling", "steady", "finished"};
  for (int second = 0; second < load.seconds; ++second) {
    int admitted = 0;
    Duration longestRetryAfter;
    for (int n = 0; n < load.requestsPerSecond; ++n) {
      const Instant now = kStart + ms(second * 1000 + n * 1000 / load.requestsPerSecond);
      if (const auto retryAfter = ramp.retryAfterIfRejected(now)) {
        longestRetryAfter = std::max(longestRetryAfter, *retryAfter);
        continue;
      }
      ++admitted;
      ramp.onTransactionEnded(now, {.isForwarded = true, .isInTime = load.isInTime(second)});
    }
    std::cout << second << ": " << admitted << " " << kStates[static_cast<int>(ramp.state())];
    if (longestRetryAfter > Duration())
      std::cout << ", retry within " << longestRetryAfter.inMicros() / 100'000 << "00 ms";
    std::cout << "\n";
  }
}

void printAdmissionRampTrace() {
  std::cout
      << "-- 10 routers, 20 nodes, 100 transactions per second, all in time: admitted per second, state\n";
  printAdmitted(newRamp(), {.seconds = 8, .requestsPerSecond = 100});
  std::cout << "-- transactions are late from the third second to the eighth, as nodes are overloaded\n";
  const auto isOutsideOverload = [](int second) { return second < 3 || second > 8; };
  printAdmitted(newRamp(), {.seconds = 12, .requestsPerSecond = 400, .isInTime = isOutsideOverload});
  std::cout << "-- transactions that were never forwarded are not counted\n";
  AdmissionRamp unforwarded = newRamp();
  for (int n = 0; n < 100; ++n)
    unforwarded.onTransactionEnded(kStart + ms(n), {.isForwarded = false, .isInTime = false});
  printAdmitted(unforwarded, {.seconds = 3, .requestsPerSecond = 100});
  std::cout << "-- other routers report normal service: all are admitted\n";
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
