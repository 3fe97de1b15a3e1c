// One end, server or client, of an HTTP/2 connection (RFC 9113), without a socket. Received bytes result in
// calls to a handler; calls to the session produce output bytes. nghttp2 implements framing, header
// compression and flow control; this module enforces the limits on the resources and requests of a peer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/memory_budget.h"
#include "base/time.h"

struct nghttp2_session;

namespace gulltrestle::http2 {

using StreamId = std::int32_t;
using Headers = std::vector<std::pair<std::string, std::string>>;

// The error codes of RFC 9113, section 7, that are sent or handled here.
enum class ErrorCode : std::uint32_t {
  none = 0,
  internal = 2,
  refused = 7,
  cancel = 8,
  enhanceYourCalm = 11
};

// Receives the events of a connection. May call the session from within any of these.
class Handler {
 public:
  virtual ~Handler() = default;
  // A header block is complete: that of a request or response, or trailers if the stream already had one.
  virtual void headers(StreamId stream, Headers headers) = 0;
  virtual void data(StreamId stream, std::string_view bytes) = 0;
  // The peer sends no more on the stream.
  virtual void halfClosed(StreamId stream) = 0;
  // The stream is closed. `code` is not ErrorCode::none if it was reset. No further event is reported for its
  // id.
  virtual void closed(StreamId stream, ErrorCode code) = 0;
};

// Limits on the resources that the peer may occupy.
struct Bounds {
  std::uint32_t maxStreams = 1000;  // open at the same time
  // Uncompressed size of one header block; each field counts 32 bytes more than its name and value.
  std::size_t maxHeaderBytes = 16 * 1024;
  // Bytes queued until the peer opens its windows, over all streams.
  std::size_t maxUnsentBytes = 256 * 1024;
};

// One end of a connection. Not thread-safe; the handler must outlive it.
class Session {
 public:
  enum class Perspective { server, client };
  // `budget`: for header blocks that are being received, together with other owners; null: only `bounds`
  // limit them.
  Session(Perspective perspective, Bounds bounds, Handler& handler, MemoryBudget* budget = nullptr);
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session();

  // Processes all of `bytes`. Returns false if the connection must be closed once the output is written. Its
  // streams are reported as closed before that, or by connectionEnded().
  bool received(Instant now, std::string_view bytes);
  // Returns all bytes to be written now; empty if there are none.
  std::string output();
  // Whether there is nothing more to read or write, or this end has closed the connection.
  bool done() const;
  // Must be called when the connection is lost. Reports every open stream as closed.
  void connectionEnded();

  // Client only: opens a stream. Returns 0 if no more streams can be opened.
  StreamId request(const Headers& headers);
  // Server only: starts the response. send() and end() follow.
  void respond(StreamId stream, const Headers& headers);
  // Server only: sends a response that consists of headers only.
  void respondAndEnd(StreamId stream, const Headers& headers);
  // Queues data until the flow-control windows allow sending it. Resets the stream if the queued data would
  // exceed maxUnsentBytes.
  void send(StreamId stream, std::string_view bytes);
  // Ends the stream after the queued data, with trailers if there are any.
  void end(StreamId stream, Headers trailers = {});
  void reset(StreamId stream, ErrorCode code);
  // Starts the graceful end of the connection: announces it with a GOAWAY that still permits new streams, as
  // the peer may have sent some before it arrives. Once the peer has acknowledged a PING behind it, none can
  // be in transit, and finishGoingAway() is called. Open streams continue.
  void goAway();
  // Sends the GOAWAY that tells the last stream that was received: the peer may repeat later ones elsewhere.
  void finishGoingAway();
  void ping();

  std::size_t openStreams() const { return streams_.size(); }

 private:
  struct Callbacks;
  struct Stream {
    Headers headers;  // of the header block being received
    std::size_t headerBytes = 0;
    std::optional<MemoryShare> headerShare;  // none: there is no budget
    std::string unsent;
    bool hasHeaders = false;    // this end has submitted its headers
    bool hasQueuedEnd = false;  // this end ends the stream after the unsent data
    bool isReset = false;       // by this end
    Headers trailers;           // sent after the unsent data
  };
  Stream* find(StreamId id);
  [[nodiscard]] bool spendAllowance(double cost);
  void submitSettings();
  // Creates the nghttp2 session with its callbacks and options.
  void createSession();

  Perspective perspective_;
  Bounds bounds_;
  Handler& handler_;
  MemoryBudget* budget_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  std::size_t unsentBytes_ = 0;  // over all streams
  Instant now_, allowanceAt_;    // allowanceAt_: when the allowance was last updated
  double allowance_;             // tokens left for frames that carry no work
  bool hasFailed_ = false;
  bool isGoingAway_ = false;  // goAway() was called
  bool hasGoneAway_ = false;  // finishGoingAway() was called
};

}  // namespace gulltrestle::http2
