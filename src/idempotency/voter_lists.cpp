#include "idempotency/voter_lists.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

// How many of those before are keepers still.
std::size_t stay(const VoterList& before, const VoterList& later) {
  return static_cast<std::size_t>(
      std::count_if(before.names.begin(), before.names.end(),
                    [&](const auto& name) { return later.names.contains(name); }));
}

std::string named(const VoterList& list) {
  std::string names;
  for (const auto& name : list.names) names += (names.empty() ? "" : " ") + name;
  return names;
}

}  // namespace

std::string faultIn(const std::vector<VoterList>& lists) {
  if (lists.size() > kMaxVoterLists) return "are too many lists";
  for (std::size_t i = 1; i < lists.size(); ++i) {
    const auto place = "list " + std::to_string(i + 1) + " (" + named(lists[i]) + ")";
    if (lists[i].names.size() < lists[i - 1].names.size())
      return place +
             " is shorter than the one before: that takes a stop of all routers, for the time of retention";
    if (stay(lists[i - 1], lists[i]) < majorityOf(lists[i - 1].names.size()))
      return place + " keeps half or fewer of the one before: change fewer at a time";
  }
  return "";
}

VoterListTransition transitionTo(const VoterListHistory& kept, const std::vector<VoterList>& lists,
                                 const std::string& keeper) {
  const VoterList& present = lists.back();
  const std::uint64_t last = kept.current.version;
  VoterListTransition moved;
  moved.lists = {present, kept.previous};
  moved.changed = present != kept.current;
  if (last > lists.size()) {
    moved.rejectReason = "are list " + std::to_string(present.version) +
                         ", and this keeper served under list " + std::to_string(last) + " already (" +
                         named(kept.current) + ")";
    return moved;
  }
  if (last > 0 && lists[last - 1] != kept.current) {
    moved.rejectReason = "have another list " + std::to_string(last) +
                         " than the one that this keeper served under (" + named(kept.current) +
                         "); a change adds a list";
    return moved;
  }
  if (last == 0) moved.diskCounts = lists.size() == 1;
  for (std::size_t i = last == 0 ? 0 : last - 1; i + 1 < lists.size(); ++i) {
    moved.lists.previous.push_back(lists[i]);
    if (!lists[i].names.contains(keeper)) moved.diskCounts = false;
  }
  return moved;
}

bool isSuperseded(const VoterList& list, const std::set<std::string>& onPresent) {
  const auto moved = static_cast<std::size_t>(std::count_if(
      list.names.begin(), list.names.end(), [&](const auto& name) { return onPresent.contains(name); }));
  return moved >= majorityOf(list.names.size());
}

}  // namespace gulltrestle::idempotency
