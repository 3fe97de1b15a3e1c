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

// Descriptions of the fields of an object: the key, the default value for an absent field, and the permitted
// range, both ends included. A description refers to the text of its key, so it must not outlive the
// expression that creates it.

// A string, which must not be empty if it is set.
struct StringField {
  std::string_view key;
  std::string_view defaultValue = {};
};

// A boolean.
struct BooleanField {
  std::string_view key;
  bool defaultValue = false;
};

// A non-negative integer.
struct IntegerField {
  std::string_view key;
  std::size_t defaultValue = 0;
  std::size_t min = 0;
  std::size_t max = std::numeric_limits<std::size_t>::max();
};

// A finite number, integral or fractional.
struct NumberField {
  std::string_view key;
  double defaultValue = 0;
  double min = 0;
  double max = std::numeric_limits<double>::max();
};

// A duration, written as an integer number of milliseconds.
struct MillisecondsField {
  std::string_view key;
  Duration defaultValue = {};
  std::int64_t minMillis = 0;
  std::int64_t maxMillis = std::numeric_limits<std::int64_t>::max();
};

// One JSON object of a configuration document. Every access marks its key as known; rejectUnknownKeys() then
// throws for keys that were never accessed. Refers to the JSON value, which must outlive this object.
//
// All accessors throw ConfigError, which names the key, if a value has the wrong type or is out of range.
class ConfigSection {
 public:
  // `path`: path of the object, the prefix of its keys in errors; empty for the top of the document, which
  // errors call `documentName`. Throws ConfigError if the value is not an object.
  explicit ConfigSection(const json::Value& value, std::string path = {},
                         std::string_view documentName = kDefaultDocumentName);

  // Returns the value of a field, or its default if the field is absent or null.
  std::string read(const StringField& field);
  bool read(const BooleanField& field);
  std::size_t read(const IntegerField& field);
  double read(const NumberField& field);
  Duration read(const MillisecondsField& field);
  // Returns an object, or an empty one if it is absent or null.
  ConfigSection section(std::string_view key);

  // Returns the value of a required field. Its default is not used.
  std::string require(const StringField& field);
  bool require(const BooleanField& field);
  double require(const NumberField& field);
  ConfigSection requireSection(std::string_view key);
  const std::vector<json::Value>& requireList(std::string_view key);

  // Returns the unchecked value, of any type; null if the key is absent.
  const json::Value* find(std::string_view key);
  // Returns whether the key is present with a value other than null.
  bool has(std::string_view key);
  const std::vector<std::string>& keys() const { return value_->names; }
  const json::Value& value() const { return *value_; }
  // Returns the path of a key from the top of the document.
  std::string path(std::string_view key) const;
  // Throws ConfigError for a key that was not accessed. To be called after all known keys were accessed.
  // Prevents a misspelled key from being treated as an absent one.
  void rejectUnknownKeys() const;

 private:
  const json::Value* findTyped(std::string_view key, json::Value::Kind kind);
  const json::Value& requireTyped(std::string_view key, json::Value::Kind kind);
  const json::Value& checkType(std::string_view key, const json::Value& value, json::Value::Kind kind) const;
  std::string checkString(std::string_view key, const json::Value& value) const;
  double checkNumber(const NumberField& field, const json::Value& value) const;

  const json::Value* value_;
  std::string path_;
  std::vector<bool> isKnown_;  // whether the key was accessed; one per key of the object
};

}  // namespace gulltrestle::config
