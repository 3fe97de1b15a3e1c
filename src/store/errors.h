// Errors of the store: what failed, in which file or folder, and whether a retry can succeed.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gulltrestle::store {

// What has to happen before a retry can succeed.
enum class RetryCondition {
  newConnection,   // the file has to be opened again; the fault may be temporary
  operatorAction,  // an operator has to change something outside of this program
  never,           // the same request fails again
};

// Base class of all errors of the store. what() is a message for operators.
class StoreError : public std::runtime_error {
 public:
  StoreError(const std::string& message, std::string path, RetryCondition retryCondition)
      : std::runtime_error(message), path_(std::move(path)), retryCondition_(retryCondition) {}

  // The file or folder that the error occurred in.
  [[nodiscard]] const std::string& path() const noexcept { return path_; }
  [[nodiscard]] RetryCondition retryCondition() const noexcept { return retryCondition_; }

 private:
  std::string path_;
  RetryCondition retryCondition_;
};

// --- Errors of a database file. The message does not contain its path.

// The contents of the file differ from what was written: a damaged structure, a checksum mismatch, a missing
// table. The file has to be set aside.
class CorruptDatabase : public StoreError {
 public:
  CorruptDatabase(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::never) {}
};

// The disk or the operating system failed, which says nothing about the file's contents. The connection must
// not be used any more.
class DiskError : public StoreError {
 public:
  DiskError(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::newConnection) {}
};

// Another process has locked the file.
class LockedDatabase : public StoreError {
 public:
  explicit LockedDatabase(std::string path)
      : StoreError("another process has locked it", std::move(path), RetryCondition::newConnection) {}
};

// A newer version wrote the file in a format that this version does not support.
class UnsupportedFormat : public StoreError {
 public:
  UnsupportedFormat(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::operatorAction) {}
};

// --- Errors of a voting member's folder. The message contains its path.

// The folder can't be used: it is missing, another process has locked it, it belongs to another voting
// member, a newer version wrote it, or the disk failed.
class UnusableFolder : public StoreError {
 public:
  UnusableFolder(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::operatorAction) {}
};

// The configured voter lists are not an allowed successor of those that were last in effect for this folder.
// Nothing was written.
class RejectedVoterList : public StoreError {
 public:
  RejectedVoterList(const std::string& message, std::string path)
      : StoreError(message, std::move(path), RetryCondition::never) {}
};

}  // namespace gulltrestle::store
