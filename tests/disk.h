// A simulated disk below SQLite: in-memory files that track which content was synced. Power can be lost at
// any write, sync, truncation or removal; after that each part that was not synced may be present or missing.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gulltrestle::disk {

constexpr std::size_t kSectorBytes = 512;  // a sector is written atomically

// One simulated file.
struct File {
  std::string content;       // as programs see it
  std::string synced;        // the content that was on disk after the last sync
  bool entrySynced = false;  // whether the directory entry is on disk
};

// The disk, with all its files, power losses and injected failures. SQLite uses it once install() was called.
class Disk {
 public:
  static Disk& instance() {
    static Disk disk;
    return disk;
  }

  std::map<std::string, std::shared_ptr<File>> files;
  // Files that were removed without a directory sync since: a power loss may bring them back.
  std::map<std::string, std::shared_ptr<File>> removed;
  std::uint64_t operations = 0;
  std::uint64_t powerLossAt = 0;  // the operation at which power is lost; 0: never
  bool powerLost = false;         // all further operations fail
  bool ignoresSyncs = false;      // injected fault: syncs report success and do nothing
  // Operations that fail with an error. A failed sync also discards all unsynced content.
  std::set<std::uint64_t> failingOperations;

  void reset() { *this = Disk(); }
  // Restores power: content that was not synced is present only in part, as drawn from `random`.
  void restorePower(std::mt19937& random) {
    const auto coinFlip = [&] { return random() % 2 == 0; };
    // What survives of unsynced content: all, nothing, random sectors, random sectors and a torn last one.
    const auto mode = random() % 4;
    for (auto& [name, file] : removed)
      if (!files.contains(name) && coinFlip()) files[name] = file;
    removed.clear();
    for (auto at = files.begin(); at != files.end();) {
      File& file = *at->second;
      if (!file.entrySynced && coinFlip()) {
        at = files.erase(at);
        continue;
      }
      const std::size_t size = coinFlip() ? file.content.size() : file.synced.size();
      std::string restored = mode == 0 ? file.content : file.synced;
      restored.resize(mode == 0 ? file.content.size() : mode == 1 ? file.synced.size() : size);
      if (mode > 1)
        for (std::size_t from = 0; from < restored.size(); from += kSectorBytes)
          if (coinFlip() && from < file.content.size())
            restored.replace(from, std::min(kSectorBytes, restored.size() - from),
                             file.content.substr(from, std::min(kSectorBytes, restored.size() - from)));
      // The last sector of a file that grew may hold arbitrary bytes.
      if (mode == 3 && restored.size() > file.synced.size())
        for (std::size_t i =
                 std::max(file.synced.size(), restored.size() - std::min(restored.size(), kSectorBytes));
             i < restored.size(); ++i)
          if (coinFlip()) restored[i] = static_cast<char>(random());
      restored.resize(std::min(restored.size(), std::max(file.content.size(), file.synced.size())));
      file = {restored, restored, true};
      ++at;
    }
    powerLost = false;
    powerLossAt = 0;
  }
  // Counts an operation. Returns false if it must not take effect because power is lost.
  bool operate() {
    if (!powerLost && ++operations == powerLossAt) powerLost = true;
    return !powerLost;
  }
  // Whether the current operation is one that fails.
  bool operationFails() const { return failingOperations.contains(operations); }

  // Registers the disk as SQLite's default VFS.
  static void install() {
    static sqlite3_vfs vfs = createVfs();
    sqlite3_vfs_register(&vfs, 1);
  }

 private:
  struct Handle {
    sqlite3_file base;
    std::shared_ptr<File>* file;
  };
  static File& fileOf(sqlite3_file* f) { return **reinterpret_cast<Handle*>(f)->file; }

  static int write(sqlite3_file* f, const void* bytes, int size, sqlite3_int64 at) {
    if (!instance().operate()) return SQLITE_IOERR_WRITE;
    if (instance().operationFails()) return SQLITE_FULL;
    File& file = fileOf(f);
    const auto from = static_cast<std::size_t>(at), count = static_cast<std::size_t>(size);
    if (file.content.size() < from + count) file.content.resize(from + count);
    file.content.replace(from, count, static_cast<const char*>(bytes), count);
    return SQLITE_OK;
  }
  static int sync(sqlite3_file* f, int) {
    if (!instance().operate()) return SQLITE_IOERR_FSYNC;
    File& file = fileOf(f);
    if (instance().operationFails()) {  // a later sync "succeeds", but the unsynced content is lost
      file.content = file.synced;
      return SQLITE_IOERR_FSYNC;
    }
    if (instance().ignoresSyncs) return SQLITE_OK;
    file.synced = file.content;
    file.entrySynced = true;
    return SQLITE_OK;
  }
  static int truncate(sqlite3_file* f, sqlite3_int64 size) {
    if (!instance().operate()) return SQLITE_IOERR_TRUNCATE;
    fileOf(f).content.resize(static_cast<std::size_t>(size));
    return SQLITE_OK;
  }
  static int read(sqlite3_file* f, void* to, int size, sqlite3_int64 at) {
    const File& file = fileOf(f);
    const auto from = static_cast<std::size_t>(at), count = static_cast<std::size_t>(size);
    const std::size_t available =
        from < file.content.size() ? std::min(count, file.content.size() - from) : 0;
    std::memcpy(to, file.content.data() + std::min(from, file.content.size()), available);
    std::memset(static_cast<char*>(to) + available, 0, count - available);
    return available == count ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }

  static sqlite3_vfs createVfs() {
    static sqlite3_io_methods methods{};
    methods.iVersion = 1;
    methods.xClose = [](sqlite3_file* f) {
      delete reinterpret_cast<Handle*>(f)->file;
      return SQLITE_OK;
    };
    methods.xRead = read;
    methods.xWrite = write;
    methods.xTruncate = truncate;
    methods.xSync = sync;
    methods.xFileSize = [](sqlite3_file* f, sqlite3_int64* size) {
      *size = static_cast<sqlite3_int64>(fileOf(f).content.size());
      return SQLITE_OK;
    };
    methods.xLock = [](sqlite3_file*, int) { return SQLITE_OK; };
    methods.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
    methods.xCheckReservedLock = [](sqlite3_file*, int* reserved) {
      *reserved = 0;
      return SQLITE_OK;
    };
    methods.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
    methods.xSectorSize = [](sqlite3_file*) { return static_cast<int>(kSectorBytes); };
    methods.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };

    sqlite3_vfs vfs{};
    vfs.iVersion = 1;
    vfs.szOsFile = sizeof(Handle);
    vfs.mxPathname = 512;
    vfs.zName = "simulated";
    vfs.xOpen = [](sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
      auto* handle = reinterpret_cast<Handle*>(f);
      handle->base.pMethods = nullptr;
      const std::string key = name ? name : "temporary";
      auto& all = instance().files;
      if (!all.contains(key)) {
        if (!(flags & SQLITE_OPEN_CREATE)) return SQLITE_CANTOPEN;
        if (!instance().operate()) return SQLITE_IOERR;
        all[key] = std::make_shared<File>();
      }
      handle->file = new std::shared_ptr<File>(all[key]);
      handle->base.pMethods = &methods;
      if (out) *out = flags;
      return SQLITE_OK;
    };
    vfs.xDelete = [](sqlite3_vfs*, const char* name, int syncs) {
      if (!instance().operate()) return SQLITE_IOERR_DELETE;
      const auto at = instance().files.find(name);
      if (at == instance().files.end()) return SQLITE_IOERR_DELETE_NOENT;
      if (!syncs) instance().removed[name] = at->second;
      instance().files.erase(at);
      return SQLITE_OK;
    };
    vfs.xAccess = [](sqlite3_vfs*, const char* name, int, int* exists) {
      *exists = instance().files.contains(name);
      return SQLITE_OK;
    };
    vfs.xFullPathname = [](sqlite3_vfs*, const char* name, int size, char* out) {
      sqlite3_snprintf(size, out, "%s", name);
      return SQLITE_OK;
    };
    vfs.xRandomness = [](sqlite3_vfs*, int size, char* out) {
      std::memset(out, 7, static_cast<std::size_t>(size));
      return size;
    };
    vfs.xSleep = [](sqlite3_vfs*, int micros) { return micros; };
    vfs.xCurrentTime = [](sqlite3_vfs*, double* now) {
      *now = 2461000;
      return SQLITE_OK;
    };
    vfs.xGetLastError = [](sqlite3_vfs*, int, char*) { return 0; };
    return vfs;
  }
};

}  // namespace gulltrestle::disk
