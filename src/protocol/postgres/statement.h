// The statements that clients send, and the names and values in their comment.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// A statement that can't be served: the SQLSTATE to answer with, and the fault. It fails whenever it is sent.
class InvalidStatement : public std::runtime_error {
 public:
  InvalidStatement(std::string_view code, const std::string& what) : std::runtime_error(what), code_(code) {}
  std::string_view code() const { return code_; }

 private:
  std::string_view code_;  // a constant
};

// A statement and the fields of its comment.
struct Statement {
  bool writes = false;        // INSERT, else SELECT
  std::string_view key;       // the first quoted text
  std::string_view id;        // of this attempt of the client
  std::string_view typeName;  // of its transaction class
  std::uint64_t waitMs = 0;   // how long the client waits
  std::string_view wait;      // the digits of that
  std::uint64_t group = 0;
  std::optional<std::uint64_t> afterMs;  // Unix time in ms that the read must see
};

// Reads a query; all slices refer to `text`. Throws InvalidStatement.
Statement readStatement(std::string_view text);

// Nothing but spaces and semicolons.
bool isBlank(std::string_view text);

}  // namespace gulltrestle::postgres
