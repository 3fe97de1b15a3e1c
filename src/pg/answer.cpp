#include "pg/answer.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::pg {

namespace {

// A value of 64 KiB may come as hex, which doubles it; the rest is for the messages around it.
constexpr std::size_t kLongestMessage = 2 * 64 * 1024 + 1024;
constexpr std::size_t kLongestAnswer = kLongestMessage + 16 * 1024;

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

std::uint32_t number(std::string_view bytes, std::size_t size) {
  if (bytes.size() < size) throw Malformed("a row is cut short");
  std::uint32_t n = 0;
  for (std::size_t i = 0; i < size; ++i) n = n << 8 | static_cast<unsigned char>(bytes[i]);
  return n;
}

std::string_view onlyColumn(std::string_view body) {
  if (number(body, 2) != 1) throw Malformed("a row has other than one column");
  const auto size = number(body.substr(2), 4);
  if (size != body.size() - 6) throw Malformed("a column's length can't be right");
  return body.substr(6);
}

void takeStatus(std::string_view body, Answer& answer) {
  const auto name = takeText(body);
  const auto value = takeText(body);
  if (name == "part" && (value == "master" || value == "replica")) answer.fromPrimary = value == "master";
  if (name == "caught_up_to") {
    answer.positionMs = parse<std::uint64_t>(value);
    if (*answer.positionMs > 100'000'000'000'000) throw Malformed("a position is out of range");
  }
  if (name == "gauges") answer.report = readReport(value);
}

}  // namespace

Verdict verdictOf(std::string_view code) {
  if (code == "25006" || code == "72000") return Verdict::notHere;
  if (code == "53300" || code == "57P03") return Verdict::turnedAway;
  return Verdict::error;
}

std::optional<Answer> takeAnswer(std::string_view& bytes) {
  Answer answer;
  auto rest = bytes;
  bool failed = false;
  while (const auto message = takeMessage(rest, kLongestMessage)) {
    switch (message->type) {
      case 'T':
        answer.description = message->whole;
        break;
      case 'D':
        if (!answer.row.empty() || answer.description.empty()) throw Malformed("a row is out of place");
        answer.row = message->whole;
        answer.value = onlyColumn(message->body);
        break;
      case 'C':
        answer.complete = message->whole;
        break;
      case 'S':
        takeStatus(message->body, answer);
        break;
      case 'N':
        break;
      case 'E': {
        const auto fields = readError(message->body);
        answer.verdict = verdictOf(fields.code);
        answer.fatal = fields.severity == "FATAL" || fields.severity == "PANIC";
        failed = true;
        if (!answer.fatal) break;
        bytes = rest;
        return answer;
      }
      case 'Z':
        if (!failed && (answer.row.empty() || answer.complete.empty()))
          throw Malformed("an answer has neither a row nor an error");
        bytes = rest;
        return answer;
      default:
        throw Malformed("a message of this type has no place in an answer");
    }
  }
  if (bytes.size() > kLongestAnswer) throw Malformed("an answer is too long");
  return std::nullopt;
}

std::optional<Greeting> takeGreeting(std::string_view& bytes) {
  while (const auto message = takeMessage(bytes, kLongestMessage)) {
    if (message->type == 'Z') return Greeting::welcome;
    if (message->type == 'E')
      return verdictOf(readError(message->body).code) == Verdict::turnedAway ? Greeting::turnedAway
                                                                             : Greeting::refused;
    if (message->type == 'R' && message->body != std::string_view("\0\0\0\0", 4))
      throw Malformed("a password is asked for");
  }
  return std::nullopt;
}

Report readReport(std::string_view text) {
  Report report;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) throw Malformed("a part of a report has no value");
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "x0") report.positionSeconds = figure(value);
    if (name == "x1") report.primary = figure(value) == 1;
    if (name == "inflight" || name == "active") report.inHand = figure(value);
  }
  return report;
}

std::string declined(std::int64_t comeBackAfterMs) {
  return error("ERROR", kDeclined, "declined: trying again is harmless",
               comeBackAfterMs > 0 ? std::to_string(comeBackAfterMs) : std::string());
}

std::string rolledBack() { return error("ERROR", kMayHaveRun, "rolled back: it may or may not have run"); }

}  // namespace gulltrestle::pg
