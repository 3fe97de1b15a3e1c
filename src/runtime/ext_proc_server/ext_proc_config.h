// The external processor's own configuration file: read, checked key by key, and given defaults.
#pragma once

#include <string>
#include <string_view>

#include "config/router_config.h"
#include "downstream/ext_proc/request_streams.h"
#include "endpoint_leases/lease_registry.h"

namespace gulltrestle::ext_proc_server {

// Configuration of the external processor.
struct ExtProcConfig {
  config::Address listen;
  endpoint_leases::ProxyPlacement placement = endpoint_leases::ProxyPlacement::perAttempt;
  endpoint_leases::RegistryBounds remembered;
  downstream::ext_proc::Bounds streams;
  downstream::ext_proc::HeaderNames headers;
  std::string probePath;  // of nodes that tell their standing over HTTP; empty: they are probed as always
  std::size_t mostConnections = 16;
  std::size_t longestMessage = 64 * 1024;
};

// Throws config::BadKey, which names the key. Keys that are not known are faults, too.
ExtProcConfig readExtProcConfig(std::string_view text);
ExtProcConfig readExtProcConfigFile(const std::string& path);

}  // namespace gulltrestle::ext_proc_server
