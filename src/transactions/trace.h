// Trace lines about the progress of each transaction and connection, for troubleshooting. Off by default: the
// text of a line is only built while a sink is set.
#pragma once

#include <functional>
#include <string>
#include <utility>

namespace gulltrestle::transactions {

// Writes trace lines to a sink. Stores no lines and owns no file.
class Trace {
 public:
  using Sink = std::function<void(const std::string& line)>;
  // An empty sink turns the trace off.
  void setSink(Sink sink) { sink_ = std::move(sink); }
  bool isOn() const { return static_cast<bool>(sink_); }

  // `line`: function that returns the text of one line, "event=... key=value ..."; called only if the trace
  // is on.
  template <typename Line>
  void write(Line line) const {
    if (sink_) sink_(line());
  }

 private:
  Sink sink_;
};

}  // namespace gulltrestle::transactions
