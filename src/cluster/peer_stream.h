// The client end of a connection to a voter: an HTTP/2 connection with a single gRPC stream. Reads and writes
// do not block; the owner waits on stream().
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/messages.h"
#include "protocol/http2/session.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/stream.h"

namespace gulltrestle::cluster {

// Maximum size of a message, enforced by both ends of a stream.
constexpr std::size_t kMaxMessageBytes = 128 * 1024;

// A stream to one voter, owned by the cluster server's task for that voter.
class PeerStream final : http2::Handler {
 public:
  // Timeout of a connection attempt, and of the reply to a message that has one. Detects a network path that
  // silently drops packets, which is not reported in any other way.
  static constexpr Duration kReplyTimeout = Duration::millis(3000);

  PeerStream(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : loop_(loop),
        stream_(loop, std::move(descriptor)),
        session_(http2::Session::Perspective::client, {}, *this) {}

  event_loop::Stream& stream() { return stream_; }

  // Starts the gRPC call. Returns false if the connection is not established.
  [[nodiscard]] bool open(const std::string& authority);
  // Queues the message. flush() sends all queued messages.
  void send(const PeerMessage& message);
  void flush();

  // Processes bytes that were read from the connection. nextReply() then returns the complete replies.
  void onBytes(Instant now, std::string_view bytes);
  // Returns the next complete reply, or none. The view is valid until the next call of onBytes().
  std::optional<std::string_view> nextReply();

  // The stream has failed or ended.
  bool isClosed() const { return isClosed_; }
  // The received bytes are not a sequence of gRPC messages.
  bool isMalformed() const { return isMalformed_; }
  // An expected reply was not received within kReplyTimeout.
  bool hasTimedOut() const { return replyDue_ != Instant() && loop_.now() >= replyDue_; }

 private:
  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId, std::string_view bytes) override { received_ += bytes; }
  void halfClosed(http2::StreamId) override { isClosed_ = true; }
  void closed(http2::StreamId, http2::ErrorCode) override { isClosed_ = true; }

  event_loop::EventLoop& loop_;
  event_loop::Stream stream_;
  http2::Session session_;
  http2::StreamId call_ = 0;
  std::string received_, unsent_;
  std::size_t consumed_ = 0;  // of received_, by nextReply()
  bool isOpen_ = false, isClosed_ = false, isMalformed_ = false;
  Instant replyDue_;  // never: no reply is expected
};

}  // namespace gulltrestle::cluster
