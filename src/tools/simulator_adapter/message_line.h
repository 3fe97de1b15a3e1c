// Parser for one line of the simulator protocol: a tag, followed by name=value fields that are separated by
// spaces. Fields are read through the typed accessors of deployment::SettingsSource.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "deployment/routing_config.h"

namespace gulltrestle::simulator_adapter {

using deployment::InvalidField;
using deployment::toNumber;
using deployment::toUnsigned;

// A parsed line. It holds views into the text that it was constructed from, which must outlive it.
// If a name occurs several times, its first value counts.
class MessageLine final : public deployment::SettingsSource {
 public:
  // Throws InvalidField for a field without '='.
  explicit MessageLine(std::string_view text);

  std::string_view tag() const { return tag_; }
  std::optional<std::string_view> find(std::string_view name) const override;

  // One name=value pair.
  struct Field {
    std::string_view name;
    std::string_view value;
  };
  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::string_view tag_;
  std::vector<Field> fields_;
};

}  // namespace gulltrestle::simulator_adapter
