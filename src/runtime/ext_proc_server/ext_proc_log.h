// The log lines of the external processor: one function per kind of event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "downstream/ext_proc/request_streams.h"
#include "runtime/ext_proc_server/ext_proc_config.h"

namespace gulltrestle::ext_proc_server {

// `start`: the name of this start of the program.
void logListening(const ExtProcConfig& config, std::string_view start);

// An event of the request streams, whose fields are put together there.
void logStreamEvent(std::string_view event, std::string_view fields);

// Counts since the start, and how many transactions are remembered and leases in use now.
void logCounts(const downstream::ext_proc::RequestStreams::Counts& counts, std::size_t remembered,
               std::size_t leasesInUse);

// A health check failed because of an exception.
void logHealthCheckFailed(std::string_view address, std::string_view error);

}  // namespace gulltrestle::ext_proc_server
