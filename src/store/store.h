// Kind a keeper's disk holds: votes, its own starts and those of others it was told, in an SQLite database of
// one file in a folder of its own. A thread writes what is queued, in groups, and tells when it is durable.
//
// Each row has a checksum, and the database one over all rows: a file that was cut, of which a byte was
// flipped, or that another program wrote to is noticed when it is opened. It is then set aside under another
// name and an empty one begun, which is not whole: the keeper is silent for the time of retention.
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

// The folder can't be used at all: why, in words for an operator.
class UnusableFolder : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class RejectedVoterList : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct StoreStatistics {
  std::uint64_t commits = 0, changes = 0, failures = 0;
  std::size_t queued = 0;   // changes that are not durable yet
  Duration longest;         // the longest commit
  Duration durableAgo;      // since the last commit that did not fail, or the start
  std::uint64_t bytes = 0;  // of the file, as it was last looked at
  std::string fault;        // of the last commit, if it failed
};

class Database;

class Store {
 public:
  using Ticket = std::uint64_t;

  // Opens the folder of the keeper of that name, and makes this start durable in it, under the present list
  // of keepers, the last one. Throws Unusable: the folder is not there, another process has it, it is another
  // keeper's or of a newer version; Refused: the lists may not follow what it last served under.
  Store(const std::string& folder, const std::string& keeper, std::uint64_t draw,
        const std::vector<idempotency::VoterList>& lists);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  // Kind is queued is written first, if the disk lets it.
  ~Store();

  const idempotency::StoredState& storedState() const { return kept_; }
  // For the keeper, which holds it from then on: nothing of it is left here.
  idempotency::StoredState takeStoredState() { return std::exchange(kept_, {}); }
  // Kind was found damaged and set aside; empty: nothing was.
  const std::string& setAside() const { return setAside_; }

  // Readable when done() has something to tell.
  int descriptor() const { return descriptor_; }
  // Changes go to disk in the order in which they were queued. One ticket for all of them.
  Ticket write(std::vector<idempotency::VotingMember::DiskChange> changes);
  // `durable`: these changes and all that were queued before are. Else the disk failed: they may be or not;
  // they stay queued and are tried again, but nobody is told.
  struct CompletedWrite {
    Ticket ticket;
    bool durable;
  };
  std::vector<CompletedWrite> takeCompleted();
  StoreStatistics statistics() const;

 private:
  struct QueuedWrite {
    Ticket ticket;
    std::vector<idempotency::VotingMember::DiskChange> changes;
    bool told = false;
  };
  void run();
  bool commit(const std::vector<QueuedWrite>& group);

  std::string folder_, keeper_, setAside_;
  idempotency::StoredState kept_;
  std::unique_ptr<Database> database_;  // the thread's, once it runs; null while the disk fails
  int descriptor_ = -1;
  mutable std::mutex mutex_;
  std::condition_variable wanted_;
  std::vector<QueuedWrite> queue_;
  std::vector<CompletedWrite> done_;
  StoreStatistics figures_;
  std::chrono::steady_clock::time_point durableAt_ = std::chrono::steady_clock::now();
  Ticket last_ = 0;
  bool ending_ = false;
  std::thread thread_;
};

// For operators, with no router on the folder. Each throws Unusable.
// An empty store of a keeper that never was: its votes count at once. Refused where there is one already.
void create(const std::string& folder, const std::string& keeper);
struct Contents {
  std::string keeper;
  idempotency::StoredState kept;
  std::string damage;  // empty: none
};
// Changes nothing.
Contents read(const std::string& folder);

}  // namespace gulltrestle::store
