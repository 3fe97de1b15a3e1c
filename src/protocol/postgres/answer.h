// A node's whole answer to one query, and what it tells of the node.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// What an error says of the query.
enum class AnswerKind {
  row,        // no error: it ran
  wrongNode,  // no effect: a write, and this is no primary; or too far behind
  rejected,   // never ran: queue full, draining, too many connections, or the txn is already over
  error,      // it may have run
};

// A node's report on itself: log position, role, transactions in flight.
struct Report {
  std::optional<double> positionSeconds;  // Unix time
  std::optional<bool> primary;
  std::optional<double> inHand;
};

// The slices are of the bytes it was read from.
struct Answer {
  AnswerKind kind = AnswerKind::row;
  bool fatal = false;                           // the node closes the connection after it
  std::string_view description, row, complete;  // whole messages; with a verdict of row only
  std::string_view value;                       // the row's one column
  std::optional<bool> fromPrimary;
  std::optional<std::uint64_t> positionMs;  // Unix time
  Report report;
};

// Takes an answer off the front of `bytes`; none if it is not whole yet. Throws Malformed as soon as the
// bytes that are there can't begin one.
std::optional<Answer> takeAnswer(std::string_view& bytes);

// Takes the answer to an empty query off the front of `bytes`, whole or not at all. Throws Malformed on
// anything else: it is what another query left behind.
bool takeAllClear(std::string_view& bytes);

Report readReport(std::string_view text);  // empty where it can't be read

// How a node takes to a new connection.
enum class Greeting { welcome, rejected, refused };
// Takes messages off the front of `bytes` up to the one that tells; none if it is not there yet.
std::optional<Greeting> takeGreeting(std::string_view& bytes);

// The verdict of an error's SQLSTATE.
AnswerKind verdictOf(std::string_view code);

// An answer that refuses: harmless to try again, after so many milliseconds where that is advised. `level`:
// of reduced service, named where it is not 0.
std::string refused(std::int64_t retryAfterMs, unsigned level = 0);
// An answer that promises nothing about the effect.
std::string rolledBack();

constexpr std::string_view kShowReport = "SHOW gauges";

}  // namespace gulltrestle::postgres
