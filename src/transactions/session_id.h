// Sessions are told apart by a number; equal names give equal ones (FNV-1a). Two names that share one make a
// read wait for the other's write at the worst.
#pragma once

#include <string_view>

#include "routing/router.h"

namespace gulltrestle::transactions {

inline SessionId sessionOf(std::string_view name) {
  SessionId hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

}  // namespace gulltrestle::transactions
