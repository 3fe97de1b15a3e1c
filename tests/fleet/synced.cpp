// Linked into the program that the rig starts, which is else the program as it is: SQLite's files keep a copy
// of what of them was synced, FILE.synced, so that the rig can take what was not when power is lost. A kill
// alone would leave it in the page cache.
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

sqlite3_vfs* below = nullptr;

struct File {
  sqlite3_file base;
  char path[512];
  sqlite3_file* under() { return reinterpret_cast<sqlite3_file*>(this + 1); }
};
File& of(sqlite3_file* f) { return *reinterpret_cast<File*>(f); }

int sync(sqlite3_file* f, int) {
  // An injected fault: a disk that says that it synced and did not.
  if (std::getenv("RIG_LYING_DISK")) return SQLITE_OK;
  File& file = of(f);
  const std::string made = std::string(file.path) + ".syncing";
  {
    std::ifstream from(file.path, std::ios::binary);
    std::ofstream to(made, std::ios::binary | std::ios::trunc);
    to << from.rdbuf();
    if (from.peek() == std::ifstream::traits_type::eof()) to.clear();
  }
  return std::rename(made.c_str(), (std::string(file.path) + ".synced").c_str()) == 0 ? SQLITE_OK
                                                                                      : SQLITE_IOERR_FSYNC;
}

int open(sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
  static sqlite3_io_methods methods = [] {
    sqlite3_io_methods m{};
    m.iVersion = 1;
    m.xClose = [](sqlite3_file* x) { return of(x).under()->pMethods->xClose(of(x).under()); };
    m.xRead = [](sqlite3_file* x, void* to, int n, sqlite3_int64 at) {
      return of(x).under()->pMethods->xRead(of(x).under(), to, n, at);
    };
    m.xWrite = [](sqlite3_file* x, const void* from, int n, sqlite3_int64 at) {
      return of(x).under()->pMethods->xWrite(of(x).under(), from, n, at);
    };
    m.xTruncate = [](sqlite3_file* x, sqlite3_int64 n) {
      return of(x).under()->pMethods->xTruncate(of(x).under(), n);
    };
    m.xSync = sync;
    m.xFileSize = [](sqlite3_file* x, sqlite3_int64* n) {
      return of(x).under()->pMethods->xFileSize(of(x).under(), n);
    };
    m.xLock = [](sqlite3_file* x, int how) { return of(x).under()->pMethods->xLock(of(x).under(), how); };
    m.xUnlock = [](sqlite3_file* x, int how) { return of(x).under()->pMethods->xUnlock(of(x).under(), how); };
    m.xCheckReservedLock = [](sqlite3_file* x, int* n) {
      return of(x).under()->pMethods->xCheckReservedLock(of(x).under(), n);
    };
    m.xFileControl = [](sqlite3_file* x, int what, void* with) {
      return of(x).under()->pMethods->xFileControl(of(x).under(), what, with);
    };
    m.xSectorSize = [](sqlite3_file*) { return 512; };
    m.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
    return m;
  }();
  f->pMethods = nullptr;
  std::snprintf(of(f).path, sizeof of(f).path, "%s", name ? name : "");
  const int code = below->xOpen(below, name, of(f).under(), flags, out);
  if (of(f).under()->pMethods) f->pMethods = &methods;
  return code;
}

// By how much this process's wall clock is off, in seconds: machines differ by minutes after a loss of
// power. The monotonic clock is left as it is.
const long kClockShift = [] {
  const char* shift = std::getenv("RIG_CLOCK_SHIFT");
  return shift ? std::strtol(shift, nullptr, 10) : 0;
}();

// An injected fault: a monotonic clock that all but stalls once this file is there.
const char* const kClockStands = std::getenv("RIG_CLOCK_STANDS");
constexpr long long kSlower = 100, kNanos = 1'000'000'000;
void slow(timespec* at) {
  static bool stands = false;
  static long long since = 0;
  const long long now = at->tv_sec * kNanos + at->tv_nsec;
  if (!stands && ::access(kClockStands, F_OK) == 0) stands = true, since = now;
  if (!stands) return;
  const long long shown = since + (now - since) / kSlower;
  at->tv_sec = static_cast<time_t>(shown / kNanos);
  at->tv_nsec = static_cast<long>(shown % kNanos);
}

struct Install {
  Install() {
    sqlite3_initialize();
    below = sqlite3_vfs_find(nullptr);
    static sqlite3_vfs vfs = *below;
    vfs.iVersion = 1;
    vfs.zName = "synced";
    vfs.pNext = nullptr;
    vfs.szOsFile = static_cast<int>(sizeof(File)) + below->szOsFile;
    vfs.xOpen = open;
    sqlite3_vfs_register(&vfs, 1);
  }
} install;

}  // namespace

// Found ahead of the C library's by everything in this process.
extern "C" int clock_gettime(clockid_t clock, timespec* at) {
  const long code = syscall(SYS_clock_gettime, clock, at);
  if (code == 0 && clock == CLOCK_REALTIME) at->tv_sec += kClockShift;
  if (code == 0 && clock != CLOCK_REALTIME && kClockStands) slow(at);
  return static_cast<int>(code);
}
