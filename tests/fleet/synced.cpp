// Linked into the gulltrestle program that the test fleet starts, which is otherwise unchanged. For each
// SQLite file a copy of its synced content is kept in FILE.synced, from which the test fleet simulates a
// power loss: it discards writes that were not synced. Killing the process alone would leave them in the page
// cache.
#include <sqlite3.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

namespace {

sqlite3_vfs* defaultVfs = nullptr;

struct SyncedFile {
  sqlite3_file base;
  char path[512];
  sqlite3_file* wrapped() { return reinterpret_cast<sqlite3_file*>(this + 1); }
};
SyncedFile& syncedFile(sqlite3_file* f) { return *reinterpret_cast<SyncedFile*>(f); }

int sync(sqlite3_file* f, int) {
  // Injected fault: the disk reports a sync that it has not done.
  if (std::getenv("TEST_FLEET_LYING_DISK")) return SQLITE_OK;
  SyncedFile& file = syncedFile(f);
  const std::string temporaryPath = std::string(file.path) + ".syncing";
  {
    std::ifstream from(file.path, std::ios::binary);
    std::ofstream to(temporaryPath, std::ios::binary | std::ios::trunc);
    to << from.rdbuf();
    if (from.peek() == std::ifstream::traits_type::eof()) to.clear();
  }
  return std::rename(temporaryPath.c_str(), (std::string(file.path) + ".synced").c_str()) == 0
             ? SQLITE_OK
             : SQLITE_IOERR_FSYNC;
}

int open(sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
  static sqlite3_io_methods methods = [] {
    sqlite3_io_methods m{};
    m.iVersion = 1;
    m.xClose = [](sqlite3_file* x) {
      return syncedFile(x).wrapped()->pMethods->xClose(syncedFile(x).wrapped());
    };
    m.xRead = [](sqlite3_file* x, void* buffer, int n, sqlite3_int64 offset) {
      return syncedFile(x).wrapped()->pMethods->xRead(syncedFile(x).wrapped(), buffer, n, offset);
    };
    m.xWrite = [](sqlite3_file* x, const void* data, int n, sqlite3_int64 offset) {
      return syncedFile(x).wrapped()->pMethods->xWrite(syncedFile(x).wrapped(), data, n, offset);
    };
    m.xTruncate = [](sqlite3_file* x, sqlite3_int64 n) {
      return syncedFile(x).wrapped()->pMethods->xTruncate(syncedFile(x).wrapped(), n);
    };
    m.xSync = sync;
    m.xFileSize = [](sqlite3_file* x, sqlite3_int64* n) {
      return syncedFile(x).wrapped()->pMethods->xFileSize(syncedFile(x).wrapped(), n);
    };
    m.xLock = [](sqlite3_file* x, int level) {
      return syncedFile(x).wrapped()->pMethods->xLock(syncedFile(x).wrapped(), level);
    };
    m.xUnlock = [](sqlite3_file* x, int level) {
      return syncedFile(x).wrapped()->pMethods->xUnlock(syncedFile(x).wrapped(), level);
    };
    m.xCheckReservedLock = [](sqlite3_file* x, int* n) {
      return syncedFile(x).wrapped()->pMethods->xCheckReservedLock(syncedFile(x).wrapped(), n);
    };
    m.xFileControl = [](sqlite3_file* x, int operation, void* argument) {
      return syncedFile(x).wrapped()->pMethods->xFileControl(syncedFile(x).wrapped(), operation, argument);
    };
    m.xSectorSize = [](sqlite3_file*) { return 512; };
    m.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
    return m;
  }();
  f->pMethods = nullptr;
  std::snprintf(syncedFile(f).path, sizeof syncedFile(f).path, "%s", name ? name : "");
  const int code = defaultVfs->xOpen(defaultVfs, name, syncedFile(f).wrapped(), flags, out);
  if (syncedFile(f).wrapped()->pMethods) f->pMethods = &methods;
  return code;
}

// Offset of this process's wall clock in seconds: the clocks of machines may differ by minutes after a power
// loss. The monotonic clock is not shifted.
const long kClockShiftSeconds = [] {
  const char* shift = std::getenv("TEST_FLEET_CLOCK_SHIFT");
  return shift ? std::strtol(shift, nullptr, 10) : 0;
}();

// Injected fault: once this file exists, the monotonic clock runs kSlowdownFactor times too slowly.
const char* const kClockStallFile = std::getenv("TEST_FLEET_CLOCK_STALL_FILE");
constexpr long long kSlowdownFactor = 100, kNanosPerSecond = 1'000'000'000;
void slowDown(timespec* time) {
  static bool isStalled = false;
  static long long stalledAt = 0;
  const long long now = time->tv_sec * kNanosPerSecond + time->tv_nsec;
  if (!isStalled && ::access(kClockStallFile, F_OK) == 0) isStalled = true, stalledAt = now;
  if (!isStalled) return;
  const long long reported = stalledAt + (now - stalledAt) / kSlowdownFactor;
  time->tv_sec = static_cast<time_t>(reported / kNanosPerSecond);
  time->tv_nsec = static_cast<long>(reported % kNanosPerSecond);
}

struct Install {
  Install() {
    sqlite3_initialize();
    defaultVfs = sqlite3_vfs_find(nullptr);
    static sqlite3_vfs vfs = *defaultVfs;
    vfs.iVersion = 1;
    vfs.zName = "synced";
    vfs.pNext = nullptr;
    vfs.szOsFile = static_cast<int>(sizeof(SyncedFile)) + defaultVfs->szOsFile;
    vfs.xOpen = open;
    sqlite3_vfs_register(&vfs, 1);
  }
} install;

}  // namespace

// Overrides the C library's function for the whole process.
extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  const long code = syscall(SYS_clock_gettime, clock, time);
  if (code == 0 && clock == CLOCK_REALTIME) time->tv_sec += kClockShiftSeconds;
  if (code == 0 && clock != CLOCK_REALTIME && kClockStallFile) slowDown(time);
  return static_cast<int>(code);
}
