#include "degradation_service/degradation_config.h"

#include <algorithm>

#include "config/config_section.h"

namespace gulltrestle::degradation_service {

namespace {

using config::ConfigError;
using config::ConfigSection;
using config::IntegerField;
using config::MillisecondsField;
using config::NumberField;
using config::StringField;

// A level that an operator has set.
struct OperatorLevel {
  degradation::Level level = 0;
  std::string setBy;
};

// Reads a level that an operator sets. The operator's name is required, so that others who see the effect
// know who set it.
OperatorLevel readOperatorLevel(ConfigSection& top, const std::string& key) {
  ConfigSection section = top.section(key);
  OperatorLevel read;
  read.level =
      static_cast<degradation::Level>(section.read(IntegerField{"level", 0, 0, degradation::kMaxLevel}));
  if (!section.has("level")) throw ConfigError(section.path("level"), "is missing");
  read.setBy = section.read(StringField{"by", ""});
  if (read.setBy.empty())
    throw ConfigError(section.path("by"), "is missing: expected the name of the operator");
  section.rejectUnknownKeys();
  return read;
}

AdmissionPolicy readPolicy(ConfigSection& row, const std::string& className, AdmissionPolicy defaultPolicy) {
  const std::string name = row.read(StringField{className, degradation::nameOf(defaultPolicy)});
  for (const AdmissionPolicy policy : {AdmissionPolicy::all, AdmissionPolicy::withReadyReplica,
                                       AdmissionPolicy::withSpareCapacity, AdmissionPolicy::none})
    if (degradation::nameOf(policy) == name) return policy;
  throw ConfigError(row.path(className), "'" + name + "' is not one of all, ready, spare, none");
}

degradation::Bounds readBounds(ConfigSection& top) {
  degradation::Bounds bounds;
  bounds.raiseAbove = top.read(NumberField{"up", bounds.raiseAbove, 0.05, 10});
  bounds.lowerBelow = top.read(NumberField{"down", bounds.lowerBelow, 0.01, 10});
  if (bounds.lowerBelow >= bounds.raiseAbove) throw ConfigError("down", "is not less than up");
  bounds.minHold = top.read(MillisecondsField{"shortest_stay_ms", bounds.minHold, 500, 3'600'000});
  bounds.calmPeriod = top.read(MillisecondsField{"calm_ms", bounds.calmPeriod, 500, 3'600'000});
  bounds.trialPeriod = top.read(MillisecondsField{"trial_ms", bounds.trialPeriod, 500, 3'600'000});
  bounds.maxChangesPerMinute = static_cast<unsigned>(
      top.read(IntegerField{"most_changes_a_minute", bounds.maxChangesPerMinute, 1, 60}));
  bounds.trialFraction = top.read(NumberField{"trial_share", bounds.trialFraction, 0.01, 1});
  return bounds;
}

// Overrides the policies of `table` that the file sets.
void readTable(ConfigSection& top, const std::vector<std::string>& classNames,
               degradation::AdmissionTable& table) {
  ConfigSection section = top.section("table");
  for (std::size_t i = 0; i < table.size(); ++i) {
    ConfigSection row = section.section(std::to_string(i + 1));
    std::vector<AdmissionPolicy>& policies = table[i].admission;
    for (std::size_t type = 0; type < policies.size(); ++type)
      policies[type] = readPolicy(row, classNames[type], policies[type]);
    row.rejectUnknownKeys();
  }
  section.rejectUnknownKeys();
}

DegradationConfig readConfig(const json::Value& document, const std::vector<TransactionClass>& classes,
                             const std::vector<std::string>& classNames) {
  ConfigSection top(document, "");
  DegradationConfig config;
  config.bounds = readBounds(top);
  if (top.has("pin")) {
    const OperatorLevel pin = readOperatorLevel(top, "pin");
    config.bounds.pinnedLevel = pin.level;
    config.pinnedBy = pin.setBy;
  }
  if (top.has("cap")) {
    const OperatorLevel cap = readOperatorLevel(top, "cap");
    config.bounds.maxLevel = cap.level;
    config.cappedBy = cap.setBy;
  }
  config.statusFile = top.read(StringField{"status_file", ""});
  config.statusInterval =
      top.read(MillisecondsField{"status_every_ms", config.statusInterval, 100, 3'600'000});
  config.table = degradation::defaultAdmissionTable(classes);
  readTable(top, classNames, config.table);
  top.rejectUnknownKeys();
  try {
    degradation::validate(config.table, classes);
  } catch (const degradation::InvalidAdmissionTable& invalid) { throw ConfigError("table", invalid.what()); }
  return config;
}

}  // namespace

DegradationConfig readDegradationConfig(std::string_view text, const std::vector<TransactionClass>& classes,
                                        const std::vector<std::string>& classNames) {
  return readConfig(config::parseDocument(text), classes, classNames);
}

DegradationConfig readDegradationConfigFile(const std::string& path,
                                            const std::vector<TransactionClass>& classes,
                                            const std::vector<std::string>& classNames) {
  return readConfig(config::loadDocument(path), classes, classNames);
}

}  // namespace gulltrestle::degradation_service
