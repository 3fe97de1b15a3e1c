// Asks nodes for their standing over HTTP: a GET of one path, answered by headers. It carries probes only,
// and reads no socket and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "transactions/transaction_table.h"

namespace gulltrestle::upstream::http {

using ProbeId = std::uint64_t;

// What it asks for.
class Effects {
 public:
  virtual ~Effects() = default;
  // Asks the node there; answered() or failed() tells what came of it, not from within this call.
  virtual void askNode(ProbeId probe, const std::string& address) = 0;
  // Nobody waits for it any more.
  virtual void drop(ProbeId probe) = 0;
};

class Probes final : public transactions::Carrier {
 public:
  // `limit`: how long an answer is waited for. `most`: how many may be out at a time.
  Probes(transactions::Ledger& ledger, Span limit, std::size_t most, Effects& effects)
      : ledger_(ledger), limit_(limit), most_(most), effects_(effects) {}

  void carry(transactions::Job job, const NodeId& node) override;
  void cancel(transactions::Job, const NodeId&) override {}
  void listed(const std::vector<NodeId>& moved) override;
  void forget(const NodeId& node) override;

  // Events. `status` of HTTP, with what the headers told.
  void answered(ProbeId probe, int status, const Standing& said);
  void failed(ProbeId probe);

  void endTurn();
  Instant nextDue() const { return due_.empty() ? Instant() : due_.begin()->first; }

 private:
  struct Out {
    NodeId node;
    Instant due;
  };
  void end(ProbeId probe, End how, const Standing& said);
  template <typename Which>
  void dropIf(Which which);

  transactions::Ledger& ledger_;
  Span limit_;
  std::size_t most_;
  Effects& effects_;
  std::map<ProbeId, Out> out_;
  std::set<std::pair<Instant, ProbeId>> due_;
  ProbeId last_ = 0;
};

}  // namespace gulltrestle::upstream::http
