#include "endpoint_leases/attempt_outcome.h"

#include <string_view>

namespace gulltrestle::endpoint_leases {

namespace {

// The values of the node's outcome header.
constexpr std::string_view kCommitted = "committed", kWrongNode = "miss", kRejected = "turned-away";

// HTTP status codes (RFC 9110, RFC 6585).
constexpr int kFirstSuccess = 200, kMisdirectedRequest = 421, kTooManyRequests = 429, kFirstServerError = 500,
              kGatewayTimeout = 504;

bool wasSentElsewhere(const ProxyReport& report, const std::string& leasedAddress) {
  return report.sentToAddress && *report.sentToAddress != leasedAddress;
}

// If nothing was sent to the node, it has run nothing; the report only gives the reason.
AttemptOutcome outcomeOfUnwritten(const ProxyReport& report) {
  if (report.nodeOutcome == kRejected) return AttemptOutcome::rejected;
  return isFromNode(report) ? AttemptOutcome::notSent : AttemptOutcome::noConnection;
}

AttemptOutcome outcomeOfNode(std::string_view nodeOutcome) {
  if (nodeOutcome == kCommitted) return AttemptOutcome::committed;
  if (nodeOutcome == kWrongNode) return AttemptOutcome::wrongNode;
  return nodeOutcome == kRejected ? AttemptOutcome::rejected : AttemptOutcome::error;
}

// Interprets the status conservatively, so that an attempt that may have run never counts as not run: a 503
// or 429 may come from a proxy or node that had started to execute it, unless the report says that nothing
// was written. By 421 a node states that it is the wrong one and did nothing. Prevents executing an
// at-most-once transaction twice because of statuses that promise more than is known. Trade-off: at-most-once
// transactions at nodes that reject with a bare 503 are rolled back, whereas a node that reports
// `turned-away` allows a retry elsewhere.
AttemptOutcome outcomeOfStatus(const ProxyReport& report) {
  const int status = report.httpStatus;
  if (status == kMisdirectedRequest && isFromNode(report)) return AttemptOutcome::wrongNode;
  if (status >= kFirstSuccess && status < kFirstServerError && status != kTooManyRequests &&
      status != kMisdirectedRequest)
    return AttemptOutcome::committed;
  if (status == kGatewayTimeout) return AttemptOutcome::timeout;
  return isFromNode(report) ? AttemptOutcome::error : AttemptOutcome::connectionLost;
}

}  // namespace

bool isFromNode(const ProxyReport& report) {
  return report.nodeOutcome || report.loadReport.role != Role::unknown || report.loadReport.position;
}

// The outcome that the node reported takes precedence over the status.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& leasedAddress) {
  if (report.writeProgress == WriteProgress::none) return outcomeOfUnwritten(report);
  if (wasSentElsewhere(report, leasedAddress)) return AttemptOutcome::cancelled;
  return report.nodeOutcome ? outcomeOfNode(*report.nodeOutcome) : outcomeOfStatus(report);
}

LoadReport loadReportOf(const ProxyReport& report, const std::string& leasedAddress) {
  const bool isFromLeasedNode =
      report.writeProgress != WriteProgress::none && !wasSentElsewhere(report, leasedAddress);
  return isFromLeasedNode ? report.loadReport : LoadReport();
}

}  // namespace gulltrestle::endpoint_leases
