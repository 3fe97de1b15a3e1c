// The format of the endpoint lists that discovery serves, and the HTTP paths that serve them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json/json.h"
#include "routing/router.h"

namespace gulltrestle::config {

// A snapshot of all endpoints, or the changes since an earlier version.
struct EndpointList {
  struct Node {
    EndpointEntry entry;
    std::string address;  // address:port
  };
  std::uint64_t version = 0;
  bool isSnapshot = false;
  std::vector<Node> nodes;
};

// Reads a list. `zone`: zone of this router. Throws ConfigError.
EndpointList readEndpointList(const json::Value& document, const std::string& zone);

// The HTTP paths at which discovery serves the complete list, and its changes after a version.
std::string endpointListPath();
std::string endpointWatchPath(std::uint64_t version);

}  // namespace gulltrestle::config
