// One HTTP/2 connection without a socket, either side of it: bytes in, calls on a handler; calls in, bytes
// out. Frames, header compression and flow control are nghttp2's; the bounds on what a peer may fill or ask
// for are kept here. From RFC 9113.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

struct nghttp2_session;

namespace gulltrestle::http2 {

using StreamId = std::int32_t;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Error codes of RFC 9113, section 7, that are given or told apart here.
enum class Code : std::uint32_t { none = 0, internal = 2, refused = 7, cancel = 8, calm = 11 };

// What happens on a connection. A handler may call the session from within any of these.
class Handler {
 public:
  virtual ~Handler() = default;
  // A header block is whole: a request's, a response's, or trailers where the stream had one before.
  virtual void headers(StreamId stream, Headers headers) = 0;
  virtual void data(StreamId stream, std::string_view bytes) = 0;
  // The other side sends no more on it.
  virtual void halfClosed(StreamId stream) = 0;
  // It is over; `code` is not none where it was reset. Its id is not heard of again.
  virtual void closed(StreamId stream, Code code) = 0;
};

// What the other side may fill.
struct Bounds {
  std::uint32_t mostStreams = 1000;         // open at a time
  std::size_t mostHeaderBytes = 16 * 1024;  // of one block, uncompressed; also the count of fields times 32
  std::size_t mostUnsent = 256 * 1024;      // bytes that wait for its windows, over all streams
};

// One side of a connection. Not thread-safe; the handler must outlive it.
class Session {
 public:
  enum class Side { server, client };
  Session(Side side, Bounds bounds, Handler& handler);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session();

  // Takes all of it. False: the connection is to be closed once the output is written; what it carried has
  // been told as closed by then, or is by ended().
  bool received(Instant now, std::string_view bytes);
  // All that is to be written now; empty: nothing is.
  std::string output();
  // Neither side has anything to say any more, or this side ended it.
  bool done() const;
  // The connection is gone: every open stream is told as closed.
  void ended();

  // The client's: opens a stream. 0 where none can be opened any more.
  StreamId request(const Headers& headers);
  // The server's: begins the answer. Data and an end follow.
  void respond(StreamId stream, const Headers& headers);
  // The server's: the answer is its headers and no more.
  void respondAndEnd(StreamId stream, const Headers& headers);
  // Queued until the windows allow it. A stream whose queue has outgrown the bound is reset.
  void send(StreamId stream, std::string_view bytes);
  // After what is queued; with trailers where there are any.
  void end(StreamId stream, Headers trailers = {});
  void reset(StreamId stream, Code code);
  // No new streams are taken; those that are open go on.
  void goAway();
  void ping();

  std::size_t openStreams() const { return streams_.size(); }

 private:
  struct Callbacks;
  struct Stream {
    Headers headers;  // of the block that is coming
    std::size_t headerBytes = 0;
    std::string unsent;
    bool sending = false, ending = false, over = false;
    Headers trailers;
  };
  Stream* find(StreamId id);
  bool spend(double cost);

  Side side_;
  Bounds bounds_;
  Handler& handler_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  std::size_t unsent_ = 0;  // over all streams
  Instant now_, allowedAt_;
  double allowance_;  // frames that bring no work of a txn and may still come
  bool failed_ = false, goingAway_ = false;
};

}  // namespace gulltrestle::http2
