// Membership of the fleet as seen by this router: which routers are alive, and which incarnation of each has
// joined. The service joins at the voters, sends them heartbeats and receives their liveness reports; on a
// voter it also runs the failure detector. It is a reducer: it maps messages to messages. The protocols are
// implemented in src/membership.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/identifiers.h"
#include "cluster/router_identity.h"
#include "membership/failure_detector.h"
#include "membership/heartbeat_timer.h"
#include "membership/join_protocol.h"
#include "membership/membership_view.h"

namespace gulltrestle::cluster {

// --- To a voter
// Requests to join with this incarnation number.
struct JoinRequest {
  std::uint64_t number = 0;
};
// Shows that this incarnation is alive, and reports its progress.
struct Heartbeat {
  std::uint64_t number = 0;  // sequence number of this router's heartbeats; the reply repeats it
  membership::MemberProgress progress;
};

// --- From a voter
// The newest incarnation of the requesting router that is on the voter's disk.
struct JoinReply {
  membership::Incarnation newest;
};
// Liveness changes since the voter's last reply on the same stream.
struct HeartbeatReply {
  std::vector<membership::LivenessReport> reports;
  std::uint64_t heartbeatNumber = 0;
  bool grantsLease = false;  // the voter votes, and its maintenance acceptor has every promise that it made
};

// Owned by the claim dispatcher, which delivers the messages and calls endTurn().
class MembershipService {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  // A message from this router to a voter.
  using Message = std::variant<JoinRequest, Heartbeat>;
  // `routers`: all members; `stored`: the newest incarnation of each router on this voter's disk; empty if
  // this router is not a voter.
  MembershipService(Instant now, const std::set<std::string>& routers, RouterIdentity identity,
                    std::map<std::string, membership::Incarnation> stored, Log log);

  // --- On every router: replies of voters, including its own voter
  void onGreetingReply(Instant now, membership::VoterIndex voter, const membership::Incarnation& newest);
  void onJoinReply(Instant now, membership::VoterIndex voter, const membership::Incarnation& newest);
  void onLivenessReports(membership::VoterIndex voter,
                         const std::vector<membership::LivenessReport>& reports);
  void onVoterLost(membership::VoterIndex voter);
  // Whether this incarnation has joined at that voter.
  bool isJoinedAt(membership::VoterIndex voter) const { return joinProtocol_.isJoinedAt(voter); }

  struct OutgoingMessage {
    membership::VoterIndex voter;
    Message message;
  };
  // Runs the timers. Returns the messages to send.
  std::vector<OutgoingMessage> endTurn(Instant now, const membership::MemberProgress& progress);
  Instant nextDue() const { return nextDue_; }

  // --- On a voter. The failure detector; null on a router that is not a voter.
  membership::FailureDetector* failureDetector() { return failureDetector_ ? &*failureDetector_ : nullptr; }
  const membership::FailureDetector* failureDetector() const {
    return failureDetector_ ? &*failureDetector_ : nullptr;
  }
  // Returns the reply to a heartbeat on that stream; the caller sets the heartbeat's number and the lease.
  HeartbeatReply reportsFor(PeerStreamId stream);
  void onStreamEnded(PeerStreamId stream) { reportedVersions_.erase(stream); }
  // Replaces the members after a configuration reload.
  void setMembers(Instant now, const std::set<std::string>& routers);

  const membership::JoinProtocol& joinProtocol() const { return joinProtocol_; }
  const membership::MembershipView& view() const { return view_; }
  const std::vector<std::string>& voters() const { return identity_.voters; }

 private:
  void detectFailures(Instant now, const membership::MemberProgress& progress);
  void logJoinState();
  void logTransitions();

  RouterIdentity identity_;
  Log log_;
  membership::JoinProtocol joinProtocol_;
  membership::HeartbeatTimer heartbeatTimer_;
  membership::MembershipView view_;
  std::optional<membership::FailureDetector> failureDetector_;
  std::map<PeerStreamId, std::uint64_t> reportedVersions_;  // of the failure detector's state
  std::uint64_t ownReportedVersion_ = 0, heartbeatNumber_ = 0;
  std::set<membership::VoterIndex> greetedVoters_;  // those that have replied to a greeting
  membership::JoinProtocol::State loggedState_ = membership::JoinProtocol::State::discovering;
  Instant nextDue_;
};

}  // namespace gulltrestle::cluster
