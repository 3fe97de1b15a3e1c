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
class InvalidRequest : public std::runtime_error {
 public:
  InvalidRequest(const std::string& key, const std::string& what) : std::runtime_error(key + ": " + what) {}
};

struct OperatorRequest {
  enum class Kind { plan, stop, done } kind = Kind::plan;
  std::string requestedBy;        // who asks
  std::vector<Machine> machines;  // ask
  std::string machine;            // done; stop: empty: all
};

// Throws BadAsk. Keys that are not known are faults, too.
OperatorRequest readOperatorRequest(std::string_view text);
std::string encoded(const OperatorRequest& ask);

// Carries it out on a plan. Empty: done; else why not.
std::string applyRequest(Plan& plan, const std::string& request, const OperatorRequest& ask,
                         const FleetState& facts, const Bounds& bounds);

}  // namespace gulltrestle::maintenance
