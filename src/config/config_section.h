// One object of a configuration file: what it holds by key, checked, and which keys it may hold.
#pragma once

#include <set>
#include <string>

#include "config/router_config.h"
#include "protocol/json/json.h"

namespace gulltrestle::config {

// The whole of a file. Throws ConfigError.
json::Value readFile(const std::string& path);
json::Value readText(std::string_view text);

// Checked access to one JSON object of a configuration file. Every accessor marks its key as known; end()
// then rejects keys that nobody asked for. Refers to the JSON value, which must outlive it.
class ConfigSection {
 public:
  // `path`: by which its keys are named in faults. Throws ConfigError where the value is no object.
  ConfigSection(const json::Value& value, std::string path);

  // Each throws ConfigError where what is there can't be taken, and gives `otherwise` where nothing is.
  std::string text(const std::string& key, const std::string& otherwise);
  bool flag(const std::string& key, bool otherwise);
  std::size_t whole(const std::string& key, std::size_t otherwise, std::size_t least, std::size_t most);
  double number(const std::string& key, double otherwise, double least, double most);
  Duration millis(const std::string& key, Duration otherwise, std::int64_t least, std::int64_t most);
  // An object; empty where there is none.
  ConfigSection section(const std::string& key);

  bool has(const std::string& key);
  const std::vector<std::string>& keys() const { return value_->names; }
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  // After all that is known was asked for. Guards against misspelt keys, which would pass for their defaults.
  void end() const;

 private:
  const json::Value* find(const std::string& key, json::Value::Kind kind, const char* wanted);
  const json::Value* value_;
  std::string path_;
  std::set<std::string> known_;
};

}  // namespace gulltrestle::config
