// The reducer of a router on sockets: hands each event to the part that owns the state it changes (the ledger
// of txns, the clients, the connections to nodes) with the time, runs their turns in order, and keeps what is
// the whole router's: the list, the configuration, the end. It reads no socket and no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "gateway/effects.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::gateway {

using transactions::Addressed;

// What the settings and the limits leave for connections.
struct Bounds {
  Span idleLimit;              // nodes close connections that were idle for this long
  Span connectLimit;           // what is not up by then does not come up; a probe waits no longer either
  std::size_t mostLinks = 0;   // connections to nodes that may be open at one time
  std::size_t mostBytes = 0;   // of statements that are held
  std::size_t mostAsking = 0;  // connections that clients keep for txns; 0: any number
};

// A part beside the clients on the same ledger: a further front with sockets of its own, or what watches.
class Part {
 public:
  virtual ~Part() = default;
  virtual void listHeard() = 0;  // discovery said something, be it nothing new
  virtual void endTurn() = 0;    // ahead of the module's round
  virtual void flush() = 0;      // after it
  virtual Instant nextDue() const = 0;
  virtual void stop() = 0;         // nothing new is taken
  virtual bool empty() const = 0;  // all is answered after stop()
  virtual void readAnew() {}       // its configuration, as a signal asks for
};

class Gateway final {
 public:
  Gateway(const Terms& terms, const std::vector<std::string>& typeNames, std::uint64_t seed, Bounds bounds,
          Effects& effects);

  // Before the first event.
  void add(Part& part) { parts_.push_back(&part); }
  transactions::Ledger& ledger() { return ledger_; }

  // Events. Each tells when it was seen.
  void clientOpened(Instant now, ClientId client);
  // Returns how much was taken; the rest is offered again, with more behind it, after readClient().
  // `unreadSince`: from when on what came last had been left unread; never: it was read as it came.
  std::size_t clientSent(Instant now, ClientId client, std::string_view bytes, Instant unreadSince = {});
  void clientSendsNoMore(Instant now, ClientId client);
  void clientEnded(Instant now, ClientId client, ConnectionEnd how);
  void linkUp(Instant now, LinkId link);
  void linkWritten(Instant now, LinkId link);
  std::size_t linkSent(Instant now, LinkId link, std::string_view bytes);
  void linkEnded(Instant now, LinkId link, ConnectionEnd how);
  void listed(Instant now, ListKind kind, std::vector<Addressed> list, std::uint64_t version = 0);
  void listFailed(Instant now);
  void listHeard(Instant now);
  // The configuration was read, at the start or anew. `kept`: keys that differ and wait for a restart.
  void configured(Instant now, const std::string& discovery, const std::vector<std::string>& kept);
  // It can't be used: all goes on as it was.
  void misconfigured(Instant now, std::string_view fault);
  void readAnew(Instant now);  // the parts' own configurations
  void shutDown(Instant now);

  // The end of a turn: what has come due happens, and the decision module has its round if anything came in
  // or its wake is due. Returns when the next turn is needed at the latest; never: none is.
  Instant endTurn(Instant now);

  // All is answered after shutDown().
  bool finished() const;
  // Closes the clients that have been idle longest, some at most; false if none is idle.
  bool closeIdleClients(std::size_t most = 1) { return clients_.closeIdle(most); }
  void refuse(Instant now, ClientId client);  // there is no room for what it sends
  bool isWaiting(ClientId client) const { return clients_.isWaiting(client); }  // for an answer

 private:
  Bounds bounds_;
  Effects& effects_;
  transactions::Ledger ledger_;
  upstream::postgres::Links links_;
  downstream::postgres::Clients clients_;
  std::vector<Part*> parts_;
  Instant stopAt_;
  std::string discovery_;                                      // its address
  bool stopping_ = false, stopDue_ = false, stopped_ = false;  // stopped: takes nothing new
};

}  // namespace gulltrestle::gateway
