// Which router this is, and the voters of its cluster.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gulltrestle::cluster {

// The same for all parts of a router, from its start to its end.
struct RouterIdentity {
  std::string name;
  std::uint64_t draw = 0;           // random, of this incarnation
  std::vector<std::string> voters;  // in the order of the configuration: a voter's index is its place here
  std::optional<std::size_t> ownIndex;  // this router's own among the voters; none: it is no voter
};

}  // namespace gulltrestle::cluster
