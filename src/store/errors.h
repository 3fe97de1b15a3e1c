// Errors of the store: what failed, in which file or folder, and whether another attempt can succeed.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gulltrestle::store {

// What has to happen before another attempt can succeed.
enum class RetryCondition {
  newConnection,   // the file has to be opened again; the fault may pass by itself
  operatorAction,  // an operator has to change something outside of this program
  never,           // the same request fails again
};

// Base of all. what() is a message for an operator.
class StoreError : public std::runtime_error {
 public:
  StoreError(const std::string& message, std::string path, RetryCondition retryCondition)
      : std::runtime_error(message), path_(std::move(path)), retryCondition_(retryCondition) {}

  // The file or folder.
  [[nodiscard]] const std::string& path() const noexcept { return path_; }
  [[nodiscard]] RetryCondition retryCondition() const noexcept { return retryCondition_; }

 private:
  std::string path_;
  RetryCondition retryCondition_;
};

// --- Of a database file. The message does not name the file.

// The file is not what was written: a damaged structure, a checksum that does not match, a missing table. The
// file has to be set aside.
class CorruptDatabase : public StoreError {
 public:
  CorruptDatabase(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::never) {}
};

// The disk or the system failed, which says nothing about the file's contents. The connection is of no
// further use.
class DiskError : public StoreError {
 public:
  DiskError(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::newConnection) {}
};

// Another process has locked the file.
class LockedDatabase : public StoreError {
 public:
  explicit LockedDatabase(std::string path)
      : StoreError("another process has it", std::move(path), RetryCondition::newConnection) {}
};

// A newer version wrote the file, in a format that this one does not know.
class UnsupportedFormat : public StoreError {
 public:
  UnsupportedFormat(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::operatorAction) {}
};

// --- Of a voting member's folder. The message names it.

// The folder can't be used: it is missing, another process has it, it belongs to another voting member or a
// newer version wrote it, or the disk failed.
class UnusableFolder : public StoreError {
 public:
  UnusableFolder(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::operatorAction) {}
};

// The configured voter lists may not follow those that the folder was last served under. Nothing was written.
class RejectedVoterList : public StoreError {
 public:
  RejectedVoterList(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::never) {}
};

}  // namespace gulltrestle::store
