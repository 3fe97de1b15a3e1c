// The messages between routers and keepers, as values. Protobuf's types stay within words.cpp.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/membership.h"
#include "cluster/recovery_service.h"
#include "idempotency/claim_types.h"
#include "maintenance/acceptor.h"
#include "recovery/drain_registry.h"

namespace gulltrestle::cluster {

constexpr std::string_view kMethod = "/gulltrestle.peers.Keeper/Talk";

class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Greeting {
  std::string router, keepers;
  std::uint64_t draw = 0;
  idempotency::VoterIncarnation keeper;  // number 0: it is none
};
struct Claim {
  std::string id;
  std::uint64_t number = 0;
};
struct Release {
  std::string id;
  std::uint64_t number = 0;
};
struct Committed {
  std::string id;
  std::uint64_t number = 0;
  std::string value;
};
using DrainUpdates = std::vector<recovery::DrainUpdate>;  // to a keeper, and back
using PrimaryUpdates = std::vector<PrimaryUpdate>;        // likewise
struct PrepareRequest {                                   // a round on the plan of work
  maintenance::Ballot ballot;
};
struct AcceptRequest {
  maintenance::AcceptedValue held;
};
using PeerMessage = std::variant<Greeting, Claim, Release, Committed, DrainUpdates, PrimaryUpdates,
                                 JoinRequest, Heartbeat, PrepareRequest, AcceptRequest>;

struct GreetingReply {
  std::uint64_t number = 0;
  idempotency::VoterIncarnation knew;
  membership::Incarnation speaks;  // the newest start of the router that has entered there
};
struct VoteReply {
  std::uint64_t number = 0;
  idempotency::Vote vote;
};
struct ProposalReply {  // to a round
  maintenance::Acceptor::AcceptorReply answer;
};
struct PlanUpdate {  // what that keeper has on disk, whenever it changes, and ahead of its greeting's answer
  maintenance::AcceptedValue held;
};
using PeerReply = std::variant<GreetingReply, VoteReply, DrainUpdates, PrimaryUpdates, ObservationReport,
                               JoinReply, HeartbeatReply, ProposalReply, PlanUpdate>;

std::string encoded(const PeerMessage& word);
std::string encoded(const PeerReply& reply);
// Throw Malformed where it is none, or one that is not known.
PeerMessage readMessage(std::string_view bytes);
PeerReply readReply(std::string_view bytes);

}  // namespace gulltrestle::cluster
