#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

namespace {

// The longest startup message that PostgreSQL itself accepts.
constexpr std::uint32_t kMaxStartupMessageBytes = 10000;

// Reads a big-endian integer of four bytes.
std::uint32_t readInteger(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char byte : bytes.substr(0, 4)) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

void appendInteger(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xFF);
}

// Appends the string and its terminating zero byte.
void appendString(std::string& out, std::string_view text) {
  out += text;
  out += '\0';
}

// Encodes an ErrorResponse or NoticeResponse without its empty fields.
std::string responseWithFields(char type, std::string_view severity, std::string_view code,
                               std::string_view text, std::string_view detail) {
  std::string body;
  for (const auto& [field, value] :
       {std::pair{'S', severity}, {'V', severity}, {'C', code}, {'M', text}, {'D', detail}}) {
    if (value.empty()) continue;
    body += field;
    appendString(body, value);
  }
  body += '\0';
  return message(type, body);
}

}  // namespace

std::optional<Message> takeMessage(std::string_view& bytes, std::size_t maxLength) {
  if (bytes.size() < 5) return std::nullopt;
  const std::uint32_t length = readInteger(bytes.substr(1));
  if (length < 4) throw Malformed("a message's length is below 4");
  if (length > maxLength) throw Malformed("a message is longer than " + std::to_string(maxLength) + " bytes");
  if (bytes.size() < 1 + std::size_t{length}) return std::nullopt;
  const Message message{bytes[0], bytes.substr(5, length - 4), bytes.substr(0, 1 + length)};
  bytes.remove_prefix(1 + length);
  return message;
}

std::optional<StartupMessage> takeStartupMessage(std::string_view& bytes) {
  if (bytes.size() < 4) return std::nullopt;
  const std::uint32_t length = readInteger(bytes);
  if (length < 8 || length > kMaxStartupMessageBytes)
    throw Malformed("a startup message's length can't be right");
  if (bytes.size() < length) return std::nullopt;
  const StartupMessage startupMessage{readInteger(bytes.substr(4)), bytes.substr(8, length - 8)};
  bytes.remove_prefix(length);
  return startupMessage;
}

std::string_view takeString(std::string_view& body) {
  const auto end = body.find('\0');
  if (end == std::string_view::npos) throw Malformed("a text has no end");
  const auto text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return text;
}

Request requestOf(char type) {
  switch (type) {
    case 'Q':
      return Request::query;
    case 'X':
      return Request::terminate;
    case 'S':
      return Request::sync;
    case 'F':
      return Request::functionCall;
    case 'P':  // parse, bind, describe, execute, close
    case 'B':
    case 'D':
    case 'E':
    case 'C':
      return Request::extended;
    case 'H':  // flush, and the messages of a COPY
    case 'd':
    case 'c':
    case 'f':
      return Request::ignored;
    default:
      return Request::unknown;
  }
}

ErrorFields readError(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body.front() != '\0') {
    const char field = body.front();
    body.remove_prefix(1);
    const auto value = takeString(body);
    if (field == 'V' || (field == 'S' && fields.severity.empty())) fields.severity = value;
    if (field == 'C') fields.code = value;
    if (field == 'M') fields.message = value;
    if (field == 'D') fields.detail = value;
  }
  if (fields.code.size() != 5) throw Malformed("an error has no code");
  return fields;
}

std::string message(char type, std::string_view body) {
  std::string out(1, type);
  appendInteger(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
  return out;
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  for (const std::string_view text : {std::string_view("user"), user, std::string_view("database"), database})
    appendString(body, text);
  body += '\0';
  std::string out;
  appendInteger(out, static_cast<std::uint32_t>(body.size() + 8));
  appendInteger(out, kMajorVersion << 16);
  return out + body;
}

// Nodes accept any user; these are the names that clients use.
std::string nodeStartupMessage() { return startup("worker", "catalog"); }

std::string startupAnswer() {
  std::string out = message('R', std::string_view("\0\0\0\0", 4));
  for (const auto& [name, value] : {std::pair{"server_version", "15.0"},
                                    {"server_encoding", "UTF8"},
                                    {"client_encoding", "UTF8"},
                                    {"DateStyle", "ISO, MDY"},
                                    {"integer_datetimes", "on"},
                                    {"standard_conforming_strings", "on"}}) {
    std::string body;
    appendString(body, name);
    appendString(body, value);
    out += message('S', body);
  }
  out += message('K', std::string_view("\0\0\0\0\0\0\0\0", 8));
  return out + readyForQuery();
}

std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail) {
  return responseWithFields('E', severity, code, text, detail);
}

std::string notice(std::string_view text) { return responseWithFields('N', "NOTICE", "00000", text, {}); }
std::string emptyQueryResponse() { return message('I', {}); }
std::string readyForQuery() { return message('Z', "I"); }
std::string terminate() { return message('X', {}); }

std::string queryHeader(std::size_t statementSize) {
  std::string out(1, 'Q');
  appendInteger(out, static_cast<std::uint32_t>(statementSize + 5));
  return out;
}

}  // namespace gulltrestle::postgres
