// Tests the store: power loss at every operation of a simulated disk, files truncated and corrupted at every
// byte, disks that fail and recover, folders that can't be opened, and files of an earlier release. Run as
// `store CASE`: prints the trace of the case.
#include "store/store.h"

#include <poll.h>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <tuple>

#include "disk.h"
#include "idempotency/voting_member.h"
#include "maintenance/acceptor.h"
#include "scratch.h"
#include "store/database.h"

using namespace gulltrestle;
using namespace gulltrestle::store;
using disk::Disk;
using idempotency::ClaimRecord;
using idempotency::ClaimRemoval;
using idempotency::MaintenanceRecord;
using idempotency::NodeDrainRecord;
using idempotency::PrimaryRecord;
using idempotency::RouterStartRecord;
using idempotency::VoterListHistory;
using idempotency::VoterStartRecord;
using idempotency::VotingRecord;

namespace {

using Changes = std::vector<idempotency::DiskChange>;
constexpr const char* kDatabaseFile = "claims.db";

const idempotency::VoterList kFirstVoterList{1, {"k1", "k2"}}, kSecondVoterList{2, {"k1", "k4"}};
const VoterListHistory kBothVoterLists{.current = kSecondVoterList, .previous = {kFirstVoterList}};
const VoterListHistory kSecondVoterListAlone{.current = kSecondVoterList, .previous = {}};

std::string claimId(int id) { return "b" + std::to_string(id); }
ClaimRecord openClaim(int id, int router) {
  return {.id = claimId(id),
          .token = {"r" + std::to_string(router), 77, static_cast<std::uint64_t>(id)},
          .isCommitted = false,
          .value = ""};
}
ClaimRecord committedClaim(int id, int router) {
  ClaimRecord claim = openClaim(id, router);
  claim.isCommitted = true;
  claim.value = std::string(static_cast<std::size_t>(40 * id % 3000), 'v');
  return claim;
}

// The commits of a script, in order: insertions, removals, starts, and enough rows to split pages.
std::vector<Changes> commitScript() {
  std::vector<Changes> commits{{VoterStartRecord{"", {1, 5}}}, {VoterStartRecord{"k2", {3, 9}}}};
  int lastId = 0;
  for (int group = 0; group < 10; ++group) {
    Changes changes;
    for (int n = 0; n <= group % 4 * 6; ++n) changes.push_back(openClaim(++lastId, group));
    if (group % 3 == 1) changes.push_back(committedClaim(lastId - 1, group));
    if (group % 4 == 3)
      for (int n = 1; n < 9; ++n) changes.push_back(ClaimRemoval{claimId(lastId - 2 * n)});
    if (group % 4 == 2) changes.push_back(NodeDrainRecord{"n" + std::to_string(group), 9, group == 2});
    if (group == 3) changes.push_back(RouterStartRecord{"r4", {7, 70}});
    if (group == 6) changes.push_back(kBothVoterLists);
    if (group == 7) changes.push_back(RouterStartRecord{"r4", {8, 71}});
    if (group == 8) changes.push_back(kSecondVoterListAlone);
    if (group == 9) changes.push_back(NodeDrainRecord{"n2", 0, false});
    if (group == 5) changes.push_back(VotingRecord{.isComplete = false, .minValidStart = 4});
    commits.push_back(changes);
  }
  return commits;
}

const std::vector<idempotency::VoterList> kSingleVoterList{{1, {"k1"}}};

// Describes a state in one line. Equal states have equal descriptions.
std::string describe(const idempotency::StoredState& state) {
  std::map<std::string, std::string> rows;
  for (const auto& claim : state.claims)
    rows[claim.id] = claim.token.router + "/" + std::to_string(claim.token.number) +
                     (claim.isCommitted ? "=" + claim.value : "");
  std::string out = (state.isComplete ? "votes " : "abstains ") + std::to_string(state.minValidStart);
  for (const auto& own : state.ownStarts)
    out += " own" + std::to_string(own.number) + "/" + std::to_string(own.draw);
  for (const auto& [name, start] : state.voterStarts) out += " " + name + std::to_string(start.number);
  for (const auto& [name, start] : state.routerStarts)
    out += " " + name + " start " + std::to_string(start.number);
  for (const auto& name : state.voterLists.current.names)
    out += " list" + std::to_string(state.voterLists.current.version) + ":" + name;
  for (const auto& list : state.voterLists.previous)
    for (const auto& name : list.names) out += " previous" + std::to_string(list.version) + ":" + name;
  for (const auto& [id, drain] : state.nodeDrains)
    out += " " + id + (drain.isDraining ? " drains by version " : " stays by version ") +
           std::to_string(drain.listVersion);
  for (const auto& [id, row] : rows) out += " " + id + ":" + row;
  return out;
}

// Commits the script; returns the number of commits reported as durable, including the creation of the
// tables.
std::size_t commitAll(const std::vector<Changes>& script) {
  std::size_t durable = 0;
  try {
    Database database(kDatabaseFile, Database::OpenMode::writing);
    if (database.isNew()) database.initialize("k1", {.isComplete = true, .minValidStart = 0});
    database.load();
    durable = 1;
    for (const Changes& changes : script) {
      database.commit({&changes});
      ++durable;
    }
  } catch (const std::exception&) {
    // The disk failed, which is the subject of these cases.
  }
  return durable;
}

// The state expected after reopening the file, indexed by the number of durable commits.
std::vector<std::string> expectedStates(const std::vector<Changes>& script) {
  std::vector<std::string> states{""};
  for (std::size_t commits = 0; commits <= script.size(); ++commits) {
    Disk::instance().reset();
    commitAll({script.begin(), script.begin() + static_cast<std::ptrdiff_t>(commits)});
    states.push_back(describe(Database(kDatabaseFile, Database::OpenMode::writing).load()));
  }
  return states;
}

std::string describeLoaded() {
  Database database(kDatabaseFile, Database::OpenMode::writing);
  return database.isNew() ? "" : describe(database.load());
}

// The description of the state, or the damage of the file.
std::string describeLoadedOrDamage() {
  try {
    return describeLoaded();
  } catch (const std::exception& error) { return std::string("damaged: ") + error.what(); }
}

// Whether all commits reported as durable are present, and nothing else but possibly the commit in progress.
bool isExpected(const std::string& found, const std::vector<std::string>& states, std::size_t durable) {
  return found == states[durable] || (durable + 1 < states.size() && found == states[durable + 1]);
}

struct PowerLossResult {
  std::uint64_t losses = 0, lossesInRecovery = 0;
  std::string fault;  // empty if none was found
};

void losePowerInRecovery(std::mt19937& random) {
  Disk::instance().powerLossAt = Disk::instance().operations + 1 + random() % 4;
  try {
    describeLoaded();
  } catch (const std::exception&) {
    // Power is lost during the recovery.
  }
  Disk::instance().restorePower(random);
}

// Loses power at each operation of the script, several times, each time with a different part of the unsynced
// content on disk. Every second repetition also loses power during the recovery that follows.
PowerLossResult losePowerAtEachOperation(int repetitions, bool ignoreSyncs) {
  const auto script = commitScript();
  const auto states = expectedStates(script);
  PowerLossResult result;
  for (std::uint64_t operation = 1;; ++operation) {
    for (int repetition = 0; repetition < repetitions; ++repetition) {
      std::mt19937 random(static_cast<unsigned>(operation * 1000 + static_cast<std::uint64_t>(repetition)));
      Disk::instance().reset();
      Disk::instance().ignoresSyncs = ignoreSyncs;
      Disk::instance().powerLossAt = operation;
      const std::size_t durable = commitAll(script);
      if (!Disk::instance().powerLost && operation > Disk::instance().operations) return result;
      Disk::instance().restorePower(random);
      ++result.losses;
      if (repetition % 2 == 1) {
        losePowerInRecovery(random);
        ++result.lossesInRecovery;
      }
      const std::string found = describeLoadedOrDamage();
      if (isExpected(found, states, durable)) continue;
      result.fault = "operation " + std::to_string(operation) + ", repetition " + std::to_string(repetition) +
                     ", after commit " + std::to_string(durable) + ": " + found.substr(0, 60);
      return result;
    }
  }
}

void losePower() {
  constexpr int kRepetitions = 12;
  Disk::install();
  const PowerLossResult result = losePowerAtEachOperation(kRepetitions, false);
  std::cout << "power lost at " << result.losses << " points, " << result.lossesInRecovery
            << " times again during recovery: "
            << (result.fault.empty() ? "nothing invented, lost or duplicated" : result.fault) << "\n";
  const PowerLossResult ignoringSyncs = losePowerAtEachOperation(kRepetitions, true);
  std::cout << "a disk that reports syncs without syncing: "
            << (ignoringSyncs.fault.empty() ? "NOT DETECTED" : "detected after ")
            << (ignoringSyncs.fault.empty() ? "" : std::to_string(ignoringSyncs.losses)) << " points\n";
}

// Counts of damaged files by outcome: loaded intact, detected as damaged, or loaded with a wrong state.
struct DamageResult {
  std::uint64_t intact = 0, damaged = 0, wrong = 0;

  void add(const std::string& file, const std::string& intactState) {
    Disk::instance().reset();
    Disk::instance().files[kDatabaseFile] = std::make_shared<disk::File>(disk::File{file, file, true});
    try {
      ++(describeLoaded() == intactState ? intact : wrong);
    } catch (const std::exception&) { ++damaged; }
  }
};

// Flips a bit in each byte of the file and truncates the file at each byte: it must load intact or be
// detected as damaged.
void corruptEachByte() {
  Disk::install();
  Disk::instance().reset();
  commitAll(commitScript());
  const std::string file = Disk::instance().files.at(kDatabaseFile)->content, intactState = describeLoaded();
  DamageResult flipped;
  for (std::size_t at = 0; at < file.size(); ++at) {
    std::string changed = file;
    changed[at] = static_cast<char>(changed[at] ^ (1 << at % 8));
    flipped.add(changed, intactState);
  }
  std::cout << file.size() << " bytes flipped: intact or detected as damaged "
            << flipped.intact + flipped.damaged << ", wrong " << flipped.wrong << "; damaged "
            << (flipped.damaged > 1000 ? "many" : "FEW") << "\n";
  DamageResult cut;
  for (std::size_t size = 1; size < file.size(); ++size) cut.add(file.substr(0, size), intactState);
  std::cout << "truncated at each byte: damaged " << (cut.damaged > file.size() / 2 ? "most" : "FEW")
            << ", wrong " << cut.wrong << "\n";
}

// Fails each operation once with an error, including a sync that fails once and then succeeds; the store
// reopens its file and continues.
void failEachOperation() {
  Disk::install();
  const auto script = commitScript();
  const auto states = expectedStates(script);
  Disk::instance().reset();
  commitAll(script);
  const std::uint64_t operations = Disk::instance().operations;
  std::uint64_t wrong = 0;
  for (std::uint64_t operation = 1; operation <= operations; ++operation) {
    Disk::instance().reset();
    Disk::instance().failingOperations = {operation};
    const std::size_t durable = commitAll(script);
    Disk::instance().failingOperations.clear();
    if (!isExpected(describeLoadedOrDamage(), states, durable)) ++wrong;
  }
  std::cout << operations << " operations failed, each once: wrong states afterwards " << wrong << "\n";
}

// A temporary folder in the real file system. The destructor removes it.
class Folder {
 public:
  Folder() { path_ = scratchFolder("store"); }
  ~Folder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Queues the changes, waits for the result and returns whether they are durable.
bool write(Store& store, Changes changes) {
  const Store::WriteId id = store.write(std::move(changes));
  for (;;) {
    pollfd ready{store.descriptor(), POLLIN, 0};
    poll(&ready, 1, 10'000);
    for (const auto& completed : store.takeCompleted())
      if (completed.id == id) return completed.isDurable;
  }
}

std::string withoutPath(std::string text, const std::string& path) {
  for (std::size_t at; (at = text.find(path)) != std::string::npos;) text.replace(at, path.size(), "FOLDER");
  return text;
}

void openFolders() {
  const Folder folder;
  const auto printOutcome = [&](const std::string& description, const std::function<void()>& call) {
    try {
      call();
      std::cout << description << ": accepted\n";
    } catch (const UnusableFolder& error) {
      std::cout << description << ": " << withoutPath(error.what(), folder.path()) << "\n";
    }
  };
  printOutcome("no folder", [&] { Store(folder.path() + "/none", "k1", 1, kSingleVoterList); });
  create(folder.path(), "k1");
  printOutcome("created twice", [&] { create(folder.path(), "k1"); });
  printOutcome("store of another voter", [&] { Store(folder.path(), "k2", 1, kSingleVoterList); });
  {
    Store store(folder.path(), "k1", 11, kSingleVoterList);
    std::cout << "new, created by an operator: " << describe(store.storedState()) << "\n";
    std::cout << "durable: " << write(store, {openClaim(1, 4), openClaim(2, 5)}) << "\n";
    printOutcome("in use", [&] { Store(folder.path(), "k1", 2, kSingleVoterList); });
    printOutcome("read while in use", [&] { std::ignore = read(folder.path()); });
    store.write({committedClaim(2, 5)});
  }
  { const Store secondStart(folder.path(), "k1", 12, kSingleVoterList); }
  const FolderContents contents = read(folder.path());
  std::cout << "after two starts, " << contents.voter << ": " << describe(contents.state).substr(0, 70)
            << "\n";
  {
    std::fstream file(folder.path() + "/claims.db", std::ios::in | std::ios::out | std::ios::binary);
    for (std::streamoff page = 2; page <= 5; ++page) {  // rows are at the end of a page
      file.seekp(page * 4096 - 60);
      file << "something else";
    }
  }
  std::cout << "damaged: " << (read(folder.path()).damage ? "detected" : "NOT DETECTED") << "\n";
  Store store(folder.path(), "k1", 13, kSingleVoterList);
  std::cout << "started on the damaged folder: " << describe(store.storedState())
            << "; set aside: " << !store.damagedFile().empty() << "\n";
}

// The disk is full for a time, simulated by a file size limit of this process: the store reports the failure
// and recovers without a restart.
void recoverFromFullDisk() {
  const Folder folder;
  create(folder.path(), "k1");
  Store store(folder.path(), "k1", 11, kSingleVoterList);
  std::cout << "durable: " << write(store, {openClaim(1, 4)}) << "\n";
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit previousLimit{};
  getrlimit(RLIMIT_FSIZE, &previousLimit);
  const rlimit fullDiskLimit{512, previousLimit.rlim_max};
  setrlimit(RLIMIT_FSIZE, &fullDiskLimit);
  std::cout << "full: " << write(store, {openClaim(2, 4)}) << ", " << write(store, {openClaim(3, 4)}) << "\n";
  const StoreStatistics statistics = store.statistics();
  std::cout << "queued " << statistics.queuedChanges << ", a fault is reported "
            << !statistics.lastError.empty() << "\n";
  setrlimit(RLIMIT_FSIZE, &previousLimit);
  bool durable = false;
  for (int n = 0; n < 40 && !durable; ++n) durable = write(store, {openClaim(4, 4)});
  std::cout << "recovered: " << durable << ", queued " << store.statistics().queuedChanges << "\n";
}

// --- Files written by an earlier release: tests/store/stored_0_10/README.md

const std::vector<idempotency::VoterList> kStoredLists{
    {1, {"k1", "k2", "k3"}}, {2, {"k1", "k2", "k4"}}, {3, {"k1", "k4", "k5"}}};

std::string storedFile(const std::string& name) {
  return std::string(GULLTRESTLE_STORED_FOLDER) + "/" + name;
}

// Writes bytes that are not printable ASCII as \xHH, and more than 100 bytes of the same value as their
// count.
std::string printable(const std::string& text) {
  if (text.size() > 100 && text.find_first_not_of(text[0]) == std::string::npos)
    return std::to_string(text.size()) + " times " + text[0];
  std::ostringstream out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte < 0x7F)
      out << c;
    else
      out << "\\x" << std::hex << byte / 16 << byte % 16 << std::dec;
  }
  return out.str();
}

std::string joined(const auto& texts) {
  std::string out;
  for (const auto& text : texts) out += (out.empty() ? "" : " ") + text;
  return out;
}

void printIncarnation(const std::string& what, const idempotency::VoterIncarnation& incarnation) {
  std::cout << "  " << what << ": start " << incarnation.number << ", draw " << incarnation.draw << "\n";
}

void printClaims(const idempotency::StoredState& state) {
  std::map<std::string, const idempotency::ClaimRecord*> byId;
  for (const auto& claim : state.claims) byId[claim.id] = &claim;
  for (const auto& [id, claim] : byId)
    std::cout << "  claim " << printable(id) << ": router " << claim->token.router << ", start "
              << claim->token.start << ", number " << claim->token.number
              << (claim->isCommitted ? ", committed with '" + printable(claim->value) + "'" : "") << "\n";
}

void printMaintenance(const idempotency::StoredState& state) {
  if (state.acceptorState.empty()) {
    std::cout << "  maintenance: no state was written\n";
    return;
  }
  const maintenance::Acceptor acceptor(state.acceptorState, state.isComplete);
  const maintenance::AcceptedValue& accepted = acceptor.accepted();
  std::cout << "  maintenance: " << (acceptor.isComplete() ? "complete" : "incomplete") << ", ballot "
            << accepted.ballot.number << " of " << accepted.ballot.draw << ", version "
            << accepted.version.version << " of " << accepted.version.draw << ", serialized again: "
            << (acceptor.serialized() == state.acceptorState ? "identical" : "NOT IDENTICAL") << " text\n";
  const maintenance::Plan plan = maintenance::readPlan(accepted.value);
  std::cout << "  plan " << plan.version << ", applied: " << joined(plan.appliedRequests) << "\n";
  for (const auto& machine : plan.machines)
    std::cout << "  machine " << machine.name << " in " << machine.zone << " is "
              << maintenance::nameOf(machine.phase) << " since " << machine.phaseVersion << " ('"
              << machine.reason << "'), nodes: " << joined(machine.nodes)
              << ", routers: " << joined(machine.routers) << ", expected duration "
              << machine.expectedDuration.inMicros() << " us, due within "
              << machine.completeWithin.inMicros() << " us, by " << machine.request << " of "
              << machine.requestedBy << ", attempts " << machine.attempts << "\n";
}

void printState(const idempotency::StoredState& state) {
  std::cout << "  " << (state.isComplete ? "complete" : "incomplete") << ", new since " << state.minValidStart
            << "\n";
  for (const auto& own : state.ownStarts) printIncarnation("own", own);
  for (const auto& [voter, incarnation] : state.voterStarts) printIncarnation("voter " + voter, incarnation);
  for (const auto& [router, incarnation] : state.routerStarts)
    printIncarnation("router " + router, incarnation);
  std::cout << "  voter list " << state.voterLists.current.version << ": "
            << joined(state.voterLists.current.names) << "\n";
  for (const auto& list : state.voterLists.previous)
    std::cout << "  earlier voter list " << list.version << ": " << joined(list.names) << "\n";
  for (const auto& [node, drain] : state.nodeDrains)
    std::cout << "  node " << node << (drain.isDraining ? " drains" : " stays") << " by version "
              << drain.listVersion << "\n";
  for (const auto& [group, primary] : state.primaries)
    std::cout << "  primary of group " << group << ": " << primary.node << " by version "
              << primary.listVersion << "\n";
  printClaims(state);
  printMaintenance(state);
}

// Prints the votes of a voting member on claims of another router for ids that are stored.
void printVotes(const idempotency::StoredState& state) {
  idempotency::VotingMember voter(Instant::atMicros(1), "k1", {}, state);
  for (const char* id : {"last", "order-1002", "order-1001"}) {
    const auto vote = voter.onClaim(Instant::atMicros(2), id, {"r9", 1, 1});
    std::cout << "  claimed by another router, " << id << ": "
              << (!vote ? "NO VOTE"
                  : vote->kind != idempotency::Vote::Kind::takenByOther
                      ? "NOT TAKEN"
                      : "taken" + (vote->isCommitted ? ", committed with '" + vote->value + "'" : ""))
              << "\n";
  }
}

// Changes of most kinds, on top of the stored state.
Changes furtherChanges(const idempotency::StoredState& state) {
  Changes changes{committedClaim(1, 1),
                  ClaimRemoval{"order-1001"},
                  VoterStartRecord{"k2", {6, 60}},
                  NodeDrainRecord{.node = "n1", .listVersion = 0, .isDraining = false},
                  NodeDrainRecord{.node = "n2", .listVersion = 40, .isDraining = false},
                  PrimaryRecord{.group = 0, .node = "n6", .listVersion = 41},
                  RouterStartRecord{"r2", {4, 10}}};
  maintenance::Acceptor acceptor(state.acceptorState, state.isComplete);
  maintenance::AcceptedValue next = acceptor.accepted();
  next.ballot = {99, 7};
  ++next.version.version;
  std::cout << "the plan's next ballot is " << (acceptor.accept(next).needsWrite ? "accepted" : "REJECTED")
            << "\n";
  changes.push_back(MaintenanceRecord{acceptor.serialized()});
  return changes;
}

void copyStoredFile(const Folder& folder) {
  std::filesystem::copy_file(storedFile("claims.db"), folder.path() + "/" + kDatabaseFile);
}

void openEarlierRelease() {
  const Folder folder;
  copyStoredFile(folder);
  const FolderContents contents = read(folder.path());
  std::cout << "read, voter " << contents.voter << ", damage '" << contents.damage.value_or("") << "'\n";
  printState(contents.state);
  {
    Store store(folder.path(), "k1", 14, kStoredLists);
    std::cout << "opened, set aside '" << store.damagedFile() << "'\n";
    printState(store.storedState());
    printVotes(store.storedState());
    Changes changes = furtherChanges(store.storedState());
    std::cout << "further changes: durable " << write(store, std::move(changes)) << "\n";
  }
  Store store(folder.path(), "k1", 15, kStoredLists);
  std::cout << "opened again, set aside '" << store.damagedFile() << "'\n";
  printState(store.storedState());
}

void printOpened(const Folder& folder) {
  Store store(folder.path(), "k1", 14, kStoredLists);
  std::cout << "opened, set aside " << !store.damagedFile().empty() << "\n";
  printState(store.storedState());
  std::cout << "further changes: durable " << write(store, {committedClaim(1, 1)}) << "\n";
}

// Two ways in which the last commit of the stored file was interrupted. The process ended before it truncated
// the journal: the commit is rolled back. The file lost its last page: it is set aside.
void openEarlierReleaseCutOff() {
  {
    const Folder folder;
    copyStoredFile(folder);
    std::filesystem::copy_file(storedFile("last_commit.journal"),
                               folder.path() + "/" + kDatabaseFile + "-journal");
    std::cout << "an interrupted commit\n";
    printOpened(folder);
  }
  const Folder folder;
  copyStoredFile(folder);
  const std::string path = folder.path() + "/" + kDatabaseFile;
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 4096);
  std::cout << "a file without its last page: damage is "
            << (read(folder.path()).damage ? "detected" : "NOT DETECTED") << "\n";
  printOpened(folder);
  std::cout << "the damaged file is kept: " << std::filesystem::exists(path + ".damaged1") << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{
      {"power-loss", losePower},
      {"damaged-bytes", corruptEachByte},
      {"failing-operations", failEachOperation},
      {"opening-folders", openFolders},
      {"full-disk", recoverFromFullDisk},
      {"earlier-release", openEarlierRelease},
      {"earlier-release-cut-off", openEarlierReleaseCutOff}};
  const auto found = cases.find(argc > 1 ? argv[1] : "");
  if (found == cases.end()) return 2;
  found->second();
  return 0;
}
