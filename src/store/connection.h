// A connection to an SQLite file and its prepared statements. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/errors.h"

struct sqlite3;
struct sqlite3_stmt;

namespace gulltrestle::store {

// An open SQLite file. The destructor closes it and rolls back uncommitted changes. All functions throw
// CorruptDatabase, LockedDatabase or DiskError.
class Connection {
 public:
  // `writing` creates a missing file, locks it against other processes and rolls back an interrupted commit.
  // `reading` changes nothing.
  enum class OpenMode { writing, reading };

  Connection(const std::string& path, OpenMode mode);

  // Runs SQL text without parameters. Rows that it returns are ignored.
  void execute(const char* sql);
  [[nodiscard]] bool isReadOnly() const;
  // The path of the file.
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  friend class Statement;
  // Throws the error that corresponds to SQLite's result code.
  [[noreturn]] void fail(int code) const;

  struct Closer {
    void operator()(sqlite3* handle) const;
  };
  std::string path_;
  std::unique_ptr<sqlite3, Closer> handle_;
};

// A prepared statement: the parameters are bound in order, then step() moves through the rows. Must not
// outlive its connection. Throws the same errors as the connection.
class Statement {
 public:
  Statement(const Connection& connection, const char* sql);

  // Binds the next parameter.
  Statement& bind(const std::string& bytes);
  Statement& bind(std::uint64_t number);
  // Advances to the next row. False: there are no more rows. The first call executes a statement that changes
  // rows.
  bool step();

  // Columns of the current row, numbered from 0.
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
