#include "store/connection.h"

#include <sqlite3.h>

namespace gulltrestle::store {

namespace {

// SQLite's extended result codes have the primary code in their low byte.
constexpr int kPrimaryCodeMask = 0xFF;

}  // namespace

// Uses a truncated rollback journal with full synchronization: once a commit returns, all of it is in the
// database file, where the checksums cover each byte. A write-ahead log would cost one sync per commit
// instead of three, but a flipped byte in its middle is mistaken for the torn end that a power loss leaves,
// and all later commits are lost silently.
Connection::Connection(const std::string& path, OpenMode mode) : path_(path) {
  const int access =
      mode == OpenMode::reading ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  sqlite3* opened = nullptr;
  const int code = sqlite3_open_v2(path.c_str(), &opened, access | SQLITE_OPEN_NOMUTEX, nullptr);
  handle_.reset(opened);
  if (code != SQLITE_OK) fail(code);
  if (mode == OpenMode::reading) return;
  execute("PRAGMA locking_mode = EXCLUSIVE");
  execute("PRAGMA journal_mode = TRUNCATE");
  execute("PRAGMA synchronous = EXTRA");
  execute("BEGIN EXCLUSIVE; COMMIT");
}

void Connection::Closer::operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }

void Connection::execute(const char* sql) {
  const int code = sqlite3_exec(handle_.get(), sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) fail(code);
}

bool Connection::isReadOnly() const { return sqlite3_db_readonly(handle_.get(), "main") != 0; }

void Connection::fail(int code) const {
  const std::string message = sqlite3_errmsg(handle_.get());
  switch (code & kPrimaryCodeMask) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_ERROR:  // a missing table or column
    case SQLITE_FORMAT:
    case SQLITE_MISMATCH:
    case SQLITE_TOOBIG:
    case SQLITE_CONSTRAINT:
      throw CorruptDatabase(message, path_);
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      throw LockedDatabase(path_);
    default:
      throw DiskError(message, path_);
  }
}

Statement::Statement(const Connection& connection, const char* sql) : connection_(connection) {
  sqlite3_stmt* prepared = nullptr;
  const int code = sqlite3_prepare_v2(connection.handle_.get(), sql, -1, &prepared, nullptr);
  statement_.reset(prepared);
  if (code != SQLITE_OK) connection.fail(code);
}

void Statement::Finalizer::operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }

Statement& Statement::bind(const std::string& bytes) {
  sqlite3_bind_blob(statement_.get(), ++boundParameters_, bytes.data(), static_cast<int>(bytes.size()),
                    SQLITE_TRANSIENT);
  return *this;
}

// SQLite's integers are signed: numbers from 2^63 on are stored as negative values.
Statement& Statement::bind(std::uint64_t number) {
  sqlite3_bind_int64(statement_.get(), ++boundParameters_, static_cast<std::int64_t>(number));
  return *this;
}

bool Statement::step() {
  const int code = sqlite3_step(statement_.get());
  if (code != SQLITE_ROW && code != SQLITE_DONE) connection_.fail(code);
  return code == SQLITE_ROW;
}

std::string Statement::text(int column) const {
  const void* bytes = sqlite3_column_blob(statement_.get(), column);
  const int size = sqlite3_column_bytes(statement_.get(), column);
  if (!bytes) return "";
  return std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(size));
}

std::uint64_t Statement::number(int column) const {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_.get(), column));
}

}  // namespace gulltrestle::store
