#include "protocol/ext_proc/messages.h"

#include <algorithm>
#include <cstdint>

#include "external_processor.pb.h"

namespace gulltrestle::ext_proc {

namespace {

using wire::ProcessingRequest;
using wire::ProcessingResponse;

// Of fields in one message: the bytes are bounded before, and an empty header takes two of them.
constexpr int kMostHeaders = 1000;

std::string lower(std::string_view name) {
  std::string made(name);
  for (char& c : made)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return made;
}

Headers read(const wire::HeaderMap& map) {
  if (map.headers_size() > kMostHeaders) throw Malformed("too many headers");
  Headers made;
  made.reserve(static_cast<std::size_t>(map.headers_size()));
  for (const auto& header : map.headers())
    made.push_back({lower(header.key()), header.raw_value().empty() ? header.value() : header.raw_value()});
  return made;
}

void write(wire::HeaderMutation& to, const Headers& set, const std::vector<std::string>& removed) {
  for (const auto& [name, value] : set) {
    auto& option = *to.add_set_headers();
    option.mutable_header()->set_key(name);
    option.mutable_header()->set_raw_value(value);
    option.set_append_action(wire::HeaderValueOption::OVERWRITE_IF_EXISTS_OR_ADD);
  }
  for (const auto& name : removed) to.add_remove_headers(name);
}

// Begins what a phase is about, in a message of either side; null for the phases that have no headers.
template <typename Message>
auto begin(Message& message, Phase phase) -> decltype(message.mutable_request_headers()) {
  switch (phase) {
    case Phase::requestHeaders:
      return message.mutable_request_headers();
    case Phase::responseHeaders:
      return message.mutable_response_headers();
    case Phase::requestBody:
      message.mutable_request_body();
      break;
    case Phase::responseBody:
      message.mutable_response_body();
      break;
    case Phase::requestTrailers:
      message.mutable_request_trailers();
      break;
    case Phase::responseTrailers:
      message.mutable_response_trailers();
      break;
    case Phase::none:
      break;
  }
  return nullptr;
}

// Which phase it is about.
template <typename Message>
Phase phaseOf(const Message& message) {
  if (message.has_request_headers()) return Phase::requestHeaders;
  if (message.has_response_headers()) return Phase::responseHeaders;
  if (message.has_request_body()) return Phase::requestBody;
  if (message.has_response_body()) return Phase::responseBody;
  if (message.has_request_trailers()) return Phase::requestTrailers;
  return message.has_response_trailers() ? Phase::responseTrailers : Phase::none;
}

Headers read(const wire::HeaderMutation& from) {
  Headers made;
  for (const auto& option : from.set_headers()) {
    const auto& header = option.header();
    made.push_back({header.key(), header.raw_value().empty() ? header.value() : header.raw_value()});
  }
  return made;
}

}  // namespace

Request readRequest(std::string_view bytes) {
  ProcessingRequest message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw Malformed("the message can't be read");
  Request made;
  made.wantsNoAnswer = message.observability_mode();
  made.phase = phaseOf(message);
  if (made.phase == Phase::requestHeaders) made.headers = read(message.request_headers().headers());
  if (made.phase == Phase::responseHeaders) made.headers = read(message.response_headers().headers());
  return made;
}

std::string continued(Phase phase, const Headers& set, const std::vector<std::string>& removed) {
  ProcessingResponse message;
  auto* headers = begin(message, phase);
  if (headers && (!set.empty() || !removed.empty())) {
    auto& response = *headers->mutable_response();
    write(*response.mutable_header_mutation(), set, removed);
    // The endpoint was told by a header: a route that was chosen before is chosen anew.
    if (phase == Phase::requestHeaders) response.set_clear_route_cache(true);
  }
  return message.SerializeAsString();
}

std::string answered(const Immediate& answer) {
  ProcessingResponse message;
  auto& immediate = *message.mutable_immediate_response();
  immediate.mutable_status()->set_code(answer.status);
  write(*immediate.mutable_headers(), answer.headers, {});
  immediate.set_body(answer.body);
  immediate.set_details(answer.details);
  return message.SerializeAsString();
}

std::string wait(Duration time) {
  ProcessingResponse message;
  auto& wait = *message.mutable_override_message_timeout();
  wait.set_seconds(time.inMicros() / 1'000'000);
  wait.set_nanos(static_cast<std::int32_t>(time.inMicros() % 1'000'000 * 1000));
  return message.SerializeAsString();
}

std::string request(const Request& request, bool raw) {
  ProcessingRequest message;
  message.set_observability_mode(request.wantsNoAnswer);
  auto* headers = begin(message, request.phase);
  if (headers) {
    for (const auto& [name, value] : request.headers) {
      auto& header = *headers->mutable_headers()->add_headers();
      header.set_key(name);
      if (raw)
        header.set_raw_value(value);
      else
        header.set_value(value);
    }
  }
  return message.SerializeAsString();
}

Response readResponse(std::string_view bytes) {
  ProcessingResponse message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw Malformed("the message can't be read");
  Response made;
  made.phase = phaseOf(message);
  if (made.phase == Phase::requestHeaders || made.phase == Phase::responseHeaders) {
    const auto& headers =
        made.phase == Phase::requestHeaders ? message.request_headers() : message.response_headers();
    const auto& mutation = headers.response().header_mutation();
    made.set = read(mutation);
    made.removed.assign(mutation.remove_headers().begin(), mutation.remove_headers().end());
  }
  if (message.has_immediate_response()) {
    const auto& immediate = message.immediate_response();
    made.isImmediate = true;
    made.immediate = {immediate.status().code(), read(immediate.headers()), immediate.body(),
                      immediate.details()};
  }
  const auto& wait = message.override_message_timeout();
  made.wait = Duration::micros(wait.seconds() * 1'000'000 + wait.nanos() / 1000);
  return made;
}

}  // namespace gulltrestle::ext_proc
