// The server's side of gRPC on one HTTP/2 connection, without a socket: streaming calls of one method.
// Messages are cut out of the data and handed on whole. By the public description of gRPC over HTTP/2.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "protocol/http2/session.h"

namespace gulltrestle::grpc {

using CallId = http2::StreamId;

// The status codes of gRPC that are sent here.
enum class Status {
  ok = 0,
  cancelled = 1,
  invalidArgument = 3,
  deadlineExceeded = 4,
  resourceExhausted = 8,
  unimplemented = 12,
  internal = 13,
  unavailable = 14
};

// Receives the events of all calls on a connection. May call the ServerCalls from within any of these.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  virtual void opened(CallId call) = 0;
  virtual void message(CallId call, std::string_view bytes) = 0;
  // The client sends no more.
  virtual void halfClosed(CallId call) = 0;
  // Reported once for each call that was opened, however it ended: nothing sent for it arrives any more.
  // `wasBrokenOff`: by the other side, or its connection is gone.
  virtual void ended(CallId call, bool wasBrokenOff) = 0;
};

// Limits on one connection and its messages.
struct Bounds {
  http2::Bounds connection;
  std::size_t maxMessageBytes = 64 * 1024;
};

// The calls on one connection. Calls of other methods than the one that is given end as unimplemented. Not
// thread-safe; the handler must outlive it.
class ServerCalls final : private http2::Handler {
 public:
  ServerCalls(std::string method, Bounds bounds, CallHandler& handler);

  // These are those of http2::Session.
  bool received(Instant now, std::string_view bytes) { return session_.received(now, bytes); }
  std::string output() { return session_.output(); }
  bool done() const { return session_.done(); }
  void connectionEnded() { session_.ended(); }
  void goAway() { session_.goAway(); }
  // The number of open calls.
  std::size_t open() const { return calls_.size(); }

  void send(CallId call, std::string_view message);
  // Ends the call, after what was sent.
  void finish(CallId call, Status status, std::string_view text = {});

 private:
  struct Call {
    std::string received;     // of a message that is incomplete
    bool hasAnswer = false;   // its response headers were sent
    bool isFinished = false;  // by this side
  };
  void headers(http2::StreamId stream, http2::Headers headers) override;
  void data(http2::StreamId stream, std::string_view bytes) override;
  void halfClosed(http2::StreamId stream) override;
  void closed(http2::StreamId stream, http2::ErrorCode code) override;
  Call* find(CallId call);

  std::string method_;
  Bounds bounds_;
  CallHandler& handler_;
  std::map<CallId, Call> calls_;
  http2::Session session_;
};

// A message with its length prefix.
std::string framed(std::string_view message);
// What stands at the front of a sequence of framed messages.
enum class FrameStatus {
  incomplete,  // no whole message yet
  complete,
  tooLong,    // longer than is allowed
  compressed  // which is not supported
};
// Takes a complete message off the front of `bytes`; in all other cases these stay as they are.
FrameStatus takeMessage(std::string_view& bytes, std::size_t maxBytes, std::string_view& message);

}  // namespace gulltrestle::grpc
