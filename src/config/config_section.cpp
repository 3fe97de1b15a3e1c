#include "config/config_section.h"

#include <charconv>
#include <optional>

namespace gulltrestle::config {

using json::Value;

namespace {

// Returns nullopt unless the entire text is a number of this type.
template <typename T>
std::optional<T> parseNumber(std::string_view text) {
  T number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// The description of an expected type in error messages, after "is not".
std::string describeType(Value::Kind kind) {
  switch (kind) {
    case Value::Kind::string:
      return "a string";
    case Value::Kind::boolean:
      return "true or false";
    case Value::Kind::number:
      return "a number";
    case Value::Kind::object:
      return "an object";
    case Value::Kind::array:
      return "an array";
    case Value::Kind::null:
      return "null";
  }
  return {};
}

}  // namespace

ConfigSection::ConfigSection(const Value& value, std::string path, std::string_view documentName)
    : value_(&value), path_(std::move(path)), isKnown_(value.names.size()) {
  if (value.kind != Value::Kind::object)
    throw ConfigError(path_.empty() ? documentName : path_, "is not an object");
}

std::string ConfigSection::path(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

const Value* ConfigSection::find(std::string_view key) {
  for (std::size_t i = 0; i < isKnown_.size(); ++i)
    if (value_->names[i] == key) isKnown_[i] = true;
  return value_->find(key);
}

bool ConfigSection::has(std::string_view key) {
  const Value* value = find(key);
  return value && value->kind != Value::Kind::null;
}

void ConfigSection::rejectUnknownKeys() const {
  for (std::size_t i = 0; i < isKnown_.size(); ++i)
    if (!isKnown_[i]) throw ConfigError(path(value_->names[i]), "is not a known key");
}

// --- Checks

const Value& ConfigSection::checkType(std::string_view key, const Value& value, Value::Kind kind) const {
  if (value.kind != kind) throw ConfigError(path(key), "is not " + describeType(kind));
  return value;
}

const Value* ConfigSection::findTyped(std::string_view key, Value::Kind kind) {
  const Value* value = find(key);
  if (!value || value->kind == Value::Kind::null) return nullptr;
  return &checkType(key, *value, kind);
}

const Value& ConfigSection::requireTyped(std::string_view key, Value::Kind kind) {
  const Value* value = find(key);
  if (!value) throw ConfigError(path(key), "is missing");
  return checkType(key, *value, kind);
}

std::string ConfigSection::checkString(std::string_view key, const Value& value) const {
  if (value.text.empty()) throw ConfigError(path(key), "is empty");
  return value.text;
}

double ConfigSection::checkNumber(const NumberField& field, const Value& value) const {
  const auto number = parseNumber<double>(value.text);
  if (!number || !(*number >= field.min) || !(*number <= field.max))
    throw ConfigError(path(field.key), "'" + value.text + "' is out of range");
  return *number;
}

// --- Optional fields

std::string ConfigSection::read(const StringField& field) {
  const Value* value = findTyped(field.key, Value::Kind::string);
  return value ? checkString(field.key, *value) : std::string(field.defaultValue);
}

bool ConfigSection::read(const BooleanField& field) {
  const Value* value = findTyped(field.key, Value::Kind::boolean);
  return value ? value->text == "true" : field.defaultValue;
}

std::size_t ConfigSection::read(const IntegerField& field) {
  const Value* value = findTyped(field.key, Value::Kind::number);
  if (!value) return field.defaultValue;
  const auto number = parseNumber<std::size_t>(value->text);
  if (!number || *number < field.min || *number > field.max)
    throw ConfigError(path(field.key), "'" + value->text + "' is not a whole number from " +
                                           std::to_string(field.min) + " to " + std::to_string(field.max));
  return *number;
}

double ConfigSection::read(const NumberField& field) {
  const Value* value = findTyped(field.key, Value::Kind::number);
  return value ? checkNumber(field, *value) : field.defaultValue;
}

Duration ConfigSection::read(const MillisecondsField& field) {
  const std::size_t millis =
      read(IntegerField{.key = field.key,
                        .defaultValue = static_cast<std::size_t>(field.defaultValue.inMicros() / 1000),
                        .min = static_cast<std::size_t>(field.minMillis),
                        .max = static_cast<std::size_t>(field.maxMillis)});
  return Duration::millis(static_cast<std::int64_t>(millis));
}

ConfigSection ConfigSection::section(std::string_view key) {
  static const Value kEmptyObject{Value::Kind::object, {}, {}, {}};
  const Value* value = findTyped(key, Value::Kind::object);
  return ConfigSection(value ? *value : kEmptyObject, path(key));
}

// --- Required fields

std::string ConfigSection::require(const StringField& field) {
  return checkString(field.key, requireTyped(field.key, Value::Kind::string));
}

bool ConfigSection::require(const BooleanField& field) {
  return requireTyped(field.key, Value::Kind::boolean).text == "true";
}

double ConfigSection::require(const NumberField& field) {
  return checkNumber(field, requireTyped(field.key, Value::Kind::number));
}

ConfigSection ConfigSection::requireSection(std::string_view key) {
  return ConfigSection(requireTyped(key, Value::Kind::object), path(key));
}

const std::vector<Value>& ConfigSection::requireList(std::string_view key) {
  return requireTyped(key, Value::Kind::array).items;
}

}  // namespace gulltrestle::config
