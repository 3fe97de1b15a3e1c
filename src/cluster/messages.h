// The codec of the messages between routers and voters: typed values here, protobuf on the wire. Protobuf's
// types are used in messages.cpp alone.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/membership_service.h"
#include "cluster/recovery_service.h"
#include "idempotency/claim_types.h"
#include "maintenance/acceptor.h"
#include "recovery/drain_registry.h"

namespace gulltrestle::cluster {

// The gRPC method whose bidirectional stream carries them.
constexpr std::string_view kMethod = "/gulltrestle.peers.Keeper/Talk";

// Bytes that are no valid message. The same bytes will fail again: the stream that they came on is ended, and
// what() tells its other end why.
class MalformedMessage : public std::runtime_error {
 public:
  enum class Fault {
    unparsable,        // no protobuf message, or cut off
    unknownType,       // none of the types of messages, or empty
    unknownEnumValue,  // a field has a value that stands for nothing here
  };
  MalformedMessage(Fault fault, const std::string& description)
      : std::runtime_error(description), fault_(fault) {}
  [[nodiscard]] Fault fault() const { return fault_; }

 private:
  Fault fault_;
};

// --- In both directions
// Nodes that are draining, or no longer, by which endpoint list.
using DrainUpdates = std::vector<recovery::DrainUpdate>;
using PrimaryUpdates = std::vector<PrimaryUpdate>;

// --- From a router to a voter
// Opens the stream; the voter list has to be the same on both sides.
struct Greeting {
  std::string router, voterList;
  std::uint64_t draw = 0;                          // of this incarnation, for the tokens of its claims
  idempotency::VoterIncarnation voterIncarnation;  // of the router as a voter; number 0: it is none
};
// Asks for a vote on an idempotency key. Claims of an incarnation are numbered.
struct Claim {
  std::string id;
  std::uint64_t number = 0;
};
// Withdraws that claim.
struct Release {
  std::string id;
  std::uint64_t number = 0;
};
// The transaction of that claim has committed, with this result.
struct Committed {
  std::string id;
  std::uint64_t number = 0;
  std::string value;
};
// Phase 1 of a proposal round on the maintenance plan.
struct PrepareRequest {
  maintenance::Ballot ballot;
};
// Phase 2 of a proposal round.
struct AcceptRequest {
  maintenance::AcceptedValue proposed;
};
using PeerMessage = std::variant<Greeting, Claim, Release, Committed, DrainUpdates, PrimaryUpdates,
                                 JoinRequest, Heartbeat, PrepareRequest, AcceptRequest>;

// --- From a voter to a router
struct GreetingReply {
  std::uint64_t number = 0;                                // of the voter incarnation that was greeted with
  idempotency::VoterIncarnation previousVoterIncarnation;  // the newest that was known of it before
  membership::Incarnation joinedIncarnation;               // the newest of the router that has joined there
};
// To a claim.
struct VoteReply {
  std::uint64_t number = 0;  // of the claim
  idempotency::Vote vote;
};
// To a prepare or an accept request.
struct ProposalReply {
  maintenance::Acceptor::AcceptorReply reply;
};
// The accepted value that is durable at that voter: whenever it changes, and ahead of the greeting's reply.
struct PlanUpdate {
  maintenance::AcceptedValue accepted;
};
using PeerReply = std::variant<GreetingReply, VoteReply, DrainUpdates, PrimaryUpdates, ObservationReport,
                               JoinReply, HeartbeatReply, ProposalReply, PlanUpdate>;

[[nodiscard]] std::string encoded(const PeerMessage& message);
[[nodiscard]] std::string encoded(const PeerReply& reply);
// Throw MalformedMessage.
[[nodiscard]] PeerMessage readMessage(std::string_view bytes);
[[nodiscard]] PeerReply readReply(std::string_view bytes);

}  // namespace gulltrestle::cluster
