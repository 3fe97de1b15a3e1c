// Parsing of a node's answer to one query, with the load report that it includes, and encoding of the answers
// that the router sends in place of a node.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// The outcome of a query.
enum class AnswerKind {
  row,        // success: the query was executed
  wrongNode,  // not executed: a write at a node that is not the primary, or a read at one that lags too far
  rejected,   // not executed: queue full, draining, too many connections, or transaction already ended
  error,      // the query may have been executed
};

// A node's load report: log position, role, transactions in flight.
struct Report {
  std::optional<double> positionSeconds;  // Unix time
  std::optional<bool> primary;
  std::optional<double> inFlight;
};

// A complete answer. Its slices refer to the bytes that it was parsed from.
struct Answer {
  AnswerKind kind = AnswerKind::row;
  bool fatal = false;                             // the node closes the connection after this answer
  std::string_view description, row, completion;  // complete messages; empty unless the kind is row
  std::string_view value;                         // the only column of the row
  std::optional<bool> fromPrimary;
  std::optional<std::uint64_t> positionMs;  // Unix time
  Report report;
};

// Removes the first answer from `bytes` and returns it; nullopt if it is incomplete. Throws Malformed as soon
// as the available bytes cannot be the start of an answer.
std::optional<Answer> takeAnswer(std::string_view& bytes);

// Removes the answer to an empty query from the start of `bytes`; returns false if it is incomplete. Throws
// Malformed on anything else, which is left over from an earlier query.
bool takeEmptyQueryAnswer(std::string_view& bytes);

// Parses the text of a node's load report. Returns an empty report if the text is invalid.
Report readReport(std::string_view text);

// The result of a node's startup sequence on a new connection.
enum class StartupResult {
  accepted,  // the node accepts queries
  rejected,  // the node cannot accept a connection at present
  refused    // any other error
};
// Removes messages from the start of `bytes`, up to the one that determines the result; nullopt if that
// message is not available yet. Throws Malformed.
std::optional<StartupResult> takeStartupResult(std::string_view& bytes);

// Maps the SQLSTATE of an error to the outcome of the query.
AnswerKind answerKindOf(std::string_view code);

// Encodes the answer to a rejected statement, which was not executed and can be retried safely.
// `retryAfterMs`: the advised wait before a retry, in milliseconds; 0: none. `level`: the degradation level
// that rejected the statement; 0: none.
std::string rejectedError(std::int64_t retryAfterMs, unsigned level = 0);
// Encodes the answer to a statement that may or may not have been executed.
std::string rolledBackError();

// The query that returns a node's load report.
constexpr std::string_view kShowReport = "SHOW gauges";

}  // namespace gulltrestle::postgres
