#include "idempotency/voter_lists.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

std::size_t countNamesIn(const VoterList& list, const std::set<std::string>& voters) {
  return static_cast<std::size_t>(std::count_if(list.names.begin(), list.names.end(),
                                                [&](const auto& name) { return voters.contains(name); }));
}

std::string joinedNames(const VoterList& list) {
  std::string names;
  for (const auto& name : list.names) names += (names.empty() ? "" : " ") + name;
  return names;
}

// Returns why the list may not follow its predecessor, or nullopt if it may.
std::optional<std::string> successionError(const VoterList& list, const VoterList& predecessor,
                                           std::size_t number) {
  const std::string label = "list " + std::to_string(number) + " (" + joinedNames(list) + ")";
  if (list.names.size() < predecessor.names.size())
    return label +
           " is shorter than its predecessor: this requires stopping all routers for the retention time";
  if (countNamesIn(predecessor, list.names) < majorityOf(predecessor.names.size()))
    return label + " keeps half or fewer of the voters of its predecessor: change fewer voters at a time";
  return std::nullopt;
}

// Returns why the voter of this disk may not serve under the last of the lists, or nullopt if it may.
std::optional<std::string> rejectionReason(const VoterList& servedUnder,
                                           const std::vector<VoterList>& lists) {
  const std::uint64_t servedVersion = servedUnder.version;
  if (servedVersion > lists.size())
    return "the lists end at list " + std::to_string(lists.back().version) +
           ", but this voter served under list " + std::to_string(servedVersion) + " already (" +
           joinedNames(servedUnder) + ")";
  if (servedVersion > 0 && lists[servedVersion - 1] != servedUnder)
    return "list " + std::to_string(servedVersion) + " differs from the one that this voter served under (" +
           joinedNames(servedUnder) + "); to change the voters, add a list";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> validateVoterLists(const std::vector<VoterList>& lists) {
  if (lists.size() > kMaxVoterLists) return "too many voter lists";
  for (std::size_t i = 1; i < lists.size(); ++i)
    if (auto fault = successionError(lists[i], lists[i - 1], i + 1)) return fault;
  return std::nullopt;
}

std::variant<VoterListTransition, VoterListRejection> transitionTo(const VoterListHistory& stored,
                                                                   const std::vector<VoterList>& lists,
                                                                   const std::string& voter) {
  if (auto reason = rejectionReason(stored.current, lists)) return VoterListRejection{std::move(*reason)};
  const VoterList& current = lists.back();
  VoterListTransition transition;
  transition.lists = {.current = current, .previous = stored.previous};
  transition.hasChanged = current != stored.current;
  const std::uint64_t servedVersion = stored.current.version;
  if (servedVersion == 0) transition.isDiskTrusted = lists.size() == 1;
  // The list that it served under and those that it missed may not be superseded yet.
  for (std::size_t i = servedVersion == 0 ? 0 : servedVersion - 1; i + 1 < lists.size(); ++i) {
    transition.lists.previous.push_back(lists[i]);
    if (!lists[i].names.contains(voter)) transition.isDiskTrusted = false;
  }
  return transition;
}

bool isSuperseded(const VoterList& list, const std::set<std::string>& votersOnCurrentList) {
  return countNamesIn(list, votersOnCurrentList) >= majorityOf(list.names.size());
}

}  // namespace gulltrestle::idempotency
