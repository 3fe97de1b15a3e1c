// A voting member's folder, with its state (idempotency/stored_state.h) in an SQLite database of one file. A
// thread writes queued changes in groups, one transaction each, and notifies the owner when they are durable.
//
// Each row has a checksum, and the database one over all rows: a file that was truncated, of which a bit was
// flipped, or that another program wrote to is noticed when it is opened. It is then set aside under another
// name and an empty one created, which is not complete: the voting member abstains for the time of retention.
// Errors are those of store/errors.h.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/time.h"
#include "idempotency/stored_state.h"
#include "idempotency/voter_lists.h"
#include "store/errors.h"

namespace gulltrestle::store {

// For status documents and alerts.
struct StoreStatistics {
  std::uint64_t commits = 0, failedCommits = 0;
  std::uint64_t durableChanges = 0;
  std::size_t queuedChanges = 0;  // not durable yet
  Duration longestCommit;
  Duration sinceLastCommit;     // that did not fail, or since the start
  std::uint64_t fileBytes = 0;  // when it was last looked at, after a commit
  std::string lastFault;        // of the last commit; empty: it did not fail
};

class Database;

// The store of one voting member, for as long as its process runs. Public functions are called by the owner's
// thread; its event loop watches descriptor() and calls takeCompleted().
class Store {
 public:
  using WriteId = std::uint64_t;
  using DiskChange = idempotency::DiskChange;

  // Opens the folder of the voting member of that name, and makes this start durable in it, under the last of
  // the voter lists. `draw`: of this start's incarnation. Throws UnusableFolder, RejectedVoterList.
  Store(const std::string& folder, const std::string& voter, std::uint64_t draw,
        const std::vector<idempotency::VoterList>& lists);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  // Writes the queue first, unless the disk fails.
  ~Store();

  const idempotency::StoredState& storedState() const { return state_; }
  // Moves it out to the voting member, and leaves none here.
  idempotency::StoredState takeStoredState() { return std::exchange(state_, {}); }
  // For an operator: where a damaged file was moved to, and its damage; empty: there was none.
  const std::string& setAside() const { return setAside_; }

  // Readable when takeCompleted() has something to return.
  int descriptor() const { return descriptor_; }
  // Changes go to disk in the order in which they were queued. One id for all of them, above earlier ones.
  WriteId write(std::vector<DiskChange> changes);
  // The end of a write. `isDurable`: its changes are, and all that were queued before. Else the disk failed:
  // they may be or not; they stay queued and are tried again, but their end is not reported a second time.
  struct CompletedWrite {
    WriteId id;
    bool isDurable;
  };
  // Since the last call, in the order in which they were queued.
  [[nodiscard]] std::vector<CompletedWrite> takeCompleted();
  StoreStatistics statistics() const;

 private:
  struct QueuedWrite {
    WriteId id;
    std::vector<DiskChange> changes;
    bool isReported = false;  // as completed, by a commit that failed
  };

  // Opening, before the thread starts.
  void openOrSetAside(const std::string& path);
  void recordStart(std::uint64_t draw, const std::vector<idempotency::VoterList>& lists);

  // The thread.
  void run();
  // Waits for a write, or for a pause after a failure, and moves the queue to the end of `group`. False: the
  // store ends, and there is nothing more to commit.
  bool collect(std::vector<QueuedWrite>& group, bool lastCommitFailed);
  // Opens the file once more where the last commit failed. True: the group is durable.
  bool commit(const std::vector<QueuedWrite>& group);
  void report(std::vector<QueuedWrite>& group, bool isDurable, Duration commitDuration);
  void wakeOwner() const;

  const std::string folder_, voter_;
  std::string setAside_;
  idempotency::StoredState state_;
  std::unique_ptr<Database> database_;  // used by the thread alone, once it runs; null after a failed commit
  int descriptor_ = -1;

  mutable std::mutex mutex_;  // guards all below but the thread itself
  std::condition_variable writeQueued_;
  std::vector<QueuedWrite> queue_;
  std::vector<CompletedWrite> completed_;
  StoreStatistics statistics_;
  std::chrono::steady_clock::time_point lastDurable_ = std::chrono::steady_clock::now();
  WriteId lastWriteId_ = 0;
  bool isStopping_ = false;
  std::thread thread_;
};

// --- For operators, while no router uses the folder

// Creates the empty store of a new voting member, whose votes count at once. Throws UnusableFolder, also
// where there is a store already.
void create(const std::string& folder, const std::string& voter);

// What a folder holds.
struct FolderContents {
  std::string voter;  // the voting member whose store it is
  idempotency::StoredState state;
  std::optional<std::string> damage;  // where there is some, nothing else counts
};
// Changes nothing. Throws UnusableFolder.
[[nodiscard]] FolderContents read(const std::string& folder);

}  // namespace gulltrestle::store
