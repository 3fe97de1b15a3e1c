// Points in time and spans between them, in microseconds. Two types, so that they can't be mixed up:
// a point minus a point is a span, a point plus a span is a point, and two points don't add.
#pragma once

#include <compare>
#include <cstdint>

namespace gulltrestle {

class Span {
 public:
  constexpr Span() = default;
  static constexpr Span micros(std::int64_t n) { return Span(n); }
  static constexpr Span millis(std::int64_t n) { return Span(n * 1000); }
  static constexpr Span seconds(double s) { return Span(static_cast<std::int64_t>(s * 1e6)); }

  constexpr std::int64_t inMicros() const { return micros_; }
  constexpr double inSeconds() const { return static_cast<double>(micros_) / 1e6; }

  constexpr auto operator<=>(const Span&) const = default;
  constexpr Span operator+(Span o) const { return Span(micros_ + o.micros_); }
  constexpr Span operator-(Span o) const { return Span(micros_ - o.micros_); }
  constexpr Span operator*(double f) const {
    return Span(static_cast<std::int64_t>(static_cast<double>(micros_) * f));
  }
  constexpr double operator/(Span o) const {
    return static_cast<double>(micros_) / static_cast<double>(o.micros_);
  }

 private:
  explicit constexpr Span(std::int64_t n) : micros_(n) {}
  std::int64_t micros_ = 0;
};

class Instant {
 public:
  constexpr Instant() = default;  // before every other: "never"
  static constexpr Instant atMicros(std::int64_t n) { return Instant(n); }

  constexpr std::int64_t inMicros() const { return micros_; }

  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Instant operator+(Span s) const { return Instant(micros_ + s.inMicros()); }
  constexpr Instant operator-(Span s) const { return Instant(micros_ - s.inMicros()); }
  constexpr Span operator-(Instant o) const { return Span::micros(micros_ - o.micros_); }

 private:
  explicit constexpr Instant(std::int64_t n) : micros_(n) {}
  std::int64_t micros_ = 0;
};

}  // namespace gulltrestle
