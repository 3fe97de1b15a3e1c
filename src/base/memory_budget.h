// A limit on the memory that several owners may use together. Each owner holds a share, which returns its
// bytes when it is destroyed. A budget may be part of a larger one.
#pragma once

#include <cstddef>

namespace gulltrestle {

// The total of all shares. Must outlive them. Not thread-safe.
class MemoryBudget {
 public:
  // `parent`: the budget that this one is part of, or null. Must outlive it.
  explicit MemoryBudget(std::size_t maxBytes, MemoryBudget* parent = nullptr)
      : maxBytes_(maxBytes), parent_(parent) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t maxBytes() const { return maxBytes_; }
  std::size_t usedBytes() const { return usedBytes_; }

 private:
  friend class MemoryShare;
  bool hasCapacityFor(std::size_t bytes) const {
    return usedBytes_ + bytes <= maxBytes_ && (!parent_ || parent_->hasCapacityFor(bytes));
  }
  void replace(std::size_t before, std::size_t after) {
    usedBytes_ = usedBytes_ - before + after;
    if (parent_) parent_->replace(before, after);
  }

  std::size_t maxBytes_;
  MemoryBudget* parent_;
  std::size_t usedBytes_ = 0;
};

// The bytes of one owner.
class MemoryShare {
 public:
  explicit MemoryShare(MemoryBudget& budget) : budget_(budget) {}
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;
  ~MemoryShare() { release(); }

  // Changes the share to `bytes`. Returns false, and changes nothing, if a budget would be exceeded. A share
  // can always be reduced.
  [[nodiscard]] bool resize(std::size_t bytes) {
    if (bytes > bytes_ && !budget_.hasCapacityFor(bytes - bytes_)) return false;
    budget_.replace(bytes_, bytes);
    bytes_ = bytes;
    return true;
  }
  void release() {
    budget_.replace(bytes_, 0);
    bytes_ = 0;
  }

 private:
  MemoryBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace gulltrestle
