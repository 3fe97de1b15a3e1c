// A node's complete answer to one query, and what it reports of the node.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/postgres/messages.h"

namespace gulltrestle::postgres {

// What became of the query.
enum class AnswerKind {
  row,        // no error: it ran
  wrongNode,  // no effect: a write at a node that is no primary; or a read at one that lags too far
  rejected,   // never ran: queue full, draining, too many connections, or the transaction has ended already
  error,      // it may have run
};

// A node's report on itself: log position, role, transactions in flight.
struct Report {
  std::optional<double> positionSeconds;  // Unix time
  std::optional<bool> primary;
  std::optional<double> inFlight;
};

// Its slices refer to the bytes that it was read from.
struct Answer {
  AnswerKind kind = AnswerKind::row;
  bool fatal = false;                           // the node closes the connection after it
  std::string_view description, row, complete;  // whole messages; empty where the kind is not row
  std::string_view value;                       // the row's one column
  std::optional<bool> fromPrimary;
  std::optional<std::uint64_t> positionMs;  // Unix time
  Report report;
};

// Takes an answer off the front of `bytes`; none if it is incomplete. Throws Malformed as soon as the bytes
// that are there can't begin one.
std::optional<Answer> takeAnswer(std::string_view& bytes);

// Takes the answer to an empty query off the front of `bytes`; false if it is incomplete. Throws Malformed on
// anything else: another query left it behind.
bool takeAllClear(std::string_view& bytes);

// Reads the value of a node's report. Empty where it can't be read.
Report readReport(std::string_view text);

// How a node answers a new connection.
enum class Greeting {
  welcome,   // it serves queries
  rejected,  // it can't take a connection now
  refused    // any other error
};
// Takes messages off the front of `bytes` up to the one that decides; none if it is not there yet.
std::optional<Greeting> takeGreeting(std::string_view& bytes);

// What an error's SQLSTATE says of the query.
AnswerKind verdictOf(std::string_view code);

// An answer that rejects a statement: it never ran, and a retry is harmless, after so many milliseconds where
// that is advised. `level`: the degradation level that rejected it; 0: none did.
std::string refused(std::int64_t retryAfterMs, unsigned level = 0);
// An answer that promises nothing about the effect.
std::string rolledBack();

// The query for a node's report.
constexpr std::string_view kShowReport = "SHOW gauges";

}  // namespace gulltrestle::postgres
