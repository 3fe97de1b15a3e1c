#include "endpoint_leases/attempt_outcome.h"

namespace gulltrestle::endpoint_leases {

namespace {

bool elsewhere(const Report& report, const std::string& told) {
  return report.sentTo && *report.sentTo != told;
}

}  // namespace

bool fromNode(const Report& report) {
  return report.said || report.standing.role != Role::unknown || report.standing.position;
}

// What the node said of the outcome comes first. Else the status, read so that nothing that may have run
// counts as never run: a 503 or 429 may come from a proxy or node that had begun, unless it says that nothing
// was written. 421 (misdirected) is a node's word that it is the wrong one, and touched nothing. Guards rule
// 2 against statuses that promise more than is known; may hurt once-only txns at nodes that reject with a
// bare 503: they are rolled back where a node that says `turned-away` lets them go elsewhere.
End endOf(const Report& report, const std::string& told) {
  if (report.written == Written::nothing) {
    if (report.said == "turned-away") return End::rejected;
    return fromNode(report) ? End::notSent : End::noConnection;
  }
  if (elsewhere(report, told)) return End::cancelled;
  if (report.said == "committed") return End::committed;
  if (report.said == "miss") return End::notHere;
  if (report.said == "turned-away") return End::rejected;
  if (report.said) return End::error;
  if (report.status == 421 && fromNode(report)) return End::notHere;
  if (report.status >= 200 && report.status < 500 && report.status != 429 && report.status != 421)
    return End::committed;
  if (report.status == 504) return End::timeout;
  return fromNode(report) ? End::error : End::connectionLost;
}

End endUnreported(bool waitedOut) { return waitedOut ? End::timeout : End::cancelled; }

Standing learnt(const Report& report, const std::string& told) {
  return elsewhere(report, told) || report.written == Written::nothing ? Standing() : report.standing;
}

}  // namespace gulltrestle::endpoint_leases
