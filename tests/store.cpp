// The store of claims: power lost at every operation on a simulated disk, files cut and flipped at every
// byte, disks that fail and heal, folders that are not its own. Run as `store CASE`: prints the case's trace.
#include "store/store.h"

#include <poll.h>
#include <signal.h>
#include <sys/resource.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "disk.h"
#include "maintenance/acceptor.h"
#include "scratch.h"
#include "store/database.h"

using namespace gulltrestle;
using namespace gulltrestle::store;
using disk::Disk;
using idempotency::VotingMember;

namespace {

using Changes = std::vector<VotingMember::DiskChange>;
using Kind = VotingMember::DiskChange::Kind;
constexpr const char* kFile = "claims.db";

VotingMember::DiskChange put(int id, int router, bool committed = false) {
  const std::string name = "b" + std::to_string(id);
  return {Kind::put,
          name,
          {name,
           {"r" + std::to_string(router), 77, static_cast<std::uint64_t>(id)},
           committed,
           committed ? std::string(static_cast<std::size_t>(40 * id % 3000), 'v') : ""},
          {},
          false};
}
const idempotency::VoterList kFirst{1, {"k1", "k2"}}, kSecond{2, {"k1", "k4"}};
VotingMember::DiskChange changed(Kind what, const std::string& id, idempotency::VoterIncarnation start,
                                 bool isComplete = false) {
  VotingMember::DiskChange made;
  made.kind = what;
  made.id = id;
  made.start = start;
  made.isComplete = isComplete;
  return made;
}
VotingMember::DiskChange drop(int id) { return changed(Kind::drop, "b" + std::to_string(id), {}); }
VotingMember::DiskChange lists(bool isSuperseded) {
  VotingMember::DiskChange made = changed(Kind::lists, "", {});
  made.lists.current = kSecond;
  if (!isSuperseded) made.lists.previous.push_back(kFirst);
  return made;
}

// What is committed one after the other; grows, drops, starts, and pages that split.
std::vector<Changes> script() {
  std::vector<Changes> all{{changed(Kind::start, "", {1, 5})}, {changed(Kind::start, "k2", {3, 9})}};
  int next = 0;
  for (int group = 0; group < 10; ++group) {
    Changes changes;
    for (int n = 0; n <= group % 4 * 6; ++n) changes.push_back(put(++next, group));
    if (group % 3 == 1) changes.push_back(put(next - 1, group, true));
    if (group % 4 == 3)
      for (int n = 1; n < 9; ++n) changes.push_back(drop(next - 2 * n));
    if (group % 4 == 2)
      changes.push_back(changed(Kind::node, "n" + std::to_string(group), {9, 0}, group == 2));
    if (group == 3) changes.push_back(changed(Kind::member, "r4", {7, 70}));
    if (group == 6) changes.push_back(lists(false));
    if (group == 7) changes.push_back(changed(Kind::member, "r4", {8, 71}));
    if (group == 8) changes.push_back(lists(true));
    if (group == 9) changes.push_back(changed(Kind::node, "n2", {}));
    if (group == 5) changes.push_back(changed(Kind::voting, "", {4, 0}));
    all.push_back(changes);
  }
  return all;
}

const std::vector<idempotency::VoterList> kOne{{1, {"k1"}}};

// All that is known, as one text: equal where the stores are.
std::string shown(const idempotency::StoredState& state) {
  std::map<std::string, std::string> rows;
  for (const auto& e : state.entries)
    rows[e.id] = e.token.router + "/" + std::to_string(e.token.number) + (e.committed ? "=" + e.value : "");
  std::string out = (state.isComplete ? "whole " : "silent ") + std::to_string(state.newSince);
  for (const auto& s : state.own) out += " own" + std::to_string(s.number) + "/" + std::to_string(s.draw);
  for (const auto& [name, s] : state.starts) out += " " + name + std::to_string(s.number);
  for (const auto& [name, s] : state.members) out += " " + name + " speaks by " + std::to_string(s.number);
  for (const auto& name : state.lists.current.names)
    out += " list" + std::to_string(state.lists.current.version) + ":" + name;
  for (const auto& list : state.lists.previous)
    for (const auto& name : list.names) out += " before" + std::to_string(list.version) + ":" + name;
  for (const auto& [id, known] : state.nodes)
    out += " " + id + (known.second ? " leaves by " : " stays by ") + std::to_string(known.first);
  for (const auto& [id, row] : rows) out += " " + id + ":" + row;
  return out;
}

// Plays the script; returns how many commits were told as durable, 0 where the beginning was not.
std::size_t play(const std::vector<Changes>& all) {
  std::size_t done = 0;
  try {
    Database database(kFile, Database::OpenMode::writing);
    if (database.isNew()) database.begin("k1", true);
    database.load();
    done = 1;
    for (const Changes& changes : all) {
      database.commit({&changes});
      ++done;
    }
  } catch (const std::exception&) {}
  return done;
}

// After each commit, as it must be found again.
std::vector<std::string> states(const std::vector<Changes>& all) {
  std::vector<std::string> out{""};
  for (std::size_t n = 0; n <= all.size(); ++n) {
    Disk::the().reset();
    play({all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n)});
    out.push_back(shown(Database(kFile, Database::OpenMode::writing).load()));
  }
  return out;
}

std::string loaded() {
  Database database(kFile, Database::OpenMode::writing);
  return database.isNew() ? "" : shown(database.load());
}

struct Search {
  std::uint64_t points = 0, again = 0;
  std::string fault;
};

// Power is lost at each operation of the script, several times with another part of what was not synced; and
// once more at an operation of the recovery after that.
Search search(int times, bool lies) {
  const auto all = script();
  const auto known = states(all);
  Search out;
  for (std::uint64_t at = 1;; ++at) {
    std::uint64_t operations = 0;
    for (int time = 0; time < times; ++time) {
      std::mt19937 chance(static_cast<unsigned>(at * 1000 + static_cast<std::uint64_t>(time)));
      Disk::the().reset();
      Disk::the().liesAboutSyncs = lies;
      Disk::the().dieAt = at;
      const std::size_t done = play(all);
      operations = Disk::the().operations;
      if (!Disk::the().dead && at > operations) return out;
      Disk::the().restore(chance);
      ++out.points;
      if (time % 2 == 1) {
        Disk::the().dieAt = Disk::the().operations + 1 + chance() % 4;
        try {
          loaded();
        } catch (const std::exception&) {}
        Disk::the().restore(chance);
        ++out.again;
      }
      std::string found;
      try {
        found = loaded();
      } catch (const std::exception& bad) { found = std::string("damaged: ") + bad.what(); }
      // What was reported as durable is there, and at most the commit under way beside it.
      if (found != known[done] && (done + 1 >= known.size() || found != known[done + 1])) {
        out.fault = "operation " + std::to_string(at) + ", time " + std::to_string(time) + ", after commit " +
                    std::to_string(done) + ": " + found.substr(0, 60);
        return out;
      }
    }
  }
}

void power() {
  Disk::install();
  const Search found = search(12, false);
  std::cout << "power lost at " << found.points << " points, " << found.again
            << " times again during recovery: "
            << (found.fault.empty() ? "nothing invented, lost or doubled" : found.fault) << "\n";
  const Search lying = search(12, true);
  std::cout << "a disk that says that it synced and did not: "
            << (lying.fault.empty() ? "NOT FOUND" : "found after ")
            << (lying.fault.empty() ? "" : std::to_string(lying.points)) << " points\n";
}

// Each byte of the file changed, and the file cut at each: found as it was, or known as damaged.
void bytes() {
  Disk::install();
  const auto all = script();
  Disk::the().reset();
  play(all);
  const std::string intact = Disk::the().files.at(kFile)->now, right = loaded();
  std::uint64_t same = 0, damaged = 0, wrong = 0;
  const auto look = [&](const std::string& file) {
    Disk::the().reset();
    Disk::the().files[kFile] = std::make_shared<disk::File>(disk::File{file, file, true});
    try {
      ++(loaded() == right ? same : wrong);
    } catch (const std::exception&) { ++damaged; }
  };
  for (std::size_t at = 0; at < intact.size(); ++at) {
    std::string file = intact;
    file[at] = static_cast<char>(file[at] ^ (1 << at % 8));
    look(file);
  }
  std::cout << intact.size() << " bytes flipped: as it was or known as damaged " << same + damaged
            << ", wrong " << wrong << "; damaged " << (damaged > 1000 ? "many" : "FEW") << "\n";
  same = damaged = wrong = 0;
  for (std::size_t size = 1; size < intact.size(); ++size) look(intact.substr(0, size));
  std::cout << "cut at each byte: damaged " << (damaged > intact.size() / 2 ? "most" : "FEW") << ", wrong "
            << wrong << "\n";
}

// Operations that fail with an error, a sync that fails once and then succeeds among them; the store opens
// its file anew and goes on.
void failing() {
  Disk::install();
  const auto all = script();
  const auto known = states(all);
  Disk::the().reset();
  play(all);
  const std::uint64_t operations = Disk::the().operations;
  std::uint64_t tried = 0, wrong = 0;
  for (std::uint64_t at = 1; at <= operations; ++at) {
    Disk::the().reset();
    Disk::the().failing = {at};
    const std::size_t done = play(all);
    Disk::the().failing.clear();
    ++tried;
    std::string found;
    try {
      found = loaded();
    } catch (const std::exception& bad) { found = bad.what(); }
    if (found != known[done] && (done + 1 >= known.size() || found != known[done + 1])) ++wrong;
  }
  std::cout << tried << " operations failed, each once: wrong after it " << wrong << "\n";
}

// A folder of its own, through the system's own files.
class Folder {
 public:
  Folder() { path_ = scratchFolder("store"); }
  ~Folder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

bool written(Store& store, Changes changes) {
  const auto ticket = store.write(std::move(changes));
  for (;;) {
    pollfd ready{store.descriptor(), POLLIN, 0};
    poll(&ready, 1, 10'000);
    for (const auto& done : store.takeCompleted())
      if (done.ticket == ticket) return done.durable;
  }
}

std::string without(std::string text, const std::string& path) {
  for (std::size_t at; (at = text.find(path)) != std::string::npos;) text.replace(at, path.size(), "FOLDER");
  return text;
}

void folders() {
  const Folder folder;
  const auto tried = [&](const std::string& what, const std::function<void()>& call) {
    try {
      call();
      std::cout << what << ": taken\n";
    } catch (const UnusableFolder& bad) {
      std::cout << what << ": " << without(bad.what(), folder.path()) << "\n";
    }
  };
  tried("no folder", [&] { Store(folder.path() + "/none", "k1", 1, kOne); });
  create(folder.path(), "k1");
  tried("made twice", [&] { create(folder.path(), "k1"); });
  tried("another's", [&] { Store(folder.path(), "k2", 1, kOne); });
  {
    Store store(folder.path(), "k1", 11, kOne);
    std::cout << "new, by an operator's word: " << shown(store.storedState()) << "\n";
    std::cout << "durable: " << written(store, {put(1, 4), put(2, 5)}) << "\n";
    tried("in use", [&] { Store(folder.path(), "k1", 2, kOne); });
    tried("a look while in use", [&] { read(folder.path()); });
    store.write({put(2, 5, true)});
  }
  Store(folder.path(), "k1", 12, kOne);
  const Contents contents = read(folder.path());
  std::cout << "after two starts, " << contents.keeper << ": " << shown(contents.kept).substr(0, 70) << "\n";
  {
    std::fstream file(folder.path() + "/claims.db", std::ios::in | std::ios::out | std::ios::binary);
    for (std::streamoff page = 2; page <= 5; ++page) {  // rows stand at a page's end
      file.seekp(page * 4096 - 60);
      file << "something else";
    }
  }
  std::cout << "damaged: " << (read(folder.path()).damage.empty() ? "NOT SEEN" : "seen") << "\n";
  Store store(folder.path(), "k1", 13, kOne);
  std::cout << "started on it: " << shown(store.storedState()) << "; set aside: " << !store.setAside().empty()
            << "\n";
}

// The disk is full for a while, as no file of this process may grow: the store says so, and goes on by
// itself.
void healing() {
  const Folder folder;
  create(folder.path(), "k1");
  Store store(folder.path(), "k1", 11, kOne);
  std::cout << "durable: " << written(store, {put(1, 4)}) << "\n";
  signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  const rlimit none{512, before.rlim_max};
  setrlimit(RLIMIT_FSIZE, &none);
  std::cout << "full: " << written(store, {put(2, 4)}) << ", " << written(store, {put(3, 4)}) << "\n";
  const StoreStatistics figures = store.statistics();
  std::cout << "queued " << figures.queued << ", a fault is told " << !figures.fault.empty() << "\n";
  setrlimit(RLIMIT_FSIZE, &before);
  bool durable = false;
  for (int n = 0; n < 40 && !durable; ++n) durable = written(store, {put(4, 4)});
  std::cout << "healed: " << durable << ", queued " << store.statistics().queued << "\n";
}

// --- Files that an earlier release wrote: tests/store/stored_0_10/README.md

const std::vector<idempotency::VoterList> kStoredLists{
    {1, {"k1", "k2", "k3"}}, {2, {"k1", "k2", "k4"}}, {3, {"k1", "k4", "k5"}}};

std::string storedFile(const std::string& name) {
  return std::string(GULLTRESTLE_STORED_FOLDER) + "/" + name;
}

// Bytes that are no printable ASCII as \xHH; a text of one repeated byte as its length.
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
  for (const auto& claim : state.entries) byId[claim.id] = &claim;
  for (const auto& [id, claim] : byId)
    std::cout << "  claim " << printable(id) << ": router " << claim->token.router << ", start "
              << claim->token.start << ", number " << claim->token.number
              << (claim->committed ? ", committed with '" + printable(claim->value) + "'" : "") << "\n";
}

void printPlan(const idempotency::StoredState& state) {
  if (state.maintenance.empty()) {
    std::cout << "  maintenance: nothing was written\n";
    return;
  }
  const maintenance::Acceptor acceptor(state.maintenance, state.isComplete);
  const maintenance::AcceptedValue& accepted = acceptor.accepted();
  std::cout << "  maintenance: " << (acceptor.isComplete() ? "complete" : "incomplete") << ", ballot "
            << accepted.ballot.number << " of " << accepted.ballot.draw << ", version "
            << accepted.version.version << " of " << accepted.version.draw << ", the text is "
            << (acceptor.serialized() == state.maintenance ? "what" : "NOT WHAT") << " an acceptor writes\n";
  const maintenance::Plan plan = maintenance::readPlan(accepted.value);
  std::cout << "  plan " << plan.version << ", applied: " << joined(plan.appliedRequests) << "\n";
  for (const auto& machine : plan.machines)
    std::cout << "  machine " << machine.name << " in " << machine.zone << " is "
              << maintenance::nameOf(machine.phase) << " since " << machine.phaseVersion << " ('"
              << machine.reason << "'), nodes: " << joined(machine.nodes)
              << ", routers: " << joined(machine.routers) << ", takes " << machine.expectedDuration.inMicros()
              << " us, wanted within " << machine.wantedWithin.inMicros() << " us, by " << machine.request
              << " of " << machine.requestedBy << ", attempts " << machine.attempts << "\n";
}

void printState(const idempotency::StoredState& state) {
  std::cout << "  " << (state.isComplete ? "complete" : "incomplete") << ", new since " << state.newSince
            << "\n";
  for (const auto& own : state.own) printIncarnation("own", own);
  for (const auto& [voter, incarnation] : state.starts) printIncarnation("voter " + voter, incarnation);
  for (const auto& [router, incarnation] : state.members) printIncarnation("router " + router, incarnation);
  std::cout << "  voter list " << state.lists.current.version << ": " << joined(state.lists.current.names)
            << "\n";
  for (const auto& list : state.lists.previous)
    std::cout << "  earlier voter list " << list.version << ": " << joined(list.names) << "\n";
  for (const auto& [node, drain] : state.nodes)
    std::cout << "  node " << node << (drain.second ? " drains" : " stays") << " by version " << drain.first
              << "\n";
  for (const auto& [group, primary] : state.primaries)
    std::cout << "  primary of group " << group << ": " << primary.first << " by version " << primary.second
              << "\n";
  printClaims(state);
  printPlan(state);
}

// What a voting member answers to claims of other routers for ids that were stored.
void printVotes(const idempotency::StoredState& state) {
  idempotency::VotingMember voter(Instant::atMicros(1), "k1", {}, state);
  for (const char* id : {"last", "order-1002", "order-1001"}) {
    const auto vote = voter.onClaim(Instant::atMicros(2), id, {"r9", 1, 1});
    std::cout << "  claimed anew, " << id << ": "
              << (!vote ? "NO VOTE"
                  : vote->kind != idempotency::Vote::Kind::takenByOther
                      ? "NOT TAKEN"
                      : "taken" + (vote->committed ? ", committed with '" + vote->value + "'" : ""))
              << "\n";
  }
}

// One change of each kind.
Changes furtherChanges(const idempotency::StoredState& state) {
  Changes changes{put(1, 1, true),
                  changed(Kind::drop, "order-1001", {}),
                  changed(Kind::start, "k2", {6, 60}),
                  changed(Kind::node, "n1", {}),
                  changed(Kind::node, "n2", {40, 0}, false),
                  changed(Kind::primary, "n6", {41, 0}),
                  changed(Kind::member, "r2", {4, 10})};
  maintenance::Acceptor acceptor(state.maintenance, state.isComplete);
  maintenance::AcceptedValue next = acceptor.accepted();
  next.ballot = {99, 7};
  ++next.version.version;
  std::cout << "the plan's next ballot is " << (acceptor.accept(next).needsWrite ? "accepted" : "REJECTED")
            << "\n";
  changes.push_back(changed(Kind::work, acceptor.serialized(), {}));
  return changes;
}

void copyStoredFile(const Folder& folder) {
  std::filesystem::copy_file(storedFile("claims.db"), folder.path() + "/" + kFile);
}

void storedByEarlierRelease() {
  const Folder folder;
  copyStoredFile(folder);
  const Contents contents = read(folder.path());
  std::cout << "read, voter " << contents.keeper << ", damage '" << contents.damage << "'\n";
  printState(contents.kept);
  {
    Store store(folder.path(), "k1", 14, kStoredLists);
    std::cout << "opened, set aside '" << store.setAside() << "'\n";
    printState(store.storedState());
    printVotes(store.storedState());
    Changes changes = furtherChanges(store.storedState());
    std::cout << "written on: durable " << written(store, std::move(changes)) << "\n";
  }
  Store store(folder.path(), "k1", 15, kStoredLists);
  std::cout << "opened again, set aside '" << store.setAside() << "'\n";
  printState(store.storedState());
}

void printOpened(const Folder& folder) {
  Store store(folder.path(), "k1", 14, kStoredLists);
  std::cout << "opened, set aside " << !store.setAside().empty() << "\n";
  printState(store.storedState());
  std::cout << "written on: durable " << written(store, {put(1, 1, true)}) << "\n";
}

// The last commit of the stored file, cut off: its process ended before the journal was truncated, so it is
// rolled back; and the file lost its end, so it is set aside.
void storedAndCutOff() {
  {
    const Folder folder;
    copyStoredFile(folder);
    std::filesystem::copy_file(storedFile("last_commit.journal"), folder.path() + "/" + kFile + "-journal");
    std::cout << "a commit that did not end\n";
    printOpened(folder);
  }
  const Folder folder;
  copyStoredFile(folder);
  const std::string path = folder.path() + "/" + kFile;
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 4096);
  std::cout << "a file without its last page: damage is "
            << (read(folder.path()).damage.empty() ? "NOT SEEN" : "seen") << "\n";
  printOpened(folder);
  std::cout << "what was set aside is kept: " << std::filesystem::exists(path + ".damaged1") << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> cases{{"power", power},
                                                           {"bytes", bytes},
                                                           {"failing", failing},
                                                           {"folders", folders},
                                                           {"healing", healing},
                                                           {"stored", storedByEarlierRelease},
                                                           {"stored-cut-off", storedAndCutOff}};
  const auto at = cases.find(argc > 1 ? argv[1] : "");
  if (at == cases.end()) return 2;
  at->second();
  return 0;
}
