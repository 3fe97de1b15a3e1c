// Derives the outcome of an attempt that a proxy executed under an endpoint lease from the proxy's report.
// This is the only place that converts a report to an AttemptOutcome. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

// How much of a request is known to have been written to a node.
enum class WriteProgress { unknown, none, some };

// A proxy's report on an attempt, sent once it has the headers of the answer.
struct ProxyReport {
  int httpStatus = 0;
  WriteProgress writeProgress = WriteProgress::unknown;
  // The outcome that the node reported: `committed`, `miss`, `turned-away` or `error`.
  std::optional<std::string> nodeOutcome;
  std::optional<std::string> sentToAddress;  // where the proxy sent the attempt, as address:port
  LoadReport loadReport;                     // the node's own
};

// Returns whether the node itself is known to have answered, because it reported its load or the outcome.
// Otherwise the proxy may have generated the answer.
bool isFromNode(const ProxyReport& report);

// `leasedAddress`: the address that the lease allowed the attempt to be sent to. An answer of any other node
// counts as cancelled: the attempt may have run there, and that node's data may be too old.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& leasedAddress);

// The outcome without a report: the proxy cancelled the exchange, its connection was lost, or the exchange
// ended silently.
constexpr AttemptOutcome kUnreportedOutcome = AttemptOutcome::cancelled;
// The outcome if no report arrives within the attempt's time limit.
constexpr AttemptOutcome kReportTimeoutOutcome = AttemptOutcome::timeout;

// Returns the load report of the leased node; empty if another node answered or if nothing was written.
LoadReport loadReportOf(const ProxyReport& report, const std::string& leasedAddress);

}  // namespace gulltrestle::endpoint_leases
