// Deterministic simulation of maintenance: runs the production protocols of several routers, some of them
// voters, with links that fail, stall and delay messages, clocks that run at different rates, and disks that
// are lost. The same seed produces the same simulation.
//
//   simulated_world.cpp         processes, links and event loop iterations
//   simulated_world_rounds.cpp  proposal rounds, disks, and the checks of each chosen plan
//   simulated_world_faults.cpp  operators and clients, and injected failures
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintenance/acceptor.h"
#include "maintenance/lease.h"
#include "maintenance/maintenance_leader.h"
#include "maintenance/operator_requests.h"
#include "maintenance/plan_view.h"
#include "maintenance/proposal_round.h"
#include "membership/failure_detector.h"
#include "membership/membership_view.h"

namespace gulltrestle::maintenance {

// A fault injected into the code under test. It has to violate a property.
enum class InjectedFault {
  none,
  forgottenState,      // a voter that lost its disk takes part as if its state were complete
  sendWithoutLease,    // a router sends to a machine in Phase::next without a lease
  earlyDrainReport,    // a router reports that it has drained while an attempt is in flight
  replyBeforeDurable,  // a voter replies before its state is on disk
  latePlanReport,      // a voter replies to a heartbeat before it reports its accepted value
};

// Counts of events, summed over all simulations that share the object.
struct Totals {
  std::uint64_t chosen = 0;    // chosen values
  std::uint64_t released = 0;  // released machines
  std::uint64_t attempts = 0;  // attempts sent to nodes
  std::uint64_t powerLosses = 0, diskLosses = 0, stalls = 0, cutLinks = 0, kills = 0;
};

// Independent observer that detects when a value is chosen: once a majority of the voters has durably
// accepted it in one round.
class ChosenValueMonitor {
 public:
  explicit ChosenValueMonitor(std::size_t voters) : voters_(voters) {}
  // Returns true when this acceptance makes the round's value chosen.
  bool onAccepted(VoterIndex voter, const AcceptedValue& accepted) {
    auto& acceptedBy = acceptedBy_[accepted.ballot];
    return acceptedBy.insert(voter).second && acceptedBy.size() == majorityOf(voters_);
  }

 private:
  std::size_t voters_;
  std::map<Ballot, std::set<VoterIndex>> acceptedBy_;
};

// One simulated fleet with its operators, clients and faults.
class SimulatedWorld {
 public:
  // The result of simulate() if no property was violated but a machine was not finished in time.
  static constexpr std::string_view kNotFinished = "maintenance was not finished in time";

  SimulatedWorld(std::uint64_t seed, InjectedFault injectedFault, Totals& totals);

  // Runs until all machines are finished, a property is violated, or the simulated time ends. Faults end long
  // before that. Returns what went wrong, or an empty string on success.
  std::string simulate();

 private:
  static constexpr std::size_t kRouters = 5, kVoters = 3, kMachines = 2;
  static constexpr Duration kSimulatedTime = Duration::millis(300'000), kFaultTime = Duration::millis(90'000);
  static constexpr Duration kDeadline = Duration::millis(1000), kRetention = Duration::millis(12'000);
  static constexpr Instant kStartTime = Instant::atMicros(1'000'000'000);

  struct Event {
    Instant due;
    std::uint64_t number;  // orders events that are due at the same time
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(other.due, other.number) < std::pair(due, number);
    }
  };
  struct Disk {
    std::string acceptorState;
    bool isComplete = true;
  };
  // One incarnation of a router.
  struct Process {
    bool isUp = false, isStalled = false;
    std::uint64_t processId = 0, draw = 0, incarnation = 0;
    Instant abstainsUntil;  // set for a voter that lost its disk
    std::optional<PlanView> planView;
    std::optional<Lease> lease;
    std::optional<Acceptor> acceptor;
    std::optional<ProposalRound> round;
    std::optional<membership::FailureDetector> failureDetector;
    std::optional<membership::MembershipView> view;
    std::optional<MaintenanceLeader> leader;
    std::vector<std::function<void()>> queued;  // actions that arrived while the process is stalled
    std::uint64_t drainedVersion = 0, heartbeatNumber = 0;
    Instant heartbeatSentAt;
    std::map<std::size_t, std::uint64_t> reportedVersions;  // of failure detector reports, by router
    std::map<std::size_t, Ballot> reportedBallots;          // of accepted values, by router
    std::vector<std::string> inFlight;                      // target node of each attempt
  };
  // A heartbeat that a router sends to a voter.
  struct Heartbeat {
    membership::MemberProgress progress;
    std::uint64_t draw = 0, incarnation = 0, number = 0, processId = 0;
  };

  // --- Time and randomness
  static MaintenanceLimits bounds();
  void schedule(Duration delay, std::function<void()> action);
  double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t randomBelow(std::size_t count) { return random_() % count; }
  Duration randomMillis(std::size_t count) {
    return Duration::millis(static_cast<std::int64_t>(randomBelow(count)));
  }
  // A router's own monotonic clock.
  Instant clock(std::size_t router) const { return kStartTime + (now_ - kStartTime) * clockRates_[router]; }
  std::int64_t elapsedMillis() const { return (now_ - kStartTime).inMicros() / 1000; }
  void fail(const std::string& property);
  // Prints the state of all routers to the standard error stream.
  void printState();

  // --- Processes
  static std::string name(std::size_t router) { return "r" + std::to_string(router); }
  void start(std::size_t router);
  void startVoter(std::size_t voter, Process& process);
  void kill(std::size_t router);
  void resume(std::size_t router);
  // Runs the action on the process. A process that has been killed drops it, and a stalled one queues it.
  void run(std::size_t router, std::uint64_t processId, std::function<void()> action);
  // Delivers a message from one router to another. Messages on a link stay in order, and are lost if the link
  // is cut.
  void deliver(std::size_t from, std::size_t to, std::function<void()> action);

  // --- Event loop iterations
  void scheduleIterations(std::size_t router);
  void runIteration(std::size_t router);
  void sendHeartbeats(std::size_t router, const membership::MemberProgress& progress);
  void onHeartbeat(std::size_t voter, std::size_t router, const Heartbeat& heartbeat);
  void onAccepted(std::size_t router, std::size_t voter, const AcceptedValue& accepted);

  // --- Proposal rounds
  bool mayVote(std::size_t voter) const;
  FleetState fleetState(std::size_t voter);
  void advancePlan(std::size_t voter);
  void propose(std::size_t voter, const FleetState& fleet, const ProposalRound::PreparedValue& prepared);
  bool hasPendingRequest(std::size_t voter) const;
  void onPrepare(std::size_t voter, std::size_t proposer, const Ballot& ballot);
  void onAccept(std::size_t voter, std::size_t proposer, const AcceptedValue& proposed);
  void handleOutcome(std::size_t voter, std::size_t proposer, const Acceptor::RequestOutcome& outcome);
  // Completes the write that `proposer` waits for. `isOnDisk`: whether it is certain to be on disk.
  void onWritten(std::size_t voter, std::size_t proposer, const std::string& acceptorState, bool isOnDisk);
  void replyWritten(std::size_t voter, std::size_t proposer);
  void onAcceptorReply(std::size_t proposer, std::size_t voter, const Acceptor::AcceptorReply& reply);

  // --- Properties
  void onDurablyAccepted(std::size_t voter, const AcceptedValue& accepted);
  // Checks that the chosen versions increase in ballot order.
  bool checkOrder(const AcceptedValue& chosen);
  void checkChosenPlan();
  void traceChosenPlan(const Ballot& ballot) const;

  // --- Operators and clients
  void requestMaintenance();
  // Simulates the operator's work on a released machine, and reports it as done after a random delay.
  void scheduleCompletion(const std::string& machine);
  void sendAttempts();
  void send(std::size_t router, const std::string& node);

  // --- Faults
  void injectFault();
  void endAllFaults();
  void killRouter(std::size_t router, Duration downtime);
  void stallRouter(std::size_t router, Duration pause);
  void cutLink(std::size_t router, std::size_t voter, Duration outage);
  void losePower();
  void loseDisk(std::size_t voter, Duration downtime);

  std::mt19937_64 random_;
  InjectedFault injectedFault_;
  Totals& totals_;
  ChosenValueMonitor monitor_;
  MaintenanceLimits bounds_;
  Instant now_ = kStartTime;
  std::uint64_t eventNumber_ = 0, lastProcessId_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::string> nodes_;
  std::vector<Disk> disks_;
  std::vector<Process> routers_;
  std::vector<double> clockRates_;
  std::map<std::size_t, std::uint64_t> incarnations_;
  std::set<std::pair<std::size_t, std::size_t>> cutLinks_;
  std::map<std::pair<std::size_t, std::size_t>, Instant> lastDeliveries_;
  std::map<std::size_t, Instant> diskBusyUntil_;
  std::map<std::string, OperatorRequest> requests_;
  std::map<Ballot, ValueVersion> chosenVersions_;
  Ballot newestBallot_;
  Plan chosenPlan_;
  std::set<std::string> releasedNodes_, startedWork_;
  std::size_t finishedMachines_ = 0;
  std::string brokenProperty_;
};

}  // namespace gulltrestle::maintenance
