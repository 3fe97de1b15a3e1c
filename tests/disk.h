// A simulated disk below SQLite: files in memory that know what of them was synced, and a power loss at any
// write, sync, truncation or removal, after which each part that was not synced is there or not.
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

constexpr std::size_t kSector = 512;  // is written whole or not at all

struct File {
  std::string now;     // as programs see it
  std::string synced;  // as the disk has it at least
  bool named = false;  // its directory entry is on disk
};

class Disk {
 public:
  static Disk& the() {
    static Disk disk;
    return disk;
  }

  std::map<std::string, std::shared_ptr<File>> files;
  // Removed, and the directory not synced since: they may come back.
  std::map<std::string, std::shared_ptr<File>> removed;
  std::uint64_t operations = 0;
  std::uint64_t dieAt = 0;          // at which operation power is lost; 0: never
  bool dead = false;                // nothing gets through any more
  bool liesAboutSyncs = false;      // a built-in fault: syncs do nothing
  std::set<std::uint64_t> failing;  // operations that fail with an error; a failed sync loses all

  void reset() { *this = Disk(); }
  // Power is back: what was not synced is there in part.
  void restore(std::mt19937& chance) {
    const auto one = [&] { return chance() % 2 == 0; };
    const auto mode = chance() % 4;  // all of it, nothing, any part, any part and torn
    for (auto& [name, file] : removed)
      if (!files.contains(name) && one()) files[name] = file;
    removed.clear();
    for (auto at = files.begin(); at != files.end();) {
      File& file = *at->second;
      if (!file.named && one()) {
        at = files.erase(at);
        continue;
      }
      const std::size_t size = one() ? file.now.size() : file.synced.size();
      std::string made = mode == 0 ? file.now : file.synced;
      made.resize(mode == 0 ? file.now.size() : mode == 1 ? file.synced.size() : size);
      if (mode > 1)
        for (std::size_t from = 0; from < made.size(); from += kSector)
          if (one() && from < file.now.size())
            made.replace(from, std::min(kSector, made.size() - from),
                         file.now.substr(from, std::min(kSector, made.size() - from)));
      // The last sector that grew the file may hold anything.
      if (mode == 3 && made.size() > file.synced.size())
        for (std::size_t i = std::max(file.synced.size(), made.size() - std::min(made.size(), kSector));
             i < made.size(); ++i)
          if (one()) made[i] = static_cast<char>(chance());
      made.resize(std::min(made.size(), std::max(file.now.size(), file.synced.size())));
      file = {made, made, true};
      ++at;
    }
    dead = false;
    dieAt = 0;
  }
  // One operation; false: it does not happen, as power was lost.
  bool operate() {
    if (!dead && ++operations == dieAt) dead = true;
    return !dead;
  }
  bool fails() const { return failing.contains(operations); }

  static void install() {
    static sqlite3_vfs vfs = made();
    sqlite3_vfs_register(&vfs, 1);
  }

 private:
  struct Handle {
    sqlite3_file base;
    std::shared_ptr<File>* file;
  };
  static File& of(sqlite3_file* f) { return **reinterpret_cast<Handle*>(f)->file; }

  static int write(sqlite3_file* f, const void* bytes, int size, sqlite3_int64 at) {
    if (!the().operate()) return SQLITE_IOERR_WRITE;
    if (the().fails()) return SQLITE_FULL;
    File& file = of(f);
    const auto from = static_cast<std::size_t>(at), count = static_cast<std::size_t>(size);
    if (file.now.size() < from + count) file.now.resize(from + count);
    file.now.replace(from, count, static_cast<const char*>(bytes), count);
    return SQLITE_OK;
  }
  static int sync(sqlite3_file* f, int) {
    if (!the().operate()) return SQLITE_IOERR_FSYNC;
    File& file = of(f);
    if (the().fails()) {  // and a later one "succeeds": what was dirty is gone
      file.now = file.synced;
      return SQLITE_IOERR_FSYNC;
    }
    if (the().liesAboutSyncs) return SQLITE_OK;
    file.synced = file.now;
    file.named = true;
    return SQLITE_OK;
  }
  static int truncate(sqlite3_file* f, sqlite3_int64 size) {
    if (!the().operate()) return SQLITE_IOERR_TRUNCATE;
    of(f).now.resize(static_cast<std::size_t>(size));
    return SQLITE_OK;
  }
  static int read(sqlite3_file* f, void* to, int size, sqlite3_int64 at) {
    const File& file = of(f);
    const auto from = static_cast<std::size_t>(at), count = static_cast<std::size_t>(size);
    const std::size_t there = from < file.now.size() ? std::min(count, file.now.size() - from) : 0;
    std::memcpy(to, file.now.data() + std::min(from, file.now.size()), there);
    std::memset(static_cast<char*>(to) + there, 0, count - there);
    return there == count ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }

  static sqlite3_vfs made() {
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
      *size = static_cast<sqlite3_int64>(of(f).now.size());
      return SQLITE_OK;
    };
    methods.xLock = [](sqlite3_file*, int) { return SQLITE_OK; };
    methods.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
    methods.xCheckReservedLock = [](sqlite3_file*, int* taken) {
      *taken = 0;
      return SQLITE_OK;
    };
    methods.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
    methods.xSectorSize = [](sqlite3_file*) { return static_cast<int>(kSector); };
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
      auto& all = the().files;
      if (!all.contains(key)) {
        if (!(flags & SQLITE_OPEN_CREATE)) return SQLITE_CANTOPEN;
        if (!the().operate()) return SQLITE_IOERR;
        all[key] = std::make_shared<File>();
      }
      handle->file = new std::shared_ptr<File>(all[key]);
      handle->base.pMethods = &methods;
      if (out) *out = flags;
      return SQLITE_OK;
    };
    vfs.xDelete = [](sqlite3_vfs*, const char* name, int syncs) {
      if (!the().operate()) return SQLITE_IOERR_DELETE;
      const auto at = the().files.find(name);
      if (at == the().files.end()) return SQLITE_IOERR_DELETE_NOENT;
      if (!syncs) the().removed[name] = at->second;
      the().files.erase(at);
      return SQLITE_OK;
    };
    vfs.xAccess = [](sqlite3_vfs*, const char* name, int, int* there) {
      *there = the().files.contains(name);
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
