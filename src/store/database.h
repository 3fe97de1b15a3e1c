// The store's database, one connection to it. Not for several threads at a time.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "idempotency/voting_member.h"

struct sqlite3;
struct sqlite3_stmt;

namespace gulltrestle::store {

// The file is not what was written.
class CorruptDatabase : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};
// The disk or the system does not let us.
class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Database {
 public:
  enum class OpenMode { writing, reading };
  // Opens the file, or begins one. Throws Damaged, Failed.
  Database(const std::string& path, OpenMode what);
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  ~Database();

  bool isNew() const { return isNew_; }
  // Of a new one: whose it is, and whether its votes count at once.
  void begin(const std::string& keeper, bool whole);
  const std::string& keeper() const { return keeper_; }
  // All of it, checked against its checksums. Throws Damaged.
  idempotency::StoredState load();
  // All of these or none. Throws Failed, or Damaged; the connection is of no use after that.
  void commit(const std::vector<const std::vector<idempotency::VotingMember::DiskChange>*>& groups);

 private:
  class Statement;
  void run(const char* text);
  std::string meta(const char* key);
  void setMeta(const char* key, const std::string& value);
  void apply(const idempotency::VotingMember::DiskChange& change);
  [[noreturn]] void fail(int code);

  sqlite3* handle_ = nullptr;
  std::string path_, keeper_;
  bool isNew_ = false;
  std::uint64_t digest_ = 0;  // over all rows, whatever their order
};

}  // namespace gulltrestle::store
