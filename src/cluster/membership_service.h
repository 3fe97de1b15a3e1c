// Which routers of the fleet are alive, and which incarnation of each has joined, as this router knows it:
// it joins at the voters, sends them heartbeats and takes their liveness reports; where it is a voter, it
// detects failures itself. A reducer: messages in, messages out; the protocols stand in src/membership.
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
// This incarnation wants to join with that number.
struct JoinRequest {
  std::uint64_t number = 0;
};
// Shows that this incarnation is alive, and how far it has got.
struct Heartbeat {
  std::uint64_t number = 0;  // of this router's heartbeats; the reply carries it
  membership::MemberProgress progress;
};

// --- From a voter
// The newest incarnation of the requesting router that the voter has on disk.
struct JoinReply {
  membership::Incarnation newest;
};
// What has changed since the voter's last reply on that stream.
struct HeartbeatReply {
  std::vector<membership::LivenessReport> reports;
  std::uint64_t heartbeatNumber = 0;
  bool grantsLease = false;  // the voter holds all that it ever promised of the maintenance plan
};

// Owned by the claim dispatcher, which delivers the messages and calls endTurn().
class MembershipService {
 public:
  using Log = std::function<void(std::string_view event, const std::string& fields)>;
  // What this router sends to a voter.
  using Message = std::variant<JoinRequest, Heartbeat>;
  // `routers`: all members; `stored`: where this router is a voter, the newest incarnation of each router on
  // its disk.
  MembershipService(Instant now, const std::set<std::string>& routers, RouterIdentity identity,
                    std::map<std::string, membership::Incarnation> stored, Log log);

  // --- At each router: replies of voters, its own among them
  void onGreetingReply(Instant now, membership::VoterIndex voter, const membership::Incarnation& newest);
  void onJoinReply(Instant now, membership::VoterIndex voter, const membership::Incarnation& newest);
  void onLivenessReports(membership::VoterIndex voter,
                         const std::vector<membership::LivenessReport>& reports);
  void onVoterLost(membership::VoterIndex voter);
  // Whether this incarnation has joined there.
  bool isJoinedAt(membership::VoterIndex voter) const { return joinProtocol_.isJoinedAt(voter); }

  struct OutgoingMessage {
    membership::VoterIndex voter;
    Message message;
  };
  // Runs the timers. Returns what is to be sent.
  std::vector<OutgoingMessage> endTurn(Instant now, const membership::MemberProgress& progress);
  Instant nextDue() const { return nextDue_; }

  // --- At a voter. The failure detector; null elsewhere.
  membership::FailureDetector* failureDetector() { return failureDetector_ ? &*failureDetector_ : nullptr; }
  const membership::FailureDetector* failureDetector() const {
    return failureDetector_ ? &*failureDetector_ : nullptr;
  }
  // The reply to a heartbeat on that stream, without the heartbeat's number and the lease.
  HeartbeatReply reportsFor(PeerStreamId stream);
  void onStreamEnded(PeerStreamId stream) { reportedVersions_.erase(stream); }
  // The configuration was reloaded.
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
  std::map<PeerStreamId, std::uint64_t> reportedVersions_;  // the failure detector's
  std::uint64_t ownReportedVersion_ = 0, heartbeatNumber_ = 0;
  std::set<membership::VoterIndex> greetedVoters_;  // that have replied to a greeting
  membership::JoinProtocol::State loggedState_ = membership::JoinProtocol::State::discovering;
  Instant nextDue_;
};

}  // namespace gulltrestle::cluster
