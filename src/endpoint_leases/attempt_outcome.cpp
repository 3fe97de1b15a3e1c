#include "endpoint_leases/attempt_outcome.h"

namespace gulltrestle::endpoint_leases {

namespace {

bool elsewhere(const ProxyReport& report, const std::string& told) {
  return report.sentTo && *report.sentTo != told;
}

}  // namespace

bool fromNode(const ProxyReport& report) {
  return report.said || report.standing.role != Role::unknown || report.standing.position;
}

// What the node said of the outcome comes first. Else the status, read so that nothing that may have run
// counts as never run: a 503 or 429 may come from a proxy or node that had begun, unless it says that nothing
// was written. 421 (misdirected) is a node's word that it is the wrong one, and touched nothing. Guards rule
// 2 against statuses that promise more than is known; may hurt once-only txns at nodes that reject with a
// bare 503: they are rolled back where a node that says `turned-away` lets them go elsewhere.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& told) {
  if (report.written == Written::nothing) {
    if (report.said == "turned-away") return AttemptOutcome::rejected;
    return fromNode(report) ? AttemptOutcome::notSent : AttemptOutcome::noConnection;
  }
  if (elsewhere(report, told)) return AttemptOutcome::cancelled;
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

AttemptOutcome outcomeWithoutReport(bool waitedOut) {
  return waitedOut ? AttemptOutcome::timeout : AttemptOutcome::cancelled;
}

LoadReport learnt(const ProxyReport& report, const std::string& told) {
  return elsewhere(report, told) || report.written == Written::nothing ? LoadReport() : report.standing;
}

}  // namespace gulltrestle::endpoint_leases
