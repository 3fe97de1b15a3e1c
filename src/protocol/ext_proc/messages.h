// Codec for the messages of the public ext_proc interface between a proxy and an external processor. No other
// module depends on their wire format.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace gulltrestle::ext_proc {

// The gRPC method that proxies call.
constexpr std::string_view kMethod = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

// Bytes that are not a valid ext_proc message.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The part of the HTTP exchange that a message is about.
enum class Phase {
  none,
  requestHeaders,
  responseHeaders,
  requestBody,
  responseBody,
  requestTrailers,
  responseTrailers
};

// An HTTP header. Names that are read from a request are in lower case.
struct Header {
  std::string name, value;
  bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;

// A message from the proxy.
struct Request {
  Phase phase = Phase::none;
  Headers headers;                   // only in the two header phases
  bool isObservabilityMode = false;  // observability mode: the proxy expects no response
};

// Decodes a message from the proxy. Throws Malformed. Unknown fields are skipped. If a header has both forms
// of value, the raw one takes precedence.
Request readRequest(std::string_view bytes);

// Encodes a response that continues the phase. `set` replaces any headers of the same names; headers named in
// `removed` are removed.
std::string encodeContinue(Phase phase, const Headers& set = {},
                           const std::vector<std::string>& removed = {});
// A response that the proxy sends to its client and that ends the exchange.
struct ImmediateAnswer {
  int status = 500;
  Headers headers;
  std::string body, details;
};
// Encodes an immediate response.
std::string encodeImmediateResponse(const ImmediateAnswer& answer);
// Encodes a message that sets the proxy's timeout for the response to the current phase, counted from now.
// The time is sent in whole microseconds.
std::string encodeTimeoutOverride(Duration time);

// --- The proxy's end, for fake servers and tests

// Encodes a message from the proxy. `raw` selects raw_value rather than value for the header values.
std::string encodeRequest(const Request& request, bool raw = true);
// A message from the processor, as decoded by the proxy.
struct Response {
  Phase phase = Phase::none;  // the phase that continues
  Headers set;
  std::vector<std::string> removed;
  bool isImmediate = false;
  ImmediateAnswer immediate;
  Duration timeoutOverride;  // the requested timeout; zero: not requested
};
// Decodes a message from the processor. Throws Malformed.
Response readResponse(std::string_view bytes);

}  // namespace gulltrestle::ext_proc
