// A voting member's folder. It holds the member's state (idempotency/stored_state.h) in a single-file SQLite
// database. A writer thread commits queued changes in groups, one transaction per group, and notifies the
// owner when they are durable.
//
// Each row has a checksum, and the database has a digest over all rows. A file that was truncated, that has a
// flipped bit or that another program wrote to is detected when it is opened. It is then renamed, and an
// empty database is created that is marked as incomplete: the voting member abstains for the retention time.
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

// Statistics of a store, for status documents and alerts.
struct StoreStatistics {
  std::uint64_t commits = 0, failedCommits = 0;
  std::uint64_t durableChanges = 0;
  std::size_t queuedChanges = 0;  // not durable yet
  Duration longestCommit;
  Duration sinceLastCommit;     // since the last successful commit, or since the start
  std::uint64_t fileBytes = 0;  // as of the last commit
  std::string lastError;        // error of the last commit; empty if it succeeded
};

class Database;

// The store of a voting member while its process runs. Public functions must be called by the owner's thread,
// whose event loop watches descriptor() and calls takeCompleted().
class Store {
 public:
  using WriteId = std::uint64_t;
  using DiskChange = idempotency::DiskChange;

  // Opens the folder of the voting member `voter` and makes this start durable in it, with the last of
  // `lists` as the current voter list. `draw` is the draw of this start's incarnation. Throws UnusableFolder,
  // RejectedVoterList.
  Store(const std::string& folder, const std::string& voter, std::uint64_t draw,
        const std::vector<idempotency::VoterList>& lists);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  // Commits the queued writes first, unless the disk fails.
  ~Store();

  const idempotency::StoredState& storedState() const { return state_; }
  // Moves the stored state out; storedState() is empty afterwards.
  idempotency::StoredState takeStoredState() { return std::exchange(state_, {}); }
  // For operators: the new path of a damaged file and its damage; empty if no file was damaged.
  const std::string& damagedFile() const { return damagedFile_; }

  // Readable when takeCompleted() has something to return.
  int descriptor() const { return descriptor_; }
  // Queues changes; they are written in the order in which they were queued. Returns one id for all of them,
  // greater than all earlier ids.
  WriteId write(std::vector<DiskChange> changes);
  // The result of a write. `isDurable`: its changes and all changes queued before them are durable. Otherwise
  // the disk failed and its changes may or may not be durable; they stay queued and are retried, but the
  // result of the retry is not reported.
  struct CompletedWrite {
    WriteId id;
    bool isDurable;
  };
  // The writes completed since the last call, in the order in which they were queued.
  [[nodiscard]] std::vector<CompletedWrite> takeCompleted();
  StoreStatistics statistics() const;

 private:
  struct QueuedWrite {
    WriteId id;
    std::vector<DiskChange> changes;
    bool isReported = false;  // whether a failed commit was already reported as its result
  };

  // Called by the constructor, before the thread starts.
  void openOrSetAside(const std::string& path);
  void recordStart(std::uint64_t draw, const std::vector<idempotency::VoterList>& lists);

  // Called by the writer thread.
  void run();
  // Waits for a write, or for the retry delay after a failed commit, and appends the queue to `group`. False:
  // the store is stopping and there is nothing more to commit.
  bool collect(std::vector<QueuedWrite>& group, bool lastCommitFailed);
  // Reopens the file first if the last commit failed. True: the group is durable.
  bool commit(const std::vector<QueuedWrite>& group);
  void report(std::vector<QueuedWrite>& group, bool isDurable, Duration commitDuration);
  void wakeOwner() const;

  const std::string folder_, voter_;
  std::string damagedFile_;
  idempotency::StoredState state_;
  std::unique_ptr<Database> database_;  // once the thread runs, used by it only; null after a failed commit
  int descriptor_ = -1;

  mutable std::mutex mutex_;  // guards all members below except thread_
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

// Creates the empty store of a new voting member, whose votes count immediately. Throws UnusableFolder, also
// if the folder already has a store.
void create(const std::string& folder, const std::string& voter);

// The contents of a folder.
struct FolderContents {
  std::string voter;  // the voting member that the store belongs to
  idempotency::StoredState state;
  std::optional<std::string> damage;  // if set, the other members are not valid
};
// Reads a folder without changing it. Throws UnusableFolder.
[[nodiscard]] FolderContents read(const std::string& folder);

}  // namespace gulltrestle::store
