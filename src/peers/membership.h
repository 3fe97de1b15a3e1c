// Who of the fleet lives and which start speaks, at this router: its entry at the keepers, its beats, what
// they report; where it is a keeper, its roll. A reducer: words in, words out; the decisions stand in
// src/members.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "members/beats.h"
#include "members/entry.h"
#include "members/roll.h"
#include "members/view.h"

namespace gulltrestle::peers {

// To a keeper.
struct Enter {  // this start wishes to speak by that number
  std::uint64_t number = 0;
};
struct Beat {
  std::uint64_t number = 0;  // of this router's, to be named in the answer
  members::Progress progress;
};
// From a keeper.
struct Entered {  // the newest start of the asker that it has on disk now
  members::Incarnation newest;
};
struct Reports {  // to a beat: what has changed
  std::vector<members::Report> reports;
  std::uint64_t beat = 0;
  bool counts = false;  // that keeper holds all that it ever promised of the plan: the answer makes a lease
};

class Membership {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  using Said = std::variant<Enter, Beat>;
  // `own`: this router's row among the keepers, and `kept` what its disk holds.
  Membership(Instant now, const std::set<std::string>& list, std::string name, std::uint64_t draw,
             std::vector<std::string> keepers, std::optional<members::KeeperNumber> own,
             std::map<std::string, members::Incarnation> kept, Log log);

  // --- At the router: its words to keepers, itself among them
  void greeted(Instant now, members::KeeperNumber keeper, const members::Incarnation& newest);
  void entered(Instant now, members::KeeperNumber keeper, const members::Incarnation& newest);
  void reported(members::KeeperNumber keeper, const std::vector<members::Report>& reports);
  void lost(members::KeeperNumber keeper);
  // Whether this start may speak there.
  bool speaksAt(members::KeeperNumber keeper) const { return entry_.isAt(keeper); }
  struct Word {
    members::KeeperNumber keeper;
    Said said;
  };
  // What is due, and to be said since it was last asked.
  std::vector<Word> turn(Instant now, const members::Progress& progress);
  Instant nextDue() const { return due_; }

  // --- At a keeper: the roll, with what each stream was told of it; none elsewhere
  members::Roll* roll() { return roll_ ? &*roll_ : nullptr; }
  const members::Roll* roll() const { return roll_ ? &*roll_ : nullptr; }
  // To whoever said a beat on this stream.
  Reports reportsFor(std::uint64_t stream);
  void ended(std::uint64_t stream) { told_.erase(stream); }
  // The list was read anew.
  void list(Instant now, const std::set<std::string>& list);

  const members::Entry& entry() const { return entry_; }
  const members::View& view() const { return view_; }
  const std::vector<std::string>& keepers() const { return keepers_; }

 private:
  void logEntry();
  void logSteps();

  std::string name_;
  std::vector<std::string> keepers_;
  std::optional<members::KeeperNumber> own_;
  Log log_;
  members::Entry entry_;
  members::Beats beats_;
  members::View view_;
  std::optional<members::Roll> roll_;
  std::map<std::uint64_t, std::uint64_t> told_;  // by stream: the roll's version
  std::uint64_t ownTold_ = 0, beat_ = 0;
  std::set<members::KeeperNumber> up_;  // keepers that have answered a greeting
  members::Entry::State logged_ = members::Entry::State::asking;
  Instant due_;
};

}  // namespace gulltrestle::peers
