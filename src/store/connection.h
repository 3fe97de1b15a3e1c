// One connection to an SQLite file, its statements and the errors of both. Not for several threads at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace gulltrestle::store {

// The file is not what was written: a damaged structure, a checksum that does not match, a missing table.
// Trying again does not help; the file has to be set aside.
class CorruptDatabase : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The disk or the system failed, another process has locked the file, or a newer version wrote it. Says
// nothing about the file's contents. Trying again on a new connection may help; this connection is of no
// further use.
class DiskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Closes the file as it ends; what was not committed is rolled back.
class Connection {
 public:
  // `writing` creates a file that is missing, locks it against other processes, and rolls back a commit that
  // was cut off. `reading` changes nothing.
  enum class OpenMode { writing, reading };

  // Throws CorruptDatabase, DiskError, as all functions here do.
  Connection(const std::string& path, OpenMode mode);

  // Runs SQL text that has no parameters and whose rows do not matter.
  void execute(const char* sql);
  [[nodiscard]] bool isReadOnly() const;

 private:
  friend class Statement;
  // Throws the error that SQLite's result code stands for.
  [[noreturn]] void fail(int code) const;

  struct Closer {
    void operator()(sqlite3* handle) const;
  };
  std::unique_ptr<sqlite3, Closer> handle_;
};

// One prepared statement: its parameters are bound in their order, then it is stepped through its rows.
// Lives no longer than its connection.
class Statement {
 public:
  Statement(const Connection& connection, const char* sql);

  Statement& bind(const std::string& bytes);
  Statement& bind(std::uint64_t number);
  // Goes to the next row; false: there is none. Of a statement that changes rows: does so.
  bool step();

  // Columns of the present row, from 0.
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
