#include "runtime/ext_proc_server/ext_proc_log.h"

#include <spdlog/spdlog.h>

namespace gulltrestle::ext_proc_server {

void logListening(const ExtProcConfig& config, std::string_view start) {
  spdlog::info("event=ext_proc.listening address={}:{} placement={} start={}", config.listen.host,
               config.listen.port,
               config.placement == endpoint_leases::ProxyPlacement::perAttempt ? "try" : "request", start);
}

void logStreamEvent(std::string_view event, std::string_view fields) {
  spdlog::info("event={} {}", event, fields);
}

void logCounts(const downstream::ext_proc::RequestStreams::Counts& counts, std::size_t remembered,
               std::size_t leasesInUse) {
  spdlog::info(
      "event=ext_proc.counts asked={} granted={} committed={} refused={} rolled_back={} denied={} "
      "unreported={} misused={} malformed={} remembered={} grants_out={}",
      counts.requested, counts.granted, counts.committed, counts.rejected, counts.rolledBack, counts.denied,
      counts.unreported, counts.misused, counts.malformed, remembered, leasesInUse);
}

void logHealthCheckFailed(std::string_view address, std::string_view error) {
  spdlog::warn("event=ext_proc.probe_failed address={} why=\"{}\"", address, error);
}

}  // namespace gulltrestle::ext_proc_server
