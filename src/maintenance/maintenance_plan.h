// The replicated maintenance plan: the machines that operators want to take out of service, and the progress
// of each. Also defines the basic types of the consensus protocol by which the voters agree on the plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace gulltrestle::maintenance {

using VoterIndex = std::size_t;  // position in the configured list of voters

// Orders proposal rounds: a higher ballot takes precedence. The random draw distinguishes the ballots of two
// voters.
struct Ballot {
  std::uint64_t number = 0, draw = 0;
  auto operator<=>(const Ballot&) const = default;
};

// Identifies one proposed value. It is unchanged when later rounds propose that value again.
struct ValueVersion {
  std::uint64_t version = 0, draw = 0;  // the version only increases; 0 if no value was ever accepted
  auto operator<=>(const ValueVersion&) const = default;
};

// A value that a voter has accepted, with the ballot of the round that proposed it.
struct AcceptedValue {
  Ballot ballot;
  ValueVersion version;
  std::string value;
  bool operator==(const AcceptedValue&) const = default;
};

// The size of a quorum: more than half of the voters.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

// The phase of one machine:
//
//   phase      traffic from routers                 next phase
//   waiting    as usual                             next: it was scheduled
//   next       only from routers that hold a lease  draining: every router has acknowledged the plan;
//                                                   waiting: a router did not in time, or its group has lost
//                                                   another node
//   draining   no new attempts                      released: no router can send there; waiting: as above
//   released   none; operators own the machine      returning: an operator reports the work as done
//   returning  as usual                             finished: all nodes and routers on it serve again
//   finished   as usual                             deleted once many newer machines are finished
//
// An operator's stop request moves a machine from waiting, next or draining to finished, and from released
// to returning.
enum class Phase { waiting, next, draining, released, returning, finished };

// Convert between a phase and its name in stored plans, logs and status documents. phaseNamed() returns
// nullopt if no phase has that name.
[[nodiscard]] std::string_view nameOf(Phase phase);
[[nodiscard]] std::optional<Phase> phaseNamed(std::string_view name);

// One machine in the plan.
struct Machine {
  std::string name, zone;
  std::vector<std::string> nodes, routers;  // those that run on the machine
  Duration expectedDuration;                // expected duration of the work
  Duration completeWithin;  // time from the request by which the work should be done; zero if there is none
  std::string request, requestedBy;  // id of the request, and name of the operator
  Phase phase = Phase::waiting;
  std::uint64_t phaseVersion = 0;  // plan version in which it entered its phase
  unsigned attempts = 0;           // number of abandoned attempts
  std::string reason;              // why it entered its phase
};

// The complete plan: the value that the voters agree on.
struct Plan {
  std::uint64_t version = 0;
  std::vector<Machine> machines;
  std::vector<std::string> appliedRequests;  // ids, newest last, to detect repeated requests
  // Returns null if the plan has no machine of that name.
  const Machine* find(const std::string& machine) const;
  Machine* find(const std::string& machine);
};

// Machine::reason of a machine that was requested and has not been attempted yet.
constexpr std::string_view kRequestedReason = "asked";

// A change of one machine's phase. It is logged once it is chosen.
struct PhaseTransition {
  std::string machineName;
  Phase from = Phase::waiting, to = Phase::waiting;
  std::string reason;
};

// Moves a machine of the plan to a phase, effective from the plan's version. Long reasons are truncated.
PhaseTransition moveToPhase(const Plan& plan, Machine& machine, Phase to, std::string reason);

// Thrown for a text that is not a valid plan. what() describes the offending key. Not transient: parsing the
// same text fails again.
class MalformedPlan : public std::runtime_error {
 public:
  explicit MalformedPlan(const std::string& fault)
      : std::runtime_error("malformed maintenance plan: " + fault) {}
};

// Encode the plan as text (a JSON object), and decode it. Empty text is the empty plan. readPlan() throws
// MalformedPlan.
[[nodiscard]] std::string encoded(const Plan& plan);
[[nodiscard]] Plan readPlan(const std::string& text);

}  // namespace gulltrestle::maintenance
