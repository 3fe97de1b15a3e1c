#include "config/json_settings.h"

#include <algorithm>

namespace gulltrestle::config {

using json::Value;

namespace {

bool isScalar(const Value& value) {
  return value.kind != Value::Kind::object && value.kind != Value::Kind::array;
}

// The prefix of the dotted names of the members of an object or list with this name.
std::string memberPrefix(const std::string& name) { return name.empty() ? name : name + "."; }

}  // namespace

std::optional<std::string_view> JsonSettings::find(std::string_view name) const {
  const auto found = values_.find(name);
  return found == values_.end() ? std::nullopt : std::optional<std::string_view>(found->second);
}

void JsonSettings::add(const std::string& name, const Value& value) {
  if (value.kind == Value::Kind::object) {
    const std::string prefix = memberPrefix(name);
    for (std::size_t i = 0; i < value.items.size(); ++i) add(prefix + value.names[i], value.items[i]);
  } else if (value.kind == Value::Kind::array) {
    addList(name, value);
  } else if (value.kind != Value::Kind::null) {
    values_[name] = value.text;
  }
}

void JsonSettings::addList(const std::string& name, const Value& list) {
  const std::string prefix = memberPrefix(name);
  values_[prefix + "count"] = std::to_string(list.items.size());
  if (!list.items.empty() && std::all_of(list.items.begin(), list.items.end(), isScalar)) {
    std::string joined;
    for (const Value& item : list.items) joined += (joined.empty() ? "" : ",") + item.text;
    values_[name] = joined;
  } else {
    for (std::size_t i = 0; i < list.items.size(); ++i) add(prefix + std::to_string(i), list.items[i]);
  }
}

}  // namespace gulltrestle::config
