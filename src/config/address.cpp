#include "config/address.h"

#include <arpa/inet.h>

#include <charconv>

#include "config/config_error.h"

namespace gulltrestle::config {

Address readAddress(std::string_view key, std::string_view text) {
  Address address;
  const auto colon = text.rfind(':');
  address.host = text.substr(0, colon);
  in_addr ignored{};
  if (colon == std::string_view::npos || inet_pton(AF_INET, address.host.c_str(), &ignored) != 1)
    throw ConfigError(key, "'" + std::string(text) + "' is not an IPv4 address:port");
  const auto port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc{} || end != port.data() + port.size() || address.port == 0)
    throw ConfigError(key, "'" + std::string(text) + "' has an invalid port: expected 1 to 65535");
  return address;
}

}  // namespace gulltrestle::config
