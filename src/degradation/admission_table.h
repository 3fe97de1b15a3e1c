// The admission table: which transactions each degradation level rejects, by transaction class. Its defaults
// are derived from the settings, and a configuration file may override them. A level can only reject: an
// admitted transaction keeps the rules of its class. No I/O, no clock.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "degradation/degradation_controller.h"

namespace gulltrestle::degradation {

// The rules that the router applies: for each level above 0, one row.
using AdmissionTable = std::vector<DegradationRules>;

// Thrown by validate(). The message names the level and the transaction class.
class InvalidAdmissionTable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the table that follows from the settings alone:
//   level 1: no hedges, and position checks half as often; long reads of level `any` are admitted only if a
//            node has spare capacity
//   level 2: in addition, session and bounded reads are admitted only if a node has spare capacity; they are
//            then neither queued nor sent to the primary
//   level 3: in addition, reads whose priority weight per second of latency target is below the median are
//            admitted only if a node has half of its capacity free
//   level 4: all reads are admitted only if a node has half of its capacity free, except those of the highest
//            weight, which are admitted if a node has spare capacity
// No level rejects a transaction that a node could execute at once, and none restricts a class that is not
// idempotent, whatever its read level. validate() accepts the result for any classes.
AdmissionTable defaultAdmissionTable(const std::vector<TransactionClass>& classes);

// Throws InvalidAdmissionTable if a row does not have one policy per class, if a level admits transactions
// that the level below rejects, or if a level rejects a class that is not idempotent: its clients could not
// tell whether a retry is safe.
void validate(const AdmissionTable& table, const std::vector<TransactionClass>& classes);

// The name of the policy in configuration files.
std::string_view nameOf(AdmissionPolicy policy);

}  // namespace gulltrestle::degradation
