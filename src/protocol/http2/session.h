// One HTTP/2 connection (RFC 9113) without a socket, either side of it: bytes in, calls on a handler; calls
// in, bytes out. Frames, header compression and flow control are nghttp2's; the bounds on what a peer may
// occupy or request are enforced here.
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

// The error codes of RFC 9113, section 7, that are sent or distinguished here.
enum class ErrorCode : std::uint32_t {
  none = 0,
  internal = 2,
  refused = 7,
  cancel = 8,
  enhanceYourCalm = 11
};

// What happens on a connection. A handler may call the session from within any of these.
class Handler {
 public:
  virtual ~Handler() = default;
  // A header block is complete: a request's, a response's, or trailers where the stream had one before.
  virtual void headers(StreamId stream, Headers headers) = 0;
  virtual void data(StreamId stream, std::string_view bytes) = 0;
  // The other side sends no more on it.
  virtual void halfClosed(StreamId stream) = 0;
  // The stream has ended; `code` is not none where it was reset. Its id is not reported again.
  virtual void closed(StreamId stream, ErrorCode code) = 0;
};

// What the other side may occupy.
struct Bounds {
  std::uint32_t maxStreams = 1000;  // open at a time
  // Of one header block, uncompressed; each field counts 32 more.
  std::size_t maxHeaderBytes = 16 * 1024;
  // That wait for the other side's windows, over all streams.
  std::size_t maxUnsentBytes = 256 * 1024;
};

// One side of a connection. Not thread-safe; the handler must outlive it.
class Session {
 public:
  enum class Side { server, client };
  Session(Side side, Bounds bounds, Handler& handler);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session();

  // Takes all bytes. False: the connection is to be closed once the output is written; its streams have been
  // reported as closed by then, or are by ended().
  bool received(Instant now, std::string_view bytes);
  // All bytes that are to be written now; empty: none are.
  std::string output();
  // Nothing more is to be read or written, or this side has ended the connection.
  bool done() const;
  // The connection is gone: every open stream is reported as closed.
  void ended();

  // The client's: opens a stream. 0 where none can be opened any more.
  StreamId request(const Headers& headers);
  // The server's: begins the response. Data and an end follow.
  void respond(StreamId stream, const Headers& headers);
  // The server's: the response is its headers alone.
  void respondAndEnd(StreamId stream, const Headers& headers);
  // Queued until the windows allow it. A stream whose queue has outgrown the bound is reset.
  void send(StreamId stream, std::string_view bytes);
  // Ends the stream after what is queued, with trailers where there are any.
  void end(StreamId stream, Headers trailers = {});
  void reset(StreamId stream, ErrorCode code);
  // No new streams are taken; those that are open go on.
  void goAway();
  void ping();

  std::size_t openStreams() const { return streams_.size(); }

 private:
  struct Callbacks;
  struct Stream {
    Headers headers;  // of the block that is being received
    std::size_t headerBytes = 0;
    std::string unsent;
    bool hasHeaders = false;  // of this side: they were submitted
    bool isEnding = false;    // this side sends no more after what is unsent
    bool isReset = false;     // by this side
    Headers trailers;         // after what is unsent
  };
  Stream* find(StreamId id);
  [[nodiscard]] bool spendAllowance(double cost);
  void submitSettings();
  // Settings of nghttp2 for this side's session.
  void createSession();

  Side side_;
  Bounds bounds_;
  Handler& handler_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  std::size_t unsentBytes_ = 0;  // over all streams
  Instant now_, allowanceAt_;    // allowanceAt_: when the allowance was last updated
  double allowance_;             // of frames that carry no work
  bool hasFailed_ = false, isGoingAway_ = false;
};

}  // namespace gulltrestle::http2
