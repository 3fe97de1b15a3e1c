#include "endpoint_leases/attempt_outcome.h"

namespace gulltrestle::endpoint_leases {

namespace {

bool wasSentElsewhere(const ProxyReport& report, const std::string& leasedAddress) {
  return report.sentTo && *report.sentTo != leasedAddress;
}

}  // namespace

bool fromNode(const ProxyReport& report) {
  return report.said || report.standing.role != Role::unknown || report.standing.position;
}

// The outcome that the node reported takes precedence. Else the status decides, read so that nothing that may
// have run counts as never run: a 503 or 429 may come from a proxy or node that had started, unless the
// report says that nothing was written. By 421 (misdirected) a node states that it is the wrong one, and did
// nothing. Guards rule 2 against statuses that promise more than is known; may hurt at-most-once transactions
// at nodes that reject with a bare 503: they are rolled back, where a node that reports `turned-away` lets
// them be retried elsewhere.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& leasedAddress) {
  if (report.written == Written::nothing) {
    if (report.said == "turned-away") return AttemptOutcome::rejected;
    return fromNode(report) ? AttemptOutcome::notSent : AttemptOutcome::noConnection;
  }
  if (wasSentElsewhere(report, leasedAddress)) return AttemptOutcome::cancelled;
  if (report.said == "committed") return AttemptOutcome::committed;
  if (report.said == "miss") return AttemptOutcome::wrongNode;
  if (report.said == "turned-away") return AttemptOutcome::rejected;
  if (report.said) return AttemptOutcome::error;
  if (report.status == 421 && fromNode(report)) return AttemptOutcome::wrongNode;
  if (report.status >= 200 && report.status < 500 && report.status != 429 && report.status != 421)
    return AttemptOutcome::committed;
  if (report.status == 504) return AttemptOutcome::timeout;
  return fromNode(report) ? AttemptOutcome::error : AttemptOutcome::connectionLost;
}

AttemptOutcome outcomeWithoutReport(bool hasTimedOut) {
  return hasTimedOut ? AttemptOutcome::timeout : AttemptOutcome::cancelled;
}

LoadReport learnt(const ProxyReport& report, const std::string& leasedAddress) {
  return wasSentElsewhere(report, leasedAddress) || report.written == Written::nothing ? LoadReport()
                                                                                       : report.standing;
}

}  // namespace gulltrestle::endpoint_leases
