// A simulated fleet of routers, some of them voters: the real decisions of claims, over links that break and
// stall, on disks and machines that lose their power, and with clients that repeat their ids at any router.
// The simulation knows what truly ran. One seed gives one run.
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

// Bugs that are built into a fleet, to see that its verdict finds them.
enum class InjectedBug {
  none,
  voteBeforeDurable,       // a vote is sent before it is durable
  abstentionForgotten,     // a voter that has to abstain votes after its next start
  staleDiskTrusted,        // an old copy of a disk is taken for the newest
  tokensRepeated,          // a start repeats the tokens of an earlier one
  quorumTooSmall,          // some coordinators count fewer voters than there are
  unknownOutcomeReleased,  // the end of what may have run is reported as never ran
  listChangedAtOnce,       // a voter votes by a new list while the one before may count
  newVoterVotesAtOnce,
};

// What happened, over all fleets of a test.
struct FleetStatistics {
  std::uint64_t requests = 0, repeatedRequests = 0;
  std::uint64_t admitted = 0, executed = 0, reportedCommitted = 0;
  std::uint64_t kills = 0, powerLosses = 0, disksLost = 0, disksRestored = 0, stalls = 0, listChanges = 0;
};

// One run.
class SimulatedFleet {
 public:
  // `loggedId`: an id whose history is printed, to find out why a seed fails; empty: none.
  SimulatedFleet(std::uint64_t seed, InjectedBug bug, FleetStatistics& statistics, std::string loggedId = {});

  // Plays requests and faults, then repairs all and sees whether every router serves again. Returns what
  // broke; empty: nothing.
  std::string play();

 private:
  static constexpr Duration kRetention = Duration::millis(20'000);

  // What is durable at one router.
  struct Disk {
    std::vector<VoterIncarnation> ownStarts;
    std::uint64_t newSince = 0;
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
    std::size_t list = 0;          // that it serves under: its index among all
    std::uint64_t startCount = 0;  // what was under way for an earlier start is void
    std::unique_ptr<VotingMember> voter;
    std::unique_ptr<ClaimCoordinator> coordinator;
    std::uint64_t tokenStart = 0;  // of its claims' tokens
    Disk disk, diskBefore;         // diskBefore: as it was when the last start began
    std::deque<PendingWrite> writes;
    bool isWriting = false;
    Instant diskLostAt;                                // never: its disk was not touched
    std::map<std::size_t, std::uint64_t> connections;  // to each voter: its generation; odd: up
    std::map<std::size_t, Instant> lastArrival;        // of the messages on each, by direction
    std::map<TxnKey, std::string> waiting;             // ids of transactions without a decision
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  // One claim's message on its way to a voter.
  struct SentClaim {
    std::size_t router, voter;  // indices of routers
    std::uint64_t startCount;   // of the router, when it was sent
    ClaimToken token;
    ClaimCoordinator::ClaimMessage message;
  };

  void log(const std::string& id, const std::string& text) const;
  void fail(const std::string& text);
  std::size_t pick(std::size_t count);
  bool oneIn(std::size_t count) { return pick(count) == 0; }
  // From `shortest` on, up to `range` longer.
  Duration pickMillis(std::int64_t shortest, std::size_t range);

  static std::string name(std::size_t router) { return "r" + std::to_string(router); }
  Disk& disk(std::size_t router) { return routers_[router].disk; }
  const VoterList& listOf(std::size_t router) const { return lists_[routers_[router].list]; }
  bool isVoter(std::size_t router) const { return listOf(router).names.contains(name(router)); }
  // The voters by the router's list, each at its index there.
  std::vector<std::size_t> votersOf(std::size_t router) const;
  VoterIndex indexOf(std::size_t router, std::size_t voter) const;

  // --- Time
  void after(Duration delay, std::function<void()> call);
  // Only if that router has not been down meanwhile.
  void afterAt(std::size_t router, Duration delay, std::function<void()> call);
  void run(Duration span);

  // --- A router's life
  void boot(std::size_t router);
  void bootCoordinator(std::size_t router);
  void bootVoter(std::size_t router);
  // False: the voter must not start.
  bool changeListOnDisk(std::size_t router);
  StoredState storedStateOf(const Disk& disk) const;
  void tick(std::size_t router);
  void kill(std::size_t router);
  void killFor(std::size_t router, Duration pause);

  // --- Links: messages arrive in order, or the link breaks and those under way are lost
  void connect(std::size_t from, std::size_t to);
  void disconnect(std::size_t from, std::size_t to);
  // On the connection from `owner` to `voter`, in one of its directions.
  void send(std::size_t from, std::size_t to, std::size_t owner, std::size_t voter,
            std::function<void()> call);
  void greet(std::size_t from, std::size_t to);
  void replyToGreeting(std::size_t voter, std::size_t greeter, const VoterIncarnation& start,
                       const VoterIncarnation& knownStart);

  // --- Disks
  // Writes what the voter has changed up to now, in order, and calls back then.
  void write(std::size_t router, std::function<void()> whenDurable);
  void writeNext(std::size_t router);
  static void apply(Disk& disk, const std::vector<DiskChange>& changes);

  // --- Claims
  // A client's request: for a new id, or once more for one of the last few, at any router, or at two at once.
  void sendRequest();
  void request(std::size_t router, const std::string& id);
  // Sends messages and carries out decisions of the router's coordinator.
  void carryOut(std::size_t router);
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
  // An operator names another voter, or two more, in a new list. The routers take it one by one as they are
  // restarted, some of them late.
  void changeList();
  // Whether the disk may be lost without more than a minority being lost within the time of retention.
  bool mayLoseDisk(std::size_t router) const;
  // Whether an old copy of the disk would be noticed: by all but fewer than the voter has to hear.
  bool isNewestStartKnown(std::size_t voter);

  std::knuth_b random_;
  InjectedBug bug_;
  FleetStatistics& statistics_;
  std::string loggedId_;
  std::vector<VoterList> lists_;  // all that there were, the newest last
  std::vector<Router> routers_;
  Instant now_ = Instant() + Duration::millis(1'000'000);
  std::uint64_t eventCount_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Instant> idsRequestedAt_;  // first
  std::map<std::string, int> executions_;
  std::set<std::size_t> admittedAt_;  // routers
  TxnKey lastTxn_ = 0;
  bool isCalm_ = false;  // disks are quick, and none fails
  std::string fault_;
};

}  // namespace gulltrestle::idempotency::simulation
