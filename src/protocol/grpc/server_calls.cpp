#include "protocol/grpc/server_calls.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::grpc {

namespace {

// Message prefix: one byte for the compressed flag and four bytes for the message length.
constexpr std::size_t kPrefixBytes = 5;

std::string_view valueOf(const http2::Headers& headers, std::string_view name) {
  const auto at = std::find_if(headers.begin(), headers.end(), [&](auto& h) { return h.first == name; });
  return at == headers.end() ? std::string_view() : std::string_view(at->second);
}

// Encodes a grpc-message value, which gRPC requires to be percent-encoded.
std::string percentEncoded(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c >= ' ' && c <= '~' && c != '%') {
      out += c;
    } else {
      constexpr char kDigits[] = "0123456789ABCDEF";
      const auto byte = static_cast<unsigned char>(c);
      out += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
    }
  }
  return out;
}

http2::Headers statusFields(Status status, std::string_view text) {
  http2::Headers fields{{"grpc-status", std::to_string(static_cast<int>(status))}};
  if (!text.empty()) fields.emplace_back("grpc-message", percentEncoded(text));
  return fields;
}

}  // namespace

std::string framed(std::string_view message) {
  std::string out(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(message.size() >> shift & 0xFF);
  return out.append(message);
}

FrameStatus takeMessage(std::string_view& bytes, std::size_t maxBytes, std::string_view& message) {
  if (bytes.size() < kPrefixBytes) return FrameStatus::incomplete;
  if (bytes[0] != 0) return FrameStatus::compressed;
  std::size_t size = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) size = size << 8 | static_cast<unsigned char>(bytes[i]);
  if (size > maxBytes) return FrameStatus::tooLong;
  if (bytes.size() < kPrefixBytes + size) return FrameStatus::incomplete;
  message = bytes.substr(kPrefixBytes, size);
  bytes.remove_prefix(kPrefixBytes + size);
  return FrameStatus::complete;
}

ServerCalls::ServerCalls(std::string method, Bounds bounds, MemoryBudget& budget, CallHandler& handler)
    : method_(std::move(method)),
      bounds_(bounds),
      budget_(budget),
      handler_(handler),
      session_(http2::Session::Perspective::server, bounds.connection, *this, &budget) {}

ServerCalls::Call* ServerCalls::find(CallId id) {
  const auto at = calls_.find(id);
  return at == calls_.end() || at->second.isFinished ? nullptr : &at->second;
}

void ServerCalls::headers(http2::StreamId id, http2::Headers headers) {
  if (calls_.contains(id)) return;  // trailers, which are not used here
  if (valueOf(headers, ":method") != "POST" ||
      !valueOf(headers, "content-type").starts_with("application/grpc"))
    return session_.respondAndEnd(id, {{":status", "415"}});
  calls_.try_emplace(id, budget_);
  handler_.opened(id);
  if (valueOf(headers, ":path") != method_)
    return finish(id, Status::unimplemented, "this method is not served here");
  const auto encoding = valueOf(headers, "grpc-encoding");
  if (!encoding.empty() && encoding != "identity")
    finish(id, Status::unimplemented, "messages are taken as they are, not compressed");
}

void ServerCalls::data(http2::StreamId id, std::string_view bytes) {
  Call* call = find(id);
  if (!call) return;
  if (!call->received.empty()) {
    // Appended in place: a message may arrive in tens of thousands of frames.
    call->received.append(bytes);
    if (isIncomplete(call->received)) return accountIncomplete(id, *call);
  }
  // The call, and with it the bytes received before, may end while its messages are handled.
  const std::string joined = std::exchange(call->received, {});
  if (!joined.empty()) bytes = joined;
  for (;;) {
    std::string_view message;
    switch (takeMessage(bytes, bounds_.maxMessageBytes, message)) {
      case FrameStatus::incomplete:
        call->received = bytes;
        return accountIncomplete(id, *call);
      case FrameStatus::compressed:
        return finish(id, Status::unimplemented, "messages are taken as they are, not compressed");
      case FrameStatus::tooLong:
        return finish(id, Status::resourceExhausted, "the message is too long");
      case FrameStatus::complete:
        handler_.message(id, message);
        call = find(id);
        if (!call) return;
    }
  }
}

// Whether the first message is still incomplete, and may become complete within the limit on its size.
bool ServerCalls::isIncomplete(std::string_view bytes) const {
  std::string_view message;
  return takeMessage(bytes, bounds_.maxMessageBytes, message) == FrameStatus::incomplete;
}

// Prevents clients that send messages in part and stop from using up the memory of the process. Trade-off:
// while many do, other messages that come in parts are rejected too.
void ServerCalls::accountIncomplete(CallId id, Call& call) {
  if (!call.receivedShare.resize(call.received.size()))
    finish(id, Status::resourceExhausted, "too much is held here");
}

void ServerCalls::halfClosed(http2::StreamId id) {
  Call* call = find(id);
  if (!call) return;
  if (!call->received.empty()) return finish(id, Status::invalidArgument, "a message is cut short");
  handler_.halfClosed(id);
}

void ServerCalls::closed(http2::StreamId id, http2::ErrorCode code) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  const bool wasFinished = at->second.isFinished;
  calls_.erase(at);
  handler_.ended(id, !wasFinished || code != http2::ErrorCode::none);
}

void ServerCalls::send(CallId id, std::string_view message) {
  Call* call = find(id);
  if (!call) return;
  if (!std::exchange(call->hasAnswer, true))
    session_.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}});
  session_.send(id, framed(message));
}

void ServerCalls::finish(CallId id, Status status, std::string_view text) {
  Call* call = find(id);
  if (!call) return;
  call->isFinished = true;
  std::exchange(call->received, {});
  call->receivedShare.release();
  if (call->hasAnswer) return session_.end(id, statusFields(status, text));
  http2::Headers all{{":status", "200"}, {"content-type", "application/grpc"}};
  for (auto& field : statusFields(status, text)) all.push_back(std::move(field));
  session_.respondAndEnd(id, all);
}

}  // namespace gulltrestle::grpc
