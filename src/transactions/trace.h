// What becomes of each txn and connection, line by line, for whoever looks for a cause. Off by default: a
// line is put together only where somebody takes it.
#pragma once

#include <functional>
#include <string>

namespace gulltrestle::transactions {

class Trace {
 public:
  using Sink = std::function<void(const std::string& line)>;
  // Null: nobody takes them any more.
  void setSink(Sink take) { take_ = std::move(take); }
  bool isOn() const { return static_cast<bool>(take_); }

  // `line`: returns the text of one line, "event=... key=value ...".
  template <typename Line>
  void write(Line line) const {
    if (take_) take_(line());
  }

 private:
  Sink take_;
};

}  // namespace gulltrestle::transactions
