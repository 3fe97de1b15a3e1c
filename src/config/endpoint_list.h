// Endpoint lists as discovery serves them, and where it does.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json/json.h"
#include "routing/router.h"

namespace gulltrestle::config {

// A snapshot of all endpoints, or the changes after an earlier version.
struct EndpointList {
  struct Node {
    EndpointEntry entry;
    std::string address;  // as address:port
  };
  std::uint64_t version = 0;
  bool isSnapshot = false;
  std::vector<Node> nodes;
};

// Reads a list. `zone`: this router's own. Throws ConfigError.
EndpointList readEndpointList(const json::Value& document, const std::string& zone);

// The HTTP paths by which discovery serves the whole list, and its changes after a version.
std::string listPath();
std::string watchPath(std::uint64_t version);

}  // namespace gulltrestle::config
