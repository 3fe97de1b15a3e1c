// Model check of the lease registry: explores every history of a given number of steps. In none of them may
// an at-most-once transaction run twice, or be rejected although it ran. Run as `lease_registry
// all-short-histories`: prints the findings.
#include "endpoint_leases/lease_registry.h"

#include <functional>
#include <iostream>
#include <map>
#include <set>

using namespace gulltrestle;
using namespace gulltrestle::endpoint_leases;

namespace {

const std::string kId = "x";

TransactionClass classOf(Effect effect) {
  TransactionClass transactionClass;
  transactionClass.effect = effect;
  transactionClass.deadline = Duration::millis(2000);
  return transactionClass;
}

// The sender of a stream's request: the proxy that retries, or another client that uses the same id.
enum class Requester { proxy, otherClient };

// A model of one id that is requested by a proxy that retries and by another client, and that records what
// actually ran. Both requesters report only what they know, and truthfully.
class RegistryModel {
 public:
  RegistryModel(Effect effect, ProxyPlacement placement)
      : transactionClass_(classOf(effect)),
        placement_(placement),
        registry_({transactionClass_}, placement_, {.maxTransactionsPerKind = 100}, "start0") {}

  struct Stream {
    LeaseRequest request;
    Requester requester = Requester::proxy;
    bool hasLease = false, hasRun = false, isWaiting = false;
  };
  using Step = std::function<void(RegistryModel&)>;
  struct NamedStep {
    std::string name;
    Step step;
  };

  bool isAtMostOnce() const { return transactionClass_.effect == Effect::atMostOnce; }

  // --- Steps

  void request(Requester requester, WriteProgress writeProgress) {
    const bool isProxy = requester == Requester::proxy;
    LeaseRequest leaseRequest;
    leaseRequest.id = kId;
    leaseRequest.attempt = isProxy ? ++proxyAttempts_ : 1;
    leaseRequest.writeProgress = writeProgress;
    leaseRequest.remainingTime = Duration::millis(1000);
    if (isProxy) {
      leaseRequest.token = proxyToken_;
      // A proxy that retries does not use leases of earlier attempts any more.
      for (auto& [key, stream] : streams_)
        if (stream.requester == Requester::proxy) stream.hasLease = stream.hasLease && stream.hasRun;
    }
    const StreamKey key = ++lastStream_;
    streams_[key] = {leaseRequest, requester};
    requestLease(key);
  }

  void requestLease(StreamKey key) {
    Stream& stream = streams_.at(key);
    const LeaseDecision decision = registry_.requestLease(now_, key, stream.request);
    stream.isWaiting = decision.action == LeaseDecision::Action::wait;
    if (stream.isWaiting) return;
    if (decision.action == LeaseDecision::Action::answer) {
      if (decision.outcome == FinalOutcome::rejected) checkRejection();
      if (decision.outcome == FinalOutcome::committed) fault = "committed without a node";
      streams_.erase(key);
      return;
    }
    if (decision.supersededStream != 0) streams_.erase(decision.supersededStream);
    // The router's rule: an at-most-once transaction that may have run is rolled back.
    if (decision.priorAttempts.ambiguousAttemptAge && isAtMostOnce()) {
      registry_.onAnswered(now_, kId, key, FinalOutcome::rolledBack);
      streams_.erase(key);
      return;
    }
    const std::string token = registry_.onLeaseGranted(now_, kId, key, "n");
    if (token.empty()) {
      fault = "routed but not granted";
      return;
    }
    if (stream.requester == Requester::proxy) proxyToken_ = token;
    stream.hasLease = true;
  }

  void run(StreamKey key) {
    Stream& stream = streams_.at(key);
    stream.hasRun = true;
    hasProxyWritten_ = hasProxyWritten_ || stream.requester == Requester::proxy;
    ++runCount;
    if (isAtMostOnce() && runCount > 1) fault = "ran more than once";
  }

  void report(StreamKey key, AttemptOutcome attemptOutcome) {
    registry_.onAttemptEnded(now_, kId, key, attemptOutcome);
    const FinalOutcome outcome = finalOutcomeOf(attemptOutcome);
    if (outcome == FinalOutcome::rejected) checkRejection();
    registry_.onAnswered(now_, kId, key, outcome);
    streams_.erase(key);
  }

  void resetStream(StreamKey key) {
    registry_.onStreamCancelled(now_, kId, key);
    streams_.erase(key);
  }

  void restart() {
    const std::string incarnation = "start" + std::to_string(++restartCount_);
    registry_ = LeaseRegistry({transactionClass_}, placement_, {.maxTransactionsPerKind = 100}, incarnation);
    streams_.clear();
  }

  void advanceTime() {
    now_ = now_ + Duration::millis(60);
    std::vector<StreamKey> waiting;
    for (const auto& [key, stream] : streams_)
      if (stream.isWaiting) waiting.push_back(key);
    for (const StreamKey key : waiting)
      if (streams_.contains(key)) requestLease(key);
  }

  // The steps that are possible next.
  std::vector<NamedStep> nextSteps() const {
    std::vector<NamedStep> steps;
    addRequests(steps);
    for (const auto& [key, stream] : streams_) addStreamSteps(steps, key, stream);
    if (restartCount_ < 2 && !hasOtherClient_)
      steps.push_back({"restart", [](RegistryModel& model) { model.restart(); }});
    steps.push_back({"advance-time", [](RegistryModel& model) { model.advanceTime(); }});
    return steps;
  }

  std::string fault;  // empty: none was found
  int runCount = 0;

 private:
  void checkRejection() {
    if (isAtMostOnce() && runCount > 0) fault = "rejected although it ran";
  }

  FinalOutcome finalOutcomeOf(AttemptOutcome outcome) const {
    if (outcome == AttemptOutcome::committed) return FinalOutcome::committed;
    const bool mayRetry = outcome == AttemptOutcome::noConnection || !isAtMostOnce();
    return mayRetry ? FinalOutcome::rejected : FinalOutcome::rolledBack;
  }

  void addRequests(std::vector<NamedStep>& steps) const {
    if (proxyAttempts_ < 3) {
      steps.push_back(
          {"request", [](RegistryModel& model) { model.request(Requester::proxy, WriteProgress::unknown); }});
      if (proxyAttempts_ > 0 && !hasProxyWritten_)
        steps.push_back({"request,nothing-written",
                         [](RegistryModel& model) { model.request(Requester::proxy, WriteProgress::none); }});
    }
    // A restart forgets ids: two clients that use the same id can't be distinguished across a restart
    // (docs/external-processor.md).
    if (lastStream_ < 4 && restartCount_ == 0)
      steps.push_back({"other-client-request", [](RegistryModel& model) {
                         model.hasOtherClient_ = true;
                         model.request(Requester::otherClient, WriteProgress::unknown);
                       }});
  }

  static void addStreamSteps(std::vector<NamedStep>& steps, StreamKey key, const Stream& stream) {
    const std::string number = std::to_string(key);
    if (stream.hasLease && !stream.hasRun) {
      steps.push_back({"run" + number, [key](RegistryModel& model) { model.run(key); }});
      steps.push_back({"no-connection" + number,
                       [key](RegistryModel& model) { model.report(key, AttemptOutcome::noConnection); }});
    }
    if (stream.hasLease && stream.hasRun) {
      steps.push_back({"committed" + number,
                       [key](RegistryModel& model) { model.report(key, AttemptOutcome::committed); }});
      steps.push_back({"connection-lost" + number,
                       [key](RegistryModel& model) { model.report(key, AttemptOutcome::connectionLost); }});
    }
    steps.push_back({"reset" + number, [key](RegistryModel& model) { model.resetStream(key); }});
  }

  TransactionClass transactionClass_;
  ProxyPlacement placement_;
  LeaseRegistry registry_;
  Instant now_ = Instant::atMicros(1'000'000'000);
  int restartCount_ = 0;
  StreamKey lastStream_ = 0;
  std::map<StreamKey, Stream> streams_;
  std::string proxyToken_;  // of the last lease that the proxy has seen
  unsigned proxyAttempts_ = 0;
  bool hasProxyWritten_ = false;  // at least one attempt of the proxy was written
  bool hasOtherClient_ = false;   // another client has used the id
};

struct Findings {
  std::uint64_t histories = 0, faults = 0, ranOnce = 0, ranMore = 0, neverRan = 0;
  std::string firstFault;
};

// Explores all histories of `stepsLeft` further steps from the state of `model`.
void exploreHistories(const RegistryModel& model, int stepsLeft, const std::string& history,
                      Findings& findings) {
  if (stepsLeft == 0) {
    ++findings.histories;
    ++(model.runCount == 0 ? findings.neverRan : model.runCount == 1 ? findings.ranOnce : findings.ranMore);
    return;
  }
  for (const auto& [name, step] : model.nextSteps()) {
    RegistryModel after = model;
    step(after);
    if (!after.fault.empty()) {
      if (findings.faults++ == 0) findings.firstFault = history + " " + name + ": " + after.fault;
      continue;
    }
    exploreHistories(after, stepsLeft - 1, history + " " + name, findings);
  }
}

void printFindings(const char* subject, Effect effect, ProxyPlacement placement) {
  constexpr int kSteps = 8;
  Findings findings;
  exploreHistories(RegistryModel(effect, placement), kSteps, "", findings);
  std::cout << subject << ": " << findings.histories << " histories of " << kSteps << " steps, never ran in "
            << findings.neverRan << ", ran once in " << findings.ranOnce << ", more often in "
            << findings.ranMore << "; faults " << findings.faults << findings.firstFault << "\n";
}

void allShortHistories() {
  printFindings("at-most-once, one lease request per attempt", Effect::atMostOnce,
                ProxyPlacement::perAttempt);
  printFindings("at-most-once, one lease request per HTTP request", Effect::atMostOnce,
                ProxyPlacement::perRequest);
  printFindings("idempotent, one lease request per attempt", Effect::idempotent, ProxyPlacement::perAttempt);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::string(argv[1]) != "all-short-histories") return 2;
  allShortHistories();
}
