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

#include "membership/failure_detector.h"
#include "membership/heartbeat_timer.h"
#include "membership/join_protocol.h"
#include "membership/membership_view.h"

namespace gulltrestle::cluster {

// To a keeper.
struct Enter {  // this start wishes to speak by that number
  std::uint64_t number = 0;
};
struct Beat {
  std::uint64_t number = 0;  // of this router's, to be named in the answer
  membership::Progress progress;
};
// From a keeper.
struct Entered {  // the newest start of the asker that it has on disk now
  membership::Incarnation newest;
};
struct Reports {  // to a beat: what has changed
  std::vector<membership::Report> reports;
  std::uint64_t beat = 0;
  bool counts = false;  // that keeper holds all that it ever promised of the plan: the answer makes a lease
};

class Membership {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  using Said = std::variant<Enter, Beat>;
  // `own`: this router's row among the keepers, and `kept` what its disk holds.
  Membership(Instant now, const std::set<std::string>& list, std::string name, std::uint64_t draw,
             std::vector<std::string> keepers, std::optional<membership::KeeperNumber> own,
             std::map<std::string, membership::Incarnation> kept, Log log);

  // --- At the router: its words to keepers, itself among them
  void greeted(Instant now, membership::KeeperNumber keeper, const membership::Incarnation& newest);
  void entered(Instant now, membership::KeeperNumber keeper, const membership::Incarnation& newest);
  void reported(membership::KeeperNumber keeper, const std::vector<membership::Report>& reports);
  void lost(membership::KeeperNumber keeper);
  // Whether this start may speak there.
  bool speaksAt(membership::KeeperNumber keeper) const { return entry_.isAt(keeper); }
  struct Word {
    membership::KeeperNumber keeper;
    Said said;
  };
  // What is due, and to be said since it was last asked.
  std::vector<Word> turn(Instant now, const membership::Progress& progress);
  Instant nextDue() const { return due_; }

  // --- At a keeper: the roll, with what each stream was told of it; none elsewhere
  membership::Roll* roll() { return roll_ ? &*roll_ : nullptr; }
  const membership::Roll* roll() const { return roll_ ? &*roll_ : nullptr; }
  // To whoever said a beat on this stream.
  Reports reportsFor(std::uint64_t stream);
  void ended(std::uint64_t stream) { told_.erase(stream); }
  // The list was read anew.
  void list(Instant now, const std::set<std::string>& list);

  const membership::Entry& entry() const { return entry_; }
  const membership::View& view() const { return view_; }
  const std::vector<std::string>& keepers() const { return keepers_; }

 private:
  void logEntry();
  void logSteps();

  std::string name_;
  std::vector<std::string> keepers_;
  std::optional<membership::KeeperNumber> own_;
  Log log_;
  membership::Entry entry_;
  membership::Beats beats_;
  membership::View view_;
  std::optional<membership::Roll> roll_;
  std::map<std::uint64_t, std::uint64_t> told_;  // by stream: the roll's version
  std::uint64_t ownTold_ = 0, beat_ = 0;
  std::set<membership::KeeperNumber> up_;  // keepers that have answered a greeting
  membership::Entry::State logged_ = membership::Entry::State::asking;
  Instant due_;
};

}  // namespace gulltrestle::cluster
