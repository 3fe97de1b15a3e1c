#include "degradation/admission_table.h"

#include <algorithm>

namespace gulltrestle::degradation {

namespace {

// A long any read: its latency target is four times the shortest, as for the module's placing of them.
constexpr double kLong = 4;

// What a type pays for the time it may take: the latency target stands for the work, which no setting tells.
double pay(const TxnType& type) { return type.value / std::max(type.latencyTarget.inSeconds(), 1e-3); }

// Effect and read level are settings of their own: a read may be one that runs only once.
bool mayBeReduced(const TxnType& type) {
  return type.level < ReadLevel::write && type.effect == Effect::repeatable;
}

// What the types of a deployment are compared with.
struct Compared {
  Span shortest;          // latency target of all types
  double half = 0, best;  // of what the types that may be reduced pay: the median, the most
};

Admit admitOf(const TxnType& type, Level level, const Compared& compared) {
  if (!mayBeReduced(type)) return Admit::all;
  const bool isLong = type.level == ReadLevel::any && type.latencyTarget >= compared.shortest * kLong;
  const bool owes = type.level == ReadLevel::session || type.level == ReadLevel::bounded;
  if (level >= 4) return pay(type) < compared.best ? Admit::spare : Admit::ready;
  if (level >= 3 && pay(type) < compared.half) return Admit::spare;
  return isLong || (owes && level >= 2) ? Admit::ready : Admit::all;
}

}  // namespace

std::string_view nameOf(Admit admit) {
  switch (admit) {
    case Admit::all:
      return "all";
    case Admit::ready:
      return "ready";
    case Admit::spare:
      return "spare";
    case Admit::none:
      return "none";
  }
  return "unknown";
}

Table tableOf(const std::vector<TxnType>& types) {
  Span shortest = types.empty() ? Span() : types.front().latencyTarget;
  std::vector<double> pays;
  for (const auto& type : types) {
    shortest = std::min(shortest, type.latencyTarget);
    if (mayBeReduced(type)) pays.push_back(pay(type));
  }
  std::sort(pays.begin(), pays.end());
  const double half = pays.empty() ? 0 : pays[pays.size() / 2], best = pays.empty() ? 0 : pays.back();
  Table table(kMostLevel);
  for (Level level = 1; level <= kMostLevel; ++level) {
    Reduction& row = table[level - 1];
    row.sparing = true;
    for (const auto& type : types) row.admits.push_back(admitOf(type, level, {shortest, half, best}));
  }
  return table;
}

void check(const Table& table, const std::vector<TxnType>& types) {
  for (std::size_t at = 0; at < table.size(); ++at) {
    const std::string level = "level " + std::to_string(at + 1);
    if (table[at].admits.size() != types.size()) throw BadTable(level + ": has not a word for each txn type");
    for (std::size_t type = 0; type < types.size(); ++type) {
      const Admit admit = table[at].admits[type];
      const std::string where = level + ", txn type " + std::to_string(type);
      if (at > 0 && admit < table[at - 1].admits[type])
        throw BadTable(where + ": lets in what the level below refuses");
      if (admit != Admit::all && types[type].effect != Effect::repeatable)
        throw BadTable(where + ": refuses what may not run twice");
    }
  }
}

}  // namespace gulltrestle::degradation
