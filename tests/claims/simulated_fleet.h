// A simulated fleet of routers, some of them voters. It runs the production claim code over connections that
// break and stall, on disks and machines that lose power, with clients that repeat their ids at any router.
// The simulation knows which transactions really ran. A seed determines the whole run.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "idempotency/claim_coordinator.h"
#include "idempotency/voting_member.h"

namespace gulltrestle::idempotency::simulation {

// Bugs that can be injected into a fleet, to verify that its checks find them.
enum class InjectedBug {
  none,
  voteBeforeDurable,       // a vote is sent before it is durable
  abstentionForgotten,     // a voter that has to abstain votes after its next start
  staleDiskTrusted,        // an old copy of a disk is accepted as the newest
  tokensRepeated,          // a start repeats the tokens of an earlier one
  quorumTooSmall,          // some coordinators count fewer voters than there are
  unknownOutcomeReleased,  // a transaction that may have run is reported as never ran
  listChangedAtOnce,       // a voter votes under a new list while the previous one may count
  newVoterVotesAtOnce,
};

// Event counts over all fleets of a test.
struct FleetStatistics {
  std::uint64_t requests = 0, repeatedRequests = 0;
  std::uint64_t admitted = 0, executed = 0, reportedCommitted = 0;
  std::uint64_t kills = 0, powerLosses = 0, disksLost = 0, disksRestored = 0, stalls = 0, listChanges = 0;
};

// One simulation run.
class SimulatedFleet {
 public:
  // `loggedId`: prints the history of this id, to find out why a seed fails. Empty: prints nothing.
  SimulatedFleet(std::uint64_t seed, InjectedBug bug, FleetStatistics& statistics, std::string loggedId = {});

  // Simulates requests and faults, then ends all faults and checks that every router admits claims again.
  // Returns a description of the first violation, or an empty string if there is none.
  std::string runScenario();

 private:
  static constexpr Duration kRetention = Duration::millis(20'000);

  // The durable state of one router.
  struct Disk {
    std::vector<VoterIncarnation> ownStarts;
    std::uint64_t minValidStart = 0;
    bool isComplete = false;
    std::map<std::string, ClaimRecord> claims;
    std::map<std::string, VoterIncarnation> voterStarts;
    VoterListHistory lists;
  };
  struct PendingWrite {
    std::vector<DiskChange> changes;
    std::function<void()> whenDurable;
  };
  struct Router {
    bool isUp = false;
    std::size_t list = 0;          // index of the voter list that it serves under
    std::uint64_t startCount = 0;  // callbacks of an earlier start are ignored
    std::unique_ptr<VotingMember> voter;
    std::unique_ptr<ClaimCoordinator> coordinator;
    std::uint64_t tokenStart = 0;  // the start number in its claims' tokens
    Disk disk, diskBefore;         // diskBefore: copy made at the beginning of the last start
    std::deque<PendingWrite> writes;
    bool isWriting = false;
    Instant diskLostAt;  // never: its disk was not lost
    std::map<std::size_t, std::uint64_t>
        connections;  // generation of the connection to each voter; odd: connected
    std::map<std::size_t, Instant>
        lastArrival;                        // last arrival time of a message, by connection and direction
    std::map<TxnKey, std::string> waiting;  // ids of undecided transactions
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  // A message about a claim in flight to a voter.
  struct SentClaim {
    std::size_t router, voter;  // indices of routers
    std::uint64_t startCount;   // of the router, when the message was sent
    ClaimToken token;
    ClaimCoordinator::ClaimMessage message;
  };

  void log(const std::string& id, const std::string& text) const;
  void fail(const std::string& text);
  std::size_t pick(std::size_t count);
  bool oneIn(std::size_t count) { return pick(count) == 0; }
  // Returns a random duration: at least `shortest` milliseconds and less than `range` milliseconds longer.
  Duration pickMillis(std::int64_t shortest, std::size_t range);

  static std::string name(std::size_t router) { return "r" + std::to_string(router); }
  Disk& disk(std::size_t router) { return routers_[router].disk; }
  const VoterList& listOf(std::size_t router) const { return lists_[routers_[router].list]; }
  bool isVoter(std::size_t router) const { return listOf(router).names.contains(name(router)); }
  // The voters of the router's list, in the order of that list.
  std::vector<std::size_t> votersOf(std::size_t router) const;
  VoterIndex indexOf(std::size_t router, std::size_t voter) const;

  // --- Time
  void schedule(Duration delay, std::function<void()> call);
  // Calls back only if the router has not been down in between.
  void scheduleOnRouter(std::size_t router, Duration delay, std::function<void()> call);
  void run(Duration span);

  // --- Router lifecycle
  void boot(std::size_t router);
  void bootCoordinator(std::size_t router);
  void bootVoter(std::size_t router);
  // Returns false if the voter must not start.
  bool changeListOnDisk(std::size_t router);
  StoredState storedStateOf(const Disk& disk) const;
  void tick(std::size_t router);
  void kill(std::size_t router);
  void killFor(std::size_t router, Duration pause);

  // --- Connections: messages arrive in order, or the connection breaks and messages in flight are lost
  void connect(std::size_t from, std::size_t to);
  void disconnect(std::size_t from, std::size_t to);
  // Sends on the connection from `owner` to `voter`, in one of its directions.
  void send(std::size_t from, std::size_t to, std::size_t owner, std::size_t voter,
            std::function<void()> call);
  void greet(std::size_t from, std::size_t to);
  void replyToGreeting(std::size_t voter, std::size_t greeter, const VoterIncarnation& start,
                       const VoterIncarnation& knownStart);

  // --- Disks
  // Writes the voter's changes so far, in order, and calls back when they are durable.
  void write(std::size_t router, std::function<void()> whenDurable);
  void writeNext(std::size_t router);
  static void apply(Disk& disk, const std::vector<DiskChange>& changes);

  // --- Claims
  // Sends a client's request for a new id, or repeats a recent one, to any router or to two at the same time.
  void sendRequest();
  void request(std::size_t router, const std::string& id);
  // Sends the messages and applies the decisions of the router's coordinator.
  void processCoordinatorOutput(std::size_t router);
  void onMessage(const SentClaim& sent);
  void onClaim(const SentClaim& sent);
  void sendVote(const SentClaim& sent, const Vote& vote);
  void onDecision(std::size_t router, const ClaimCoordinator::Decision& decision);
  void execute(std::size_t router, TxnKey txn, const std::string& id);
  void endExecution(std::size_t router, TxnKey txn, const std::string& id, bool isAnswered);
  void endTransaction(std::size_t router, TxnKey txn, ClaimCoordinator::ExecutionOutcome outcome);

  // --- Faults
  void injectFault();
  void losePower(std::size_t spared);
  void loseDisk(std::size_t router, Duration pause);
  void stall(std::size_t router, Duration pause);
  // An operator replaces a voter, or adds two, in a new list. The routers adopt the list one by one as they
  // are restarted, some of them late.
  void changeList();
  // Whether at most a minority of the disks is lost within the retention time if this one is lost, too.
  bool mayLoseDisk(std::size_t router) const;
  // Whether an old copy of the disk would be detected: the voters that do not know the newest start are fewer
  // than the replies that the voter needs.
  bool isNewestStartKnown(std::size_t voter);

  std::knuth_b random_;
  InjectedBug bug_;
  FleetStatistics& statistics_;
  std::string loggedId_;
  std::vector<VoterList> lists_;  // all lists so far, the newest last
  std::vector<Router> routers_;
  Instant now_ = Instant() + Duration::millis(1'000'000);
  std::uint64_t eventCount_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Instant> idsRequestedAt_;  // time of the first request of each id
  std::map<std::string, int> executions_;
  std::set<std::size_t> admittedAt_;  // routers
  TxnKey lastTxn_ = 0;
  bool areFaultsOver_ = false;  // writes are quick and none fails
  std::string failure_;
};

}  // namespace gulltrestle::idempotency::simulation
