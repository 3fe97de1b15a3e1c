#include "protocol/load_report/load_report.h"

#include <charconv>
#include <optional>

namespace gulltrestle::load_report {

namespace {

// Unix time in ms up to the year 5138; more txns than any node holds.
constexpr std::uint64_t kLastMs = 100'000'000'000'000, kMostInHand = 1'000'000;

std::optional<std::uint64_t> whole(std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > most) return std::nullopt;
  return value;
}

}  // namespace

void readField(const Names& names, std::string_view name, std::string_view value, LoadReport& said) {
  if (name == names.role) {
    if (value == "primary") said.role = Role::primary;
    if (value == "replica") said.role = Role::replica;
  } else if (name == names.position) {
    if (const auto millis = whole(value, kLastMs))
      said.position = Instant() + Duration::millis(static_cast<std::int64_t>(*millis));
  } else if (name == names.inHand) {
    if (const auto count = whole(value, kMostInHand)) said.inFlight = static_cast<double>(*count);
  }
}

}  // namespace gulltrestle::load_report
