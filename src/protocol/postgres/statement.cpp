#include "protocol/postgres/statement.h"

#include <charconv>
#include <string>

namespace gulltrestle::postgres {

namespace {

constexpr std::string_view kSelect = "SELECT body FROM objects WHERE oid = '";
constexpr std::string_view kInsert = "INSERT INTO objects (oid, body) VALUES ('";

// The longest value either way. Hex doubles it in a statement.
constexpr std::size_t kLongestValue = 64 * 1024;

// An hour: no client waits longer, and times stay far from where they would wrap around.
constexpr std::uint64_t kLongestWaitMs = 3'600'000;
// The year 5138: the same for positions.
constexpr std::uint64_t kLastMs = 100'000'000'000'000;

std::uint64_t whole(std::string_view name, std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || value > most)
    throw InvalidStatement(kBadValue,
                           "field " + std::string(name) + " of the comment is not a number in range");
  return value;
}

// Cuts the text up to the closing quote off the front, and the quote.
std::string_view takeQuoted(std::string_view& text) {
  const auto end = text.find('\'');
  if (end == std::string_view::npos) throw InvalidStatement(kSyntaxError, "a quoted text has no end");
  const auto quoted = text.substr(0, end);
  text.remove_prefix(end + 1);
  return quoted;
}

void skip(std::string_view& text, std::string_view wanted) {
  if (text.substr(0, wanted.size()) != wanted)
    throw InvalidStatement(kSyntaxError, "'" + std::string(wanted) + "' is wanted");
  text.remove_prefix(wanted.size());
}

}  // namespace

bool isBlank(std::string_view text) { return text.find_first_not_of(" \t\r\n;") == std::string_view::npos; }

Statement readStatement(std::string_view text) {
  Statement read;
  if (text.substr(0, kSelect.size()) == kSelect) {
    text.remove_prefix(kSelect.size());
    read.key = takeQuoted(text);
  } else if (text.substr(0, kInsert.size()) == kInsert) {
    read.writes = true;
    text.remove_prefix(kInsert.size());
    read.key = takeQuoted(text);
    skip(text, ", '\\x");
    if (takeQuoted(text).size() > 2 * kLongestValue)
      throw InvalidStatement(kTooLarge, "the value is too long");
    skip(text, ") RETURNING body");
  } else {
    throw InvalidStatement(kSyntaxError, "only reads and writes of one object are taken");
  }
  skip(text, " /*");
  const auto end = text.find("*/");
  if (end == std::string_view::npos) throw InvalidStatement(kSyntaxError, "the comment has no end");
  if (!isBlank(text.substr(end + 2))) throw InvalidStatement(kSyntaxError, "a query holds one statement");
  auto comment = text.substr(0, end);
  bool hasGroup = false;
  while (!comment.empty()) {
    const auto comma = std::min(comment.find(','), comment.size());
    auto part = comment.substr(0, comma);
    comment.remove_prefix(std::min(comma + 1, comment.size()));
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos)
      throw InvalidStatement(kSyntaxError, "a part of the comment has no value");
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "id") read.id = value;
    if (name == "c") read.typeName = value;
    if (name == "d") {
      read.waitMs = whole(name, value, kLongestWaitMs);
      read.wait = value;
    }
    if (name == "cluster") {
      read.group = whole(name, value, UINT64_MAX);
      hasGroup = true;
    }
    if (name == "after") read.afterMs = whole(name, value, kLastMs);
  }
  for (const auto& [name, there] : {std::pair{"id", !read.id.empty()},
                                    {"c", !read.typeName.empty()},
                                    {"d", !read.wait.empty()},
                                    {"cluster", hasGroup}})
    if (!there)
      throw InvalidStatement(kBadValue, std::string("field ") + name + " of the comment is missing");
  return read;
}

}  // namespace gulltrestle::postgres
