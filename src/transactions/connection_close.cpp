#include "transactions/connection_close.h"

namespace gulltrestle::transactions {

End outcomeOf(ConnectionEnd how, bool writtenWhole) {
  switch (how) {
    case ConnectionEnd::notOpened:
      return End::notSent;
    case ConnectionEnd::cancelled:
      return writtenWhole ? End::cancelled : End::notSent;
    case ConnectionEnd::rejected:
      return End::rejected;
    case ConnectionEnd::unanswered:
      return writtenWhole ? End::timeout : End::noConnection;
    case ConnectionEnd::nodeLeft:
    case ConnectionEnd::retired:
      return writtenWhole ? End::connectionLost : End::notSent;
    default:
      return writtenWhole ? End::connectionLost : End::noConnection;
  }
}

bool mayHaveRun(End how) {
  switch (how) {
    case End::rejected:
    case End::noConnection:
    case End::notSent:
    case End::notHere:
      return false;
    case End::committed:
    case End::error:
    case End::timeout:
    case End::connectionLost:
    case End::cancelled:
      return true;
  }
  return true;
}

std::string_view nameOf(ConnectionEnd how) {
  switch (how) {
    case ConnectionEnd::notOpened:
      return "not opened";
    case ConnectionEnd::refused:
      return "refused";
    case ConnectionEnd::neverUp:
      return "never up";
    case ConnectionEnd::rejected:
      return "rejected";
    case ConnectionEnd::broken:
      return "broken";
    case ConnectionEnd::malformed:
      return "malformed";
    case ConnectionEnd::cancelled:
      return "cancelled";
    case ConnectionEnd::unanswered:
      return "unanswered";
    case ConnectionEnd::retired:
      return "retired";
    case ConnectionEnd::nodeLeft:
      return "node left";
    case ConnectionEnd::clientDone:
      return "client done";
    case ConnectionEnd::clientStuck:
      return "client stuck";
    case ConnectionEnd::shuttingDown:
      return "shutting down";
  }
  return "unknown";
}

std::string_view nameOf(End how) {
  switch (how) {
    case End::committed:
      return "committed";
    case End::error:
      return "error";
    case End::rejected:
      return "rejected";
    case End::timeout:
      return "timeout";
    case End::noConnection:
      return "no_connection";
    case End::connectionLost:
      return "connection_lost";
    case End::cancelled:
      return "cancelled";
    case End::notSent:
      return "not_sent";
    case End::notHere:
      return "not_here";
  }
  return "unknown";
}

}  // namespace gulltrestle::transactions
