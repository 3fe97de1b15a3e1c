// One connection to a voter with the gRPC stream on it: HTTP/2 on a socket, as its client. Reads and writes
// without blocking; whoever owns it waits on stream().
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cluster/messages.h"
#include "protocol/http2/session.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/stream.h"

namespace gulltrestle::cluster {

// The longest message that is accepted on a stream, at both ends.
constexpr std::size_t kMaxMessageBytes = 128 * 1024;

// Owned by the cluster server's task for that voter.
class PeerStream final : http2::Handler {
 public:
  // How long a connection attempt may take, and a reply to a message that has one. Guards against a path that
  // swallows what is sent, which shows no other sign.
  static constexpr Duration kReplyTimeout = Duration::millis(3000);

  PeerStream(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : loop_(loop),
        stream_(loop, std::move(descriptor)),
        session_(http2::Session::Side::client, {}, *this) {}

  event_loop::Stream& stream() { return stream_; }

  // Begins the gRPC call if the connection is established. False: it is not.
  [[nodiscard]] bool open(const std::string& authority);
  // Queues the message; flush() sends it.
  void send(const PeerMessage& message);
  void flush();

  // The bytes were read from the connection; nextReply() returns the replies that are complete then.
  void onBytes(Instant now, std::string_view bytes);
  // Valid until onBytes() is called next.
  std::optional<std::string_view> nextReply();

  // The stream can't be used any more: it failed or ended.
  bool isClosed() const { return isClosed_; }
  // What was received is no sequence of gRPC messages.
  bool isMalformed() const { return isMalformed_; }
  // A reply has not come in time.
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
  Instant replyDue_;  // never: no reply is awaited
};

}  // namespace gulltrestle::cluster
