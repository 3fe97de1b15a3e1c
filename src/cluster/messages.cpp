#include "cluster/messages.h"

#include "cluster_messages.pb.h"

namespace gulltrestle::cluster {

namespace {

void set(wire::Start& to, const idempotency::Start& start) {
  to.set_number(start.number);
  to.set_draw(start.draw);
}
idempotency::Start read(const wire::Start& from) { return {from.number(), from.draw()}; }
void set(wire::Start& to, const membership::Incarnation& start) {
  to.set_number(start.number);
  to.set_draw(start.draw);
}
membership::Incarnation incarnation(const wire::Start& from) { return {from.number(), from.draw()}; }

void set(wire::Reports& to, const Reports& reports) {
  for (const auto& report : reports.reports) {
    auto& one = *to.add_reports();
    one.set_router(report.router);
    set(*one.mutable_incarnation(), report.incarnation);
    // The same names in the same order.
    one.set_hearing(static_cast<wire::Report::Hearing>(report.hearing));
    one.set_progress(report.progress.stage);
    one.set_known(report.progress.known);
    one.set_clear(report.progress.clear);
  }
  to.set_beat(reports.beat);
  to.set_counts(reports.counts);
}
Reports read(const wire::Reports& from) {
  Reports reports;
  for (const auto& one : from.reports()) {
    if (one.hearing() < wire::Report::AWAITED || one.hearing() > wire::Report::LEFT)
      throw Malformed("a hearing that is not known");
    reports.reports.push_back({one.router(),
                               incarnation(one.incarnation()),
                               static_cast<membership::Hearing>(one.hearing()),
                               {one.progress(), one.known(), one.clear()}});
  }
  reports.beat = from.beat();
  reports.counts = from.counts();
  return reports;
}

void set(wire::Ballot& to, const maintenance::Ballot& ballot) {
  to.set_number(ballot.number);
  to.set_draw(ballot.draw);
}
maintenance::Ballot read(const wire::Ballot& from) { return {from.number(), from.draw()}; }
void set(wire::Held& to, const maintenance::Held& held) {
  set(*to.mutable_ballot(), held.ballot);
  to.set_version(held.stamp.version);
  to.set_draw(held.stamp.draw);
  to.set_value(held.value);
}
maintenance::Held read(const wire::Held& from) {
  return {read(from.ballot()), {from.version(), from.draw()}, from.value()};
}
void set(wire::Answer& to, const maintenance::Acceptor::Answer& answer) {
  // The same names in the same order.
  to.set_what(static_cast<wire::Answer::What>(answer.what));
  set(*to.mutable_ballot(), answer.ballot);
  set(*to.mutable_promised(), answer.promised);
  if (answer.what == maintenance::Acceptor::Answer::What::promised) set(*to.mutable_held(), answer.held);
}
maintenance::Acceptor::Answer read(const wire::Answer& from) {
  if (from.what() < wire::Answer::PROMISED || from.what() > wire::Answer::REFUSED)
    throw Malformed("an answer that is not known");
  return {static_cast<maintenance::Acceptor::Answer::What>(from.what()), read(from.ballot()),
          read(from.promised()), read(from.held())};
}

void set(wire::Nodes& to, const Nodes& nodes) {
  for (const auto& news : nodes) {
    auto& node = *to.add_nodes();
    node.set_id(news.node);
    node.set_version(news.version);
    node.set_leaving(news.leaving);
  }
}
Nodes read(const wire::Nodes& from) {
  Nodes nodes;
  for (const auto& node : from.nodes()) nodes.push_back({node.id(), node.version(), node.leaving()});
  return nodes;
}

void set(wire::Primaries& to, const Primaries& primaries) {
  for (const auto& news : primaries) {
    auto& primary = *to.add_primaries();
    primary.set_group(news.group);
    primary.set_node(news.primary.node);
    primary.set_version(news.primary.version);
  }
}
Primaries read(const wire::Primaries& from) {
  Primaries primaries;
  for (const auto& one : from.primaries()) primaries.push_back({one.group(), {one.node(), one.version()}});
  return primaries;
}

void set(wire::Seen& to, const Seen& seen) {
  to.set_serves(seen.serves);
  for (const auto& sighting : seen.nodes) {
    auto& one = *to.add_sightings();
    one.set_node(sighting.node);
    one.set_node_start_us(sighting.nodeStart.inMicros());
    one.set_role(sighting.role == Role::primary   ? wire::Sighting::PRIMARY
                 : sighting.role == Role::replica ? wire::Sighting::REPLICA
                                                  : wire::Sighting::UNKNOWN);
    one.set_has_position(sighting.position.has_value());
    if (sighting.position) one.set_position_us(sighting.position->inMicros());
    one.set_age_us(sighting.age.inMicros());
  }
}
Seen read(const wire::Seen& from) {
  Seen seen;
  seen.serves = from.serves();
  for (const auto& one : from.sightings()) {
    recovery::Sighting sighting;
    sighting.node = one.node();
    sighting.nodeStart = Instant::atMicros(one.node_start_us());
    sighting.role = one.role() == wire::Sighting::PRIMARY   ? Role::primary
                    : one.role() == wire::Sighting::REPLICA ? Role::replica
                                                            : Role::unknown;
    if (one.has_position()) sighting.position = Instant::atMicros(one.position_us());
    sighting.age = Span::micros(one.age_us());
    seen.nodes.push_back(std::move(sighting));
  }
  return seen;
}

template <typename Message>
Message parsed(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    throw Malformed("a message that can't be read");
  return message;
}

template <typename... Cases>
struct Each : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Each(Cases...) -> Each<Cases...>;

}  // namespace

std::string encoded(const Word& word) {
  wire::Word out;
  std::visit(Each{[&](const Hello& w) {
                    auto& hello = *out.mutable_hello();
                    hello.set_router(w.router);
                    hello.set_keepers(w.keepers);
                    hello.set_draw(w.draw);
                    if (w.keeper.number > 0) set(*hello.mutable_keeper(), w.keeper);
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
                  [&](const Nodes& w) { set(*out.mutable_nodes(), w); },
                  [&](const Primaries& w) { set(*out.mutable_primaries(), w); },
                  [&](const Enter& w) { out.mutable_enter()->set_number(w.number); },
                  [&](const Beat& w) {
                    auto& beat = *out.mutable_beat();
                    beat.set_number(w.number);
                    beat.set_progress(w.progress.stage);
                    beat.set_known(w.progress.known);
                    beat.set_clear(w.progress.clear);
                  },
                  [&](const WorkRead& w) { set(*out.mutable_read(), w.ballot); },
                  [&](const WorkWrite& w) { set(*out.mutable_write(), w.held); }},
             word);
  return out.SerializeAsString();
}

std::string encoded(const Reply& reply) {
  wire::Reply out;
  std::visit(Each{[&](const Heard& r) {
                    out.mutable_heard()->set_number(r.number);
                    set(*out.mutable_heard()->mutable_knew(), r.knew);
                    set(*out.mutable_heard()->mutable_speaks(), r.speaks);
                  },
                  [&](const VoteOf& r) {
                    auto& vote = *out.mutable_vote();
                    vote.set_number(r.number);
                    vote.set_what(r.vote.what == idempotency::Vote::What::yours   ? wire::Vote::YOURS
                                  : r.vote.what == idempotency::Vote::What::taken ? wire::Vote::TAKEN
                                                                                  : wire::Vote::SILENT);
                    vote.set_committed(r.vote.committed);
                    vote.set_value(r.vote.value);
                  },
                  [&](const Nodes& r) { set(*out.mutable_nodes(), r); },
                  [&](const Primaries& r) { set(*out.mutable_primaries(), r); },
                  [&](const Seen& r) { set(*out.mutable_seen(), r); },
                  [&](const Entered& r) { set(*out.mutable_entered()->mutable_newest(), r.newest); },
                  [&](const Reports& r) { set(*out.mutable_reports(), r); },
                  [&](const WorkAnswer& r) { set(*out.mutable_answer(), r.answer); },
                  [&](const WorkHeld& r) { set(*out.mutable_holds(), r.held); }},
             reply);
  return out.SerializeAsString();
}

Word readWord(std::string_view bytes) {
  const auto in = parsed<wire::Word>(bytes);
  switch (in.word_case()) {
    case wire::Word::kHello:
      return Hello{in.hello().router(), in.hello().keepers(), in.hello().draw(), read(in.hello().keeper())};
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
      return Enter{in.enter().number()};
    case wire::Word::kBeat:
      return Beat{in.beat().number(), {in.beat().progress(), in.beat().known(), in.beat().clear()}};
    case wire::Word::kRead:
      return WorkRead{read(in.read())};
    case wire::Word::kWrite:
      return WorkWrite{read(in.write())};
    case wire::Word::WORD_NOT_SET:
      break;
  }
  throw Malformed("a word that is not known");
}

Reply readReply(std::string_view bytes) {
  const auto in = parsed<wire::Reply>(bytes);
  if (in.has_heard())
    return Heard{in.heard().number(), read(in.heard().knew()), incarnation(in.heard().speaks())};
  if (in.has_nodes()) return read(in.nodes());
  if (in.has_primaries()) return read(in.primaries());
  if (in.has_seen()) return read(in.seen());
  if (in.has_entered()) return Entered{incarnation(in.entered().newest())};
  if (in.has_reports()) return read(in.reports());
  if (in.has_answer()) return WorkAnswer{read(in.answer())};
  if (in.has_holds()) return WorkHeld{read(in.holds())};
  if (!in.has_vote()) throw Malformed("a reply that is not known");
  VoteOf vote{in.vote().number(),
              {idempotency::Vote::What::silent, in.vote().committed(), in.vote().value()}};
  if (in.vote().what() == wire::Vote::YOURS) vote.vote.what = idempotency::Vote::What::yours;
  if (in.vote().what() == wire::Vote::TAKEN) vote.vote.what = idempotency::Vote::What::taken;
  return vote;
}

}  // namespace gulltrestle::cluster
