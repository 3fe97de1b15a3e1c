// Identifies sessions by a 64-bit hash (FNV-1a) of their names. If two names have the same hash, the worst
// case is a read that waits for the other session's write.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

// Returns the id of the session called `name`.
inline SessionId sessionOf(std::string_view name) {
  constexpr SessionId kFnvOffsetBasis = 14695981039346656037U, kFnvPrime = 1099511628211U;
  SessionId hash = kFnvOffsetBasis;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

}  // namespace gulltrestle::transactions
