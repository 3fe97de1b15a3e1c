// The words of work on machines: what operators ask for, and how far the routers have settled it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace gulltrestle::maintenance {

using VoterIndex = std::size_t;  // row in the list of keepers

// Of one round in which a keeper changes what is settled. A higher one wins; drawn, too, so that no two
// keepers have the same.
struct Ballot {
  std::uint64_t number = 0, draw = 0;
  auto operator<=>(const Ballot&) const = default;
};
// Names one value that was written: the same for as long as it is handed on, whatever the round.
struct ValueVersion {
  std::uint64_t version = 0, draw = 0;  // the version only grows; 0: nothing was ever written
  auto operator<=>(const ValueVersion&) const = default;
};
struct AcceptedValue {  // by one keeper, durable there
  Ballot ballot;
  ValueVersion version;
  std::string value;
  bool operator==(const AcceptedValue&) const = default;
};

// More than half.
constexpr std::size_t majorityOf(std::size_t keepers) { return keepers / 2 + 1; }

// How far the work on one machine is:
//
//   phase    what routers do                         goes to
//   waits    as ever                                 next: its turn has come by the order
//   next     they know of it, and send there only    leaves: each has said that it knows; waits: one does
//            while they have a lease                 not in time, or its group has lost another node
//   leaves   nothing new goes there                  free: no router can send there; waits: as above
//   free     nothing; the machine is its             returns: an operator says that the work is done
//            operators'
//   returns  as ever                                 over: what stands on it serves as before
//   over     as ever                                 forgotten after a while
//
// An operator's stop takes one that waits, is next or leaves to over, and one that is free to returns.
enum class Phase { waiting, next, draining, released, returning, finished };
std::string_view nameOf(Phase phase);
bool phaseNamed(std::string_view name, Phase& phase);

struct Machine {
  std::string name, zone;
  std::vector<std::string> nodes, routers;  // that stand on it
  Duration expectedDuration;                // how long the work is expected to take
  Duration wantedWithin;                    // of being asked for it is wanted; none: no matter when
  std::string request, requestedBy;         // the request, and who asked
  Phase phase = Phase::waiting;
  std::uint64_t since = 0;  // the version in which it came to its phase
  unsigned attempts = 0;    // that were given up
  std::string reason;       // it came to its phase
};

// Kind is settled.
struct Plan {
  std::uint64_t version = 0;
  std::vector<Machine> machines;
  std::vector<std::string> appliedRequests;  // requests that were carried out, the newest last
  const Machine* find(const std::string& machine) const;
  Machine* find(const std::string& machine);
};

// As text (a JSON object), and back. Throws std::runtime_error where it is none.
std::string encoded(const Plan& plan);
Plan readPlan(const std::string& text);

}  // namespace gulltrestle::maintenance
