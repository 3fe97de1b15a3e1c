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

std::string encoded(const PeerMessage& message) {
  wire::Word out;
  std::visit(Overloaded{[&](const Greeting& w) {
                          auto& hello = *out.mutable_hello();
                          hello.set_router(w.router);
                          hello.set_keepers(w.voterList);
                          hello.set_draw(w.draw);
                          if (w.voterIncarnation.number > 0) set(*hello.mutable_keeper(), w.voterIncarnation);
                        },
                        [&](const Claim& w) {
                          out.mutable_claim()->set_id(w.id);
                          out.mutable_claim()->set_number(w.number);
                        },
                        [&](const Release& w) {
                          out.mutable_release()->set_id(w.id);
                          out.mutable_release()->set_number(w.number);
                        },
                        [&](const Committed& w) {
                          auto& committed = *out.mutable_committed();
                          committed.set_id(w.id);
                          committed.set_number(w.number);
                          committed.set_value(w.value);
                        },
                        [&](const DrainUpdates& w) { set(*out.mutable_nodes(), w); },
                        [&](const PrimaryUpdates& w) { set(*out.mutable_primaries(), w); },
                        [&](const JoinRequest& w) { out.mutable_enter()->set_number(w.number); },
                        [&](const Heartbeat& w) {
                          auto& beat = *out.mutable_beat();
                          beat.set_number(w.number);
                          beat.set_progress(w.progress.recoveryStage);
                          beat.set_known(w.progress.planVersion);
                          beat.set_clear(w.progress.drainedVersion);
                        },
                        [&](const PrepareRequest& w) { set(*out.mutable_read(), w.ballot); },
                        [&](const AcceptRequest& w) { set(*out.mutable_write(), w.proposed); }},
             message);
  return out.SerializeAsString();
}

std::string encoded(const PeerReply& reply) {
  wire::Reply out;
  std::visit(Overloaded{[&](const GreetingReply& r) {
                          out.mutable_heard()->set_number(r.number);
                          set(*out.mutable_heard()->mutable_knew(), r.previousVoterIncarnation);
                          set(*out.mutable_heard()->mutable_speaks(), r.joinedIncarnation);
                        },
                        [&](const VoteReply& r) {
                          auto& vote = *out.mutable_vote();
                          vote.set_number(r.number);
                          vote.set_what(r.vote.kind == idempotency::Vote::Kind::granted ? wire::Vote::YOURS
                                        : r.vote.kind == idempotency::Vote::Kind::takenByOther
                                            ? wire::Vote::TAKEN
                                            : wire::Vote::SILENT);
                          vote.set_committed(r.vote.committed);
                          vote.set_value(r.vote.value);
                        },
                        [&](const DrainUpdates& r) { set(*out.mutable_nodes(), r); },
                        [&](const PrimaryUpdates& r) { set(*out.mutable_primaries(), r); },
                        [&](const ObservationReport& r) { set(*out.mutable_seen(), r); },
                        [&](const JoinReply& r) { set(*out.mutable_entered()->mutable_newest(), r.newest); },
                        [&](const HeartbeatReply& r) { set(*out.mutable_reports(), r); },
                        [&](const ProposalReply& r) { set(*out.mutable_answer(), r.reply); },
                        [&](const PlanUpdate& r) { set(*out.mutable_holds(), r.accepted); }},
             reply);
  return out.SerializeAsString();
}

PeerMessage readMessage(std::string_view bytes) {
  const auto in = parsed<wire::Word>(bytes);
  switch (in.word_case()) {
    case wire::Word::kHello:
      return Greeting{in.hello().router(), in.hello().keepers(), in.hello().draw(),
                      read(in.hello().keeper())};
    case wire::Word::kClaim:
      return Claim{in.claim().id(), in.claim().number()};
    case wire::Word::kRelease:
      return Release{in.release().id(), in.release().number()};
    case wire::Word::kCommitted:
      return Committed{in.committed().id(), in.committed().number(), in.committed().value()};
    case wire::Word::kNodes:
      return read(in.nodes());
    case wire::Word::kPrimaries:
      return read(in.primaries());
    case wire::Word::kEnter:
      return JoinRequest{in.enter().number()};
    case wire::Word::kBeat:
      return Heartbeat{in.beat().number(), {in.beat().progress(), in.beat().known(), in.beat().clear()}};
    case wire::Word::kRead:
      return PrepareRequest{read(in.read())};
    case wire::Word::kWrite:
      return AcceptRequest{read(in.write())};
    case wire::Word::WORD_NOT_SET:
      break;
  }
  throw MalformedMessage("a word that is not known");
}

PeerReply readReply(std::string_view bytes) {
  const auto in = parsed<wire::Reply>(bytes);
  if (in.has_heard())
    return GreetingReply{in.heard().number(), read(in.heard().knew()), readIncarnation(in.heard().speaks())};
  if (in.has_nodes()) return read(in.nodes());
  if (in.has_primaries()) return read(in.primaries());
  if (in.has_seen()) return read(in.seen());
  if (in.has_entered()) return JoinReply{readIncarnation(in.entered().newest())};
  if (in.has_reports()) return read(in.reports());
  if (in.has_answer()) return ProposalReply{read(in.answer())};
  if (in.has_holds()) return PlanUpdate{read(in.holds())};
  if (!in.has_vote()) throw MalformedMessage("a reply that is not known");
  VoteReply vote{in.vote().number(),
                 {idempotency::Vote::Kind::abstained, in.vote().committed(), in.vote().value()}};
  if (in.vote().what() == wire::Vote::YOURS) vote.vote.kind = idempotency::Vote::Kind::granted;
  if (in.vote().what() == wire::Vote::TAKEN) vote.vote.kind = idempotency::Vote::Kind::takenByOther;
  return vote;
}

}  // namespace gulltrestle::cluster
