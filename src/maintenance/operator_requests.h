// Requests of operators, as text: a JSON object that is checked key by key.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Names the key that is wrong.
class BadAsk : public std::runtime_error {
 public:
  BadAsk(const std::string& key, const std::string& what) : std::runtime_error(key + ": " + what) {}
};

struct Ask {
  enum class What { ask, stop, done } what = What::ask;
  std::string by;                 // who asks
  std::vector<Machine> machines;  // ask
  std::string machine;            // done; stop: empty: all
};

// Throws BadAsk. Keys that are not known are faults, too.
Ask readAsk(std::string_view text);
std::string encoded(const Ask& ask);

// Carries it out on a plan. Empty: done; else why not.
std::string carryOut(Plan& plan, const std::string& request, const Ask& ask, const Facts& facts,
                     const Bounds& bounds);

}  // namespace gulltrestle::maintenance
