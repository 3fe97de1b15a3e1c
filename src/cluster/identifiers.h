// Identifiers of open streams and of pending writes. Each is unique within one process.
#pragma once

#include <cstdint>

namespace gulltrestle::cluster {

using PeerStreamId = std::uint64_t;     // another router's stream to this voter
constexpr PeerStreamId kOwnStream = 0;  // this router's messages to itself as a voter
using StoreWriteId = std::uint64_t;     // a write to the store

}  // namespace gulltrestle::cluster
