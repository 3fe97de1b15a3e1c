#include "transactions/connection_close.h"

namespace gulltrestle::transactions {

AttemptOutcome outcomeOf(ConnectionCloseReason reason, bool isFullyWritten) {
  switch (reason) {
    case ConnectionCloseReason::noDescriptor:
      return AttemptOutcome::notSent;
    case ConnectionCloseReason::cancelled:
      return isFullyWritten ? AttemptOutcome::cancelled : AttemptOutcome::notSent;
    case ConnectionCloseReason::rejected:
      return AttemptOutcome::rejected;
    case ConnectionCloseReason::unanswered:
      return isFullyWritten ? AttemptOutcome::timeout : AttemptOutcome::noConnection;
    case ConnectionCloseReason::nodeDrained:
    case ConnectionCloseReason::retired:
      return isFullyWritten ? AttemptOutcome::connectionLost : AttemptOutcome::notSent;
    default:
      return isFullyWritten ? AttemptOutcome::connectionLost : AttemptOutcome::noConnection;
  }
}

bool mayHaveRun(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::rejected:
    case AttemptOutcome::noConnection:
    case AttemptOutcome::notSent:
    case AttemptOutcome::wrongNode:
      return false;
    case AttemptOutcome::committed:
    case AttemptOutcome::error:
    case AttemptOutcome::timeout:
    case AttemptOutcome::connectionLost:
    case AttemptOutcome::cancelled:
      return true;
  }
  return true;
}

std::string_view nameOf(ConnectionCloseReason reason) {
  switch (reason) {
    case ConnectionCloseReason::noDescriptor:
      return "no descriptor";
    case ConnectionCloseReason::refused:
      return "refused";
    case ConnectionCloseReason::connectTimeout:
      return "connect timeout";
    case ConnectionCloseReason::rejected:
      return "rejected";
    case ConnectionCloseReason::broken:
      return "broken";
    case ConnectionCloseReason::malformed:
      return "malformed";
    case ConnectionCloseReason::cancelled:
      return "cancelled";
    case ConnectionCloseReason::unanswered:
      return "unanswered";
    case ConnectionCloseReason::retired:
      return "retired";
    case ConnectionCloseReason::nodeDrained:
      return "node drained";
    case ConnectionCloseReason::clientFinished:
      return "client finished";
    case ConnectionCloseReason::clientStalled:
      return "client stalled";
    case ConnectionCloseReason::shuttingDown:
      return "shutting down";
  }
  return "unknown";
}

std::string_view nameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::committed:
      return "committed";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "rejected";
    case AttemptOutcome::timeout:
      return "timeout";
    case AttemptOutcome::noConnection:
      return "no_connection";
    case AttemptOutcome::connectionLost:
      return "connection_lost";
    case AttemptOutcome::cancelled:
      return "cancelled";
    case AttemptOutcome::notSent:
      return "not_sent";
    case AttemptOutcome::wrongNode:
      return "not_here";
  }
  return "unknown";
}

}  // namespace gulltrestle::transactions
