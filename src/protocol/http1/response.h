// Incremental parser of an HTTP/1.1 response (RFC 9112). The body is delimited by Content-Length, by chunked
// encoding or by the end of the connection, and is passed on as slices of the input.
#pragma once

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::http1 {

// Bytes that are not a valid HTTP/1.1 response.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Incremental parser of one response. Unusable after it has thrown Malformed.
class Response {
 public:
  // Called with each slice of the body.
  using OnBody = std::function<void(std::string_view)>;
  // Called with each header, its name in lower case. May be empty.
  std::function<void(std::string_view name, std::string_view value)> onHeader;

  // Parses a slice and returns the number of bytes consumed: all of them, or those up to the end of the
  // response. Throws Malformed.
  std::size_t feed(std::string_view slice, const OnBody& onBody);
  // The status code; 0 until the status line is complete.
  int status() const { return status_; }
  // Must be called when the connection ends: this completes a body without a stated length.
  void connectionEnded() {
    if (state_ == State::bodyUntilClose) state_ = State::done;
  }
  // Whether the response is complete.
  bool done() const { return state_ == State::done; }

 private:
  enum class State { statusLine, header, body, bodyUntilClose, chunkSize, chunk, chunkEnd, trailer, done };
  bool isInBody() const {
    return state_ == State::body || state_ == State::chunk || state_ == State::bodyUntilClose;
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
  std::size_t lineBytes_ = 0;       // total of all lines since the start of the head or of the last chunk
  std::size_t remainingBytes_ = 0;  // of the body or the current chunk
  bool isChunked_ = false, hasLength_ = false;
};

// Returns a GET request for JSON. `host` is the value of the Host header.
std::string encodeGetRequest(std::string_view path, std::string_view host);

}  // namespace gulltrestle::http1
