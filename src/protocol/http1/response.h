// An HTTP/1.1 response (RFC 9112), parsed as it arrives: head, then a body of a stated length, in chunks, or
// up to the end of the connection. The body is handed on as slices of what was fed.
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

// Incremental parser of one response. Not usable any more after it has thrown Malformed.
class Response {
 public:
  // Called with a slice of the body.
  using OnBody = std::function<void(std::string_view)>;
  // Called with each header of the head, its name in lower case; may be empty.
  std::function<void(std::string_view name, std::string_view value)> onHeader;

  // Takes a slice and returns how much of it was used: all, or up to the end of the response. Throws
  // Malformed.
  std::size_t feed(std::string_view slice, const OnBody& onBody);
  // 0 until the status line is complete.
  int status() const { return status_; }
  // The connection has ended, which ends a body of no stated length.
  void connectionEnded() {
    if (state_ == State::bodyToEnd) state_ = State::done;
  }
  // The response is complete.
  bool done() const { return state_ == State::done; }

 private:
  enum class State { statusLine, header, body, bodyToEnd, chunkSize, chunk, chunkEnd, trailer, done };
  bool isInBody() const {
    return state_ == State::body || state_ == State::chunk || state_ == State::bodyToEnd;
  }
  void takeBody(std::string_view& slice, const OnBody& onBody);
  bool takeLine(std::string_view& slice);
  void endLine();
  void readStatusLine(std::string_view line);
  void readHeader(std::string_view line);
  void endHead();

  State state_ = State::statusLine;
  int status_ = 0;
  std::string line_;
  std::size_t lineBytes_ = 0;       // of all lines since the head, or the last chunk, began
  std::size_t remainingBytes_ = 0;  // of the body or the chunk
  bool isChunked_ = false, hasLength_ = false;
};

// A GET request for JSON. `host`: the value of its Host header.
std::string get(std::string_view path, std::string_view host);

}  // namespace gulltrestle::http1
