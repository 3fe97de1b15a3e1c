// The server's side of gRPC on one HTTP/2 connection, without a socket: streaming calls of known methods.
// Messages are cut out of the data and handed on whole. From the public description of gRPC over HTTP/2.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "protocol/http2/session.h"

namespace gulltrestle::grpc {

using CallId = http2::StreamId;

// Codes of the public description that are given here.
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

// What the messages of a call are for. May call Calls from within any of these.
class CallHandler {
 public:
  virtual ~CallHandler() = default;
  virtual void opened(CallId call) = 0;
  virtual void message(CallId call, std::string_view bytes) = 0;
  // The client sends no more.
  virtual void halfClosed(CallId call) = 0;
  // The call is over, however: nothing sent for it arrives any more. Told once for each that was opened.
  // `reset`: it was broken off by the other side, or its connection is gone.
  virtual void ended(CallId call, bool reset) = 0;
};

// Limits on one connection and its messages.
struct Bounds {
  http2::Bounds connection;
  std::size_t longestMessage = 64 * 1024;
};

// The calls on one connection. Serves the one method it is given; others end as unimplemented.
class ServerCalls final : private http2::Handler {
 public:
  ServerCalls(std::string method, Bounds bounds, CallHandler& receiver);

  // As of http2::Session.
  bool received(Instant now, std::string_view bytes) { return session_.received(now, bytes); }
  std::string output() { return session_.output(); }
  bool done() const { return session_.done(); }
  void connectionEnded() { session_.ended(); }
  void goAway() { session_.goAway(); }
  std::size_t open() const { return calls_.size(); }

  void send(CallId call, std::string_view message);
  // Ends the call, after what was sent.
  void finish(CallId call, Status status, std::string_view text = {});

 private:
  struct Call {
    std::string kept;  // of a message that is not whole yet
    bool answered = false, finished = false;
  };
  void headers(http2::StreamId stream, http2::Headers headers) override;
  void data(http2::StreamId stream, std::string_view bytes) override;
  void halfClosed(http2::StreamId stream) override;
  void closed(http2::StreamId stream, http2::Code code) override;
  Call* find(CallId call);

  std::string method_;
  Bounds bounds_;
  CallHandler& receiver_;
  std::map<CallId, Call> calls_;
  http2::Session session_;
};

// A message with the head that goes before it.
std::string framed(std::string_view message);
// Cuts the next message off the front of `bytes`; none if it is not whole yet.
enum class Cut { none, message, tooLong, compressed };
Cut cutMessage(std::string_view& bytes, std::size_t longest, std::string_view& message);

}  // namespace gulltrestle::grpc
