#include "cluster/messages.h"

#include "cluster_messages.pb.h"

namespace gulltrestle::cluster {

namespace {

// --- Parts of messages: set() encodes, read() decodes

void set(wire::Start& to, const idempotency::VoterIncarnation& incarnation) {
  to.set_number(incarnation.number);
  to.set_draw(incarnation.draw);
}
idempotency::VoterIncarnation read(const wire::Start& from) { return {from.number(), from.draw()}; }
void set(wire::Start& to, const membership::Incarnation& incarnation) {
  to.set_number(incarnation.number);
  to.set_draw(incarnation.draw);
}
membership::Incarnation readIncarnation(const wire::Start& from) { return {from.number(), from.draw()}; }

void set(wire::Reports& to, const HeartbeatReply& reports) {
  for (const auto& report : reports.reports) {
    auto& one = *to.add_reports();
    one.set_router(report.router);
    set(*one.mutable_incarnation(), report.incarnation);
    // Both enums have the same values.
    one.set_hearing(static_cast<wire::Report::Liveness>(report.liveness));
    one.set_progress(report.progress.recoveryStage);
    one.set_known(report.progress.planVersion);
    one.set_clear(report.progress.drainedVersion);
  }
  to.set_beat(reports.heartbeatNumber);
  to.set_counts(reports.grantsLease);
}
HeartbeatReply read(const wire::Reports& from) {
  HeartbeatReply reports;
  for (const auto& one : from.reports()) {
    if (one.hearing() < wire::Report::AWAITED || one.hearing() > wire::Report::LEFT)
      throw MalformedMessage("a hearing that is not known");
    reports.reports.push_back({one.router(),
                               readIncarnation(one.incarnation()),
                               static_cast<membership::Liveness>(one.hearing()),
                               {one.progress(), one.known(), one.clear()}});
  }
  reports.heartbeatNumber = from.beat();
  reports.grantsLease = from.counts();
  return reports;
}

void set(wire::Ballot& to, const maintenance::Ballot& ballot) {
  to.set_number(ballot.number);
  to.set_draw(ballot.draw);
}
maintenance::Ballot read(const wire::Ballot& from) { return {from.number(), from.draw()}; }
void set(wire::Held& to, const maintenance::AcceptedValue& held) {
  set(*to.mutable_ballot(), held.ballot);
  to.set_version(held.version.version);
  to.set_draw(held.version.draw);
  to.set_value(held.value);
}
maintenance::AcceptedValue read(const wire::Held& from) {
  return {read(from.ballot()), {from.version(), from.draw()}, from.value()};
}
void set(wire::AcceptorReply& to, const maintenance::Acceptor::AcceptorReply& answer) {
  // Both enums have the same values.
  to.set_what(static_cast<wire::AcceptorReply::Kind>(answer.kind));
  set(*to.mutable_ballot(), answer.ballot);
  set(*to.mutable_promised(), answer.promised);
  if (answer.kind == maintenance::Acceptor::AcceptorReply::Kind::promised)
    set(*to.mutable_held(), answer.accepted);
}
maintenance::Acceptor::AcceptorReply read(const wire::AcceptorReply& from) {
  if (from.what() < wire::AcceptorReply::PROMISED || from.what() > wire::AcceptorReply::REFUSED)
    throw MalformedMessage("an answer that is not known");
  return {static_cast<maintenance::Acceptor::AcceptorReply::Kind>(from.what()), read(from.ballot()),
          read(from.promised()), read(from.held())};
}

void set(wire::Nodes& to, const DrainUpdates& nodes) {
  for (const auto& update : nodes) {
    auto& node = *to.add_nodes();
    node.set_id(update.node);
    node.set_version(update.version);
    node.set_leaving(update.isDraining);
  }
}
DrainUpdates read(const wire::Nodes& from) {
  DrainUpdates nodes;
  for (const auto& node : from.nodes()) nodes.push_back({node.id(), node.version(), node.leaving()});
  return nodes;
}

void set(wire::Primaries& to, const PrimaryUpdates& primaries) {
  for (const auto& update : primaries) {
    auto& primary = *to.add_primaries();
    primary.set_group(update.group);
    primary.set_node(update.primary.node);
    primary.set_version(update.primary.version);
  }
}
PrimaryUpdates read(const wire::Primaries& from) {
  PrimaryUpdates primaries;
  for (const auto& one : from.primaries()) primaries.push_back({one.group(), {one.node(), one.version()}});
  return primaries;
}

void set(wire::Seen& to, const ObservationReport& report) {
  to.set_serves(report.hasRecovered);
  for (const auto& observation : report.nodes) {
    auto& one = *to.add_sightings();
    one.set_node(observation.node);
    one.set_node_start_us(observation.nodeStart.inMicros());
    one.set_role(observation.role == Role::primary   ? wire::Observation::PRIMARY
                 : observation.role == Role::replica ? wire::Observation::REPLICA
                                                     : wire::Observation::UNKNOWN);
    one.set_has_position(observation.position.has_value());
    if (observation.position) one.set_position_us(observation.position->inMicros());
    one.set_age_us(observation.age.inMicros());
  }
}
ObservationReport read(const wire::Seen& from) {
  ObservationReport report;
  report.hasRecovered = from.serves();
  for (const auto& one : from.sightings()) {
    recovery::Observation observation;
    observation.node = one.node();
    observation.nodeStart = Instant::atMicros(one.node_start_us());
    observation.role = one.role() == wire::Observation::PRIMARY   ? Role::primary
                       : one.role() == wire::Observation::REPLICA ? Role::replica
                                                                  : Role::unknown;
    if (one.has_position()) observation.position = Instant::atMicros(one.position_us());
    observation.age = Duration::micros(one.age_us());
    report.nodes.push_back(std::move(observation));
  }
  return report;
}

template <typename Message>
Message parsed(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw MalformedMessage("a message that can't be read");
  return message;
}

// The visitor made of one lambda for each message type.
template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace

std::string encoded(const PeerMessage& peerMessage) {
  wire::Word wireMessage;
  std::visit(
      Overloaded{[&](const Greeting& message) {
                   auto& hello = *wireMessage.mutable_hello();
                   hello.set_router(message.router);
                   hello.set_keepers(message.voterList);
                   hello.set_draw(message.draw);
                   if (message.voterIncarnation.number > 0)
                     set(*hello.mutable_keeper(), message.voterIncarnation);
                 },
                 [&](const Claim& message) {
                   wireMessage.mutable_claim()->set_id(message.id);
                   wireMessage.mutable_claim()->set_number(message.number);
                 },
                 [&](const Release& message) {
                   wireMessage.mutable_release()->set_id(message.id);
                   wireMessage.mutable_release()->set_number(message.number);
                 },
                 [&](const Committed& message) {
                   auto& committed = *wireMessage.mutable_committed();
                   committed.set_id(message.id);
                   committed.set_number(message.number);
                   committed.set_value(message.value);
                 },
                 [&](const DrainUpdates& message) { set(*wireMessage.mutable_nodes(), message); },
                 [&](const PrimaryUpdates& message) { set(*wireMessage.mutable_primaries(), message); },
                 [&](const JoinRequest& message) { wireMessage.mutable_enter()->set_number(message.number); },
                 [&](const Heartbeat& message) {
                   auto& beat = *wireMessage.mutable_beat();
                   beat.set_number(message.number);
                   beat.set_progress(message.progress.recoveryStage);
                   beat.set_known(message.progress.planVersion);
                   beat.set_clear(message.progress.drainedVersion);
                 },
                 [&](const PrepareRequest& message) { set(*wireMessage.mutable_read(), message.ballot); },
                 [&](const AcceptRequest& message) { set(*wireMessage.mutable_write(), message.proposed); }},
      peerMessage);
  return wireMessage.SerializeAsString();
}

std::string encoded(const PeerReply& peerReply) {
  wire::Reply wireReply;
  std::visit(
      Overloaded{
          [&](const GreetingReply& reply) {
            wireReply.mutable_heard()->set_number(reply.number);
            set(*wireReply.mutable_heard()->mutable_knew(), reply.previousVoterIncarnation);
            set(*wireReply.mutable_heard()->mutable_speaks(), reply.joinedIncarnation);
          },
          [&](const VoteReply& reply) {
            auto& vote = *wireReply.mutable_vote();
            vote.set_number(reply.number);
            vote.set_what(reply.vote.kind == idempotency::Vote::Kind::granted        ? wire::Vote::YOURS
                          : reply.vote.kind == idempotency::Vote::Kind::takenByOther ? wire::Vote::TAKEN
                                                                                     : wire::Vote::SILENT);
            vote.set_committed(reply.vote.isCommitted);
            vote.set_value(reply.vote.value);
          },
          [&](const DrainUpdates& reply) { set(*wireReply.mutable_nodes(), reply); },
          [&](const PrimaryUpdates& reply) { set(*wireReply.mutable_primaries(), reply); },
          [&](const ObservationReport& reply) { set(*wireReply.mutable_seen(), reply); },
          [&](const JoinReply& reply) { set(*wireReply.mutable_entered()->mutable_newest(), reply.newest); },
          [&](const HeartbeatReply& reply) { set(*wireReply.mutable_reports(), reply); },
          [&](const ProposalReply& reply) { set(*wireReply.mutable_answer(), reply.reply); },
          [&](const PlanUpdate& reply) { set(*wireReply.mutable_holds(), reply.accepted); }},
      peerReply);
  return wireReply.SerializeAsString();
}

PeerMessage readMessage(std::string_view bytes) {
  const auto message = parsed<wire::Word>(bytes);
  switch (message.word_case()) {
    case wire::Word::kHello:
      return Greeting{message.hello().router(), message.hello().keepers(), message.hello().draw(),
                      read(message.hello().keeper())};
    case wire::Word::kClaim:
      return Claim{message.claim().id(), message.claim().number()};
    case wire::Word::kRelease:
      return Release{message.release().id(), message.release().number()};
    case wire::Word::kCommitted:
      return Committed{message.committed().id(), message.committed().number(), message.committed().value()};
    case wire::Word::kNodes:
      return read(message.nodes());
    case wire::Word::kPrimaries:
      return read(message.primaries());
    case wire::Word::kEnter:
      return JoinRequest{message.enter().number()};
    case wire::Word::kBeat:
      return Heartbeat{message.beat().number(),
                       {message.beat().progress(), message.beat().known(), message.beat().clear()}};
    case wire::Word::kRead:
      return PrepareRequest{read(message.read())};
    case wire::Word::kWrite:
      return AcceptRequest{read(message.write())};
    case wire::Word::WORD_NOT_SET:
      break;
  }
  throw MalformedMessage("a word that is not known");
}

PeerReply readReply(std::string_view bytes) {
  const auto reply = parsed<wire::Reply>(bytes);
  if (reply.has_heard())
    return GreetingReply{reply.heard().number(), read(reply.heard().knew()),
                         readIncarnation(reply.heard().speaks())};
  if (reply.has_nodes()) return read(reply.nodes());
  if (reply.has_primaries()) return read(reply.primaries());
  if (reply.has_seen()) return read(reply.seen());
  if (reply.has_entered()) return JoinReply{readIncarnation(reply.entered().newest())};
  if (reply.has_reports()) return read(reply.reports());
  if (reply.has_answer()) return ProposalReply{read(reply.answer())};
  if (reply.has_holds()) return PlanUpdate{read(reply.holds())};
  if (!reply.has_vote()) throw MalformedMessage("a reply that is not known");
  VoteReply vote{reply.vote().number(),
                 {idempotency::Vote::Kind::abstained, reply.vote().committed(), reply.vote().value()}};
  if (reply.vote().what() == wire::Vote::YOURS) vote.vote.kind = idempotency::Vote::Kind::granted;
  if (reply.vote().what() == wire::Vote::TAKEN) vote.vote.kind = idempotency::Vote::Kind::takenByOther;
  return vote;
}

}  // namespace gulltrestle::cluster
