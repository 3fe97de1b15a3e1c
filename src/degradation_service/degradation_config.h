// The configuration file of reduced service: read, checked key by key, and given defaults from the settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "degradation/admission_table.h"

namespace gulltrestle::degradation_service {

struct DegradationConfig {
  degradation::Bounds bounds;
  degradation::AdmissionTable table;
  std::string pinnedBy, cappedBy;  // who did, for those who wonder
  std::string statusFile;          // empty: none is written
  Duration statusEvery = Duration::millis(5000);
};

// Throws config::BadKey, which names the key.
DegradationConfig readDegradationConfig(std::string_view text, const std::vector<TransactionClass>& types,
                                        const std::vector<std::string>& typeNames);
DegradationConfig readDegradationConfigFile(const std::string& path,
                                            const std::vector<TransactionClass>& types,
                                            const std::vector<std::string>& typeNames);

}  // namespace gulltrestle::degradation_service
