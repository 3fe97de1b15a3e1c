#include "protocol/ext_proc/messages.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>

#include "external_processor.pb.h"

namespace gulltrestle::ext_proc {

namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using wire::ProcessingRequest;
using wire::ProcessingResponse;

// Maximum per message. The size of a message is limited elsewhere, but an empty header occupies only two
// bytes.
constexpr int kMaxHeaders = 1000;

// Counts the fields that `path` leads to in an encoded message, without parsing it. `path`: the numbers of
// the fields from the outermost message on. Stops at invalid bytes.
int countFields(CodedInputStream& input, std::span<const int> path) {
  int count = 0;
  while (const std::uint32_t tag = input.ReadTag()) {
    if (WireFormatLite::GetTagFieldNumber(tag) != path.front() ||
        WireFormatLite::GetTagWireType(tag) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
      if (!WireFormatLite::SkipField(&input, tag)) break;
      continue;
    }
    std::uint32_t size = 0;
    if (!input.ReadVarint32(&size)) break;
    if (path.size() == 1) {
      ++count;
      if (!input.Skip(static_cast<int>(size))) break;
    } else {
      const auto limit = input.PushLimit(static_cast<int>(size));
      count += countFields(input, path.subspan(1));
      input.PopLimit(limit);
    }
  }
  return count;
}

// Returns the number of headers in an encoded request, over all its phases.
int countHeaders(std::string_view bytes) {
  int count = 0;
  for (const int phase :
       {ProcessingRequest::kRequestHeadersFieldNumber, ProcessingRequest::kResponseHeadersFieldNumber}) {
    CodedInputStream input(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                           static_cast<int>(bytes.size()));
    count += countFields(input, std::array{phase, static_cast<int>(wire::HttpHeaders::kHeadersFieldNumber),
                                           static_cast<int>(wire::HeaderMap::kHeadersFieldNumber)});
  }
  return count;
}

std::string toLower(std::string_view name) {
  std::string lower(name);
  for (char& c : lower)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return lower;
}

Headers read(const wire::HeaderMap& map) {
  Headers headers;
  headers.reserve(static_cast<std::size_t>(map.headers_size()));
  for (const auto& header : map.headers())
    headers.push_back(
        {toLower(header.key()), header.raw_value().empty() ? header.value() : header.raw_value()});
  return headers;
}

void write(wire::HeaderMutation& mutation, const Headers& set, const std::vector<std::string>& removed) {
  for (const auto& [name, value] : set) {
    auto& option = *mutation.add_set_headers();
    option.mutable_header()->set_key(name);
    option.mutable_header()->set_raw_value(value);
    option.set_append_action(wire::HeaderValueOption::OVERWRITE_IF_EXISTS_OR_ADD);
  }
  for (const auto& name : removed) mutation.add_remove_headers(name);
}

// Sets the phase of a request or response message. Returns its headers, or null for phases without headers.
template <typename Message>
auto setPhase(Message& message, Phase phase) -> decltype(message.mutable_request_headers()) {
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

template <typename Message>
Phase phaseOf(const Message& message) {
  if (message.has_request_headers()) return Phase::requestHeaders;
  if (message.has_response_headers()) return Phase::responseHeaders;
  if (message.has_request_body()) return Phase::requestBody;
  if (message.has_response_body()) return Phase::responseBody;
  if (message.has_request_trailers()) return Phase::requestTrailers;
  return message.has_response_trailers() ? Phase::responseTrailers : Phase::none;
}

Headers read(const wire::HeaderMutation& mutation) {
  Headers headers;
  for (const auto& option : mutation.set_headers()) {
    const auto& header = option.header();
    headers.push_back({header.key(), header.raw_value().empty() ? header.value() : header.raw_value()});
  }
  return headers;
}

}  // namespace

// Rejects a message with too many headers before it is parsed: parsing allocates memory for each of them, and
// one connection may send thousands of such messages a second.
Request readRequest(std::string_view bytes) {
  if (countHeaders(bytes) > kMaxHeaders) throw Malformed("too many headers");
  ProcessingRequest message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw Malformed("the message can't be read");
  Request request;
  request.isObservabilityMode = message.observability_mode();
  request.phase = phaseOf(message);
  if (request.phase == Phase::requestHeaders) request.headers = read(message.request_headers().headers());
  if (request.phase == Phase::responseHeaders) request.headers = read(message.response_headers().headers());
  return request;
}

std::string encodeContinue(Phase phase, const Headers& set, const std::vector<std::string>& removed) {
  ProcessingResponse message;
  auto* headers = setPhase(message, phase);
  if (headers && (!set.empty() || !removed.empty())) {
    auto& response = *headers->mutable_response();
    write(*response.mutable_header_mutation(), set, removed);
    // A header names the endpoint, so a route that the proxy selected earlier must be selected again.
    if (phase == Phase::requestHeaders) response.set_clear_route_cache(true);
  }
  return message.SerializeAsString();
}

std::string encodeImmediateResponse(const ImmediateAnswer& answer) {
  ProcessingResponse message;
  auto& immediate = *message.mutable_immediate_response();
  immediate.mutable_status()->set_code(answer.status);
  write(*immediate.mutable_headers(), answer.headers, {});
  immediate.set_body(answer.body);
  immediate.set_details(answer.details);
  return message.SerializeAsString();
}

std::string encodeTimeoutOverride(Duration time) {
  ProcessingResponse message;
  auto& timeoutOverride = *message.mutable_override_message_timeout();
  timeoutOverride.set_seconds(time.inMicros() / 1'000'000);
  timeoutOverride.set_nanos(static_cast<std::int32_t>(time.inMicros() % 1'000'000 * 1000));
  return message.SerializeAsString();
}

std::string encodeRequest(const Request& request, bool raw) {
  ProcessingRequest message;
  message.set_observability_mode(request.isObservabilityMode);
  auto* headers = setPhase(message, request.phase);
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
  Response response;
  response.phase = phaseOf(message);
  if (response.phase == Phase::requestHeaders || response.phase == Phase::responseHeaders) {
    const auto& headers =
        response.phase == Phase::requestHeaders ? message.request_headers() : message.response_headers();
    const auto& mutation = headers.response().header_mutation();
    response.set = read(mutation);
    response.removed.assign(mutation.remove_headers().begin(), mutation.remove_headers().end());
  }
  if (message.has_immediate_response()) {
    const auto& immediate = message.immediate_response();
    response.isImmediate = true;
    response.immediate = {immediate.status().code(), read(immediate.headers()), immediate.body(),
                          immediate.details()};
  }
  const auto& timeoutOverride = message.override_message_timeout();
  response.timeoutOverride =
      Duration::micros(timeoutOverride.seconds() * 1'000'000 + timeoutOverride.nanos() / 1000);
  return response;
}

}  // namespace gulltrestle::ext_proc
