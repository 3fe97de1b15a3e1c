#include "runtime/ext_proc_server/ext_proc_log.h"

#include <spdlog/spdlog.h>

namespace gulltrestle::ext_proc_server {

void logListening(const ExtProcConfig& config, std::string_view incarnation) {
  spdlog::info(
      "event=ext_proc.listening address={}:{} placement={} start={}", config.listen.host, config.listen.port,
      config.placement == endpoint_leases::ProxyPlacement::perAttempt ? "try" : "request", incarnation);
}

void logStreamEvent(std::string_view event, std::string_view fields) {
  spdlog::info("event={} {}", event, fields);
}

void logCounts(const downstream::ext_proc::RequestStreams::Counts& counts, std::size_t rememberedTransactions,
               std::size_t outstandingLeases) {
  spdlog::info(
      "event=ext_proc.counts requested={} granted={} committed={} rejected={} rolled_back={} denied={} "
      "unreported={} misused={} malformed={} remembered={} outstanding_leases={}",
      counts.requested, counts.granted, counts.committed, counts.rejected, counts.rolledBack, counts.denied,
      counts.unreported, counts.misused, counts.malformed, rememberedTransactions, outstandingLeases);
}

void logHealthCheckFailed(std::string_view address, std::string_view error) {
  spdlog::warn("event=ext_proc.health_check_failed address={} reason=\"{}\"", address, error);
}

}  // namespace gulltrestle::ext_proc_server
