#include "protocol/postgres/answer.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::postgres {

namespace {

// A value of 64 KiB may come as hex, which doubles it; the rest is for the messages around it.
constexpr std::size_t kLongestMessage = 2 * 64 * 1024 + 1024;
constexpr std::size_t kLongestAnswer = kLongestMessage + 16 * 1024;
// Of all messages but the row: a name, a report, an error's text.
constexpr std::size_t kLongestWord = 4 * 1024;

template <typename T>
T parse(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    throw Malformed("'" + std::string(text.substr(0, 40)) + "' is no number");
  return value;
}

double figure(std::string_view text) {
  const auto value = parse<double>(text);
  // A position in seconds stays below the year 5138, so that times don't wrap around.
  if (!std::isfinite(value) || value < 0 || value > 1e11) throw Malformed("a figure is out of range");
  return value;
}

std::uint64_t position(std::string_view text) {
  const auto value = parse<std::uint64_t>(text);
  if (value > 100'000'000'000'000) throw Malformed("a position is out of range");
  return value;
}

Report report(std::string_view text) {
  Report made;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) throw Malformed("a part of a report has no value");
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "x0") made.positionSeconds = figure(value);
    if (name == "x1") made.primary = figure(value) == 1;
    if (name == "inflight" || name == "active") made.inHand = figure(value);
  }
  return made;
}

std::uint32_t number(std::string_view bytes, std::size_t size) {
  if (bytes.size() < size) throw Malformed("a row is cut short");
  std::uint32_t n = 0;
  for (std::size_t i = 0; i < size; ++i) n = n << 8 | static_cast<unsigned char>(bytes[i]);
  return n;
}

// What a node tells of itself beside an answer. Guards a good value against news that can't be read: these
// are left out. May hurt by hiding a node that never tells its position: then none is known.
void takeStatus(std::string_view body, Answer& answer) {
  try {
    const auto name = takeText(body);
    const auto value = takeText(body);
    if (name == "part" && (value == "master" || value == "replica")) answer.fromPrimary = value == "master";
    if (name == "caught_up_to") answer.positionMs = position(value);
    if (name == "gauges") answer.report = report(value);
  } catch (const Malformed&) {}
}

// The description of one column: its name, then 18 bytes.
void checkDescription(std::string_view body) {
  if (number(body, 2) != 1) throw Malformed("a row has other than one column");
  body.remove_prefix(2);
  takeText(body);
  if (body.size() != 18) throw Malformed("a column's description has another length");
}

// Looks at the head of a message that may not be whole yet, so that what can't be right is found at once: a
// wrong length would otherwise wait for bytes that never come. `known`: the types that may come next.
void checkHead(std::string_view bytes, std::string_view known) {
  if (bytes.empty()) return;
  if (known.find(bytes[0]) == std::string_view::npos)
    throw Malformed("a message of this type has no place here");
  if (bytes.size() < 5) return;
  const std::size_t length = number(bytes.substr(1), 4);
  const std::size_t most = bytes[0] == 'D' ? kLongestMessage : bytes[0] == 'Z' ? 5 : kLongestWord;
  if (length > most) throw Malformed("a message is longer than " + std::to_string(most) + " bytes");
  if (bytes[0] != 'D') return;
  if (length < 10) throw Malformed("a row is cut short");
  if (bytes.size() < 11) return;
  if (number(bytes.substr(5), 2) != 1) throw Malformed("a row has other than one column");
  if (number(bytes.substr(7), 4) + 10 != length) throw Malformed("a column's length can't be right");
}

}  // namespace

AnswerKind verdictOf(std::string_view code) {
  if (code == "25006" || code == "72000") return AnswerKind::wrongNode;
  if (code == "53300" || code == "57P03") return AnswerKind::rejected;
  return AnswerKind::error;
}

std::optional<Answer> takeAnswer(std::string_view& bytes) {
  Answer answer;
  auto rest = bytes;
  for (std::string_view next = "TESN";;) {
    checkHead(rest, next);
    const auto message = takeMessage(rest, kLongestMessage);
    if (!message) break;
    auto body = message->body;
    switch (message->type) {
      case 'T':
        checkDescription(body);
        answer.description = message->whole;
        next = "DESN";
        break;
      case 'D':
        answer.row = message->whole;
        answer.value = body.substr(6);
        next = "CESN";
        break;
      case 'C':
        takeText(body);
        if (!body.empty()) throw Malformed("a completion has bytes behind its text");
        answer.complete = message->whole;
        next = "ZSN";
        break;
      case 'S':
        takeStatus(body, answer);
        break;
      case 'N':
        break;
      case 'E': {
        const auto fields = readError(body);
        answer.kind = verdictOf(fields.code);
        answer.fatal = fields.severity == "FATAL" || fields.severity == "PANIC";
        next = "ZSN";
        if (!answer.fatal) break;
        bytes = rest;
        return answer;
      }
      case 'Z':
        bytes = rest;
        return answer;
    }
  }
  if (bytes.size() > kLongestAnswer) throw Malformed("an answer is too long");
  return std::nullopt;
}

std::optional<Greeting> takeGreeting(std::string_view& bytes) {
  while (const auto message = takeMessage(bytes, kLongestMessage)) {
    if (message->type == 'Z') return Greeting::welcome;
    if (message->type == 'E')
      return verdictOf(readError(message->body).code) == AnswerKind::rejected ? Greeting::rejected
                                                                              : Greeting::refused;
    if (message->type == 'R' && message->body != std::string_view("\0\0\0\0", 4))
      throw Malformed("a password is asked for");
  }
  return std::nullopt;
}

Report readReport(std::string_view text) {
  try {
    return report(text);
  } catch (const Malformed&) { return {}; }
}

bool takeAllClear(std::string_view& bytes) {
  auto rest = bytes;
  for (std::string_view next = "ISN";;) {
    checkHead(rest, next);
    const auto message = takeMessage(rest, kLongestWord);
    if (!message) return false;
    if (message->type == 'I') next = "ZSN";
    if (message->type != 'Z') continue;
    bytes = rest;
    return true;
  }
}

std::string refused(std::int64_t retryAfterMs, unsigned level) {
  const std::string reduced =
      level > 0 ? ", service is reduced to level " + std::to_string(level) : std::string();
  return error("ERROR", kRefused, "refused: trying again is harmless" + reduced,
               retryAfterMs > 0 ? std::to_string(retryAfterMs) : std::string());
}

std::string rolledBack() { return error("ERROR", kMayHaveRun, "rolled back: it may or may not have run"); }

}  // namespace gulltrestle::postgres
