// Identity of this router, and the voters of its cluster.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gulltrestle::cluster {

// Shared by all components of a router; constant while the process runs.
struct RouterIdentity {
  std::string name;
  std::uint64_t draw = 0;               // random number that identifies this incarnation
  std::vector<std::string> voters;      // as in the configuration; a voter's index is its position here
  std::optional<std::size_t> ownIndex;  // this router's index among the voters; none: it is not a voter
};

}  // namespace gulltrestle::cluster
