// Checked, typed access to one object of a configuration document.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "config/config_error.h"
#include "config/json_document.h"
#include "protocol/json/json.h"

namespace gulltrestle::config {

// A field of an object: its key, the value where the object has none, and the permitted range, both ends
// included. Keys are referred to: a field is used in the expression that makes it.

// A string that must not be empty where it is set.
struct StringField {
  std::string_view key;
  std::string_view defaultValue = {};
};

// True or false.
struct BooleanField {
  std::string_view key;
  bool defaultValue = false;
};

// A whole number.
struct IntegerField {
  std::string_view key;
  std::size_t defaultValue = 0;
  std::size_t min = 0;
  std::size_t max = std::numeric_limits<std::size_t>::max();
};

// A finite number, whole or not.
struct NumberField {
  std::string_view key;
  double defaultValue = 0;
  double min = 0;
  double max = std::numeric_limits<double>::max();
};

// A duration that is written as a whole number of milliseconds.
struct MillisecondsField {
  std::string_view key;
  Duration defaultValue = {};
  std::int64_t minMillis = 0;
  std::int64_t maxMillis = std::numeric_limits<std::int64_t>::max();
};

// One JSON object of a configuration document. Every access marks its key as known; rejectUnknownKeys() then
// throws for keys that nobody asked for. Refers to the JSON value, which must outlive it.
//
// All accessors throw ConfigError, which names the key, where a value has another type or is out of range.
class ConfigSection {
 public:
  // `path`: of the object, before its keys in errors; empty for the top of the document, which errors name
  // `documentName`. Throws ConfigError where the value is no object.
  explicit ConfigSection(const json::Value& value, std::string path = {},
                         std::string_view documentName = kDefaultDocumentName);

  // The value of a field; the default where it is absent or null.
  std::string read(const StringField& field);
  bool read(const BooleanField& field);
  std::size_t read(const IntegerField& field);
  double read(const NumberField& field);
  Duration read(const MillisecondsField& field);
  // An object; an empty one where it is absent or null.
  ConfigSection section(std::string_view key);

  // The value of a field that must be there. Defaults do not count.
  std::string require(const StringField& field);
  bool require(const BooleanField& field);
  double require(const NumberField& field);
  ConfigSection requireSection(std::string_view key);
  const std::vector<json::Value>& requireList(std::string_view key);

  // The value as it is written, of any type; null where the key is absent.
  const json::Value* find(std::string_view key);
  // There is a value that is not null.
  bool has(std::string_view key);
  const std::vector<std::string>& keys() const { return value_->names; }
  const json::Value& value() const { return *value_; }
  // The path of a key from the top of the document.
  std::string path(std::string_view key) const;
  // Call it after all known keys were accessed. Guards against misspelt keys, which would pass for absent
  // ones.
  void rejectUnknownKeys() const;

 private:
  const json::Value* findTyped(std::string_view key, json::Value::Kind kind);
  const json::Value& requireTyped(std::string_view key, json::Value::Kind kind);
  const json::Value& checkType(std::string_view key, const json::Value& value, json::Value::Kind kind) const;
  std::string checkString(std::string_view key, const json::Value& value) const;
  double checkNumber(const NumberField& field, const json::Value& value) const;

  const json::Value* value_;
  std::string path_;
  std::vector<bool> isKnown_;  // one per key of the object
};

}  // namespace gulltrestle::config
