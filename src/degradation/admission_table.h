// What each degradation level rejects, by transaction class: a table with defaults derived from the settings,
// which a configuration file may replace. It can only reject: whatever is admitted keeps the rules of its
// class. No I/O, no clock.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "degradation/degradation_controller.h"

namespace gulltrestle::degradation {

// One row per level above 0, for the router.
using AdmissionTable = std::vector<DegradationRules>;

// The table breaks a rule of validate(); the message names the level and the transaction class.
class InvalidAdmissionTable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The table derived from the settings alone. Level 1 saves hedges and position checks, and admits long reads
// of level `any` only where a node has spare capacity; level 2 does the same for session and bounded reads,
// which are then neither held nor sent to the primary; level 3 admits reads whose priority weight for their
// time is below the median only where a node has half of its capacity free; level 4 all reads but those of
// the highest weight, and these where a node has spare capacity. No level rejects what a node could execute
// at once, and none restricts a class that is not idempotent, whatever its read level: validate() accepts the
// result for any classes.
AdmissionTable defaultAdmissionTable(const std::vector<TransactionClass>& classes);

// Throws InvalidAdmissionTable if a level admits what a lower one rejects, or if a level rejects what is not
// idempotent, as its client could not tell whether a retry is safe.
void validate(const AdmissionTable& table, const std::vector<TransactionClass>& classes);

// As in configuration files.
std::string_view nameOf(AdmissionPolicy policy);

}  // namespace gulltrestle::degradation
