#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

namespace {

// The longest startup message that PostgreSQL itself takes.
constexpr std::uint32_t kLongestOpening = 10000;

std::uint32_t number(std::string_view bytes) {
  std::uint32_t n = 0;
  for (int i = 0; i < 4; ++i) n = n << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
  return n;
}

void put(std::string& to, std::uint32_t n) {
  for (int shift = 24; shift >= 0; shift -= 8) to += static_cast<char>(n >> shift & 0xFF);
}

void putText(std::string& to, std::string_view text) {
  to += text;
  to += '\0';
}

std::string report(char type, std::string_view severity, std::string_view code, std::string_view text,
                   std::string_view detail) {
  std::string body;
  for (const auto& [field, value] :
       {std::pair{'S', severity}, {'V', severity}, {'C', code}, {'M', text}, {'D', detail}}) {
    if (value.empty()) continue;
    body += field;
    putText(body, value);
  }
  body += '\0';
  return message(type, body);
}

}  // namespace

std::optional<Message> takeMessage(std::string_view& bytes, std::size_t longest) {
  if (bytes.size() < 5) return std::nullopt;
  const std::uint32_t length = number(bytes.substr(1));
  if (length < 4) throw Malformed("a message's length is below 4");
  if (length > longest) throw Malformed("a message is longer than " + std::to_string(longest) + " bytes");
  if (bytes.size() < 1 + std::size_t{length}) return std::nullopt;
  const Message taken{bytes[0], bytes.substr(5, length - 4), bytes.substr(0, 1 + length)};
  bytes.remove_prefix(1 + length);
  return taken;
}

std::optional<Opening> takeOpening(std::string_view& bytes) {
  if (bytes.size() < 4) return std::nullopt;
  const std::uint32_t length = number(bytes);
  if (length < 8 || length > kLongestOpening) throw Malformed("a startup message's length can't be right");
  if (bytes.size() < length) return std::nullopt;
  const Opening taken{number(bytes.substr(4)), bytes.substr(8, length - 8)};
  bytes.remove_prefix(length);
  return taken;
}

std::string_view takeText(std::string_view& body) {
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
      return Request::goodbye;
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
    case 'H':  // flush, and what is left of a copy
    case 'd':
    case 'c':
    case 'f':
      return Request::passedOver;
    default:
      return Request::unknown;
  }
}

ErrorFields readError(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body.front() != '\0') {
    const char field = body.front();
    body.remove_prefix(1);
    const auto value = takeText(body);
    if (field == 'V' || (field == 'S' && fields.severity.empty())) fields.severity = value;
    if (field == 'C') fields.code = value;
    if (field == 'M') fields.message = value;
    if (field == 'D') fields.detail = value;
  }
  if (fields.code.size() != 5) throw Malformed("an error has no code");
  return fields;
}

std::string message(char type, std::string_view body) {
  std::string made(1, type);
  put(made, static_cast<std::uint32_t>(body.size() + 4));
  made += body;
  return made;
}

std::string startup(std::string_view user, std::string_view database) {
  std::string body;
  for (const std::string_view text : {std::string_view("user"), user, std::string_view("database"), database})
    putText(body, text);
  body += '\0';
  std::string made;
  put(made, static_cast<std::uint32_t>(body.size() + 8));
  put(made, kMajorVersion << 16);
  return made + body;
}

// Nodes admit any user; these are the ones that clients name.
std::string login() { return startup("worker", "catalog"); }

std::string welcome() {
  std::string made = message('R', std::string_view("\0\0\0\0", 4));
  for (const auto& [name, value] : {std::pair{"server_version", "15.0"},
                                    {"server_encoding", "UTF8"},
                                    {"client_encoding", "UTF8"},
                                    {"DateStyle", "ISO, MDY"},
                                    {"integer_datetimes", "on"},
                                    {"standard_conforming_strings", "on"}}) {
    std::string body;
    putText(body, name);
    putText(body, value);
    made += message('S', body);
  }
  made += message('K', std::string_view("\0\0\0\0\0\0\0\0", 8));
  return made + readyForQuery();
}

std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail) {
  return report('E', severity, code, text, detail);
}

std::string notice(std::string_view text) { return report('N', "NOTICE", "00000", text, {}); }
std::string emptyQueryResponse() { return message('I', {}); }
std::string readyForQuery() { return message('Z', "I"); }
std::string terminate() { return message('X', {}); }

std::string queryHead(std::size_t statementSize) {
  std::string made(1, 'Q');
  put(made, static_cast<std::uint32_t>(statementSize + 5));
  return made;
}

}  // namespace gulltrestle::postgres
