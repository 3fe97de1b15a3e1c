#include "protocol/load_report/load_report.h"

#include <charconv>
#include <optional>

namespace gulltrestle::load_report {

namespace {

// Unix time in ms; the year 5138.
constexpr std::uint64_t kMaxPositionMillis = 100'000'000'000'000;
// More transactions than any node has in flight.
constexpr std::uint64_t kMaxInFlight = 1'000'000;

// Parses an integer from 0 to `max`; nullopt if the text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > max) return std::nullopt;
  return value;
}

}  // namespace

void readField(const Names& names, std::string_view name, std::string_view value, LoadReport& report) {
  if (name == names.role) {
    if (value == "primary") report.role = Role::primary;
    if (value == "replica") report.role = Role::replica;
  } else if (name == names.position) {
    if (const auto millis = parseNumber(value, kMaxPositionMillis))
      report.position = Instant() + Duration::millis(static_cast<std::int64_t>(*millis));
  } else if (name == names.inFlight) {
    if (const auto count = parseNumber(value, kMaxInFlight)) report.inFlight = static_cast<double>(*count);
  }
}

}  // namespace gulltrestle::load_report
