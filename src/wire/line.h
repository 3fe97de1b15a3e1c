// One line of the wire: a tag and its name=value parts, with typed access that says what is wrong with a
// field.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace gulltrestle::wire {

// A line that can't be taken. `field` names the part at fault.
class BadLine : public std::runtime_error {
 public:
  BadLine(std::string_view field, std::string_view what)
      : std::runtime_error("field " + std::string(field) + ": " + std::string(what)) {}
};

std::uint64_t toWhole(std::string_view field, std::string_view text);
double toNumber(std::string_view field, std::string_view text);
bool toBool(std::string_view field, std::string_view text);

// Views into the text it was made from, which must outlive it.
class Line {
 public:
  explicit Line(std::string_view text);

  std::string_view tag() const { return tag_; }
  std::optional<std::string_view> find(std::string_view name) const;
  std::string_view text(std::string_view name) const;
  std::uint64_t whole(std::string_view name) const;
  std::uint64_t whole(std::string_view name, std::uint64_t otherwise) const;
  double number(std::string_view name, double otherwise) const;
  bool flag(std::string_view name) const;

  struct Part {
    std::string_view name;
    std::string_view value;
  };
  const std::vector<Part>& parts() const { return parts_; }

 private:
  std::string_view tag_;
  std::vector<Part> parts_;
};

}  // namespace gulltrestle::wire
