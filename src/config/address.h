// IPv4 addresses with a port, as written in configuration files and endpoint lists.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gulltrestle::config {

// Address and port of a listening socket or a server. The host is an IPv4 address, not a name: there is no
// name resolution.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Parses `address:port`, with a port from 1 to 65535. Throws ConfigError, which names `key`.
Address readAddress(std::string_view key, std::string_view text);

}  // namespace gulltrestle::config
