// Takes attempts and probes to nodes over the PostgreSQL protocol: owns the connections to nodes, what
// waits for one, and what each carries. It reads no socket and no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/postgres/answer.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::postgres {

using LinkId = std::uint64_t;  // a connection to a node

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  // Opens a connection to a node; up() or ended() tells what became of it.
  virtual void connect(LinkId link, const std::string& address) = 0;
  // The parts are valid during the call only. True: the last byte is written; else written() tells of it.
  virtual bool writeNode(LinkId link, transactions::Parts parts) = 0;
  virtual void closeNode(LinkId link) = 0;
  virtual void log(std::string line) = 0;
};

struct Bounds {
  Span idleLimit;             // nodes close connections that were idle for this long
  Span connectLimit;          // what is not up by then does not come up; a probe waits no longer either
  std::size_t mostLinks = 0;  // connections that may be open at one time
};

class Links final : public transactions::Carrier {
 public:
  Links(transactions::Ledger& ledger, Bounds bounds, Effects& effects)
      : ledger_(ledger), nodes_(ledger.nodes()), bounds_(bounds), effects_(effects) {}

  void carry(transactions::Job job, const NodeId& node) override;
  void cancel(transactions::Job job, const NodeId& node) override;
  void withdraw(transactions::Job job, const NodeId& node) override;
  void listed(const std::vector<NodeId>& moved) override;
  void forget(const NodeId& node) override;

  // Events. The ledger has been told when.
  void up(LinkId link);
  void written(LinkId link);
  // Returns how much was taken; the rest is offered again, with more behind it.
  std::size_t sent(LinkId link, std::string_view bytes);
  void ended(LinkId link, transactions::ConnectionEnd how);

  // What has come due ends.
  void endTurn();
  // When something is due; never: nothing is.
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

 private:
  using Job = transactions::Job;
  // Clearing: its answer has come; whether more than that comes is not known yet.
  enum class Stage { connecting, starting, idle, busy, clearing };
  struct Link {
    NodeId node;
    Stage stage = Stage::connecting;
    Job job;
    bool written = false;
    bool answering = false;  // a part of the answer is there
    Instant due;             // when its connecting, its job or its idling ends
  };
  struct Place {               // at a node
    std::vector<LinkId> idle;  // the last used is taken first
    std::deque<Job> waiting;   // for a connection
    std::size_t opening = 0;   // connections that are not up yet
    std::size_t clearing = 0;  // and that have just answered
    bool reached = true;       // the last connection that was opened came up
    Instant spoiltAt;          // when it was last logged that it sent what can't be read
    std::size_t spoilt = 0;    // and how often it did so since
  };

  bool wasDown(const Link& ended, transactions::ConnectionEnd how) const;
  void openFor(const NodeId& id, Place& place);
  void write(LinkId id, Link& link, Job job);
  void release(LinkId id, Link& link);
  void clear(LinkId id, Link& link, bool more);
  void logSpoilt(const NodeId& id, std::string_view what);
  void endLink(LinkId id, transactions::ConnectionEnd how);
  void endIdle(Place& place);
  void endWaiting(const NodeId& id, Place& place, transactions::ConnectionEnd how);
  void takeAnswer(LinkId id, Link& link, const gulltrestle::postgres::Answer& answer, bool more);
  void setDue(LinkId id, Link& link, Instant due);

  transactions::Ledger& ledger_;
  const transactions::Nodes& nodes_;
  Bounds bounds_;
  Effects& effects_;
  std::map<LinkId, Link> links_;
  std::map<NodeId, Place> places_;
  std::map<Job, LinkId, bool (*)(const Job&, const Job&)> carried_{[](const Job& a, const Job& b) {
    return std::pair(a.txn, a.attempt) < std::pair(b.txn, b.attempt);
  }};  // the link that has an attempt in hand
  std::set<std::pair<Instant, LinkId>> due_;
  LinkId lastLink_ = 0;
};

}  // namespace gulltrestle::upstream::postgres
