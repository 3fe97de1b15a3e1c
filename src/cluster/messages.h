// Codec of the messages between routers and voters, which are protobuf on the wire. Protobuf types are used
// in messages.cpp only.
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

// The gRPC method whose bidirectional stream carries the messages.
constexpr std::string_view kMethod = "/gulltrestle.peers.Keeper/Talk";

// Thrown for bytes that are not a valid message. The error is permanent: the stream that the bytes were
// received on is closed, and what() is sent to its other end as the reason.
class MalformedMessage : public std::runtime_error {
 public:
  enum class Fault {
    unparsable,        // not a protobuf message, or truncated
    unknownType,       // not one of the known message types, or empty
    unknownEnumValue,  // a field has a value that is not defined here
  };
  MalformedMessage(Fault fault, const std::string& description)
      : std::runtime_error(description), fault_(fault) {}
  [[nodiscard]] Fault fault() const { return fault_; }

 private:
  Fault fault_;
};

// --- In both directions
// Nodes that started or stopped draining, with the version of the endpoint list that says so.
using DrainUpdates = std::vector<recovery::DrainUpdate>;
using PrimaryUpdates = std::vector<PrimaryUpdate>;

// --- From a router to a voter
// The first message on a stream. Both ends must have the same voter list.
struct Greeting {
  std::string router, voterList;
  std::uint64_t draw = 0;                          // of this incarnation, for the tokens of its claims
  idempotency::VoterIncarnation voterIncarnation;  // of the router as a voter; number 0: it is not a voter
};
// Requests a vote on an idempotency key. `number` is unique among the claims of an incarnation.
struct Claim {
  std::string id;
  std::uint64_t number = 0;
};
// Withdraws the claim with that number.
struct Release {
  std::string id;
  std::uint64_t number = 0;
};
// Reports that the transaction of a claim has committed, with its result.
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
// To a greeting, once the greeted incarnation is durable.
struct GreetingReply {
  std::uint64_t number = 0;                                // of the voter incarnation in the greeting
  idempotency::VoterIncarnation previousVoterIncarnation;  // newest one of that voter known before
  membership::Incarnation joinedIncarnation;               // newest one of the router that joined there
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
// The accepted value that is durable at the voter. Sent whenever it changes, and before the reply to a
// greeting.
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
