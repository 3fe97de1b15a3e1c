#include "store/store.h"

#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <variant>

#include "store/database.h"

namespace gulltrestle::store {

namespace {

using Clock = std::chrono::steady_clock;

// Delay before a failed commit is retried. Changes that are queued in the meantime wait for the retry.
constexpr auto kCommitRetryDelay = std::chrono::milliseconds(500);
// Maximum number of damaged files kept in a folder. Beyond it an operator has to remove some.
constexpr int kMaxDamagedFiles = 999;

std::string databasePath(const std::string& folder) { return folder + "/claims.db"; }

bool exists(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0;
}

bool isFolder(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 && S_ISDIR(status.st_mode);
}

// The size in bytes; 0 if the file does not exist.
std::uint64_t sizeOf(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? static_cast<std::uint64_t>(status.st_size) : 0;
}

Duration elapsedSince(Clock::time_point startTime) {
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - startTime);
  return Duration::micros(elapsed.count());
}

// Renames the damaged file and its journal to an unused name. Returns the new path of the file.
std::string moveAside(const std::string& path) {
  for (int n = 1; n <= kMaxDamagedFiles; ++n) {
    const std::string asidePath = path + ".damaged" + std::to_string(n);
    if (exists(asidePath)) continue;
    if (std::rename(path.c_str(), asidePath.c_str()) != 0) break;
    std::rename((path + "-journal").c_str(), (asidePath + "-journal").c_str());
    return asidePath;
  }
  throw UnusableFolder(path + " is damaged and can't be moved aside", path);
}

}  // namespace

Store::Store(const std::string& folder, const std::string& voter, std::uint64_t draw,
             const std::vector<idempotency::VoterList>& lists)
    : folder_(folder), voter_(voter) {
  if (!isFolder(folder)) throw UnusableFolder(folder + " is not a folder", folder);
  const std::string path = databasePath(folder);
  try {
    openOrSetAside(path);
    if (database_->voter() != voter)
      throw UnusableFolder(path + " belongs to the voting member '" + database_->voter() + "'", folder);
    recordStart(draw, lists);
  } catch (const UnusableFolder&) { throw; } catch (const RejectedVoterList&) {
    throw;
  } catch (const std::exception& error) { throw UnusableFolder(path + ": " + error.what(), folder); }
  descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor_ < 0) throw UnusableFolder(std::string("eventfd: ") + std::strerror(errno), folder);
  thread_ = std::thread([this] { run(); });
}

// Sets a damaged file aside; the second attempt then creates an empty one.
void Store::openOrSetAside(const std::string& path) {
  constexpr int kAttempts = 2;
  for (int attempt = 1; attempt <= kAttempts; ++attempt) {
    try {
      database_ = std::make_unique<Database>(path, Database::OpenMode::writing);
      if (database_->isNew()) database_->initialize(voter_, {.isComplete = false, .minValidStart = 0});
      state_ = database_->load();
      return;
    } catch (const CorruptDatabase& damage) {
      database_.reset();
      if (attempt == kAttempts) throw UnusableFolder(path + ": " + damage.what(), folder_);
      damagedFile_ = moveAside(path) + " (" + damage.what() + ")";
    }
  }
}

// Makes this start durable, together with its voter lists and whether earlier votes still count.
void Store::recordStart(std::uint64_t draw, const std::vector<idempotency::VoterList>& lists) {
  const std::uint64_t previousNumber = state_.ownStarts.empty() ? 0 : state_.ownStarts.back().number;
  const idempotency::VoterIncarnation start{.number = previousNumber + 1, .draw = draw};
  const auto decision = idempotency::transitionTo(state_.voterLists, lists, voter_);
  if (const auto* rejection = std::get_if<idempotency::VoterListRejection>(&decision))
    throw RejectedVoterList(rejection->reason, folder_);
  const auto& transition = std::get<idempotency::VoterListTransition>(decision);
  std::vector<DiskChange> changes{idempotency::VoterStartRecord{.voter = {}, .incarnation = start}};
  if (transition.hasChanged) changes.emplace_back(transition.lists);
  if (!transition.isDiskTrusted) {
    state_.isComplete = false;
    state_.minValidStart = start.number;
    changes.emplace_back(idempotency::VotingRecord{.isComplete = false, .minValidStart = start.number});
  }
  database_->commit({&changes});
  state_.voterLists = transition.lists;
  state_.ownStarts.push_back(start);
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  writeQueued_.notify_all();
  thread_.join();
  ::close(descriptor_);
}

Store::WriteId Store::write(std::vector<DiskChange> changes) {
  const std::lock_guard lock(mutex_);
  statistics_.queuedChanges += changes.size();
  queue_.push_back({.id = ++lastWriteId_, .changes = std::move(changes)});
  writeQueued_.notify_all();
  return lastWriteId_;
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
  statistics.sinceLastCommit = elapsedSince(lastDurable_);
  return statistics;
}

// Changes that are queued while a group is committed form the next group.
void Store::run() {
  std::vector<QueuedWrite> group;  // the writes of this commit, with those of failed commits before it
  bool lastCommitFailed = false;
  while (collect(group, lastCommitFailed)) {
    const auto startTime = Clock::now();
    lastCommitFailed = !commit(group);
    report(group, !lastCommitFailed, elapsedSince(startTime));
    if (!lastCommitFailed) group.clear();
    wakeOwner();
  }
}

bool Store::collect(std::vector<QueuedWrite>& group, bool lastCommitFailed) {
  std::unique_lock lock(mutex_);
  if (lastCommitFailed)
    writeQueued_.wait_for(lock, kCommitRetryDelay, [&] { return isStopping_; });
  else
    writeQueued_.wait(lock, [&] { return isStopping_ || !queue_.empty(); });
  for (QueuedWrite& queued : queue_) group.push_back(std::move(queued));
  queue_.clear();
  return !isStopping_ || (!group.empty() && !lastCommitFailed);
}

// After a failed commit it is unknown which pages are on disk, and a sync that succeeds after one that failed
// proves nothing. The connection is therefore closed, and the file is opened and read again.
bool Store::commit(const std::vector<QueuedWrite>& group) {
  std::string fault;
  try {
    if (!database_) {
      auto reopened = std::make_unique<Database>(databasePath(folder_), Database::OpenMode::writing);
      if (reopened->isNew()) throw DiskError("the file is missing", databasePath(folder_));
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
  statistics_.lastError = fault;
  return false;
}

void Store::report(std::vector<QueuedWrite>& group, bool isDurable, Duration commitDuration) {
  const std::uint64_t fileBytes = sizeOf(databasePath(folder_));
  const std::lock_guard lock(mutex_);
  statistics_.longestCommit = std::max(statistics_.longestCommit, commitDuration);
  statistics_.fileBytes = fileBytes;
  for (QueuedWrite& queued : group)
    if (!std::exchange(queued.isReported, true))
      completed_.push_back({.id = queued.id, .isDurable = isDurable});
  if (!isDurable) {
    ++statistics_.failedCommits;
    return;
  }
  ++statistics_.commits;
  for (const QueuedWrite& queued : group) {
    statistics_.queuedChanges -= queued.changes.size();
    statistics_.durableChanges += queued.changes.size();
  }
  statistics_.lastError.clear();
  lastDurable_ = Clock::now();
}

void Store::wakeOwner() const {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto size = ::write(descriptor_, &one, sizeof one);
}

void create(const std::string& folder, const std::string& voter) {
  if (exists(databasePath(folder))) throw UnusableFolder(databasePath(folder) + " already exists", folder);
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
    throw UnusableFolder(folder + ": " + std::strerror(errno), folder);
  try {
    Database(databasePath(folder), Database::OpenMode::writing)
        .initialize(voter, {.isComplete = true, .minValidStart = 0});
  } catch (const std::exception& error) {
    throw UnusableFolder(databasePath(folder) + ": " + error.what(), folder);
  }
}

FolderContents read(const std::string& folder) {
  FolderContents contents;
  const std::string path = databasePath(folder);
  if (!exists(path)) throw UnusableFolder(path + " does not exist", folder);
  try {
    Database database(path, Database::OpenMode::reading);
    contents.voter = database.voter();
    contents.state = database.load();
  } catch (const CorruptDatabase& damage) {
    contents.damage = damage.what();
  } catch (const std::exception& error) { throw UnusableFolder(path + ": " + error.what(), folder); }
  return contents;
}

}  // namespace gulltrestle::store
