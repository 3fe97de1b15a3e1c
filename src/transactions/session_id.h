// Sessions are identified by a 64-bit hash of their names (FNV-1a). In the worst case two names with one hash
// make a read wait for the other session's write.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

inline SessionId sessionOf(std::string_view name) {
  constexpr SessionId kFnvOffsetBasis = 14695981039346656037U, kFnvPrime = 1099511628211U;
  SessionId hash = kFnvOffsetBasis;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

}  // namespace gulltrestle::transactions
