// What a proxy asks of an external processor, and what it is told: messages of the public interface, read
// into and written from values. The only place that knows their form.
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

// What a proxy asks.
struct Request {
  Phase phase = Phase::none;
  Headers headers;             // of the two phases that have any
  bool wantsNoAnswer = false;  // the proxy only lets see what passes
};

// Throws Malformed. What is not known is skipped; of a header's two forms of value the raw one counts if it
// is there.
Request readRequest(std::string_view bytes);

// The phase goes on, with these headers set in place of any of their name.
std::string continued(Phase phase, const Headers& set = {}, const std::vector<std::string>& removed = {});
// The exchange ends with this answer to whoever asked.
struct Immediate {
  int status = 500;
  Headers headers;
  std::string body, details;
};
std::string answered(const Immediate& answer);
// The proxy is asked to wait so long, from now, for the answer to the same phase.
std::string wait(Duration time);

// --- The proxy's side, for stand-ins and tests.
std::string request(const Request& request, bool raw = true);
// The processor's answer, as the proxy's side reads it.
struct Response {
  Phase phase = Phase::none;  // of a continue
  Headers set;
  std::vector<std::string> removed;
  bool isImmediate = false;
  Immediate immediate;
  Duration wait;  // zero: not asked for
};
Response readResponse(std::string_view bytes);

}  // namespace gulltrestle::ext_proc
