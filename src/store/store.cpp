#include "store/store.h"

#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>

#include "store/database.h"

namespace gulltrestle::store {

namespace {

using Clock = std::chrono::steady_clock;

// How long a disk that failed is left alone: what is queued meanwhile is told as not durable.
constexpr auto kRest = std::chrono::milliseconds(500);
std::string fileIn(const std::string& folder) { return folder + "/claims.db"; }

bool exists(const std::string& path) {
  struct stat found {};
  return ::stat(path.c_str(), &found) == 0;
}

// The damaged file and its journal go out of the way, under a name that is free.
std::string moveAside(const std::string& path) {
  for (int n = 1; n < 1000; ++n) {
    const std::string aside = path + ".damaged" + std::to_string(n);
    if (exists(aside)) continue;
    if (std::rename(path.c_str(), aside.c_str()) != 0) break;
    std::rename((path + "-journal").c_str(), (aside + "-journal").c_str());
    return aside;
  }
  throw UnusableFolder(path + " is damaged and can't be moved aside");
}

}  // namespace

Store::Store(const std::string& folder, const std::string& keeper, std::uint64_t draw,
             const std::vector<idempotency::VoterList>& lists)
    : folder_(folder), keeper_(keeper) {
  const std::string path = fileIn(folder);
  struct stat found {};
  if (::stat(folder.c_str(), &found) != 0 || !S_ISDIR(found.st_mode))
    throw UnusableFolder(folder + " is no folder");
  try {
    // A second time with an empty file, after a damaged one.
    for (int n = 0; n < 2; ++n) try {
        database_ = std::make_unique<Database>(path, Database::OpenMode::writing);
        if (database_->isNew()) database_->begin(keeper, false);
        kept_ = database_->load();
        break;
      } catch (const CorruptDatabase& bad) {
        database_.reset();
        if (n > 0) throw UnusableFolder(path + ": " + bad.what());
        setAside_ = moveAside(path) + " (" + bad.what() + ")";
      }
    if (database_->voter() != keeper)
      throw UnusableFolder(path + " is the store of the keeper '" + database_->voter() + "'");
    const idempotency::VoterIncarnation start{kept_.own.empty() ? 1 : kept_.own.back().number + 1, draw};
    using DiskChange = idempotency::VotingMember::DiskChange;
    std::vector<DiskChange> changes(1);
    changes[0].kind = DiskChange::Kind::start;
    changes[0].start = start;
    const idempotency::VoterListTransition moved = idempotency::transitionTo(kept_.lists, lists, keeper);
    if (!moved.rejectReason.empty()) throw RejectedVoterList(moved.rejectReason);
    if (moved.changed) {
      changes.emplace_back();
      changes.back().kind = DiskChange::Kind::lists;
      changes.back().lists = moved.lists;
    }
    if (!moved.diskCounts) {
      kept_.isComplete = false;
      kept_.newSince = start.number;
      changes.emplace_back();
      changes.back().kind = DiskChange::Kind::voting;
      changes.back().start = start;
    }
    database_->commit({&changes});
    kept_.lists = moved.lists;
    kept_.own.push_back(start);
  } catch (const UnusableFolder&) { throw; } catch (const RejectedVoterList&) {
    throw;
  } catch (const std::exception& bad) { throw UnusableFolder(path + ": " + bad.what()); }
  descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor_ < 0) throw UnusableFolder(std::string("eventfd: ") + std::strerror(errno));
  thread_ = std::thread([this] { run(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wanted_.notify_all();
  thread_.join();
  ::close(descriptor_);
}

Store::Ticket Store::write(std::vector<idempotency::VotingMember::DiskChange> changes) {
  const std::lock_guard lock(mutex_);
  figures_.queued += changes.size();
  queue_.push_back({++last_, std::move(changes)});
  wanted_.notify_all();
  return last_;
}

std::vector<Store::CompletedWrite> Store::takeCompleted() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = ::read(descriptor_, &count, sizeof count);
  const std::lock_guard lock(mutex_);
  return std::exchange(done_, {});
}

StoreStatistics Store::statistics() const {
  const std::lock_guard lock(mutex_);
  StoreStatistics figures = figures_;
  figures.durableAgo = Duration::micros(
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - durableAt_).count());
  return figures;
}

// Its thread. Kind came while one group was written makes up the next.
void Store::run() {
  std::vector<QueuedWrite> group;  // that is being written, with what failed before
  bool failed = false;
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      if (failed)
        wanted_.wait_for(lock, kRest, [&] { return ending_; });
      else
        wanted_.wait(lock, [&] { return ending_ || !queue_.empty(); });
      for (auto& queued : queue_) group.push_back(std::move(queued));
      queue_.clear();
      if (ending_ && (group.empty() || failed)) return;
    }
    const auto began = Clock::now();
    failed = !commit(group);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began).count();
    struct stat file {};
    const auto bytes =
        ::stat(fileIn(folder_).c_str(), &file) == 0 ? static_cast<std::uint64_t>(file.st_size) : 0;
    {
      const std::lock_guard lock(mutex_);
      figures_.longest = std::max(figures_.longest, Duration::micros(took));
      for (auto& queued : group) {
        if (!std::exchange(queued.told, true)) done_.push_back({queued.ticket, !failed});
        if (!failed) figures_.queued -= queued.changes.size(), figures_.changes += queued.changes.size();
      }
      ++(failed ? figures_.failures : figures_.commits);
      if (!failed) figures_.fault.clear(), durableAt_ = Clock::now();
      figures_.bytes = bytes;
    }
    if (!failed) group.clear();
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto put = ::write(descriptor_, &one, sizeof one);
  }
}

// A commit that failed leaves the connection with pages of its own that may or may not be on disk: it is
// given up, and the file is read anew, as a sync that "succeeds" after one that failed proves nothing.
bool Store::commit(const std::vector<QueuedWrite>& group) {
  std::string fault;
  try {
    if (!database_) {
      auto anew = std::make_unique<Database>(fileIn(folder_), Database::OpenMode::writing);
      if (anew->isNew()) throw DiskError("the file is gone");
      anew->load();
      database_ = std::move(anew);
    }
    std::vector<const std::vector<idempotency::VotingMember::DiskChange>*> changes;
    for (const auto& queued : group) changes.push_back(&queued.changes);
    database_->commit(changes);
    return true;
  } catch (const std::exception& bad) { fault = bad.what(); }
  database_.reset();
  const std::lock_guard lock(mutex_);
  figures_.fault = fault;
  return false;
}

void create(const std::string& folder, const std::string& keeper) {
  if (exists(fileIn(folder))) throw UnusableFolder(fileIn(folder) + " is there already");
  if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
    throw UnusableFolder(folder + ": " + std::strerror(errno));
  try {
    Database(fileIn(folder), Database::OpenMode::writing).begin(keeper, true);
  } catch (const std::exception& bad) { throw UnusableFolder(fileIn(folder) + ": " + bad.what()); }
}

Contents read(const std::string& folder) {
  Contents contents;
  const std::string path = fileIn(folder);
  if (!exists(path)) throw UnusableFolder(path + " is not there");
  try {
    Database database(path, Database::OpenMode::reading);
    contents.keeper = database.voter();
    contents.kept = database.load();
  } catch (const CorruptDatabase& bad) { contents.damage = bad.what(); } catch (const std::exception& bad) {
    throw UnusableFolder(path + ": " + bad.what());
  }
  return contents;
}

}  // namespace gulltrestle::store
