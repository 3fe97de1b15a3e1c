// A voting member's folder: claims, its own starts and those of others that it was notified of, and what else
// routers keep there, in an SQLite database of one file. A thread writes what is queued, in groups, and
// notifies the owner when it is durable.
//
// Each row has a checksum, and the database one over all rows: a file that was cut, of which a byte was
// flipped, or that another program wrote to is noticed when it is opened. It is then set aside under another
// name and an empty one begun, which is not complete: the voting member abstains for the time of retention.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "idempotency/voting_member.h"

namespace gulltrestle::store {

// The folder can't be used: it is missing, another process has it, it belongs to another voting member or a
// newer version wrote it, or the disk failed. The message is for an operator, who has to change something
// before another attempt can succeed.
class UnusableFolder : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The configured voter lists may not follow those that this folder was last served under. Nothing was
// written. Another attempt with the same lists fails likewise.
class RejectedVoterList : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// For status documents and alerts.
struct StoreStatistics {
  std::uint64_t commits = 0, changes = 0, failures = 0;
  std::size_t queued = 0;   // changes that are not durable yet
  Duration longest;         // the longest commit
  Duration durableAgo;      // since the last commit that did not fail, or the start
  std::uint64_t bytes = 0;  // of the file, as it was last looked at
  std::string fault;        // of the last commit, if it failed
};

class Database;

// The store of one voting member, for as long as its process runs. Public functions are called by the owner's
// thread; descriptor() tells its event loop when to call takeCompleted().
class Store {
 public:
  using Ticket = std::uint64_t;
  using DiskChange = idempotency::VotingMember::DiskChange;

  // Opens the folder of the voting member of that name, and makes this start durable in it, under the present
  // voter list, the last one. `draw` is the random part of the start's number. Throws UnusableFolder,
  // RejectedVoterList.
  Store(const std::string& folder, const std::string& voter, std::uint64_t draw,
        const std::vector<idempotency::VoterList>& lists);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  // What is queued is written first, if the disk lets it.
  ~Store();

  const idempotency::StoredState& storedState() const { return state_; }
  // For the voting member, which holds it from then on: nothing of it is left here.
  idempotency::StoredState takeStoredState() { return std::exchange(state_, {}); }
  // Where a damaged file was moved to, and its damage; empty: there was none.
  const std::string& setAside() const { return setAside_; }

  // Readable when takeCompleted() has something to return.
  int descriptor() const { return descriptor_; }
  // Changes go to disk in the order in which they were queued. One ticket for all of them.
  Ticket write(std::vector<DiskChange> changes);
  // `durable`: these changes and all that were queued before are. Else the disk failed: they may be or not;
  // they stay queued and are tried again, but nobody is notified a second time.
  struct CompletedWrite {
    Ticket ticket;
    bool durable;
  };
  std::vector<CompletedWrite> takeCompleted();
  StoreStatistics statistics() const;

 private:
  struct QueuedWrite {
    Ticket ticket;
    std::vector<DiskChange> changes;
    bool isNotified = false;  // its completion was reported, by a commit that failed
  };

  // Opening, before the thread starts.
  void openOrSetAside(const std::string& path);
  void recordStart(std::uint64_t draw, const std::vector<idempotency::VoterList>& lists);

  // The thread.
  void run();
  // Waits for work, or after a failure for a while, and moves the queue to the end of `group`. False: the
  // store ends, and nothing is to be tried any more.
  bool collect(std::vector<QueuedWrite>& group, bool lastFailed);
  // True: the group is durable.
  bool commit(const std::vector<QueuedWrite>& group);
  void report(std::vector<QueuedWrite>& group, bool isDurable, Duration commitDuration);
  void wakeOwner() const;

  const std::string folder_, voter_;
  std::string setAside_;
  idempotency::StoredState state_;
  std::unique_ptr<Database> database_;  // the thread's, once it runs; null while the disk fails
  int descriptor_ = -1;

  mutable std::mutex mutex_;  // guards all below but the thread itself
  std::condition_variable workQueued_;
  std::vector<QueuedWrite> queue_;
  std::vector<CompletedWrite> completed_;
  StoreStatistics statistics_;
  std::chrono::steady_clock::time_point lastDurable_ = std::chrono::steady_clock::now();
  Ticket lastTicket_ = 0;
  bool isStopping_ = false;
  std::thread thread_;
};

// --- For operators, with no router on the folder.

// An empty store of a voting member that never was: its votes count at once. Throws UnusableFolder, also
// where there is a store already.
void create(const std::string& folder, const std::string& voter);

// What a folder holds.
struct Contents {
  std::string keeper;  // the voting member whose store it is
  idempotency::StoredState kept;
  std::string damage;  // empty: none
};
// Changes nothing. Throws UnusableFolder.
Contents read(const std::string& folder);

}  // namespace gulltrestle::store
