// The configuration file of reduced service: read, checked key by key, and given defaults from the settings.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "degradation/admission_table.h"

namespace gulltrestle::degradation_service {

struct Setup {
  degradation::Bounds bounds;
  degradation::Table table;
  std::string pinnedBy, cappedBy;  // who did, for those who wonder
  std::string statusFile;          // empty: none is written
  Span statusEvery = Span::millis(5000);
};

// Throws config::BadKey, which names the key.
Setup readSetup(std::string_view text, const std::vector<TxnType>& types,
                const std::vector<std::string>& typeNames);
Setup readSetupFile(const std::string& path, const std::vector<TxnType>& types,
                    const std::vector<std::string>& typeNames);

}  // namespace gulltrestle::degradation_service
