#include "cluster/messages.h"

#include "cluster_messages.pb.h"

namespace gulltrestle::cluster {

using idempotency::Vote;
using idempotency::VoterIncarnation;
using maintenance::Acceptor;
using membership::Incarnation;
using Fault = MalformedMessage::Fault;

namespace {

// --- Message fields: set() encodes, read() decodes

void set(wire::Incarnation& to, const VoterIncarnation& incarnation) {
  to.set_number(incarnation.number);
  to.set_draw(incarnation.draw);
}
VoterIncarnation readVoterIncarnation(const wire::Incarnation& from) { return {from.number(), from.draw()}; }

void set(wire::Incarnation& to, const Incarnation& incarnation) {
  to.set_number(incarnation.number);
  to.set_draw(incarnation.draw);
}
Incarnation readIncarnation(const wire::Incarnation& from) { return {from.number(), from.draw()}; }

void set(wire::LivenessReport& to, const membership::LivenessReport& report) {
  to.set_router(report.router);
  set(*to.mutable_incarnation(), report.incarnation);
  // Both enums have the same numeric values.
  to.set_liveness(static_cast<wire::LivenessReport::Liveness>(report.liveness));
  to.set_recovery_stage(report.progress.recoveryStage);
  to.set_plan_version(report.progress.planVersion);
  to.set_drained_version(report.progress.drainedVersion);
}
membership::LivenessReport read(const wire::LivenessReport& from) {
  if (from.liveness() < wire::LivenessReport::AWAITED || from.liveness() > wire::LivenessReport::REMOVED)
    throw MalformedMessage(Fault::unknownEnumValue, "a hearing that is not known");
  return {from.router(),
          readIncarnation(from.incarnation()),
          static_cast<membership::Liveness>(from.liveness()),
          {from.recovery_stage(), from.plan_version(), from.drained_version()}};
}

void set(wire::HeartbeatReply& to, const HeartbeatReply& reply) {
  for (const auto& report : reply.reports) set(*to.add_reports(), report);
  to.set_heartbeat_number(reply.heartbeatNumber);
  to.set_grants_lease(reply.grantsLease);
}
HeartbeatReply read(const wire::HeartbeatReply& from) {
  HeartbeatReply reply;
  for (const auto& report : from.reports()) reply.reports.push_back(read(report));
  reply.heartbeatNumber = from.heartbeat_number();
  reply.grantsLease = from.grants_lease();
  return reply;
}

void set(wire::Ballot& to, const maintenance::Ballot& ballot) {
  to.set_number(ballot.number);
  to.set_draw(ballot.draw);
}
maintenance::Ballot read(const wire::Ballot& from) { return {from.number(), from.draw()}; }

void set(wire::AcceptedValue& to, const maintenance::AcceptedValue& accepted) {
  set(*to.mutable_ballot(), accepted.ballot);
  to.set_version(accepted.version.version);
  to.set_draw(accepted.version.draw);
  to.set_value(accepted.value);
}
maintenance::AcceptedValue read(const wire::AcceptedValue& from) {
  return {read(from.ballot()), {from.version(), from.draw()}, from.value()};
}

void set(wire::AcceptorReply& to, const Acceptor::AcceptorReply& reply) {
  // Both enums have the same numeric values.
  to.set_kind(static_cast<wire::AcceptorReply::Kind>(reply.kind));
  set(*to.mutable_ballot(), reply.ballot);
  set(*to.mutable_promised(), reply.promised);
  if (reply.kind == Acceptor::AcceptorReply::Kind::promised) set(*to.mutable_accepted(), reply.accepted);
}
Acceptor::AcceptorReply read(const wire::AcceptorReply& from) {
  if (from.kind() < wire::AcceptorReply::PROMISED || from.kind() > wire::AcceptorReply::REJECTED)
    throw MalformedMessage(Fault::unknownEnumValue, "an answer that is not known");
  return {static_cast<Acceptor::AcceptorReply::Kind>(from.kind()), read(from.ballot()), read(from.promised()),
          read(from.accepted())};
}

void set(wire::DrainUpdates& to, const DrainUpdates& updates) {
  for (const auto& update : updates) {
    auto& encodedUpdate = *to.add_updates();
    encodedUpdate.set_node(update.node);
    encodedUpdate.set_version(update.version);
    encodedUpdate.set_is_draining(update.isDraining);
  }
}
DrainUpdates read(const wire::DrainUpdates& from) {
  DrainUpdates updates;
  for (const auto& update : from.updates())
    updates.push_back({update.node(), update.version(), update.is_draining()});
  return updates;
}

void set(wire::PrimaryUpdates& to, const PrimaryUpdates& updates) {
  for (const auto& update : updates) {
    auto& encodedUpdate = *to.add_updates();
    encodedUpdate.set_group(update.group);
    encodedUpdate.set_node(update.primary.node);
    encodedUpdate.set_version(update.primary.version);
  }
}
PrimaryUpdates read(const wire::PrimaryUpdates& from) {
  PrimaryUpdates updates;
  for (const auto& update : from.updates())
    updates.push_back({update.group(), {update.node(), update.version()}});
  return updates;
}

wire::Observation::Role encodedRole(Role role) {
  switch (role) {
    case Role::primary:
      return wire::Observation::PRIMARY;
    case Role::replica:
      return wire::Observation::REPLICA;
    case Role::unknown:
      break;
  }
  return wire::Observation::UNKNOWN;
}
Role readRole(wire::Observation::Role role) {
  switch (role) {
    case wire::Observation::PRIMARY:
      return Role::primary;
    case wire::Observation::REPLICA:
      return Role::replica;
    default:  // a router of a later version may send other roles
      return Role::unknown;
  }
}

void set(wire::Observation& to, const recovery::Observation& observation) {
  to.set_node(observation.node);
  to.set_node_start_us(observation.nodeStart.inMicros());
  to.set_role(encodedRole(observation.role));
  to.set_has_position(observation.position.has_value());
  if (observation.position) to.set_position_us(observation.position->inMicros());
  to.set_age_us(observation.age.inMicros());
}
recovery::Observation read(const wire::Observation& from) {
  recovery::Observation observation;
  observation.node = from.node();
  observation.nodeStart = Instant::atMicros(from.node_start_us());
  observation.role = readRole(from.role());
  if (from.has_position()) observation.position = Instant::atMicros(from.position_us());
  observation.age = Duration::micros(from.age_us());
  return observation;
}

void set(wire::ObservationReport& to, const ObservationReport& report) {
  to.set_has_recovered(report.hasRecovered);
  for (const auto& observation : report.nodes) set(*to.add_observations(), observation);
}
ObservationReport read(const wire::ObservationReport& from) {
  ObservationReport report;
  report.hasRecovered = from.has_recovered();
  for (const auto& observation : from.observations()) report.nodes.push_back(read(observation));
  return report;
}

wire::Vote::Kind encodedKind(Vote::Kind kind) {
  switch (kind) {
    case Vote::Kind::granted:
      return wire::Vote::GRANTED;
    case Vote::Kind::takenByOther:
      return wire::Vote::TAKEN_BY_OTHER;
    case Vote::Kind::abstained:
      break;
  }
  return wire::Vote::ABSTAINED;
}
Vote::Kind readKind(wire::Vote::Kind kind) {
  switch (kind) {
    case wire::Vote::GRANTED:
      return Vote::Kind::granted;
    case wire::Vote::TAKEN_BY_OTHER:
      return Vote::Kind::takenByOther;
    default:  // the meaning of a later version's value is unknown, so it is not counted as a vote
      return Vote::Kind::abstained;
  }
}

// --- Messages from routers

void set(wire::PeerMessage& to, const Greeting& greeting) {
  auto& encodedGreeting = *to.mutable_greeting();
  encodedGreeting.set_router(greeting.router);
  encodedGreeting.set_voter_list(greeting.voterList);
  encodedGreeting.set_draw(greeting.draw);
  if (greeting.voterIncarnation.number > 0)
    set(*encodedGreeting.mutable_voter_incarnation(), greeting.voterIncarnation);
}
void set(wire::PeerMessage& to, const Claim& claim) {
  to.mutable_claim()->set_id(claim.id);
  to.mutable_claim()->set_number(claim.number);
}
void set(wire::PeerMessage& to, const Release& release) {
  to.mutable_release()->set_id(release.id);
  to.mutable_release()->set_number(release.number);
}
void set(wire::PeerMessage& to, const Committed& committed) {
  to.mutable_committed()->set_id(committed.id);
  to.mutable_committed()->set_number(committed.number);
  to.mutable_committed()->set_value(committed.value);
}
void set(wire::PeerMessage& to, const DrainUpdates& updates) { set(*to.mutable_drain_updates(), updates); }
void set(wire::PeerMessage& to, const PrimaryUpdates& updates) {
  set(*to.mutable_primary_updates(), updates);
}
void set(wire::PeerMessage& to, const JoinRequest& request) {
  to.mutable_join_request()->set_number(request.number);
}
void set(wire::PeerMessage& to, const Heartbeat& heartbeat) {
  auto& encodedHeartbeat = *to.mutable_heartbeat();
  encodedHeartbeat.set_number(heartbeat.number);
  encodedHeartbeat.set_recovery_stage(heartbeat.progress.recoveryStage);
  encodedHeartbeat.set_plan_version(heartbeat.progress.planVersion);
  encodedHeartbeat.set_drained_version(heartbeat.progress.drainedVersion);
}
void set(wire::PeerMessage& to, const PrepareRequest& request) {
  set(*to.mutable_prepare_request(), request.ballot);
}
void set(wire::PeerMessage& to, const AcceptRequest& request) {
  set(*to.mutable_accept_request(), request.proposed);
}

Greeting read(const wire::Greeting& from) {
  return {from.router(), from.voter_list(), from.draw(), readVoterIncarnation(from.voter_incarnation())};
}
Heartbeat read(const wire::Heartbeat& from) {
  return {from.number(), {from.recovery_stage(), from.plan_version(), from.drained_version()}};
}

// --- Replies from voters

void set(wire::PeerReply& to, const GreetingReply& reply) {
  auto& encodedReply = *to.mutable_greeting_reply();
  encodedReply.set_number(reply.number);
  set(*encodedReply.mutable_previous_voter_incarnation(), reply.previousVoterIncarnation);
  set(*encodedReply.mutable_joined_incarnation(), reply.joinedIncarnation);
}
void set(wire::PeerReply& to, const VoteReply& reply) {
  auto& vote = *to.mutable_vote();
  vote.set_number(reply.number);
  vote.set_kind(encodedKind(reply.vote.kind));
  vote.set_committed(reply.vote.isCommitted);
  vote.set_value(reply.vote.value);
}
void set(wire::PeerReply& to, const DrainUpdates& updates) { set(*to.mutable_drain_updates(), updates); }
void set(wire::PeerReply& to, const PrimaryUpdates& updates) { set(*to.mutable_primary_updates(), updates); }
void set(wire::PeerReply& to, const ObservationReport& report) {
  set(*to.mutable_observation_report(), report);
}
void set(wire::PeerReply& to, const JoinReply& reply) {
  set(*to.mutable_join_reply()->mutable_newest(), reply.newest);
}
void set(wire::PeerReply& to, const HeartbeatReply& reply) { set(*to.mutable_heartbeat_reply(), reply); }
void set(wire::PeerReply& to, const ProposalReply& reply) { set(*to.mutable_proposal_reply(), reply.reply); }
void set(wire::PeerReply& to, const PlanUpdate& update) { set(*to.mutable_plan_update(), update.accepted); }

GreetingReply read(const wire::GreetingReply& from) {
  return {from.number(), readVoterIncarnation(from.previous_voter_incarnation()),
          readIncarnation(from.joined_incarnation())};
}
VoteReply read(const wire::Vote& from) {
  return {from.number(), {readKind(from.kind()), from.committed(), from.value()}};
}

template <typename Message>
Message parsed(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw MalformedMessage(Fault::unparsable, "a message that can't be read");
  return message;
}

}  // namespace

std::string encoded(const PeerMessage& message) {
  wire::PeerMessage encodedMessage;
  std::visit([&](const auto& typed) { set(encodedMessage, typed); }, message);
  return encodedMessage.SerializeAsString();
}

std::string encoded(const PeerReply& reply) {
  wire::PeerReply encodedReply;
  std::visit([&](const auto& typed) { set(encodedReply, typed); }, reply);
  return encodedReply.SerializeAsString();
}

PeerMessage readMessage(std::string_view bytes) {
  const auto message = parsed<wire::PeerMessage>(bytes);
  switch (message.message_case()) {
    case wire::PeerMessage::kGreeting:
      return read(message.greeting());
    case wire::PeerMessage::kClaim:
      return Claim{message.claim().id(), message.claim().number()};
    case wire::PeerMessage::kRelease:
      return Release{message.release().id(), message.release().number()};
    case wire::PeerMessage::kCommitted:
      return Committed{message.committed().id(), message.committed().number(), message.committed().value()};
    case wire::PeerMessage::kDrainUpdates:
      return read(message.drain_updates());
    case wire::PeerMessage::kPrimaryUpdates:
      return read(message.primary_updates());
    case wire::PeerMessage::kJoinRequest:
      return JoinRequest{message.join_request().number()};
    case wire::PeerMessage::kHeartbeat:
      return read(message.heartbeat());
    case wire::PeerMessage::kPrepareRequest:
      return PrepareRequest{read(message.prepare_request())};
    case wire::PeerMessage::kAcceptRequest:
      return AcceptRequest{read(message.accept_request())};
    case wire::PeerMessage::MESSAGE_NOT_SET:
      break;
  }
  throw MalformedMessage(Fault::unknownType, "a word that is not known");
}

PeerReply readReply(std::string_view bytes) {
  const auto reply = parsed<wire::PeerReply>(bytes);
  switch (reply.reply_case()) {
    case wire::PeerReply::kGreetingReply:
      return read(reply.greeting_reply());
    case wire::PeerReply::kVote:
      return read(reply.vote());
    case wire::PeerReply::kDrainUpdates:
      return read(reply.drain_updates());
    case wire::PeerReply::kPrimaryUpdates:
      return read(reply.primary_updates());
    case wire::PeerReply::kObservationReport:
      return read(reply.observation_report());
    case wire::PeerReply::kJoinReply:
      return JoinReply{readIncarnation(reply.join_reply().newest())};
    case wire::PeerReply::kHeartbeatReply:
      return read(reply.heartbeat_reply());
    case wire::PeerReply::kProposalReply:
      return ProposalReply{read(reply.proposal_reply())};
    case wire::PeerReply::kPlanUpdate:
      return PlanUpdate{read(reply.plan_update())};
    case wire::PeerReply::REPLY_NOT_SET:
      break;
  }
  throw MalformedMessage(Fault::unknownType, "a reply that is not known");
}

}  // namespace gulltrestle::cluster
