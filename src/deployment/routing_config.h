// Reads a deployment's settings, given by dotted name, into RoutingConfig. The simulator's adapter and the
// router read them here, each from its own source, so that both are configured alike.
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

// A setting is missing or has no valid value; the message names its field. Thrown by all functions below that
// read a value.
class InvalidField : public std::runtime_error {
 public:
  InvalidField(std::string_view field, std::string_view what)
      : std::runtime_error("field " + std::string(field) + ": " + std::string(what)) {}
};

// Each parses the text of a field as a whole; `field` is for the message only.
std::uint64_t toWhole(std::string_view field, std::string_view text);
// Finite only.
double toNumber(std::string_view field, std::string_view text);
// 1, true, 0 or false.
bool toBool(std::string_view field, std::string_view text);
// A whole number that may be written as a floating-point one.
GroupId toGroup(std::string_view field, std::string_view text);

// The parts of the text between separators; one at least. They point into the text.
std::vector<std::string_view> split(std::string_view text, char separator);

// The enumerator whose position `name` has in `names`.
template <typename E, std::size_t N>
E choice(std::string_view field, std::string_view name, const std::array<std::string_view, N>& names) {
  for (std::size_t i = 0; i < N; ++i)
    if (names[i] == name) return static_cast<E>(i);
  throw InvalidField(field, "'" + std::string(name) + "' is not known");
}

// Values by dotted name. A list of plain values is one text joined by commas; a list of objects has its
// length under `.count` and its items under `.0`, `.1` and so on. Texts point into the source.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  // The value as text; none: the setting is absent.
  virtual std::optional<std::string_view> find(std::string_view name) const = 0;

  // Required; not empty.
  std::string_view text(std::string_view name) const;
  // Whole numbers from 0 on: required, or `fallback` where absent.
  std::uint64_t whole(std::string_view name) const;
  std::uint64_t whole(std::string_view name, std::uint64_t fallback) const;
  double number(std::string_view name, double fallback) const;
  // False where absent.
  bool flag(std::string_view name) const;
};

// The routing configuration, and what downstream handlers and upstream transports need of the same settings.
struct DeploymentSettings {
  RoutingConfig routing;
  std::vector<std::string> classNames;  // of RoutingConfig::transactionClasses, in the same order
  std::string zone;                     // of this router; empty: none
  Duration idleLimit;                   // nodes close connections that were idle for so long
  Duration connectLimit;                // a connection that isn't established by then has failed
  Duration drainGrace;                  // nothing new to a node later than this after it began to drain
  // Endpoint list changes count as notified so long after they were due; zero: only once they came.
  Duration notifiedWithin;
  bool operator==(const DeploymentSettings&) const = default;
};

// Reads all settings. Unknown ones are ignored.
DeploymentSettings read(const SettingsSource& settings);

}  // namespace gulltrestle::deployment
