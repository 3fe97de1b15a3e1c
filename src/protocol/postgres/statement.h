// The statements that clients send, and the names and values in their comment.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// A statement that can't be taken: an SQLSTATE and what is wrong.
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
  std::string_view id;        // of this try
  std::string_view typeName;  // of txn
  std::uint64_t waitMs = 0;   // how long the client waits
  std::string_view wait;      // the digits of that
  std::uint64_t group = 0;
  std::optional<std::uint64_t> afterMs;  // Unix time in ms that the read must see
};

// All slices are of `text`.
Statement readStatement(std::string_view text);

bool isBlank(std::string_view text);  // nothing but spaces and semicolons

}  // namespace gulltrestle::postgres
