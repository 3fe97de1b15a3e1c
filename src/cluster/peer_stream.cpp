#include "cluster/peer_stream.h"

#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::cluster {

using event_loop::IoStatus;

namespace {

// Maximum number of buffered bytes that are not sent yet. A stream that exceeds it is closed.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

bool expectsReply(const PeerMessage& message) {
  return std::holds_alternative<Greeting>(message) || std::holds_alternative<Claim>(message) ||
         std::holds_alternative<Heartbeat>(message);
}

}  // namespace

bool PeerStream::open(const std::string& authority) {
  isOpen_ = stream_.canWrite() && event_loop::isConnected(stream_.descriptor());
  if (!isOpen_) return false;
  call_ = session_.request({{":method", "POST"},
                            {":scheme", "http"},
                            {":path", std::string(kMethod)},
                            {":authority", authority},
                            {"content-type", "application/grpc"},
                            {"te", "trailers"}});
  return true;
}

void PeerStream::send(const PeerMessage& message) {
  session_.send(call_, grpc::framed(encoded(message)));
  if (replyDue_ != Instant() || !expectsReply(message)) return;
  replyDue_ = loop_.now() + kReplyTimeout;
  stream_.wakeAt(replyDue_);
}

void PeerStream::flush() {
  if (!isOpen_ || isClosed_) return;
  unsent_ += session_.output();
  while (!unsent_.empty()) {
    const std::string_view bytes = unsent_;
    const auto written = stream_.write({&bytes, 1});
    if (written.status == IoStatus::failed) isClosed_ = true;
    if (written.status != IoStatus::ok) break;
    unsent_.erase(0, written.size);
  }
  if (unsent_.size() > kMaxUnsentBytes) isClosed_ = true;
  if (isClosed_) stream_.wake();
}

void PeerStream::onBytes(Instant now, std::string_view bytes) {
  replyDue_ = Instant();
  if (!session_.received(now, bytes)) isClosed_ = true;
}

std::optional<std::string_view> PeerStream::nextReply() {
  std::string_view rest = received_, message;
  rest.remove_prefix(consumed_);
  const grpc::FrameStatus status = grpc::takeMessage(rest, kMaxMessageBytes, message);
  consumed_ = received_.size() - rest.size();
  if (status == grpc::FrameStatus::complete) return message;
  isMalformed_ = status != grpc::FrameStatus::incomplete;
  received_.erase(0, std::exchange(consumed_, 0));
  return std::nullopt;
}

}  // namespace gulltrestle::cluster
