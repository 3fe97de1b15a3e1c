// The external processor's own configuration file: reads it, validates each key and fills in defaults.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "config/address.h"
#include "downstream/ext_proc/request_streams.h"
#include "endpoint_leases/lease_registry.h"

namespace gulltrestle::ext_proc_server {

// Configuration of the external processor. Limits are upper bounds.
struct ExtProcConfig {
  config::Address listen;
  endpoint_leases::ProxyPlacement placement = endpoint_leases::ProxyPlacement::perAttempt;
  endpoint_leases::RegistryLimits registryLimits;
  downstream::ext_proc::StreamLimits streams;
  downstream::ext_proc::HeaderNames headers;
  // HTTP path at which nodes serve load reports. If empty, health checks are sent like transactions.
  std::string healthCheckPath;
  std::size_t maxConnections = 16;
  std::size_t maxMessageBytes = 64 * 1024;
  // Not in the file: bytes of incomplete messages that all connections together may buffer.
  std::size_t maxIncompleteBytes = 8 * 1024 * 1024;
};

// Both throw config::ConfigError, which names the key, for invalid values and for unknown keys.
ExtProcConfig readExtProcConfig(std::string_view text);
ExtProcConfig readExtProcConfigFile(const std::string& path);

}  // namespace gulltrestle::ext_proc_server
