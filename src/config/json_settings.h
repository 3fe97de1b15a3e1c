// A deployment's settings in a JSON document.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "deployment/routing_config.h"
#include "protocol/json/json.h"

namespace gulltrestle::config {

// The values of a JSON object by dotted name, as deployment::SettingsSource defines it. Keeps copies of them.
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
