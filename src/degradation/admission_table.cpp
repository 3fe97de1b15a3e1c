#include "degradation/admission_table.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// A read is long if its latency target is at least this multiple of the shortest one. The router uses the
// same factor to place long reads.
constexpr double kLongReadFactor = 4;
// Lower bound on a latency target, so that the weight per second stays bounded.
constexpr double kMinSeconds = 1e-3;

// The priority weight of a class per second of execution time. No setting states the execution time; the
// latency target is used as an estimate of it.
double weightPerSecond(const TransactionClass& transactionClass) {
  return transactionClass.priorityWeight / std::max(transactionClass.latencyTarget.inSeconds(), kMinSeconds);
}

// Whether a degradation level may restrict the class. Effect and read level are separate settings: a read may
// be at-most-once.
bool mayBeRestricted(const TransactionClass& transactionClass) {
  return transactionClass.level < ReadLevel::write && transactionClass.effect == Effect::idempotent;
}

// Statistics over the classes of a deployment, against which each class is compared.
struct ClassSummary {
  Duration shortestLatencyTarget;  // of all classes
  double medianWeight = 0;         // per second, of the classes that may be restricted
  double maxWeight = 0;            // per second, of the same classes
};

ClassSummary summarize(const std::vector<TransactionClass>& classes) {
  ClassSummary summary;
  if (!classes.empty()) summary.shortestLatencyTarget = classes.front().latencyTarget;
  std::vector<double> weights;
  for (const TransactionClass& transactionClass : classes) {
    summary.shortestLatencyTarget = std::min(summary.shortestLatencyTarget, transactionClass.latencyTarget);
    if (mayBeRestricted(transactionClass)) weights.push_back(weightPerSecond(transactionClass));
  }
  if (weights.empty()) return summary;
  std::sort(weights.begin(), weights.end());
  summary.medianWeight = weights[weights.size() / 2];
  summary.maxWeight = weights.back();
  return summary;
}

AdmissionPolicy defaultPolicy(const TransactionClass& transactionClass, Level level,
                              const ClassSummary& summary) {
  if (!mayBeRestricted(transactionClass)) return AdmissionPolicy::all;
  const double weight = weightPerSecond(transactionClass);
  if (level >= 4)
    return weight < summary.maxWeight ? AdmissionPolicy::withSpareCapacity
                                      : AdmissionPolicy::withReadyReplica;
  if (level >= 3 && weight < summary.medianWeight) return AdmissionPolicy::withSpareCapacity;
  const bool isLongAnyRead =
      transactionClass.level == ReadLevel::any &&
      transactionClass.latencyTarget >= summary.shortestLatencyTarget * kLongReadFactor;
  const bool hasTargetPosition =
      transactionClass.level == ReadLevel::session || transactionClass.level == ReadLevel::bounded;
  const bool needsReadyReplica = isLongAnyRead || (hasTargetPosition && level >= 2);
  return needsReadyReplica ? AdmissionPolicy::withReadyReplica : AdmissionPolicy::all;
}

}  // namespace

std::string_view nameOf(AdmissionPolicy policy) {
  switch (policy) {
    case AdmissionPolicy::all:
      return "all";
    case AdmissionPolicy::withReadyReplica:
      return "ready";
    case AdmissionPolicy::withSpareCapacity:
      return "spare";
    case AdmissionPolicy::none:
      return "none";
  }
  return "unknown";
}

AdmissionTable defaultAdmissionTable(const std::vector<TransactionClass>& classes) {
  const ClassSummary summary = summarize(classes);
  AdmissionTable table(kMaxLevel);
  for (Level level = 1; level <= kMaxLevel; ++level) {
    DegradationRules& rules = table[level - 1];
    rules.limitsBackgroundWork = true;
    for (const TransactionClass& transactionClass : classes)
      rules.admission.push_back(defaultPolicy(transactionClass, level, summary));
  }
  return table;
}

void validate(const AdmissionTable& table, const std::vector<TransactionClass>& classes) {
  for (std::size_t row = 0; row < table.size(); ++row) {
    const std::string level = "level " + std::to_string(row + 1);
    if (table[row].admission.size() != classes.size())
      throw InvalidAdmissionTable(level + ": expected one policy for each txn type");
    for (std::size_t type = 0; type < classes.size(); ++type) {
      const AdmissionPolicy policy = table[row].admission[type];
      const std::string cell = level + ", txn type " + std::to_string(type);
      if (row > 0 && policy < table[row - 1].admission[type])
        throw InvalidAdmissionTable(cell + ": admits transactions that the level below rejects");
      if (policy != AdmissionPolicy::all && classes[type].effect != Effect::idempotent)
        throw InvalidAdmissionTable(cell + ": rejects transactions that are not idempotent");
    }
  }
}

}  // namespace gulltrestle::degradation
