// The log lines of the external processor: one function per kind of event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "downstream/ext_proc/request_streams.h"
#include "runtime/ext_proc_server/ext_proc_config.h"

namespace gulltrestle::ext_proc_server {

// The server listens. `incarnation`: identifies this run of the process.
void logListening(const ExtProcConfig& config, std::string_view incarnation);

// An event of the request streams, which format its fields.
void logStreamEvent(std::string_view event, std::string_view fields);

// Counts since the process start, and the current numbers of remembered transactions and outstanding leases.
void logCounts(const downstream::ext_proc::RequestStreams::Counts& counts, std::size_t rememberedTransactions,
               std::size_t outstandingLeases);

// A health check failed with an exception. `error`: the text of that exception.
void logHealthCheckFailed(std::string_view address, std::string_view error);

}  // namespace gulltrestle::ext_proc_server
