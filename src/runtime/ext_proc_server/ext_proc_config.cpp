#include "runtime/ext_proc_server/ext_proc_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::ext_proc_server {

namespace {

using config::ConfigError;

using config::ConfigSection;
using config::IntegerField;
using config::MillisecondsField;
using config::StringField;

// A name of HTTP/2: lower case, without what would end it.
std::string headerName(ConfigSection& section, const std::string& key, const std::string& otherwise) {
  const std::string name = section.read(StringField{key, otherwise});
  const bool plain = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  if (!plain) throw ConfigError(section.path(key), "'" + name + "' is no header's name in lower case");
  return name;
}

ExtProcConfig read(const json::Value& all) {
  ConfigSection top(all, "");
  ExtProcConfig setup;
  setup.listen = config::readAddress("listen", top.read(StringField{"listen", ""}));
  const std::string placement = top.read(StringField{"placement", "try"});
  if (placement != "try" && placement != "request")
    throw ConfigError("placement", "'" + placement + "' is neither try nor request");
  setup.placement = placement == "try" ? endpoint_leases::ProxyPlacement::attempts
                                       : endpoint_leases::ProxyPlacement::request;
  auto& time = setup.streams.messageTime;
  time.timeout = top.read(MillisecondsField{"message_timeout_ms", time.timeout, 20, 600'000});
  time.most = top.read(MillisecondsField{"max_message_timeout_ms", time.most, 0, 600'000});
  setup.probePath = top.read(StringField{"probe_path", ""});
  if (!setup.probePath.empty() &&
      (setup.probePath[0] != '/' || setup.probePath.find_first_of(" \r\n") != std::string::npos))
    throw ConfigError("probe_path", "'" + setup.probePath + "' is no path");
  ConfigSection bounds = top.section("limits");
  setup.mostConnections = bounds.read(IntegerField{"connections", setup.mostConnections, 1, 10'000});
  setup.streams.mostStreams = bounds.read(IntegerField{"streams", setup.streams.mostStreams, 1, 100'000});
  setup.longestMessage =
      bounds.read(IntegerField{"message_bytes", setup.longestMessage, 1024, 4 * 1024 * 1024});
  setup.remembered.most = bounds.read(IntegerField{"remembered", setup.remembered.most, 100, 10'000'000});
  bounds.rejectUnknownKeys();
  ConfigSection names = top.section("headers");
  auto& headers = setup.headers;
  for (auto [key, name] : {std::pair{"id", &headers.id},
                           {"type", &headers.type},
                           {"group", &headers.group},
                           {"session", &headers.session},
                           {"patience", &headers.patience},
                           {"write_age", &headers.writeAge},
                           {"attempt", &headers.attempt},
                           {"written", &headers.written},
                           {"destination", &headers.destination},
                           {"submission", &headers.token},
                           {"send_within", &headers.sendWithin},
                           {"outcome", &headers.outcome},
                           {"retry_after", &headers.retryAfterMs},
                           {"node_role", &headers.node.role},
                           {"node_position", &headers.node.position},
                           {"node_outcome", &headers.nodeOutcome},
                           {"node_in_hand", &headers.node.inFlight},
                           {"sent_to", &headers.sentTo}})
    *name = headerName(names, key, *name);
  names.rejectUnknownKeys();
  top.rejectUnknownKeys();
  return setup;
}

}  // namespace

ExtProcConfig readExtProcConfig(std::string_view text) { return read(config::parseDocument(text)); }
ExtProcConfig readExtProcConfigFile(const std::string& path) { return read(config::loadDocument(path)); }

}  // namespace gulltrestle::ext_proc_server
