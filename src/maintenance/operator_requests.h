// Operators' requests to plan, stop or complete maintenance, as text: a JSON object that is validated key by
// key.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// A request that is no valid one; the text names the key at fault. The same request fails again.
class InvalidRequest : public std::runtime_error {
 public:
  InvalidRequest(const std::string& key, const std::string& fault)
      : std::runtime_error(key + ": " + fault), key_(key) {}
  [[nodiscard]] const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// One request, as the command line or an operator's file makes it.
struct OperatorRequest {
  enum class Kind { plan, stop, done } kind = Kind::plan;
  std::string requestedBy;        // the operator
  std::vector<Machine> machines;  // plan: to be added
  std::string machine;            // done, stop: which one; stop with an empty name: all of them
};

// Throws InvalidRequest. A key that is not known is a fault, too.
[[nodiscard]] OperatorRequest readOperatorRequest(std::string_view text);
[[nodiscard]] std::string encoded(const OperatorRequest& request);

// Applies the request to a plan. `requestId` identifies it: one that was applied before is successful and
// changes nothing. Returns why it was rejected; empty: it was applied.
[[nodiscard]] std::string applyRequest(Plan& plan, const std::string& requestId,
                                       const OperatorRequest& request, const FleetState& fleet,
                                       const Bounds& bounds);

// The requests of each kind, with applyRequest()'s guarantees.
std::string addMachines(Plan& plan, const std::string& requestId, const std::vector<Machine>& machines,
                        const FleetState& fleet, const Bounds& bounds);
std::string stopMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                            const std::string& requestedBy);
std::string completeMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                                const std::string& requestedBy);

}  // namespace gulltrestle::maintenance
