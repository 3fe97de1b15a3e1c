// Messages between a proxy and an external processor, by the public ext_proc interface: read into and written
// from values. The only place that knows their form.
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

// Bytes that are no message of the interface.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Which part of the HTTP exchange a message is about.
enum class Phase {
  none,
  requestHeaders,
  responseHeaders,
  requestBody,
  responseBody,
  requestTrailers,
  responseTrailers
};

// Names are in lower case.
struct Header {
  std::string name, value;
  bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;

// A message of the proxy.
struct Request {
  Phase phase = Phase::none;
  Headers headers;             // of the two phases that have any
  bool wantsNoAnswer = false;  // the proxy only reports what passes
};

// Throws Malformed. Unknown fields are skipped; of a header's two forms of value the raw one counts if it is
// there.
Request readRequest(std::string_view bytes);

// The answer by which the phase goes on, with these headers in place of any of their names.
std::string continued(Phase phase, const Headers& set = {}, const std::vector<std::string>& removed = {});
// An answer to the proxy's client, which ends the exchange.
struct Immediate {
  int status = 500;
  Headers headers;
  std::string body, details;
};
std::string answered(const Immediate& answer);
// The proxy is asked to wait so long, from now, for the answer to the same phase; in whole microseconds.
std::string wait(Duration time);

// --- The proxy's side, for fake servers and tests.

// `raw`: the form of the header values.
std::string request(const Request& request, bool raw = true);
// The processor's answer, as the proxy's side reads it.
struct Response {
  Phase phase = Phase::none;  // that goes on
  Headers set;
  std::vector<std::string> removed;
  bool isImmediate = false;
  Immediate immediate;
  Duration wait;  // zero: not requested
};
Response readResponse(std::string_view bytes);

}  // namespace gulltrestle::ext_proc
