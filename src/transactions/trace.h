// Trace lines on the course of each transaction and connection, for troubleshooting. Off by default: the text
// of a line is put together only while a sink is set.
#pragma once

#include <functional>
#include <string>
#include <utility>

namespace gulltrestle::transactions {

// Writes trace lines to a sink; copies nothing and owns no file.
class Trace {
 public:
  using Sink = std::function<void(const std::string& line)>;
  // Null: turns the trace off.
  void setSink(Sink sink) { sink_ = std::move(sink); }
  bool isOn() const { return static_cast<bool>(sink_); }

  // `line`: returns the text of one line, "event=... key=value ...".
  template <typename Line>
  void write(Line line) const {
    if (sink_) sink_(line());
  }

 private:
  Sink sink_;
};

}  // namespace gulltrestle::transactions
