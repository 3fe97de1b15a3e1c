// When bytes came that wait to be taken: a statement that waited behind others of its connection has had that
// part of its time. Holds points in time, no bytes.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace gulltrestle::downstream::postgres {

class ArrivalTimes {
 public:
  // So many bytes wait now.
  void waiting(std::size_t size, Instant now) {
    if (!marks_.empty() && size <= marks_.back().end) return;
    // Bounds what a client that sends byte by byte can make this keep. Beyond that what comes counts as come
    // with what did before: a little early, so that no more time is told than there is.
    constexpr std::size_t kMostMarks = 64;
    if (marks_.size() < kMostMarks)
      marks_.push_back({size, now});
    else
      marks_.back().end = size;
  }
  // When the first `size` bytes were all there.
  Instant of(std::size_t size) const {
    for (const Mark& mark : marks_)
      if (mark.end >= size) return mark.at;
    return marks_.empty() ? Instant() : marks_.back().at;
  }
  void taken(std::size_t size) {
    std::erase_if(marks_, [&](const Mark& mark) { return mark.end <= size; });
    for (Mark& mark : marks_) mark.end -= size;
  }

 private:
  struct Mark {
    std::size_t end;  // up to this byte
    Instant at;
  };
  std::vector<Mark> marks_;
};

}  // namespace gulltrestle::downstream::postgres
