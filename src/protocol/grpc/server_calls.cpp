#include "protocol/grpc/server_calls.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::grpc {

namespace {

constexpr std::size_t kHead = 5;  // a flag and four bytes of length

std::string_view valueOf(const http2::Headers& headers, std::string_view name) {
  const auto at = std::find_if(headers.begin(), headers.end(), [&](auto& h) { return h.first == name; });
  return at == headers.end() ? std::string_view() : std::string_view(at->second);
}

// Texts of a status go percent-encoded.
std::string encoded(std::string_view text) {
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
  if (!text.empty()) fields.emplace_back("grpc-message", encoded(text));
  return fields;
}

}  // namespace

std::string framed(std::string_view message) {
  std::string out(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(message.size() >> shift & 0xFF);
  return out.append(message);
}

Cut cutMessage(std::string_view& bytes, std::size_t longest, std::string_view& message) {
  if (bytes.size() < kHead) return Cut::none;
  if (bytes[0] != 0) return Cut::compressed;
  std::size_t size = 0;
  for (std::size_t i = 1; i < kHead; ++i) size = size << 8 | static_cast<unsigned char>(bytes[i]);
  if (size > longest) return Cut::tooLong;
  if (bytes.size() < kHead + size) return Cut::none;
  message = bytes.substr(kHead, size);
  bytes.remove_prefix(kHead + size);
  return Cut::message;
}

ServerCalls::ServerCalls(std::string method, Bounds bounds, CallHandler& receiver)
    : method_(std::move(method)),
      bounds_(bounds),
      receiver_(receiver),
      session_(http2::Session::Side::server, bounds.connection, *this) {}

ServerCalls::Call* ServerCalls::find(CallId id) {
  const auto at = calls_.find(id);
  return at == calls_.end() || at->second.finished ? nullptr : &at->second;
}

void ServerCalls::headers(http2::StreamId id, http2::Headers headers) {
  if (calls_.contains(id)) return;  // trailers, which mean nothing here
  if (valueOf(headers, ":method") != "POST" ||
      !valueOf(headers, "content-type").starts_with("application/grpc"))
    return session_.respondAndEnd(id, {{":status", "415"}});
  calls_.try_emplace(id);
  receiver_.opened(id);
  if (valueOf(headers, ":path") != method_)
    return finish(id, Status::unimplemented, "this method is not served here");
  const auto encoding = valueOf(headers, "grpc-encoding");
  if (!encoding.empty() && encoding != "identity")
    finish(id, Status::unimplemented, "messages are taken as they are, not compressed");
}

void ServerCalls::data(http2::StreamId id, std::string_view bytes) {
  Call* call = find(id);
  if (!call) return;
  std::string whole;
  if (!call->kept.empty()) {
    whole = std::exchange(call->kept, {}).append(bytes);
    bytes = whole;
  }
  for (;;) {
    std::string_view message;
    switch (cutMessage(bytes, bounds_.longestMessage, message)) {
      case Cut::none:
        call->kept = bytes;
        return;
      case Cut::compressed:
        return finish(id, Status::unimplemented, "messages are taken as they are, not compressed");
      case Cut::tooLong:
        return finish(id, Status::resourceExhausted, "the message is too long");
      case Cut::message:
        receiver_.message(id, message);
        call = find(id);
        if (!call) return;
    }
  }
}

void ServerCalls::halfClosed(http2::StreamId id) {
  Call* call = find(id);
  if (!call) return;
  if (!call->kept.empty()) return finish(id, Status::invalidArgument, "a message is cut short");
  receiver_.halfClosed(id);
}

void ServerCalls::closed(http2::StreamId id, http2::Code code) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  const bool finished = at->second.finished;
  calls_.erase(at);
  receiver_.ended(id, !finished || code != http2::Code::none);
}

void ServerCalls::send(CallId id, std::string_view message) {
  Call* call = find(id);
  if (!call) return;
  if (!std::exchange(call->answered, true))
    session_.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}});
  session_.send(id, framed(message));
}

void ServerCalls::finish(CallId id, Status status, std::string_view text) {
  Call* call = find(id);
  if (!call) return;
  call->finished = true;
  if (call->answered) return session_.end(id, statusFields(status, text));
  http2::Headers all{{":status", "200"}, {"content-type", "application/grpc"}};
  for (auto& field : statusFields(status, text)) all.push_back(std::move(field));
  session_.respondAndEnd(id, all);
}

}  // namespace gulltrestle::grpc
