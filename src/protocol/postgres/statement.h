// Parser for the statements that clients send, including the fields in their comment.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// A statement that cannot be served. code() is the SQLSTATE to answer with, what() the reason. A retry of the
// same statement always fails.
class InvalidStatement : public std::runtime_error {
 public:
  InvalidStatement(std::string_view code, const std::string& what) : std::runtime_error(what), code_(code) {}
  std::string_view code() const { return code_; }

 private:
  std::string_view code_;  // refers to a constant
};

// A statement and the fields of its comment.
struct Statement {
  bool isWrite = false;          // true: INSERT; false: SELECT
  std::string_view key;          // the object id: the first quoted text
  std::string_view id;           // id of the client's attempt
  std::string_view typeName;     // name of the transaction class
  std::uint64_t timeoutMs = 0;   // time that the client waits for the answer
  std::string_view timeoutText;  // the digits of timeoutMs in the text
  std::uint64_t group = 0;
  std::optional<std::uint64_t> afterMs;  // Unix time in ms; the read must see all commits up to it
};

// Parses a query. All slices refer to `text`. Throws InvalidStatement.
Statement readStatement(std::string_view text);

// Whether the text consists of whitespace and semicolons only.
bool isBlank(std::string_view text);

}  // namespace gulltrestle::postgres
