// How far service has returned at this router since it started: stages, ramp and sightings, told what the
// ledger and the other routers tell, asked by the ledger as its door. A reducer: events in, effects out; the
// decisions stand in src/recovery.
#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "recovery/admission_ramp.h"
#include "recovery/peer_observations.h"
#include "recovery/recovery_stages.h"
#include "transactions/admission_controller.h"
#include "transactions/transaction_table.h"

namespace gulltrestle::cluster {

// Of one router, as it tells those that start.
struct Seen {
  std::vector<recovery::Sighting> nodes;
  bool serves = false;  // all groups let all in there, and have for a while
};

struct PrimaryNews {
  GroupId group = 0;
  recovery::Primary primary;
};

class Service final : public transactions::Door {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  // `firstTxns`: a second and node, over all routers, that the ramp begins with.
  Service(transactions::Ledger& ledger, const Terms& terms, double firstTxns, std::uint64_t seed, Log log);

  // --- The ledger
  std::optional<Span> rejects(GroupId group, std::size_t type) override;
  void passed(GroupId group, std::size_t type, const Passage& how) override;
  void told(const NodeId& node, const Standing& said) override;
  void disconnected(const NodeId& node) override { sightings_.disconnected(node); }
  // As the drains that bind have changed it.
  void listed(ListKind kind, recovery::ListVersion version, const std::vector<ListEntry*>& entries);

  // --- Others, and the disk
  Seen seen() const;
  void told(const std::string& by, const Seen& seen);
  // Returns whether it was news: of a list newer than that of what was known.
  bool knew(const PrimaryNews& news);
  // All primaries that are known here.
  std::vector<PrimaryNews> primaries() const;

  // By an operator: every group goes on to this stage at least. None: no more.
  void force(std::optional<recovery::Stage> stage, const std::string& by);

  // Ahead of the module's round. Returns primaries that were confirmed, for the disk and for others.
  std::vector<PrimaryNews> endTurn(bool keepersReached);
  Instant nextDue() const { return stages_.due(); }
  // The stage that all groups have reached, counted from 0: shut.
  unsigned progress() const;

  // --- For the status document
  std::vector<recovery::Sighting> firstHand() const { return sightings_.firstHand(ledger_.now()); }
  // All groups let all in, and nodes are not overloaded as far as the ramp knows.
  bool hasReturned() const { return stages_.done() && ramp_.state() != recovery::Ramp::State::steady; }
  const recovery::Stages& stages() const { return stages_; }
  const recovery::Ramp& ramp() const { return ramp_; }
  const std::map<GroupId, recovery::Primary>& known() const { return known_; }
  const std::string& forcedBy() const { return forcedBy_; }

 private:
  transactions::Ledger& ledger_;
  Log log_;
  recovery::Sightings sightings_;
  recovery::Stages stages_;
  recovery::Ramp ramp_;
  Span back_;
  std::mt19937_64 chance_;
  std::map<GroupId, recovery::Primary> known_;       // bounded by the groups that lists name
  std::vector<std::pair<NodeId, Standing>> learnt_;  // for the module, once it has the list
  std::set<NodeId> nodes_;                           // those that the list names
  Instant doneAt_;                                   // never: some group waits
  recovery::Ramp::State rampLogged_ = recovery::Ramp::State::opening;
  std::string forcedBy_;
};

}  // namespace gulltrestle::cluster
