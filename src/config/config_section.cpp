#include "config/config_section.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace gulltrestle::config {

using json::Value;

json::Value readText(std::string_view text) {
  json::Parser parser;
  try {
    parser.feed(text);
    parser.finish();
  } catch (const json::Malformed& bad) {
    throw ConfigError("the file", std::string("is no JSON: ") + bad.what());
  }
  return parser.take();
}

json::Value readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  if (!file || !(all << file.rdbuf())) throw ConfigError("the file", "'" + path + "' can't be read");
  return readText(all.str());
}

ConfigSection::ConfigSection(const Value& value, std::string path) : value_(&value), path_(std::move(path)) {
  if (value.kind != Value::Kind::object)
    throw ConfigError(path_.empty() ? "the file" : path_, "is not an object");
}

const Value* ConfigSection::find(const std::string& key, Value::Kind kind, const char* wanted) {
  known_.insert(key);
  const Value* found = value_->find(key);
  if (!found || found->kind == Value::Kind::null) return nullptr;
  if (found->kind != kind) throw ConfigError(path(key), std::string("is not ") + wanted);
  return found;
}

std::string ConfigSection::text(const std::string& key, const std::string& otherwise) {
  const Value* found = find(key, Value::Kind::string, "a text");
  if (!found) return otherwise;
  if (found->text.empty()) throw ConfigError(path(key), "is empty");
  return found->text;
}

bool ConfigSection::flag(const std::string& key, bool otherwise) {
  const Value* found = find(key, Value::Kind::boolean, "true or false");
  return found ? found->text == "true" : otherwise;
}

std::size_t ConfigSection::whole(const std::string& key, std::size_t otherwise, std::size_t least,
                                 std::size_t most) {
  const Value* found = find(key, Value::Kind::number, "a number");
  if (!found) return otherwise;
  std::size_t value = 0;
  const auto& text = found->text;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < least || value > most)
    throw ConfigError(path(key), "'" + text + "' is no whole number from " + std::to_string(least) + " to " +
                                     std::to_string(most));
  return value;
}

double ConfigSection::number(const std::string& key, double otherwise, double least, double most) {
  const Value* found = find(key, Value::Kind::number, "a number");
  if (!found) return otherwise;
  double value = 0;
  const auto& text = found->text;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !(value >= least) || !(value <= most))
    throw ConfigError(path(key), "'" + text + "' is out of range");
  return value;
}

Duration ConfigSection::millis(const std::string& key, Duration otherwise, std::int64_t least,
                               std::int64_t most) {
  const auto found = whole(key, static_cast<std::size_t>(otherwise.inMicros() / 1000),
                           static_cast<std::size_t>(least), static_cast<std::size_t>(most));
  return Duration::millis(static_cast<std::int64_t>(found));
}

ConfigSection ConfigSection::section(const std::string& key) {
  static const Value kNothing{Value::Kind::object, {}, {}, {}};
  const Value* found = find(key, Value::Kind::object, "an object");
  return ConfigSection(found ? *found : kNothing, path(key));
}

bool ConfigSection::has(const std::string& key) {
  known_.insert(key);
  const Value* found = value_->find(key);
  return found && found->kind != Value::Kind::null;
}

void ConfigSection::end() const {
  for (const auto& name : value_->names)
    if (!known_.contains(name)) throw ConfigError(path(name), "is not known here");
}

}  // namespace gulltrestle::config
