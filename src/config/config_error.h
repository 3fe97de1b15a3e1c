// The error of the configuration layer.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::config {

// Reports an invalid configuration. The message consists of the key, as its path from the top of the
// document, and the error. A retry succeeds only after the configuration has changed.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string_view key, std::string_view fault)
      : std::runtime_error(std::string(key) + ": " + std::string(fault)) {}
};

}  // namespace gulltrestle::config
