// The error of the configuration layer.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::config {

// Configuration that can't be used. The message names the key, by its path from the top of the document, and
// the fault. Trying again helps only after the configuration was changed.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string_view key, std::string_view fault)
      : std::runtime_error(std::string(key) + ": " + std::string(fault)) {}
};

}  // namespace gulltrestle::config
