#include "protocol/postgres/answer.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::postgres {

namespace {

// A value of 64 KiB may be sent as hex, which doubles its size; the rest is for the messages around it.
constexpr std::size_t kMaxMessageBytes = 2 * 64 * 1024 + 1024;
constexpr std::size_t kMaxAnswerBytes = kMaxMessageBytes + 16 * 1024;
// Maximum length of every other message: a column name, a load report or an error text.
constexpr std::size_t kMaxShortMessageBytes = 4 * 1024;
// The length field of ReadyForQuery.
constexpr std::size_t kReadyForQueryLength = 5;
// Size of a column description after the column name.
constexpr std::size_t kColumnDescriptionBytes = 18;
// Precedes the value in the body of a DataRow: the number of columns and the length of the only one.
constexpr std::size_t kRowHeaderBytes = 6;
// The length field of a DataRow counts itself and the header.
constexpr std::size_t kMinRowLength = 4 + kRowHeaderBytes;

// A log position in seconds stays below the year 5138, so that times don't overflow.
constexpr double kMaxReportValue = 1e11;
constexpr std::uint64_t kMaxPositionMillis = 100'000'000'000'000;
// Limit on the text that an error quotes.
constexpr std::size_t kMaxQuotedBytes = 40;

// The message types that are valid next: at the start of an answer, after each of its parts, and at the start
// of the answer to an empty query.
constexpr std::string_view kAtStart = "TESN", kAfterDescription = "DESN", kAfterRow = "CESN",
                           kAfterCompletion = "ZSN", kAtEmptyQuery = "ISN";

template <typename T>
T parseNumber(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    throw Malformed("'" + std::string(text.substr(0, kMaxQuotedBytes)) + "' is not a number");
  return value;
}

double parseReportValue(std::string_view text) {
  const auto value = parseNumber<double>(text);
  if (!std::isfinite(value) || value < 0 || value > kMaxReportValue)
    throw Malformed("a load report value is out of range");
  return value;
}

std::uint64_t parsePosition(std::string_view text) {
  const auto value = parseNumber<std::uint64_t>(text);
  if (value > kMaxPositionMillis) throw Malformed("a log position is out of range");
  return value;
}

// Parses a load report: comma-separated name=value fields. Unknown names are skipped.
Report parseReport(std::string_view text) {
  Report report;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto field = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) throw Malformed("a field of a load report has no value");
    const auto name = field.substr(0, equals);
    const auto value = field.substr(equals + 1);
    if (name == "x0") report.positionSeconds = parseReportValue(value);
    if (name == "x1") report.primary = parseReportValue(value) == 1;
    if (name == "inflight" || name == "active") report.inFlight = parseReportValue(value);
  }
  return report;
}

// Reads a big-endian integer of `size` bytes at the start of `bytes`.
std::uint32_t readInteger(std::string_view bytes, std::size_t size) {
  if (bytes.size() < size) throw Malformed("a row is truncated");
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

// Reads a ParameterStatus, in which a node sends its load report along with an answer. An invalid report is
// skipped, so that it does not discard a valid answer. Trade-off: this hides a node that never reports a
// valid log position; its position is then unknown.
void readParameterStatus(std::string_view body, Answer& answer) {
  try {
    const auto name = takeString(body);
    const auto value = takeString(body);
    if (name == "part" && (value == "master" || value == "replica")) answer.fromPrimary = value == "master";
    if (name == "caught_up_to") answer.positionMs = parsePosition(value);
    if (name == "gauges") answer.report = parseReport(value);
  } catch (const Malformed&) {}
}

// Checks that a RowDescription describes exactly one column.
void checkDescription(std::string_view body) {
  if (readInteger(body, 2) != 1) throw Malformed("expected exactly one column in a row");
  body.remove_prefix(2);
  takeString(body);
  if (body.size() != kColumnDescriptionBytes)
    throw Malformed("a column description has an unexpected length");
}

std::size_t maxLengthOf(char type) {
  if (type == 'D') return kMaxMessageBytes;
  return type == 'Z' ? kReadyForQueryLength : kMaxShortMessageBytes;
}

// Checks the header of a message that may be incomplete, so that an invalid message is detected immediately:
// with a wrong length, the reader would otherwise wait for bytes that never arrive. `expected`: the message
// types that are valid next.
void checkHeader(std::string_view bytes, std::string_view expected) {
  if (bytes.empty()) return;
  const char type = bytes[0];
  if (expected.find(type) == std::string_view::npos) throw Malformed("unexpected message type");
  if (bytes.size() < 5) return;
  const std::size_t length = readInteger(bytes.substr(1), 4);
  const std::size_t maxLength = maxLengthOf(type);
  if (length > maxLength) throw Malformed("a message is longer than " + std::to_string(maxLength) + " bytes");
  if (type != 'D') return;
  if (length < kMinRowLength) throw Malformed("a row is truncated");
  if (bytes.size() < 1 + kMinRowLength) return;
  if (readInteger(bytes.substr(5), 2) != 1) throw Malformed("expected exactly one column in a row");
  if (readInteger(bytes.substr(7), 4) + kMinRowLength != length)
    throw Malformed("a column length does not match the length of its row");
}

// Assembles an answer from its messages.
class AnswerReader {
 public:
  // The message types that are valid next.
  std::string_view expected() const { return expected_; }
  bool isComplete() const { return isComplete_; }
  const Answer& answer() const { return answer_; }

  void take(const Message& message) {
    switch (message.type) {
      case 'T':
        checkDescription(message.body);
        answer_.description = message.encoded;
        expected_ = kAfterDescription;
        return;
      case 'D':
        answer_.row = message.encoded;
        answer_.value = message.body.substr(kRowHeaderBytes);
        expected_ = kAfterRow;
        return;
      case 'C':
        return takeCompletion(message);
      case 'S':
        return readParameterStatus(message.body, answer_);
      case 'E':
        return takeError(message);
      case 'Z':
        isComplete_ = true;
        return;
      default:  // a notice
        return;
    }
  }

 private:
  void takeCompletion(const Message& message) {
    std::string_view body = message.body;
    takeString(body);
    if (!body.empty()) throw Malformed("a CommandComplete message has extra bytes after its tag");
    answer_.completion = message.encoded;
    expected_ = kAfterCompletion;
  }

  // No message follows a fatal error.
  void takeError(const Message& message) {
    const auto fields = readError(message.body);
    answer_.kind = answerKindOf(fields.code);
    answer_.fatal = fields.severity == "FATAL" || fields.severity == "PANIC";
    expected_ = kAfterCompletion;
    isComplete_ = answer_.fatal;
  }

  Answer answer_;
  std::string_view expected_ = kAtStart;
  bool isComplete_ = false;
};

}  // namespace

AnswerKind answerKindOf(std::string_view code) {
  if (code == "25006" || code == "72000") return AnswerKind::wrongNode;
  if (code == "53300" || code == "57P03") return AnswerKind::rejected;
  return AnswerKind::error;
}

std::optional<Answer> takeAnswer(std::string_view& bytes) {
  AnswerReader reader;
  auto rest = bytes;
  while (!reader.isComplete()) {
    checkHeader(rest, reader.expected());
    const auto message = takeMessage(rest, kMaxMessageBytes);
    if (!message) {
      if (bytes.size() > kMaxAnswerBytes) throw Malformed("an answer is too long");
      return std::nullopt;
    }
    reader.take(*message);
  }
  bytes = rest;
  return reader.answer();
}

std::optional<StartupResult> takeStartupResult(std::string_view& bytes) {
  while (const auto message = takeMessage(bytes, kMaxMessageBytes)) {
    if (message->type == 'Z') return StartupResult::accepted;
    if (message->type == 'E')
      return answerKindOf(readError(message->body).code) == AnswerKind::rejected ? StartupResult::rejected
                                                                                 : StartupResult::refused;
    if (message->type == 'R' && message->body != std::string_view("\0\0\0\0", 4))
      throw Malformed("the node requests a password, which is not supported");
  }
  return std::nullopt;
}

Report readReport(std::string_view text) {
  try {
    return parseReport(text);
  } catch (const Malformed&) { return {}; }
}

bool takeEmptyQueryAnswer(std::string_view& bytes) {
  auto rest = bytes;
  for (std::string_view expected = kAtEmptyQuery;;) {
    checkHeader(rest, expected);
    const auto message = takeMessage(rest, kMaxShortMessageBytes);
    if (!message) return false;
    if (message->type == 'I') expected = kAfterCompletion;
    if (message->type != 'Z') continue;
    bytes = rest;
    return true;
  }
}

std::string rejectedError(std::int64_t retryAfterMs, unsigned level) {
  const std::string degradation =
      level > 0 ? ", service is reduced to level " + std::to_string(level) : std::string();
  return error("ERROR", kRejected, "refused: trying again is harmless" + degradation,
               retryAfterMs > 0 ? std::to_string(retryAfterMs) : std::string());
}

std::string rolledBackError() {
  return error("ERROR", kTransactionResolutionUnknown, "rolled back: it may or may not have run");
}

}  // namespace gulltrestle::postgres
