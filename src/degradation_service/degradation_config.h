// Parses and validates the configuration file of the degradation levels. Defaults are derived from the
// settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "degradation/admission_table.h"

namespace gulltrestle::degradation_service {

// The configuration of the degradation levels: the values of the file, or their defaults.
struct DegradationConfig {
  degradation::Bounds bounds;
  degradation::AdmissionTable table;
  std::string pinnedBy, cappedBy;  // who set the pinned level and the maximum level; empty: not set
  std::string statusFile;          // path; empty: no status document is written
  Duration statusInterval = Duration::millis(5000);
};

// Read the configuration from a text or from a file. `classNames`: the names of the transaction classes, in
// the same order. Both throw config::ConfigError, which names the invalid key.
DegradationConfig readDegradationConfig(std::string_view text, const std::vector<TransactionClass>& classes,
                                        const std::vector<std::string>& classNames);
DegradationConfig readDegradationConfigFile(const std::string& path,
                                            const std::vector<TransactionClass>& classes,
                                            const std::vector<std::string>& classNames);

}  // namespace gulltrestle::degradation_service
