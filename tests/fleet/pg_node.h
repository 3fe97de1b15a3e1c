// A fake node that speaks the PostgreSQL protocol and logs the transactions that it ran: one line per
// transaction, synced before the answer.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

// Whether the log is synced; `faked`: a sync is reported but not done.
enum class SyncMode { never, always, faked };

// The fake node, on an event loop. Accepts connections until it is destroyed.
class PgNode {
 public:
  // Transactions that are in the log file already count as run; a torn line at its end is cut off.
  // FILE.synced holds the number of bytes synced, from which a simulated power loss computes what survives.
  // Throws std::system_error.
  PgNode(event_loop::EventLoop& loop, const std::string& host, unsigned short port, const std::string& file,
         SyncMode syncMode);

  std::string address() const { return address_; }
  std::function<void(const std::string& id)> onWrite;  // after the transaction ran, before its answer
  bool dropAnswers = false;                            // closes the connection in place of an answer
  const std::vector<std::string>& executedIds() const { return executedIds_; }  // in execution order

 private:
  event_loop::Task accept(event_loop::Descriptor descriptor);
  event_loop::Task serve(event_loop::Descriptor descriptor);
  bool log(const std::string& id);

  event_loop::EventLoop& loop_;
  std::string address_, file_;
  SyncMode syncMode_;
  event_loop::Descriptor logFile_;
  std::vector<std::string> executedIds_;
};

// The transaction ids in a log, without a torn last line.
std::vector<std::string> readLog(const std::string& file);

}  // namespace gulltrestle::fleet
