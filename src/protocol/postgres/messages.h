// Messages of the PostgreSQL wire protocol, version 3, as far as simple queries need them: read as slices of
// the received bytes, and written.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::postgres {

// Bytes that are no valid message of the protocol.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One message, as views of the bytes it was read from.
struct Message {
  char type = 0;
  std::string_view body;
  std::string_view whole;  // with type and length
};

// Takes the next message off the front of `bytes`; none if it is incomplete. Throws Malformed if its length
// can't be right, or is more than `maxLength`.
std::optional<Message> takeMessage(std::string_view& bytes, std::size_t maxLength);

// The same for a connection's first message, which has no type: `code` is the version or the request's code.
struct Opening {
  std::uint32_t code = 0;
  std::string_view body;
};
std::optional<Opening> takeOpening(std::string_view& bytes);

constexpr std::uint32_t kSslRequest = 80877103, kGssRequest = 80877104, kCancelRequest = 80877102;
constexpr std::uint32_t kMajorVersion = 3;

// Takes a zero-terminated text off the front. Throws Malformed if it has no end.
std::string_view takeText(std::string_view& body);

// What a client requests by a message.
enum class Request {
  query,
  goodbye,
  sync,
  extended,  // a message of the extended query protocol
  functionCall,
  passedOver,  // has no answer and no effect here
  unknown
};
Request requestOf(char type);

// The SQLSTATEs that this router answers with.
constexpr std::string_view kRefused = "53300", kMayHaveRun = "08007", kProtocolViolation = "08P01",
                           kNotSupported = "0A000", kBadValue = "22023", kSyntaxError = "42601",
                           kTooLarge = "54000";

// The fields of an ErrorResponse or NoticeResponse that matter here.
struct ErrorFields {
  std::string_view severity, code, message, detail;
};
// Throws Malformed where there is no SQLSTATE.
ErrorFields readError(std::string_view body);

// A startup message.
std::string startup(std::string_view user, std::string_view database);
// The startup message to a node.
std::string login();
// The complete answer to a startup message, ReadyForQuery included.
std::string welcome();
// Any message; the others are made of it.
std::string message(char type, std::string_view body);
std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail = {});
std::string notice(std::string_view text);
std::string emptyQueryResponse();
std::string readyForQuery();
std::string terminate();

// The head of a Query message for a statement of that size; statement and a zero byte follow it.
std::string queryHead(std::size_t statementSize);

}  // namespace gulltrestle::postgres
