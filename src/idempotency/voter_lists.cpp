#include "idempotency/voter_lists.h"

#include <algorithm>

namespace gulltrestle::idempotency {

namespace {

std::size_t countIn(const VoterList& list, const std::set<std::string>& voters) {
  return static_cast<std::size_t>(std::count_if(list.names.begin(), list.names.end(),
                                                [&](const auto& name) { return voters.contains(name); }));
}

std::string joinedNames(const VoterList& list) {
  std::string names;
  for (const auto& name : list.names) names += (names.empty() ? "" : " ") + name;
  return names;
}

// Why the list may not follow its predecessor; none: it may.
std::optional<std::string> faultOf(const VoterList& list, const VoterList& predecessor, std::size_t number) {
  const std::string label = "list " + std::to_string(number) + " (" + joinedNames(list) + ")";
  if (list.names.size() < predecessor.names.size())
    return label +
           " is shorter than the one before: that takes a stop of all routers, for the time of retention";
  if (countIn(predecessor, list.names) < majorityOf(predecessor.names.size()))
    return label + " keeps half or fewer of the one before: change fewer at a time";
  return std::nullopt;
}

// Why this disk's voter may not serve under the last of the lists; none: it may.
std::optional<std::string> rejectReasonOf(const VoterList& servedUnder, const std::vector<VoterList>& lists) {
  const std::uint64_t last = servedUnder.version;
  if (last > lists.size())
    return "are list " + std::to_string(lists.back().version) + ", and this keeper served under list " +
           std::to_string(last) + " already (" + joinedNames(servedUnder) + ")";
  if (last > 0 && lists[last - 1] != servedUnder)
    return "have another list " + std::to_string(last) + " than the one that this keeper served under (" +
           joinedNames(servedUnder) + "); a change adds a list";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> faultIn(const std::vector<VoterList>& lists) {
  if (lists.size() > kMaxVoterLists) return "are too many lists";
  for (std::size_t i = 1; i < lists.size(); ++i)
    if (auto fault = faultOf(lists[i], lists[i - 1], i + 1)) return fault;
  return std::nullopt;
}

std::variant<VoterListTransition, VoterListRejection> transitionTo(const VoterListHistory& stored,
                                                                   const std::vector<VoterList>& lists,
                                                                   const std::string& voter) {
  if (auto reason = rejectReasonOf(stored.current, lists)) return VoterListRejection{std::move(*reason)};
  const VoterList& present = lists.back();
  VoterListTransition transition;
  transition.lists = {.current = present, .previous = stored.previous};
  transition.hasChanged = present != stored.current;
  const std::uint64_t last = stored.current.version;
  if (last == 0) transition.isDiskTrusted = lists.size() == 1;
  // The one that it served under and those that it missed may not be superseded yet.
  for (std::size_t i = last == 0 ? 0 : last - 1; i + 1 < lists.size(); ++i) {
    transition.lists.previous.push_back(lists[i]);
    if (!lists[i].names.contains(voter)) transition.isDiskTrusted = false;
  }
  return transition;
}

bool isSuperseded(const VoterList& list, const std::set<std::string>& onPresentList) {
  return countIn(list, onPresentList) >= majorityOf(list.names.size());
}

}  // namespace gulltrestle::idempotency
