// The configuration file of degradation levels: parsed, checked key by key, with defaults derived from the
// settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "degradation/admission_table.h"

namespace gulltrestle::degradation_service {

// What the file sets, or the defaults.
struct DegradationConfig {
  degradation::Bounds bounds;
  degradation::AdmissionTable table;
  std::string pinnedBy, cappedBy;  // the operators who set the levels; empty: not set
  std::string statusFile;          // empty: no status document is written
  Duration statusInterval = Duration::millis(5000);
};

// `classNames`: of the transaction classes, in the same order. Both throw config::ConfigError, which names
// the key at fault.
DegradationConfig readDegradationConfig(std::string_view text, const std::vector<TransactionClass>& classes,
                                        const std::vector<std::string>& classNames);
DegradationConfig readDegradationConfigFile(const std::string& path,
                                            const std::vector<TransactionClass>& classes,
                                            const std::vector<std::string>& classNames);

}  // namespace gulltrestle::degradation_service
