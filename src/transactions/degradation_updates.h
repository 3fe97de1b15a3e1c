// Connects the transaction table to the degradation controller: forwards observations to the controller, runs
// its decisions when they are due, and returns the groups whose rules have changed, for the router. Does
// nothing until enabled. No I/O, no clock.
#pragma once

#include <functional>
#include <map>
#include <vector>

#include "degradation/admission_table.h"
#include "transactions/open_transaction.h"

namespace gulltrestle::transactions {

// One per transaction table, which is its only caller.
class DegradationUpdates {
 public:
  // Notified of each change of a group's level.
  using Listener = std::function<void(const degradation::Change&)>;
  // `controller` must outlive this object. A further call replaces the table and the listener.
  void enable(degradation::DegradationController& controller, degradation::AdmissionTable table,
              Listener listener);

  void recordAnswer(Instant now, const OpenTransaction& open);
  void recordAbandoned(Instant now, const OpenTransaction& open);
  void onProcessStalled(Instant now);

  // The rules that apply to a group from now on.
  struct GroupRules {
    GroupId group = 0;
    DegradationRules rules, rulesBelow;  // of the group's level, and of the level below
    double trialFraction = 0;            // fraction of its transactions decided by rulesBelow, 0 to 1
  };
  bool isDecisionDue(Instant now) const;
  // Runs the controller's decision, notifies the listener of each change, and returns the groups whose rules
  // differ from those returned before. `ownUtilization`: the highest utilization among this router's own
  // limits, 0 to 1.
  [[nodiscard]] std::vector<GroupRules> decide(Instant now, double ownUtilization);
  // When the next decision is due; Instant() if none is, or if it is due at once.
  Instant nextDue() const { return controller_ ? controller_->nextDue() : Instant(); }

  // Returns 0 if degradation is not enabled.
  degradation::Level levelOf(GroupId group) const;
  // Returns whether any group is at a level above 0, as returned by decide().
  bool isDegraded() const;

 private:
  struct ReturnedState {
    degradation::Level level = 0;
    double trialFraction = 0;
    bool operator==(const ReturnedState&) const = default;
  };
  DegradationRules rulesOf(degradation::Level level) const;

  degradation::DegradationController* controller_ = nullptr;
  degradation::AdmissionTable table_;
  Listener listener_;
  std::map<GroupId, ReturnedState> returned_;
};

}  // namespace gulltrestle::transactions
