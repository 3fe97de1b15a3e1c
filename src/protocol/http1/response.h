// An HTTP/1.1 response, parsed as it arrives: head, then a body of a stated length, in chunks, or up to the
// end of the connection. The body is handed on as slices of what was fed.
#pragma once

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::http1 {

// Bytes that are no HTTP/1.1 response.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Incremental parser of one response.
class Response {
 public:
  using Body = std::function<void(std::string_view)>;
  // Each header of the head, its name in lower case; none where nobody asks.
  std::function<void(std::string_view name, std::string_view value)> field;

  // Takes a slice and returns how much of it was used: all, or up to the end of the response.
  std::size_t feed(std::string_view slice, const Body& body);
  int status() const { return status_; }  // 0 before the first line is whole
  // The connection has ended, which ends a body of no stated length.
  void end() {
    if (state_ == State::toEnd) state_ = State::done;
  }
  bool done() const { return state_ == State::done; }

 private:
  enum class State { statusLine, header, body, toEnd, chunkSize, chunk, chunkEnd, trailer, done };
  bool takeLine(std::string_view& slice);
  void endLine();
  void endHead();

  State state_ = State::statusLine;
  int status_ = 0;
  std::string line_;
  std::size_t headBytes_ = 0;
  std::size_t left_ = 0;  // of the body or the chunk
  bool chunked_ = false, hasLength_ = false;
};

std::string get(std::string_view path, std::string_view host);

}  // namespace gulltrestle::http1
