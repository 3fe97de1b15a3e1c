#include "wire/line.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::wire {

namespace {

template <typename T>
T parse(std::string_view field, std::string_view text, const char* wanted) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty())
    throw BadLine(field, std::string("'") + std::string(text) + "' is not " + wanted);
  return value;
}

}  // namespace

std::uint64_t toWhole(std::string_view field, std::string_view text) {
  return parse<std::uint64_t>(field, text, "a whole number");
}

double toNumber(std::string_view field, std::string_view text) {
  const double value = parse<double>(field, text, "a number");
  if (!std::isfinite(value)) throw BadLine(field, "is not finite");
  return value;
}

bool toBool(std::string_view field, std::string_view text) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw BadLine(field, "'" + std::string(text) + "' is neither true nor false");
}

Line::Line(std::string_view text) {
  std::size_t at = 0;
  while (at <= text.size()) {
    const auto space = std::min(text.find(' ', at), text.size());
    const auto word = text.substr(at, space - at);
    if (at == 0) {
      tag_ = word;
    } else if (!word.empty()) {
      const auto equals = word.find('=');
      if (equals == std::string_view::npos) throw BadLine(word, "has no value");
      parts_.push_back({word.substr(0, equals), word.substr(equals + 1)});
    }
    at = space + 1;
  }
}

std::optional<std::string_view> Line::find(std::string_view name) const {
  for (const auto& part : parts_)
    if (part.name == name) return part.value;
  return std::nullopt;
}

std::string_view Line::text(std::string_view name) const {
  const auto value = find(name);
  if (!value || value->empty()) throw BadLine(name, "is missing");
  return *value;
}

std::uint64_t Line::whole(std::string_view name) const { return toWhole(name, text(name)); }

std::uint64_t Line::whole(std::string_view name, std::uint64_t otherwise) const {
  const auto value = find(name);
  return value ? toWhole(name, *value) : otherwise;
}

double Line::number(std::string_view name, double otherwise) const {
  const auto value = find(name);
  return value ? toNumber(name, *value) : otherwise;
}

bool Line::flag(std::string_view name) const {
  const auto value = find(name);
  return value && toBool(name, *value);
}

}  // namespace gulltrestle::wire
