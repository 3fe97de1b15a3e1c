// The replicated maintenance plan: which machines operators want to take out of service, and how far each of
// them has got. Also the vocabulary of the consensus protocol by which voters agree on it.
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

// Orders proposal rounds: a higher one wins. The random draw keeps the ballots of two voters apart.
struct Ballot {
  std::uint64_t number = 0, draw = 0;
  auto operator<=>(const Ballot&) const = default;
};

// Identifies one proposed value: it stays the same when later rounds propose that value again.
struct ValueVersion {
  std::uint64_t version = 0, draw = 0;  // the version only grows; 0: nothing was ever accepted
  auto operator<=>(const ValueVersion&) const = default;
};

// A value that one voter has accepted, with the ballot of the round that proposed it.
struct AcceptedValue {
  Ballot ballot;
  ValueVersion version;
  std::string value;
  bool operator==(const AcceptedValue&) const = default;
};

// The size of a quorum: more than half.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

// The phase of one machine:
//
//   phase      what routers do                      goes to
//   waiting    serve as usual                       next: it was scheduled
//   next       send there only while they hold a    draining: every router has acknowledged the plan;
//              lease                                waiting: one does not in time, or its group has lost
//                                                   another node
//   draining   send nothing new there               released: no router can send there; waiting: as above
//   released   nothing; operators own the machine   returning: an operator says that the work is done
//   returning  serve as usual                       finished: what runs on it serves as before
//   finished   serve as usual                       deleted once many newer ones are finished
//
// An operator's stop request moves a machine from waiting, next or draining to finished, and from released
// to returning.
enum class Phase { waiting, next, draining, released, returning, finished };

// The phase's name in stored plans, logs and status documents, and back; none: no phase has that name.
[[nodiscard]] std::string_view nameOf(Phase phase);
[[nodiscard]] std::optional<Phase> phaseNamed(std::string_view name);

// One machine of the plan.
struct Machine {
  std::string name, zone;
  std::vector<std::string> nodes, routers;  // that run on it
  Duration expectedDuration;                // how long the work is expected to take
  Duration wantedWithin;  // of being requested, by when the work should be done; zero: no matter when
  std::string request, requestedBy;  // the id of the request, and the operator
  Phase phase = Phase::waiting;
  std::uint64_t phaseVersion = 0;  // the plan version in which it entered its phase
  unsigned attempts = 0;           // that were abandoned
  std::string reason;              // why it entered its phase
};

// The whole plan, as one value that voters agree on.
struct Plan {
  std::uint64_t version = 0;
  std::vector<Machine> machines;
  std::vector<std::string> appliedRequests;  // ids, the newest last: repeated requests are recognised by them
  // Null: the plan has no machine of that name.
  const Machine* find(const std::string& machine) const;
  Machine* find(const std::string& machine);
};

// The reason of a machine that was requested and has not been attempted yet.
constexpr std::string_view kRequestedReason = "asked";

// A change of one machine's phase, as it is logged once it is chosen.
struct PhaseTransition {
  std::string machineName;
  Phase from = Phase::waiting, to = Phase::waiting;
  std::string reason;
};

// Moves a machine of the plan to a phase, as of the plan's version. Long reasons are truncated.
PhaseTransition moveToPhase(const Plan& plan, Machine& machine, Phase to, std::string reason);

// A text that is no plan; what() says which of its keys is at fault. The same text fails again.
class MalformedPlan : public std::runtime_error {
 public:
  explicit MalformedPlan(const std::string& fault) : std::runtime_error("no plan: " + fault) {}
};

// The plan as text (a JSON object), and back. Empty text is the empty plan. readPlan() throws MalformedPlan.
[[nodiscard]] std::string encoded(const Plan& plan);
[[nodiscard]] Plan readPlan(const std::string& text);

}  // namespace gulltrestle::maintenance
