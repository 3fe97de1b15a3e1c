#include "levels/table.h"

#include <algorithm>

namespace gulltrestle::levels {

namespace {

// A long any read: its latency target is four times the shortest, as for the module's placing of them.
constexpr double kLong = 4;

// What a type pays for the time it may take: the latency target stands for the work, which no setting tells.
double pay(const TxnType& type) { return type.value / std::max(type.latencyTarget.inSeconds(), 1e-3); }

bool isRead(const TxnType& type) { return type.level < ReadLevel::write; }

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
    if (isRead(type)) pays.push_back(pay(type));
  }
  std::sort(pays.begin(), pays.end());
  const double half = pays.empty() ? 0 : pays[pays.size() / 2], best = pays.empty() ? 0 : pays.back();
  Table table(kMostLevel);
  for (Level level = 1; level <= kMostLevel; ++level) {
    Reduction& row = table[level - 1];
    row.sparing = true;
    for (const auto& type : types) {
      const bool isLong = type.level == ReadLevel::any && type.latencyTarget >= shortest * kLong;
      const bool owes = type.level == ReadLevel::session || type.level == ReadLevel::bounded;
      Admit admit = Admit::all;
      if ((isRead(type) && isLong) || (owes && level >= 2)) admit = Admit::ready;
      if (isRead(type) && level >= 3 && pay(type) < half) admit = Admit::spare;
      if (isRead(type) && level >= 4) admit = pay(type) < best ? Admit::spare : Admit::ready;
      row.admits.push_back(admit);
    }
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

}  // namespace gulltrestle::levels
