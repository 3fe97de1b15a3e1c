// Reads a router's start settings, given by dotted name, into the Terms of the decision module. The bench's
// adapter and the real router read them here, each from its own source.
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

// A field that can't be taken; the message names it.
class InvalidField : public std::runtime_error {
 public:
  InvalidField(std::string_view field, std::string_view what)
      : std::runtime_error("field " + std::string(field) + ": " + std::string(what)) {}
};

std::uint64_t toWhole(std::string_view field, std::string_view text);
double toNumber(std::string_view field, std::string_view text);
bool toBool(std::string_view field, std::string_view text);
GroupId toGroup(std::string_view field, std::string_view text);
std::vector<std::string_view> split(std::string_view text, char at);

// Finds `word` in a table of words; the position is the enumerator's.
template <typename E, std::size_t N>
E choice(std::string_view field, std::string_view word, const std::array<std::string_view, N>& words) {
  for (std::size_t i = 0; i < N; ++i)
    if (words[i] == word) return static_cast<E>(i);
  throw InvalidField(field, "'" + std::string(word) + "' is not known");
}

// Values by dotted name. A list of plain values is one text joined by commas; a list of objects has its
// length under `.count` and its items under `.0`, `.1` and so on.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  virtual std::optional<std::string_view> find(std::string_view name) const = 0;

  std::string_view text(std::string_view name) const;
  std::uint64_t whole(std::string_view name) const;
  std::uint64_t whole(std::string_view name, std::uint64_t otherwise) const;
  double number(std::string_view name, double otherwise) const;
  bool flag(std::string_view name) const;
};

// The terms, and what a front needs of the same settings.
struct DeploymentSettings {
  RoutingConfig routing;
  std::vector<std::string> typeNames;  // row by row as RoutingConfig::types
  std::string zone;                    // this router's own
  Duration idleLimit;                  // nodes close connections that were idle for this long
  Duration connectLimit;               // what is not up by then does not come up
  Duration drainGrace;                 // nothing new to a node later than this after it was told to drain
  Duration notifiedWithin;  // what a list has to tell counts as told so long after it was due; zero: only
                            // when it came
  bool operator==(const DeploymentSettings&) const = default;
};

DeploymentSettings read(const SettingsSource& settings);

}  // namespace gulltrestle::deployment
