// Points in time and durations between them, in microseconds. Separate types prevent mixing them up: the
// difference of two points is a duration, a point plus a duration is a point, and two points can't be added.
#pragma once

#include <compare>
#include <cstdint>

namespace gulltrestle {

// A duration, which may be negative. Arithmetic doesn't check for overflow.
class Duration {
 public:
  // A duration of zero.
  constexpr Duration() = default;
  static constexpr Duration micros(std::int64_t count) { return Duration(count); }
  static constexpr Duration millis(std::int64_t count) { return Duration(count * 1000); }
  // Fractions of a microsecond are truncated.
  static constexpr Duration seconds(double count) { return Duration(static_cast<std::int64_t>(count * 1e6)); }

  constexpr std::int64_t inMicros() const { return micros_; }
  constexpr double inSeconds() const { return static_cast<double>(micros_) / 1e6; }

  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration other) const { return Duration(micros_ + other.micros_); }
  constexpr Duration operator-(Duration other) const { return Duration(micros_ - other.micros_); }
  // Fractions of a microsecond are truncated.
  constexpr Duration operator*(double factor) const {
    return Duration(static_cast<std::int64_t>(static_cast<double>(micros_) * factor));
  }
  // The ratio of this duration to the other one.
  constexpr double operator/(Duration other) const {
    return static_cast<double>(micros_) / static_cast<double>(other.micros_);
  }

 private:
  explicit constexpr Duration(std::int64_t micros) : micros_(micros) {}
  std::int64_t micros_ = 0;
};

// A point in time on the owner's clock, as the time since the zero of that clock.
class Instant {
 public:
  // The zero of the clock, which represents "never": all events are later.
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
