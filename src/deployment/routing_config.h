// Reads the settings of a deployment, identified by dotted names, into RoutingConfig. The simulator's adapter
// and the router both use this module, each with its own source of settings, so that both are configured
// identically.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "routing/router.h"

namespace gulltrestle::deployment {

// Reports a setting that is missing or invalid; the message names its field. Thrown by all functions below
// that read a value.
class InvalidField : public std::runtime_error {
 public:
  InvalidField(std::string_view field, std::string_view problem)
      : std::runtime_error("field " + std::string(field) + ": " + std::string(problem)) {}
};

// The functions below parse the entire text of a field; `field` is used only in the error message.
// Parses an unsigned integer.
std::uint64_t toUnsigned(std::string_view field, std::string_view text);
// Parses a finite number.
double toNumber(std::string_view field, std::string_view text);
// Parses 1, true, 0 or false.
bool toBool(std::string_view field, std::string_view text);
// Parses a group id, an unsigned integer that may be written as a floating-point number.
GroupId toGroup(std::string_view field, std::string_view text);

// The parts of the text between separators; at least one. They refer to `text`.
std::vector<std::string_view> split(std::string_view text, char separator);

// The enumerator whose value is the position of `name` in `names`.
template <typename E, std::size_t N>
E toEnumerator(std::string_view field, std::string_view name, const std::array<std::string_view, N>& names) {
  for (std::size_t i = 0; i < N; ++i)
    if (names[i] == name) return static_cast<E>(i);
  throw InvalidField(field, "'" + std::string(name) + "' is not a known value");
}

// Provides settings by dotted name. A list of plain values is one text joined by commas; a list of objects
// has its length under `.count` and its items under `.0`, `.1` and so on. Returned texts refer to the source.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  // The value as text; nullopt if the setting is absent.
  virtual std::optional<std::string_view> find(std::string_view name) const = 0;

  // A required setting, which must not be empty.
  std::string_view text(std::string_view name) const;
  // An unsigned integer, either required or `fallback` if absent.
  std::uint64_t unsignedInteger(std::string_view name) const;
  std::uint64_t unsignedInteger(std::string_view name, std::uint64_t fallback) const;
  // A finite number, or `fallback` if absent.
  double number(std::string_view name, double fallback) const;
  // A boolean, false if absent.
  bool flag(std::string_view name) const;
};

// The routing configuration, and the settings that downstream handlers and upstream transports need.
struct DeploymentSettings {
  RoutingConfig routing;
  std::vector<std::string> classNames;  // of RoutingConfig::transactionClasses, in the same order
  std::string zone;                     // of this router; empty: none
  Duration idleTimeout;                 // nodes close connections that are idle for this long
  Duration connectTimeout;              // a connection that isn't established within this time has failed
  Duration drainGrace;                  // after this time a draining node receives no new attempts
  // Endpoint list changes count as notified this long after they were due; zero: only once they have arrived.
  Duration notificationBound;
  bool operator==(const DeploymentSettings&) const = default;
};

// Reads all settings. Ignores unknown ones.
DeploymentSettings read(const SettingsSource& settings);

}  // namespace gulltrestle::deployment
