#include "degradation/admission_table.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// A long any read: its latency target is four times the shortest, as for the module's placing of them.
constexpr double kLong = 4;

// What a type pays for the time it may take: the latency target stands for the work, which no setting tells.
double pay(const TransactionClass& type) {
  return type.priorityWeight / std::max(type.latencyTarget.inSeconds(), 1e-3);
}

// Effect and read level are settings of their own: a read may be one that runs only once.
bool mayBeReduced(const TransactionClass& type) {
  return type.level < ReadLevel::write && type.effect == Effect::idempotent;
}

// What the types of a deployment are compared with.
struct Compared {
  Duration shortest;      // latency target of all types
  double half = 0, best;  // of what the types that may be reduced pay: the median, the most
};

AdmissionPolicy admitOf(const TransactionClass& type, Level level, const Compared& compared) {
  if (!mayBeReduced(type)) return AdmissionPolicy::all;
  const bool isLong = type.level == ReadLevel::any && type.latencyTarget >= compared.shortest * kLong;
  const bool owes = type.level == ReadLevel::session || type.level == ReadLevel::bounded;
  if (level >= 4)
    return pay(type) < compared.best ? AdmissionPolicy::withSpareCapacity : AdmissionPolicy::withReadyReplica;
  if (level >= 3 && pay(type) < compared.half) return AdmissionPolicy::withSpareCapacity;
  return isLong || (owes && level >= 2) ? AdmissionPolicy::withReadyReplica : AdmissionPolicy::all;
}

}  // namespace

std::string_view nameOf(AdmissionPolicy admit) {
  switch (admit) {
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

AdmissionTable defaultAdmissionTable(const std::vector<TransactionClass>& types) {
  Duration shortest = types.empty() ? Duration() : types.front().latencyTarget;
  std::vector<double> pays;
  for (const auto& type : types) {
    shortest = std::min(shortest, type.latencyTarget);
    if (mayBeReduced(type)) pays.push_back(pay(type));
  }
  std::sort(pays.begin(), pays.end());
  const double half = pays.empty() ? 0 : pays[pays.size() / 2], best = pays.empty() ? 0 : pays.back();
  AdmissionTable table(kMostLevel);
  for (Level level = 1; level <= kMostLevel; ++level) {
    DegradationRules& row = table[level - 1];
    row.limitsBackgroundWork = true;
    for (const auto& type : types) row.admission.push_back(admitOf(type, level, {shortest, half, best}));
  }
  return table;
}

void validate(const AdmissionTable& table, const std::vector<TransactionClass>& types) {
  for (std::size_t at = 0; at < table.size(); ++at) {
    const std::string level = "level " + std::to_string(at + 1);
    if (table[at].admission.size() != types.size())
      throw InvalidAdmissionTable(level + ": has not a word for each txn type");
    for (std::size_t type = 0; type < types.size(); ++type) {
      const AdmissionPolicy admit = table[at].admission[type];
      const std::string where = level + ", txn type " + std::to_string(type);
      if (at > 0 && admit < table[at - 1].admission[type])
        throw InvalidAdmissionTable(where + ": lets in what the level below refuses");
      if (admit != AdmissionPolicy::all && types[type].effect != Effect::idempotent)
        throw InvalidAdmissionTable(where + ": refuses what may not run twice");
    }
  }
}

}  // namespace gulltrestle::degradation
