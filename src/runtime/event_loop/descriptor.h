// An owning wrapper around a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace gulltrestle::event_loop {

// Owns a file descriptor and closes it on destruction. Move-only. The number is -1 if it owns none.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int number) : number_(number) {}
  Descriptor(Descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }

  int number() const { return number_; }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;
};

}  // namespace gulltrestle::event_loop
