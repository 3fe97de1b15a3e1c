// Points in time and spans between them, in microseconds. Two types, so that they can't be mixed up:
// a point minus a point is a span, a point plus a span is a point, and two points don't add.
#pragma once

#include <compare>
#include <cstdint>

namespace gulltrestle {

class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration micros(std::int64_t n) { return Duration(n); }
  static constexpr Duration millis(std::int64_t n) { return Duration(n * 1000); }
  static constexpr Duration seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

  constexpr std::int64_t inMicros() const { return micros_; }
  constexpr double inSeconds() const { return static_cast<double>(micros_) / 1e6; }

  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration o) const { return Duration(micros_ + o.micros_); }
  constexpr Duration operator-(Duration o) const { return Duration(micros_ - o.micros_); }
  constexpr Duration operator*(double f) const {
    return Duration(static_cast<std::int64_t>(static_cast<double>(micros_) * f));
  }
  constexpr double operator/(Duration o) const {
    return static_cast<double>(micros_) / static_cast<double>(o.micros_);
  }

 private:
  explicit constexpr Duration(std::int64_t n) : micros_(n) {}
  std::int64_t micros_ = 0;
};

class Instant {
 public:
  constexpr Instant() = default;  // before every other: "never"
  static constexpr Instant atMicros(std::int64_t n) { return Instant(n); }

  constexpr std::int64_t inMicros() const { return micros_; }

  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Instant operator+(Duration s) const { return Instant(micros_ + s.inMicros()); }
  constexpr Instant operator-(Duration s) const { return Instant(micros_ - s.inMicros()); }
  constexpr Duration operator-(Instant o) const { return Duration::micros(micros_ - o.micros_); }

 private:
  explicit constexpr Instant(std::int64_t n) : micros_(n) {}
  std::int64_t micros_ = 0;
};

}  // namespace gulltrestle
