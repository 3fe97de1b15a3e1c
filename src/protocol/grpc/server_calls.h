// Server end of gRPC on one HTTP/2 connection, without a socket. Serves streaming calls of one method and
// delivers complete messages, reassembled from DATA frames. Follows the public specification of gRPC over
// HTTP/2.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/memory_budget.h"
#include "protocol/http2/session.h"

namespace gulltrestle::grpc {

using CallId = http2::StreamId;

// The gRPC status codes that are sent here.
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
  // The client has half-closed the call: it sends no more messages.
  virtual void halfClosed(CallId call) = 0;
  // Called exactly once for each opened call, however it ended. Messages sent for the call afterwards are
  // dropped. `wasAborted`: the client reset the call or the connection was lost.
  virtual void ended(CallId call, bool wasAborted) = 0;
};

// Limits on one connection and its messages.
struct Bounds {
  http2::Bounds connection;
  std::size_t maxMessageBytes = 64 * 1024;
};

// The calls on one connection. Calls of any method other than `method` are finished with
// Status::unimplemented. Not thread-safe; the handler must outlive it.
class ServerCalls final : private http2::Handler {
 public:
  // `budget`: for the incomplete header blocks and messages, of this and other connections. A call that would
  // exceed it is finished with Status::resourceExhausted, or reset if its headers are incomplete.
  ServerCalls(std::string method, Bounds bounds, MemoryBudget& budget, CallHandler& handler);

  // These forward to http2::Session.
  bool received(Instant now, std::string_view bytes) { return session_.received(now, bytes); }
  std::string output() { return session_.output(); }
  bool done() const { return session_.done(); }
  void connectionEnded() { session_.connectionEnded(); }
  void goAway() { session_.goAway(); }
  void finishGoingAway() { session_.finishGoingAway(); }
  // The number of open calls.
  std::size_t open() const { return calls_.size(); }

  // Sends a message; ignored if the call is finished or closed.
  void send(CallId call, std::string_view message);
  // Finishes the call after all messages sent before.
  void finish(CallId call, Status status, std::string_view text = {});

 private:
  struct Call {
    explicit Call(MemoryBudget& budget) : receivedShare(budget) {}
    std::string received;  // bytes of an incomplete message
    MemoryShare receivedShare;
    bool hasAnswer = false;   // the response headers were sent
    bool isFinished = false;  // by the server
  };
  void headers(http2::StreamId stream, http2::Headers headers) override;
  void data(http2::StreamId stream, std::string_view bytes) override;
  void halfClosed(http2::StreamId stream) override;
  void closed(http2::StreamId stream, http2::ErrorCode code) override;
  Call* find(CallId call);
  bool isIncomplete(std::string_view bytes) const;
  void accountIncomplete(CallId id, Call& call);

  std::string method_;
  Bounds bounds_;
  MemoryBudget& budget_;
  CallHandler& handler_;
  std::map<CallId, Call> calls_;
  http2::Session session_;
};

// Returns the message with its length prefix.
std::string framed(std::string_view message);
// The state of the first message in a sequence of framed messages.
enum class FrameStatus {
  incomplete,  // the message is not complete yet
  complete,
  tooLong,    // longer than the limit
  compressed  // not supported
};
// Removes the first message from `bytes` if it is complete; otherwise leaves `bytes` unchanged.
FrameStatus takeMessage(std::string_view& bytes, std::size_t maxBytes, std::string_view& message);

}  // namespace gulltrestle::grpc
