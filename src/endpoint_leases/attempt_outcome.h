// The outcome of an attempt that a proxy executed under a lease, derived from what the proxy reports: the one
// place where a report becomes an AttemptOutcome. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

// How much of a request is known to have been written to a node.
enum class Written { unknown, nothing, something };

// What a proxy reports of an attempt once it has the answer's headers.
struct ProxyReport {
  int status = 0;  // of HTTP
  Written written = Written::unknown;
  std::optional<std::string> said;    // the node's own outcome: `committed`, `miss`, `turned-away` or `error`
  std::optional<std::string> sentTo;  // where the proxy sent it, as address:port
  LoadReport standing;                // what the node reported of itself
};

// Whether the node itself answered, which is known if it reported its load or the outcome; else the answer
// may be the proxy's own.
bool fromNode(const ProxyReport& report);

// `leasedAddress`: where the lease sent it. An answer of any other node counts as cancelled: the attempt may
// have run there, and its data may be too old.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& leasedAddress);

// Without any report: the exchange was cancelled by the proxy or its connection, or ended silently; or
// (`hasTimedOut`) nothing came for as long as the attempt may take.
AttemptOutcome outcomeWithoutReport(bool hasTimedOut);

// What the report says of the leased node's load; empty if another node answered.
LoadReport learnt(const ProxyReport& report, const std::string& leasedAddress);

}  // namespace gulltrestle::endpoint_leases
