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
struct JoinRequest {  // this start wishes to speak by that number
  std::uint64_t number = 0;
};
struct Heartbeat {
  std::uint64_t number = 0;  // of this router's, to be named in the answer
  membership::MemberProgress progress;
};
// From a keeper.
struct JoinReply {  // the newest start of the asker that it has on disk now
  membership::Incarnation newest;
};
struct HeartbeatReply {  // to a beat: what has changed
  std::vector<membership::LivenessReport> reports;
  std::uint64_t beat = 0;
  bool counts = false;  // that keeper holds all that it ever promised of the plan: the answer makes a lease
};

class MembershipService {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  using Said = std::variant<JoinRequest, Heartbeat>;
  // `own`: this router's row among the keepers, and `kept` what its disk holds.
  MembershipService(Instant now, const std::set<std::string>& list, std::string name, std::uint64_t draw,
                    std::vector<std::string> keepers, std::optional<membership::VoterIndex> own,
                    std::map<std::string, membership::Incarnation> kept, Log log);

  // --- At the router: its words to keepers, itself among them
  void greeted(Instant now, membership::VoterIndex keeper, const membership::Incarnation& newest);
  void entered(Instant now, membership::VoterIndex keeper, const membership::Incarnation& newest);
  void reported(membership::VoterIndex keeper, const std::vector<membership::LivenessReport>& reports);
  void lost(membership::VoterIndex keeper);
  // Whether this start may speak there.
  bool speaksAt(membership::VoterIndex keeper) const { return entry_.isJoinedAt(keeper); }
  struct Word {
    membership::VoterIndex keeper;
    Said said;
  };
  // Kind is due, and to be said since it was last asked.
  std::vector<Word> turn(Instant now, const membership::MemberProgress& progress);
  Instant nextDue() const { return due_; }

  // --- At a keeper: the roll, with what each stream was told of it; none elsewhere
  membership::FailureDetector* roll() { return roll_ ? &*roll_ : nullptr; }
  const membership::FailureDetector* roll() const { return roll_ ? &*roll_ : nullptr; }
  // To whoever said a beat on this stream.
  HeartbeatReply reportsFor(std::uint64_t stream);
  void ended(std::uint64_t stream) { told_.erase(stream); }
  // The list was read anew.
  void list(Instant now, const std::set<std::string>& list);

  const membership::JoinProtocol& entry() const { return entry_; }
  const membership::MembershipView& view() const { return view_; }
  const std::vector<std::string>& keepers() const { return keepers_; }

 private:
  void logEntry();
  void logSteps();

  std::string name_;
  std::vector<std::string> keepers_;
  std::optional<membership::VoterIndex> own_;
  Log log_;
  membership::JoinProtocol entry_;
  membership::HeartbeatTimer beats_;
  membership::MembershipView view_;
  std::optional<membership::FailureDetector> roll_;
  std::map<std::uint64_t, std::uint64_t> told_;  // by stream: the roll's version
  std::uint64_t ownTold_ = 0, beat_ = 0;
  std::set<membership::VoterIndex> up_;  // keepers that have answered a greeting
  membership::JoinProtocol::State logged_ = membership::JoinProtocol::State::discovering;
  Instant due_;
};

}  // namespace gulltrestle::cluster
