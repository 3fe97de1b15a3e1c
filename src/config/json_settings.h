// The settings of a deployment, from a JSON document.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "deployment/routing_config.h"
#include "protocol/json/json.h"

namespace gulltrestle::config {

// Provides the values of a JSON object by dotted name, as defined by deployment::SettingsSource. Copies the
// values.
class JsonSettings final : public deployment::SettingsSource {
 public:
  explicit JsonSettings(const json::Value& settings) { add("", settings); }
  std::optional<std::string_view> find(std::string_view name) const override;

 private:
  void add(const std::string& name, const json::Value& value);
  void addList(const std::string& name, const json::Value& list);

  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace gulltrestle::config
