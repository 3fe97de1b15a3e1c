// Maintenance in a simulated world: the real protocols of a few routers, some of them voters, on links that
// break, stall and deliver late, with clocks that differ, and disks that are lost. The same seed gives the
// same world.
//
//   simulated_world.cpp         processes, links and turns
//   simulated_world_rounds.cpp  proposal rounds, disks, and what is checked of each chosen plan
//   simulated_world_faults.cpp  what operators and clients do meanwhile, and what goes wrong
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

// A fault that is built into the code under test: its properties have to break.
enum class InjectedFault {
  none,
  forgottenState,      // a voter that lost its disk takes part as if it had not
  sendWithoutLease,    // a router sends to a machine whose turn is next without a lease
  earlyDrainReport,    // a router reports that it has drained while an attempt is in flight
  replyBeforeDurable,  // a voter replies before its state is on disk
  latePlanReport,      // a voter replies to a heartbeat before it reports what it has accepted
};

// What happened, over all worlds that were given the same totals.
struct Totals {
  std::uint64_t chosen = 0;    // values
  std::uint64_t released = 0;  // machines
  std::uint64_t attempts = 0;  // that were sent to nodes
  std::uint64_t powerLosses = 0, diskLosses = 0, stalls = 0, cutLinks = 0, kills = 0;
};

// Learns which values are chosen, seen from outside: once a majority of the voters has accepted one in a
// round, durably.
class ChosenValueMonitor {
 public:
  explicit ChosenValueMonitor(std::size_t voters) : voters_(voters) {}
  // True: this round's value has just been chosen.
  bool onAccepted(VoterIndex voter, const AcceptedValue& accepted) {
    auto& acceptedBy = acceptedBy_[accepted.ballot];
    return acceptedBy.insert(voter).second && acceptedBy.size() == majorityOf(voters_);
  }

 private:
  std::size_t voters_;
  std::map<Ballot, std::set<VoterIndex>> acceptedBy_;
};

class SimulatedWorld {
 public:
  // What simulate() returns where no property broke and some machine was not finished in time.
  static constexpr std::string_view kNotFinished = "the work was not done";

  SimulatedWorld(std::uint64_t seed, InjectedFault injectedFault, Totals& totals);

  // Runs until all machines are finished, or a property breaks, or the time is over. Faults end long before.
  // Returns what went wrong; empty: nothing.
  std::string simulate();

 private:
  static constexpr std::size_t kRouters = 5, kVoters = 3, kMachines = 2;
  static constexpr Duration kSimulatedTime = Duration::millis(300'000), kFaultTime = Duration::millis(90'000);
  static constexpr Duration kDeadline = Duration::millis(1000), kRetention = Duration::millis(12'000);
  static constexpr Instant kBegin = Instant::atMicros(1'000'000'000);

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
    Instant abstainsUntil;  // of a voter that lost its disk
    std::optional<PlanView> planView;
    std::optional<Lease> lease;
    std::optional<Acceptor> acceptor;
    std::optional<ProposalRound> round;
    std::optional<membership::FailureDetector> failureDetector;
    std::optional<membership::MembershipView> view;
    std::optional<MaintenanceLeader> leader;
    std::vector<std::function<void()>> queued;  // while it is stalled
    std::uint64_t drainedVersion = 0, heartbeatNumber = 0;
    Instant heartbeatSentAt;
    std::map<std::size_t, std::uint64_t> reportedVersions;  // of the failure detector, by router
    std::map<std::size_t, Ballot> reportedBallots;          // of the accepted value, by router
    std::vector<std::string> inFlight;                      // the node of each attempt
  };
  // What a router sends to a voter.
  struct Heartbeat {
    membership::MemberProgress progress;
    std::uint64_t draw = 0, incarnation = 0, number = 0, processId = 0;
  };

  // --- Time and chance
  static Bounds bounds();
  void after(Duration delay, std::function<void()> action);
  double fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t pick(std::size_t count) { return random_() % count; }
  Duration pickMillis(std::size_t count) { return Duration::millis(static_cast<std::int64_t>(pick(count))); }
  // A router's own monotonic clock.
  Instant clock(std::size_t router) const { return kBegin + (now_ - kBegin) * clockRates_[router]; }
  std::int64_t elapsedMillis() const { return (now_ - kBegin).inMicros() / 1000; }
  void fail(const std::string& property);
  // The state of all routers, on the standard error stream.
  void trace();

  // --- Processes
  static std::string name(std::size_t router) { return "r" + std::to_string(router); }
  void start(std::size_t router);
  void startVoter(std::size_t voter, Process& process);
  void kill(std::size_t router);
  void resume(std::size_t router);
  // On that process, as it is then: one that was killed meanwhile does nothing, one that is stalled does it
  // later.
  void run(std::size_t router, std::uint64_t processId, std::function<void()> action);
  // A message from one router to another: in order on each link, lost with the link.
  void deliver(std::size_t from, std::size_t to, std::function<void()> action);

  // --- Turns
  void keepTurning(std::size_t router);
  void endTurn(std::size_t router);
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
  // The write that `proposer` waits for has ended. `isOnDisk`: it surely has reached the disk.
  void onWritten(std::size_t voter, std::size_t proposer, const std::string& acceptorState, bool isOnDisk);
  void replyWritten(std::size_t voter, std::size_t proposer);
  void onAcceptorReply(std::size_t proposer, std::size_t voter, const Acceptor::AcceptorReply& reply);

  // --- Properties
  void onDurablyAccepted(std::size_t voter, const AcceptedValue& accepted);
  // Whether each chosen version follows from the one before, in the order of ballots.
  bool checkOrder(const AcceptedValue& chosen);
  void checkChosenPlan();
  void traceChosenPlan(const Ballot& ballot) const;

  // --- Operators and clients
  void requestMaintenance();
  // The operator does the work on a machine that was released, and reports it as done.
  void workOn(const std::string& machine);
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
  Bounds bounds_;
  Instant now_ = kBegin;
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
  std::set<std::string> releasedNodes_, workBegun_;
  std::size_t finishedMachines_ = 0;
  std::string brokenProperty_;
};

}  // namespace gulltrestle::maintenance
