#include "store/store.h"

#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>

#include "store/database.h"

namespace gulltrestle::store {

namespace {

using Clock = std::chrono::steady_clock;

// How long a disk that failed is left alone: what is queued meanwhile is reported as not durable.
constexpr auto kPauseAfterFailure = std::chrono::milliseconds(500);
// Damaged files that may stand beside the present one, before an operator has to remove some.
constexpr int kMaxSetAside = 999;

std::string fileIn(const std::string& folder) { return folder + "/claims.db"; }

bool exists(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0;
}

bool isFolder(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 && S_ISDIR(status.st_mode);
}

// In bytes; 0 where there is no such file.
std::uint64_t sizeOf(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? static_cast<std::uint64_t>(status.st_size) : 0;
}

Duration since(Clock::time_point began) {
  const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began);
  return Duration::micros(passed.count());
}

// The damaged file and its journal go out of the way, under a name that is free.
std::string moveAside(const std::string& path) {
  for (int n = 1; n <= kMaxSetAside; ++n) {
    const std::string aside = path + ".damaged" + std::to_string(n);
    if (exists(aside)) continue;
    if (std::rename(path.c_str(), aside.c_str()) != 0) break;
    std::rename((path + "-journal").c_str(), (aside + "-journal").c_str());
    return aside;
  }
  throw UnusableFolder(path + " is damaged and can't be moved aside");
}

}  // namespace

Store::Store(const std::string& folder, const std::string& voter, std::uint64_t draw,
             const std::vector<idempotency::VoterList>& lists)
    : folder_(folder), voter_(voter) {
  if (!isFolder(folder)) throw UnusableFolder(folder + " is no folder");
  const std::string path = fileIn(folder);
  try {
    openOrSetAside(path);
    if (database_->voter() != voter)
      throw UnusableFolder(path + " is the store of the keeper '" + database_->voter() + "'");
    recordStart(draw, lists);
  } catch (const UnusableFolder&) { throw; } catch (const RejectedVoterList&) {
    throw;
  } catch (const std::exception& error) { throw UnusableFolder(path + ": " + error.what()); }
  descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor_ < 0) throw UnusableFolder(std::string("eventfd: ") + std::strerror(errno));
  thread_ = std::thread([this] { run(); });
}

// A damaged file is set aside; the second attempt begins an empty one.
void Store::openOrSetAside(const std::string& path) {
  constexpr int kAttempts = 2;
  for (int attempt = 1; attempt <= kAttempts; ++attempt) {
    try {
      database_ = std::make_unique<Database>(path, Database::OpenMode::writing);
      if (database_->isNew()) database_->begin(voter_, false);
      state_ = database_->load();
      return;
    } catch (const CorruptDatabase& damage) {
      database_.reset();
      if (attempt == kAttempts) throw UnusableFolder(path + ": " + damage.what());
      setAside_ = moveAside(path) + " (" + damage.what() + ")";
    }
  }
}

// Makes this start durable, with the voter lists that it serves under, and whether earlier votes still count.
void Store::recordStart(std::uint64_t draw, const std::vector<idempotency::VoterList>& lists) {
  const idempotency::VoterIncarnation start{state_.own.empty() ? 1 : state_.own.back().number + 1, draw};
  const idempotency::VoterListTransition transition = idempotency::transitionTo(state_.lists, lists, voter_);
  if (!transition.rejectReason.empty()) throw RejectedVoterList(transition.rejectReason);
  std::vector<DiskChange> changes(1);
  changes[0].kind = DiskChange::Kind::start;
  changes[0].start = start;
  if (transition.changed) {
    DiskChange& change = changes.emplace_back();
    change.kind = DiskChange::Kind::lists;
    change.lists = transition.lists;
  }
  if (!transition.diskCounts) {
    state_.isComplete = false;
    state_.newSince = start.number;
    DiskChange& change = changes.emplace_back();
    change.kind = DiskChange::Kind::voting;
    change.start = start;
  }
  database_->commit({&changes});
  state_.lists = transition.lists;
  state_.own.push_back(start);
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  workQueued_.notify_all();
  thread_.join();
  ::close(descriptor_);
}

Store::Ticket Store::write(std::vector<DiskChange> changes) {
  const std::lock_guard lock(mutex_);
  statistics_.queued += changes.size();
  queue_.push_back({++lastTicket_, std::move(changes)});
  workQueued_.notify_all();
  return lastTicket_;
}

std::vector<Store::CompletedWrite> Store::takeCompleted() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto size = ::read(descriptor_, &count, sizeof count);
  const std::lock_guard lock(mutex_);
  return std::exchange(completed_, {});
}

StoreStatistics Store::statistics() const {
  const std::lock_guard lock(mutex_);
  StoreStatistics statistics = statistics_;
  statistics.durableAgo = since(lastDurable_);
  return statistics;
}

// What is queued while one group is written makes up the next.
void Store::run() {
  std::vector<QueuedWrite> group;  // what is being written, with what failed before
  bool lastFailed = false;
  while (collect(group, lastFailed)) {
    const auto began = Clock::now();
    lastFailed = !commit(group);
    report(group, !lastFailed, since(began));
    if (!lastFailed) group.clear();
    wakeOwner();
  }
}

bool Store::collect(std::vector<QueuedWrite>& group, bool lastFailed) {
  std::unique_lock lock(mutex_);
  if (lastFailed)
    workQueued_.wait_for(lock, kPauseAfterFailure, [&] { return isStopping_; });
  else
    workQueued_.wait(lock, [&] { return isStopping_ || !queue_.empty(); });
  for (QueuedWrite& queued : queue_) group.push_back(std::move(queued));
  queue_.clear();
  return !isStopping_ || (!group.empty() && !lastFailed);
}

// A commit that failed leaves the connection with pages of its own that may or may not be on disk: it is
// given up, and the file is read anew, as a sync that "succeeds" after one that failed proves nothing.
bool Store::commit(const std::vector<QueuedWrite>& group) {
  std::string fault;
  try {
    if (!database_) {
      auto reopened = std::make_unique<Database>(fileIn(folder_), Database::OpenMode::writing);
      if (reopened->isNew()) throw DiskError("the file is gone");
      reopened->load();
      database_ = std::move(reopened);
    }
    std::vector<const std::vector<DiskChange>*> changes;
    for (const QueuedWrite& queued : group) changes.push_back(&queued.changes);
    database_->commit(changes);
    return true;
  } catch (const std::exception& error) { fault = error.what(); }
  database_.reset();
  const std::lock_guard lock(mutex_);
  statistics_.fault = fault;
  return false;
}

void Store::report(std::vector<QueuedWrite>& group, bool isDurable, Duration commitDuration) {
  const std::uint64_t bytes = sizeOf(fileIn(folder_));
  const std::lock_guard lock(mutex_);
  statistics_.longest = std::max(statistics_.longest, commitDuration);
  statistics_.bytes = bytes;
  for (QueuedWrite& queued : group)
    if (!std::exchange(queued.isNotified, true)) completed_.push_back({queued.ticket, isDurable});
  if (!isDurable) {
    ++statistics_.failures;
    return;
  }
  ++statistics_.commits;
  for (const QueuedWrite& queued : group) {
    statistics_.queued -= queued.changes.size();
    statistics_.changes += queued.changes.size();
  }
  statistics_.fault.clear();
  lastDurable_ = Clock::now();
}

void Store::wakeOwner() const {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto size = ::write(descriptor_, &one, sizeof one);
}

void create(const std::string& folder, const std::string& voter) {
  if (exists(fileIn(folder))) throw UnusableFolder(fileIn(folder) + " is there already");
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
    throw UnusableFolder(folder + ": " + std::strerror(errno));
  try {
    Database(fileIn(folder), Database::OpenMode::writing).begin(voter, true);
  } catch (const std::exception& error) { throw UnusableFolder(fileIn(folder) + ": " + error.what()); }
}

Contents read(const std::string& folder) {
  Contents contents;
  const std::string path = fileIn(folder);
  if (!exists(path)) throw UnusableFolder(path + " is not there");
  try {
    Database database(path, Database::OpenMode::reading);
    contents.keeper = database.voter();
    contents.kept = database.load();
  } catch (const CorruptDatabase& damage) {
    contents.damage = damage.what();
  } catch (const std::exception& error) { throw UnusableFolder(path + ": " + error.what()); }
  return contents;
}

}  // namespace gulltrestle::store
