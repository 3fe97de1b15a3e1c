#include "runtime/ext_proc_server/ext_proc_config.h"

#include <algorithm>
#include <utility>

#include "config/config_section.h"

namespace gulltrestle::ext_proc_server {

namespace {

using config::ConfigError;
using config::ConfigSection;
using config::IntegerField;
using config::MillisecondsField;
using config::StringField;

// Reads an HTTP/2 header name: lowercase, and without characters that would end the name.
std::string readHeaderName(ConfigSection& section, const std::string& key, const std::string& defaultName) {
  const std::string name = section.read(StringField{key, defaultName});
  const bool isValid = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  if (!isValid) throw ConfigError(section.path(key), "'" + name + "' is not a lowercase header name");
  return name;
}

endpoint_leases::ProxyPlacement readPlacement(ConfigSection& top) {
  const std::string placement = top.read(StringField{"placement", "try"});
  if (placement == "try") return endpoint_leases::ProxyPlacement::perAttempt;
  if (placement == "request") return endpoint_leases::ProxyPlacement::perRequest;
  throw ConfigError("placement", "'" + placement + "' is neither try nor request");
}

std::string readHealthCheckPath(ConfigSection& top) {
  const std::string path = top.read(StringField{"probe_path"});
  if (!path.empty() && (path[0] != '/' || path.find_first_of(" \r\n") != std::string::npos))
    throw ConfigError("probe_path", "'" + path + "' is not an absolute path without spaces or line breaks");
  return path;
}

void readLimits(ConfigSection limits, ExtProcConfig& config) {
  config.maxConnections = limits.read(IntegerField{"connections", config.maxConnections, 1, 10'000});
  config.streams.maxStreams = limits.read(IntegerField{"streams", config.streams.maxStreams, 1, 100'000});
  config.maxMessageBytes =
      limits.read(IntegerField{"message_bytes", config.maxMessageBytes, 1024, 4 * 1024 * 1024});
  config.registryLimits.maxTransactionsPerKind =
      limits.read(IntegerField{"remembered", config.registryLimits.maxTransactionsPerKind, 100, 10'000'000});
  limits.rejectUnknownKeys();
}

void readHeaderNames(ConfigSection section, downstream::ext_proc::HeaderNames& headers) {
  for (auto [key, name] : {std::pair{"id", &headers.id},
                           {"type", &headers.transactionClass},
                           {"group", &headers.group},
                           {"session", &headers.session},
                           {"patience", &headers.remainingTime},
                           {"write_age", &headers.writeAge},
                           {"attempt", &headers.attempt},
                           {"written", &headers.writeProgress},
                           {"destination", &headers.destination},
                           {"submission", &headers.leaseToken},
                           {"send_within", &headers.leaseDuration},
                           {"outcome", &headers.outcome},
                           {"retry_after", &headers.retryAfter},
                           {"node_role", &headers.loadReport.role},
                           {"node_position", &headers.loadReport.position},
                           {"node_outcome", &headers.nodeOutcome},
                           {"node_in_hand", &headers.loadReport.inFlight},
                           {"sent_to", &headers.sentToAddress}})
    *name = readHeaderName(section, key, *name);
  section.rejectUnknownKeys();
}

ExtProcConfig readDocument(const json::Value& document) {
  ConfigSection top(document);
  ExtProcConfig config;
  config.listen = config::readAddress("listen", top.read(StringField{"listen"}));
  config.placement = readPlacement(top);
  auto& messageTimeout = config.streams.messageTimeout;
  messageTimeout.timeout =
      top.read(MillisecondsField{"message_timeout_ms", messageTimeout.timeout, 20, 600'000});
  messageTimeout.maxExtension =
      top.read(MillisecondsField{"max_message_timeout_ms", messageTimeout.maxExtension, 0, 600'000});
  config.healthCheckPath = readHealthCheckPath(top);
  readLimits(top.section("limits"), config);
  readHeaderNames(top.section("headers"), config.headers);
  top.rejectUnknownKeys();
  return config;
}

}  // namespace

ExtProcConfig readExtProcConfig(std::string_view text) { return readDocument(config::parseDocument(text)); }

ExtProcConfig readExtProcConfigFile(const std::string& path) {
  return readDocument(config::loadDocument(path));
}

}  // namespace gulltrestle::ext_proc_server
