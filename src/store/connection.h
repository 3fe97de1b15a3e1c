// One connection to an SQLite file, and its statements. Not for several threads at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/errors.h"

struct sqlite3;
struct sqlite3_stmt;

namespace gulltrestle::store {

// Closes the file as it ends; what was not committed is rolled back. All functions throw CorruptDatabase,
// LockedDatabase or DiskError.
class Connection {
 public:
  // `writing` creates a file that is missing, locks it against other processes, and rolls back a commit that
  // was cut off. `reading` changes nothing.
  enum class OpenMode { writing, reading };

  Connection(const std::string& path, OpenMode mode);

  // Runs SQL text that has no parameters and whose rows do not matter.
  void execute(const char* sql);
  [[nodiscard]] bool isReadOnly() const;
  // Of the file.
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  friend class Statement;
  // Throws the error that SQLite's result code stands for.
  [[noreturn]] void fail(int code) const;

  struct Closer {
    void operator()(sqlite3* handle) const;
  };
  std::string path_;
  std::unique_ptr<sqlite3, Closer> handle_;
};

// One prepared statement: its parameters are bound in their order, then it is stepped through its rows.
// Lives no longer than its connection. Throws as the connection does.
class Statement {
 public:
  Statement(const Connection& connection, const char* sql);

  Statement& bind(const std::string& bytes);
  Statement& bind(std::uint64_t number);
  // Goes to the next row; false: there is none. A statement that changes rows does so at the first call.
  bool step();

  // Columns of the present row, counted from 0.
  [[nodiscard]] std::string text(int column) const;
  [[nodiscard]] std::uint64_t number(int column) const;
  [[nodiscard]] bool flag(int column) const { return number(column) != 0; }

 private:
  struct Finalizer {
    void operator()(sqlite3_stmt* statement) const;
  };
  const Connection& connection_;
  std::unique_ptr<sqlite3_stmt, Finalizer> statement_;
  int boundParameters_ = 0;
};

}  // namespace gulltrestle::store
