#include "protocol/postgres/statement.h"

#include <charconv>
#include <string>

namespace gulltrestle::postgres {

namespace {

constexpr std::string_view kSelect = "SELECT body FROM objects WHERE oid = '";
constexpr std::string_view kInsert = "INSERT INTO objects (oid, body) VALUES ('";

// Maximum size of a value that is read or written. Hex encoding doubles it in a statement.
constexpr std::size_t kMaxValueBytes = 64 * 1024;

// One hour: no client waits longer, and times stay far from an overflow.
constexpr std::uint64_t kMaxTimeoutMs = 3'600'000;
// The year 5138, so that log positions stay far from an overflow, too.
constexpr std::uint64_t kMaxPositionMs = 100'000'000'000'000;

// `name`: the name of the field, for the error text.
std::uint64_t parseNumber(std::string_view name, std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || value > max)
    throw InvalidStatement(kBadValue,
                           "field " + std::string(name) + " of the comment is not a number in range");
  return value;
}

// Removes the text up to and including the closing quote from the start of `text`. Returns it without the
// quote.
std::string_view takeQuoted(std::string_view& text) {
  const auto end = text.find('\'');
  if (end == std::string_view::npos) throw InvalidStatement(kSyntaxError, "a quoted text has no end");
  const auto quoted = text.substr(0, end);
  text.remove_prefix(end + 1);
  return quoted;
}

// Removes `expected` from the start of `text`. Throws InvalidStatement if `text` does not start with it.
void skip(std::string_view& text, std::string_view expected) {
  if (!text.starts_with(expected))
    throw InvalidStatement(kSyntaxError, "'" + std::string(expected) + "' is wanted");
  text.remove_prefix(expected.size());
}

}  // namespace

bool isBlank(std::string_view text) { return text.find_first_not_of(" \t\r\n;") == std::string_view::npos; }

namespace {

// Parses the SELECT or INSERT and removes it from the start of `text`, up to the comment.
void readOperation(std::string_view& text, Statement& statement) {
  if (text.starts_with(kSelect)) {
    text.remove_prefix(kSelect.size());
    statement.key = takeQuoted(text);
  } else if (text.starts_with(kInsert)) {
    statement.isWrite = true;
    text.remove_prefix(kInsert.size());
    statement.key = takeQuoted(text);
    skip(text, ", '\\x");
    if (takeQuoted(text).size() > 2 * kMaxValueBytes)
      throw InvalidStatement(kTooLarge, "the value is too long");
    skip(text, ") RETURNING body");
  } else {
    throw InvalidStatement(kSyntaxError, "only reads and writes of one object are taken");
  }
}

// Returns the comment at the start of `text`, without its delimiters. Only blanks may follow it.
std::string_view takeComment(std::string_view text) {
  skip(text, " /*");
  const auto end = text.find("*/");
  if (end == std::string_view::npos) throw InvalidStatement(kSyntaxError, "the comment has no end");
  if (!isBlank(text.substr(end + 2))) throw InvalidStatement(kSyntaxError, "a query holds one statement");
  return text.substr(0, end);
}

std::string_view trimSpaces(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Parses one name=value field of the comment. Unknown names are skipped.
void readField(std::string_view name, std::string_view value, Statement& statement, bool& hasGroup) {
  if (name == "id") statement.id = value;
  if (name == "c") statement.typeName = value;
  if (name == "d") {
    statement.timeoutMs = parseNumber(name, value, kMaxTimeoutMs);
    statement.timeoutText = value;
  }
  if (name == "cluster") {
    statement.group = parseNumber(name, value, UINT64_MAX);
    hasGroup = true;
  }
  if (name == "after") statement.afterMs = parseNumber(name, value, kMaxPositionMs);
}

// Parses the comma-separated fields of the comment. Throws InvalidStatement if a required field is missing.
void readComment(std::string_view comment, Statement& statement) {
  bool hasGroup = false;
  while (!comment.empty()) {
    const auto comma = std::min(comment.find(','), comment.size());
    const auto field = trimSpaces(comment.substr(0, comma));
    comment.remove_prefix(std::min(comma + 1, comment.size()));
    const auto equals = field.find('=');
    if (equals == std::string_view::npos)
      throw InvalidStatement(kSyntaxError, "a part of the comment has no value");
    readField(field.substr(0, equals), field.substr(equals + 1), statement, hasGroup);
  }
  for (const auto& [name, isPresent] : {std::pair{"id", !statement.id.empty()},
                                        {"c", !statement.typeName.empty()},
                                        {"d", !statement.timeoutText.empty()},
                                        {"cluster", hasGroup}})
    if (!isPresent)
      throw InvalidStatement(kBadValue, std::string("field ") + name + " of the comment is missing");
}

}  // namespace

Statement readStatement(std::string_view text) {
  Statement statement;
  readOperation(text, statement);
  readComment(takeComment(text), statement);
  return statement;
}

}  // namespace gulltrestle::postgres
