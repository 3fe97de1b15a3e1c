// The outcome of an attempt that a proxy executed under an endpoint lease, derived from what the proxy
// reports: the one place where a report becomes an AttemptOutcome. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

// How much of a request is known to have been written to a node.
enum class WriteProgress { unknown, none, some };

// What a proxy reports of an attempt once it has the answer's headers.
struct ProxyReport {
  int httpStatus = 0;
  WriteProgress writeProgress = WriteProgress::unknown;
  // As the node reported it: `committed`, `miss`, `turned-away` or `error`.
  std::optional<std::string> nodeOutcome;
  std::optional<std::string> sentToAddress;  // where the proxy sent the attempt, as address:port
  LoadReport loadReport;                     // the node's own
};

// Whether the node itself answered, which is known if it reported its load or the outcome; else the answer
// may be the proxy's own.
bool isFromNode(const ProxyReport& report);

// `leasedAddress`: where the lease allowed it to be sent. An answer of any other node counts as cancelled:
// the attempt may have run there, and that node's data may be too old.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& leasedAddress);

// Without any report: the proxy or its connection cancelled the exchange, or it ended silently.
constexpr AttemptOutcome kUnreportedOutcome = AttemptOutcome::cancelled;
// Without any report for as long as the attempt may take.
constexpr AttemptOutcome kReportTimeoutOutcome = AttemptOutcome::timeout;

// The load report of the leased node; empty if another node answered, or if nothing was written.
LoadReport loadReportOf(const ProxyReport& report, const std::string& leasedAddress);

}  // namespace gulltrestle::endpoint_leases
