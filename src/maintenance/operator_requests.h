// Operators' requests to plan, stop or complete maintenance. Their text form is a JSON object in which every
// key is validated.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "maintenance/fleet_state.h"
#include "maintenance/maintenance_plan.h"

namespace gulltrestle::maintenance {

// Thrown for an invalid request. what() starts with the offending key. Not transient: the same request fails
// again.
class InvalidRequest : public std::runtime_error {
 public:
  InvalidRequest(const std::string& key, const std::string& fault)
      : std::runtime_error(key + ": " + fault), key_(key) {}
  [[nodiscard]] const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// One request, from the command line or an operator's file.
struct OperatorRequest {
  enum class Kind { plan, stop, done } kind = Kind::plan;
  std::string requestedBy;        // name of the operator
  std::vector<Machine> machines;  // plan: machines to add
  std::string machine;            // done, stop: name of the machine; empty with stop: all machines
};

// Parses a request. Throws InvalidRequest, also for unknown keys.
[[nodiscard]] OperatorRequest readOperatorRequest(std::string_view text);
// Encodes the request as text that readOperatorRequest() parses.
[[nodiscard]] std::string encoded(const OperatorRequest& request);

// Applies the request to a plan. `requestId` identifies it: a request that was applied before succeeds
// without effect. Returns why the request was rejected, or an empty string if it was applied.
[[nodiscard]] std::string applyRequest(Plan& plan, const std::string& requestId,
                                       const OperatorRequest& request, const FleetState& fleet,
                                       const MaintenanceLimits& bounds);

// Apply a request of one kind, with the guarantees of applyRequest(). addMachines() does not limit the
// encoded size of the plan.
std::string addMachines(Plan& plan, const std::string& requestId, const std::vector<Machine>& machines,
                        const FleetState& fleet, const MaintenanceLimits& bounds);
std::string stopMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                            const std::string& requestedBy);
std::string completeMaintenance(Plan& plan, const std::string& requestId, const std::string& machine,
                                const std::string& requestedBy);

}  // namespace gulltrestle::maintenance
