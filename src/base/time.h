// Points in time and spans between them, in microseconds. Two types, so that they can't be mixed up: a point
// minus a point is a span, a point plus a span is a point, and two points don't add.
#pragma once

#include <compare>
#include <cstdint>

namespace gulltrestle {

// A span of time; it may be negative. Arithmetic doesn't check for overflow.
class Duration {
 public:
  // No time at all.
  constexpr Duration() = default;
  static constexpr Duration micros(std::int64_t count) { return Duration(count); }
  static constexpr Duration millis(std::int64_t count) { return Duration(count * 1000); }
  // Fractions of a microsecond are cut off.
  static constexpr Duration seconds(double count) { return Duration(static_cast<std::int64_t>(count * 1e6)); }

  constexpr std::int64_t inMicros() const { return micros_; }
  constexpr double inSeconds() const { return static_cast<double>(micros_) / 1e6; }

  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration other) const { return Duration(micros_ + other.micros_); }
  constexpr Duration operator-(Duration other) const { return Duration(micros_ - other.micros_); }
  // Fractions of a microsecond are cut off.
  constexpr Duration operator*(double factor) const {
    return Duration(static_cast<std::int64_t>(static_cast<double>(micros_) * factor));
  }
  // How many times the other span this one is.
  constexpr double operator/(Duration other) const {
    return static_cast<double>(micros_) / static_cast<double>(other.micros_);
  }

 private:
  explicit constexpr Duration(std::int64_t micros) : micros_(micros) {}
  std::int64_t micros_ = 0;
};

// A point in time on the owner's clock, by its distance from that clock's zero.
class Instant {
 public:
  // The clock's zero, which stands for "never": events come after it.
  constexpr Instant() = default;
  static constexpr Instant atMicros(std::int64_t micros) { return Instant(micros); }

  constexpr std::int64_t inMicros() const { return micros_; }

  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Instant operator+(Duration span) const { return Instant(micros_ + span.inMicros()); }
  constexpr Instant operator-(Duration span) const { return Instant(micros_ - span.inMicros()); }
  constexpr Duration operator-(Instant other) const { return Duration::micros(micros_ - other.micros_); }

 private:
  explicit constexpr Instant(std::int64_t micros) : micros_(micros) {}
  std::int64_t micros_ = 0;
};

}  // namespace gulltrestle
