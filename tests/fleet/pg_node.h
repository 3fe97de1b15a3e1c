// A stand-in node of the PostgreSQL protocol, with a log of what ran: a line a transaction, synced before its
// answer.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/event_loop/event_loop.h"

namespace gulltrestle::fleet {

// What a disk does with a log: `lies` says that it synced and did not.
enum class Syncs { never, always, lies };

// The node, on an event loop. It accepts connections for as long as it lives.
class PgNode {
 public:
  // What the log holds already has run; a line that is torn at its end is cut off. FILE.synced tells how far
  // it was synced, for whoever takes the power. Throws std::system_error.
  PgNode(event_loop::EventLoop& loop, const std::string& host, unsigned short port, const std::string& file,
         Syncs syncs);

  std::string address() const { return address_; }
  std::function<void(const std::string& id)> onWrite;  // after it ran, before it is answered
  bool swallowAnswers = false;                         // what ran is not answered: the connection ends
  const std::vector<std::string>& ran() const { return ran_; }  // in their order

 private:
  event_loop::Task accept(event_loop::Descriptor descriptor);
  event_loop::Task serve(event_loop::Descriptor descriptor);
  bool log(const std::string& id);

  event_loop::EventLoop& loop_;
  std::string address_, file_;
  Syncs syncs_;
  event_loop::Descriptor log_;
  std::vector<std::string> ran_;
};

// The ids of a log, without a line that is torn.
std::vector<std::string> readLog(const std::string& file);

}  // namespace gulltrestle::fleet
