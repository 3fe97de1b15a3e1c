// Codec for the messages of the PostgreSQL wire protocol, version 3, that simple queries need. Parsed
// messages are slices of the received bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::postgres {

// Bytes that are not a valid message of the protocol.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A message, as views of the bytes that it was parsed from.
struct Message {
  char type = 0;
  std::string_view body;
  std::string_view encoded;  // including type and length
};

// Removes the first message from `bytes` and returns it; nullopt if it is incomplete. Throws Malformed if its
// length is invalid or exceeds `maxLength`.
std::optional<Message> takeMessage(std::string_view& bytes, std::size_t maxLength);

// The first message on a connection, which has no type. `code` is the protocol version or the code of the
// request.
struct StartupMessage {
  std::uint32_t code = 0;
  std::string_view body;
};
// Removes it from the start of `bytes` and returns it; nullopt if it is incomplete. Throws Malformed if its
// length is invalid.
std::optional<StartupMessage> takeStartupMessage(std::string_view& bytes);

// Values of `code` other than a protocol version.
constexpr std::uint32_t kSslRequest = 80877103, kGssRequest = 80877104, kCancelRequest = 80877102;
constexpr std::uint32_t kMajorVersion = 3;

// Removes a zero-terminated string from the start of `body` and returns it. Throws Malformed if it has no
// terminator.
std::string_view takeString(std::string_view& body);

// The kind of request that a client's message makes.
enum class Request {
  query,
  terminate,
  sync,
  extended,  // a message of the extended query protocol
  functionCall,
  ignored,  // requires no answer and has no effect here
  unknown
};
// Maps the type byte of a message to the kind of request.
Request requestOf(char type);

// The SQLSTATEs that this router sends.
constexpr std::string_view kRejected = "53300", kTransactionResolutionUnknown = "08007",
                           kProtocolViolation = "08P01", kNotSupported = "0A000", kBadValue = "22023",
                           kSyntaxError = "42601", kTooLarge = "54000";

// The fields of an ErrorResponse or NoticeResponse that are used here.
struct ErrorFields {
  std::string_view severity, code, message, detail;
};
// Parses the body of an ErrorResponse or NoticeResponse. Throws Malformed if it has no SQLSTATE.
ErrorFields readError(std::string_view body);

// Encodes a startup message.
std::string startup(std::string_view user, std::string_view database);
// Encodes the startup message that is sent to nodes.
std::string nodeStartupMessage();
// Encodes the complete answer to a startup message, including ReadyForQuery.
std::string startupAnswer();
// Encodes a message of any type; the functions below use it.
std::string message(char type, std::string_view body);
std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail = {});
std::string notice(std::string_view text);
std::string emptyQueryResponse();
std::string readyForQuery();
std::string terminate();

// Encodes the header of a Query message for a statement of `statementSize` bytes. The caller sends the
// statement and a zero byte after it.
std::string queryHeader(std::size_t statementSize);

}  // namespace gulltrestle::postgres
