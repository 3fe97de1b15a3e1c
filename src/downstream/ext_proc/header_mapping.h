// Which headers say what of a txn, and how a request's headers become one. Names are from the configuration.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoint_leases/attempt_outcome.h"
#include "endpoint_leases/lease_registry.h"
#include "protocol/ext_proc/messages.h"
#include "protocol/load_report/load_report.h"
#include "routing/router.h"

namespace gulltrestle::downstream::ext_proc {

namespace wire = gulltrestle::ext_proc;

// Names of headers, in lower case.
struct HeaderNames {
  // Of a request, by whoever asks.
  std::string id = "x-txn-id", type = "x-txn-type", group = "x-txn-group", session = "x-txn-session",
              patience = "x-txn-patience-ms", writeAge = "x-txn-write-age-ms",
              attempt = "x-envoy-attempt-count", written = "x-txn-written";
  // Of a decision; the token of its attempt is also read from a request.
  std::string destination = "x-gateway-destination-endpoint", token = "x-txn-submission",
              sendWithin = "x-txn-send-within-ms", outcome = "x-txn-outcome",
              retryAfterMs = "x-txn-retry-after-ms";
  // Of a node's answer, with those of its standing.
  std::string nodeOutcome = "x-node-outcome", sentTo = "x-txn-sent-to";
  load_report::Names node;
};

// What can't be taken for a txn; the message names the header.
class InvalidHeader : public std::runtime_error {
 public:
  InvalidHeader(const std::string& name, const std::string& what) : std::runtime_error(name + ": " + what) {}
};

// Reads transactions and proxies' reports from HTTP headers, by configured names.
class HeaderMapping {
 public:
  HeaderMapping(HeaderNames names, const RoutingConfig& terms, const std::vector<std::string>& typeNames);

  struct ParsedRequest {
    Transaction txn;  // without a number and earlier tries
    endpoint_leases::LeaseRequest ask;
  };
  // Throws BadHeader.
  ParsedRequest read(const wire::Headers& headers) const;
  // Never throws: what can't be read is left out, so that nothing is learnt from it.
  endpoint_leases::ProxyReport report(const wire::Headers& headers) const;

  const HeaderNames& names() const { return names_; }

 private:
  HeaderNames names_;
  std::vector<TransactionClass> types_;
  std::map<std::string, std::size_t, std::less<>> rows_;
  bool carried_;
};

}  // namespace gulltrestle::downstream::ext_proc
