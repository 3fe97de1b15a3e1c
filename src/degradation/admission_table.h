// What each level refuses, by txn type: a table that the settings give by default and a configuration may
// replace. It can only refuse: whatever is let in keeps the rules of its type. No I/O, no clock.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "degradation/degradation_controller.h"

namespace gulltrestle::degradation {

// A row a level above 0, as the module takes it.
using AdmissionTable = std::vector<DegradationRules>;

// A table that can't be taken; the message names the level and the txn type.
class InvalidAdmissionTable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// From the settings alone: 1 spares copies and probes, and lets long any reads in only where a node has room;
// 2 the same for session and bounded reads, which are neither held nor sent to the primary then; 3 lets reads
// that pay less than the better half for their time in only where a node has half of its room free; 4 all
// reads but those that pay most, and these where one has room. None refuses what a node could do at once, and
// none restricts a type that is not repeatable, whatever its read level: check() takes the table of any
// types.
AdmissionTable defaultAdmissionTable(const std::vector<TransactionClass>& types);

// Throws BadTable where a higher level would let in what a lower one refuses, or where one refuses a write
// that may not run twice: its client could not tell whether to come again.
void validate(const AdmissionTable& table, const std::vector<TransactionClass>& types);

std::string_view nameOf(AdmissionPolicy admit);

}  // namespace gulltrestle::degradation
