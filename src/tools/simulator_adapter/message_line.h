// One line of the simulator protocol: a tag and its name=value parts, with the typed access of a
// deployment::SettingsSource.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "deployment/routing_config.h"

namespace gulltrestle::simulator_adapter {

using deployment::InvalidField;
using deployment::toNumber;
using deployment::toWhole;

// Views into the text it was made from, which must outlive it.
class MessageLine final : public deployment::SettingsSource {
 public:
  explicit MessageLine(std::string_view text);

  std::string_view tag() const { return tag_; }
  std::optional<std::string_view> find(std::string_view name) const override;

  struct Part {
    std::string_view name;
    std::string_view value;
  };
  const std::vector<Part>& parts() const { return parts_; }

 private:
  std::string_view tag_;
  std::vector<Part> parts_;
};

}  // namespace gulltrestle::simulator_adapter
