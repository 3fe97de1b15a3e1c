// Connects the transaction table to the degradation controller: passes observations on to it, has it decide
// when that is due, and returns the groups whose rules have changed for the router. Does nothing until
// enabled. No I/O, no clock.
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
  // `controller` must outlive this. Called again: replaces the table and the listener.
  void enable(degradation::DegradationController& controller, degradation::AdmissionTable table,
              Listener listener);

  void recordAnswer(Instant now, const OpenTransaction& open);
  void recordAbandoned(Instant now, const OpenTransaction& open);
  void onProcessStalled(Instant now);

  // The rules that hold for a group from now on.
  struct GroupRules {
    GroupId group = 0;
    DegradationRules rules, rulesBelow;  // of its level, and of the level below
    double trialFraction = 0;            // of its transactions that are judged by the level below
  };
  bool isDecisionDue(Instant now) const;
  // Has the controller decide, notifies the listener, and returns the groups whose rules differ from what was
  // returned before. `ownUtilization`: the fullest of this router's own limits, 0 to 1.
  [[nodiscard]] std::vector<GroupRules> decide(Instant now, double ownUtilization);
  // When the next decision is due; never: none is, or it is due at once.
  Instant nextDue() const { return controller_ ? controller_->nextDue() : Instant(); }

  // 0 where degradation is not enabled.
  degradation::Level levelOf(GroupId group) const;
  // Some group is at a level above 0, as returned by decide().
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
