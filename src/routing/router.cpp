// The decision module of gulltrestle: every decision, table and tuned value of a router stands here.
//
// How to call it: router.h holds the interface. A front makes a Router from its Terms and a seed and calls
// round(now, feed, writer) once for all that came in. The feed calls taken(), ended(), listed() and the like,
// which only note what was learnt and answer what is settled by it; then the round places what waits, in
// order of value for work. The front wakes the router when Writer::wakeAfter asked for it.
//
// The ordinary path (docs/design.md): a read has a target; among the replicas whose known position has
// reached it, one is drawn at random, weight falling with smoothed latency x (1 + in flight). With none, the
// read is held while the group is probed, then goes to the primary. Writes and fresh reads go to the known
// primary.

#include "routing/router.h"

#include <cmath>
#include <map>
#include <random>
#include <utility>

#include "base/samples.h"

namespace gulltrestle {

namespace {

// The newest of some samples is so old that what they say is over: 2 s, as long as a queue takes to go.
bool outdated(const Samples& samples, Instant now) {
  return samples.empty() || now - samples.back().at > Span::seconds(2);
}

struct Out {  // a submission that is still out
  TxnId txn;
  unsigned number;
  std::size_t type;
  Instant sentAt;
  Instant target;  // the position its answer needs; never: any
};

struct Member {
  NodeId id;
  GroupId group = 0;
  KindId kind;
  Health health = Health::gone;
  bool seenDraining = false, listedPrimary = false, sameZone = true, probeOut = false;
  Instant startedAt;
  Instant position;              // all commits up to here are known to be applied
  Span lag;                      // how far that was behind when it was told
  Instant primaryAt, replicaAt;  // the last moments at which it is known to have been one
  Instant heardAt, probedAt;
  Instant toldAt;  // when it last told how many txns it has in hand
  double inHand = 0;
  Instant fullAt, behindAt;  // when it last turned a txn away unseen; a read, for being too far behind
  Instant triedAt;           // the last submission while it was judged unwell
  Instant coldUntil;         // while cold, it gets its next txn after this
  Samples answers;           // latencies as multiples of what is usual for the txn type
  std::deque<bool> successes;
  unsigned errorsInARow = 0;
  std::vector<Out> outs;
};

struct Group {
  std::vector<Member*> members;
  Instant askedAt;     // when its replicas were last probed for held reads
  // The last latencies as parts of the SLA time: of reads at its replicas, of all at its primary.
  Samples strains, primaryStrains;
};

struct Live {  // a txn that is owed its final answer
  Txn txn;
  Instant takenAt, firstAt;  // firstAt: when its client's first try came, as far as can be told
  Instant slaBy, answerBy;
  Instant target;  // session reads: what the answering member must have applied
  unsigned submissions = 0, out = 0;
  Instant lastSentAt;
  Instant mayHaveRunAt;  // when the first submission that may have run was sent; never: none may have
  std::vector<const Member*> tried;
  Member* erredAt = nullptr;  // where it got an error, while it is not known whose the error is
  bool streaming = false;
  bool weighed = false;  // whether it may be sent, where its group is short
};

struct GivenUp {  // a session's txn that got no result
  SessionId session;
  std::size_t type;
  Instant firstAt, at;
};

}  // namespace

struct Router::State {
  Terms terms;
  std::knuth_b chance;
  Instant now;
  Writer* writer = nullptr;
  Span shortestSla;
  Span shortestBound = Span::seconds(2);  // where no type has one: sessions read soon after they write
  std::map<NodeId, Member> members;
  std::map<GroupId, Group> groups;
  std::map<TxnId, Live> live;
  std::vector<Samples> latencies;                 // a row a txn type: the last few, over all members
  Samples times;                                  // the last latencies of all txn types
  std::map<KindId, Samples> kinds;                // the last answers of each kind, as those of members
  Samples arrivals;                               // the last few txns taken and the time they usually take
  std::deque<bool> secondLuck;                    // of the last txns that erred: another node committed them
  std::deque<GivenUp> givenUp;                    // the last few
  std::deque<std::pair<double, bool>> patiences;  // the last, as shares of the expiry; whether others had it
  std::map<SessionId, Instant> commits;           // the last write of a session that was committed here
  Instant commitFloor;                            // the newest commit among sessions no longer remembered
  std::deque<double> reportAges;                  // how far the last reports' positions were behind
  Samples told;                                   // the last that members told of txns in hand
  Instant wakeAt;
  bool stalled = false;  // this round comes late
  Instant askListAt;
  bool following = false;

  const TxnType& typeOf(const Live& txn) const { return terms.types[txn.txn.type]; }
  double draw01() { return std::uniform_real_distribution<>(0, 1)(chance); }

  // ---- what is usual

  // The median of a type's last latencies; the lower quarter of old ones, as a trouble that is over must not
  // be held against what comes now. Before the first a fifth of the SLA time: who sets one knows the work.
  Span usual(std::size_t type) const {
    const auto& last = latencies[type];
    if (last.empty()) return terms.types[type].slaTime * 0.2;
    return std::max(Span::seconds(quantile(last, outdated(last, now) ? 4 : 2)), Span::millis(1));
  }

  // How long a submission may be out before its silence counts against the node: six times the usual, as
  // service times spread widely; 200 ms at least, so that a few quick answers don't make it nervous.
  Span patience(std::size_t type) const { return std::max(usual(type) * 6, Span::millis(200)); }

  // The chance that a submission sent now is answered within `left`: the part of the last few that were, and
  // one more that was, so that few or no samples leave hope.
  double chanceWithin(std::size_t type, Span left) const {
    if (left <= Span()) return 0;
    const auto& last = latencies[type];
    if (outdated(last, now)) return 1;
    const auto quick =
        std::count_if(last.begin(), last.end(), [&](auto& took) { return took.figure <= left.inSeconds(); });
    return static_cast<double>(quick + 1) / static_cast<double>(last.size() + 1);
  }

  // How long the client of a txn has waited in earlier tries. Its SLA time runs from the first, and a try
  // that comes when that is past earns nothing: in an overload these crowd out the others. A session that
  // asks for the same within a second of being given up comes back. Else, first tries of all txn types are
  // given up after one share of the expiry, which is common among the last few (a sixth of them within 1%); a
  // later try has what the expiry leaves, which dates it. May hurt the few whose patience is their own.
  Span waitedBefore(const Txn& txn) {
    const auto same = std::find_if(givenUp.rbegin(), givenUp.rend(), [&](const GivenUp& g) {
      return txn.session == g.session && txn.type == g.type && now - g.at < Span::seconds(1);
    });
    if (same != givenUp.rend()) {
      const Span waited = now - same->firstAt;
      givenUp.erase(std::next(same).base());
      return waited;
    }
    const Span expiry = terms.types[txn.type].expiry;
    const double share = txn.patience / expiry;
    const auto near = std::count_if(patiences.begin(), patiences.end(),
                                    [&](auto& p) { return std::abs(p.first - share) < 0.01; });
    const bool common = near * 6 >= std::ssize(patiences);
    keepLast(patiences, {share, common}, 64);
    const auto usual = std::count_if(patiences.begin(), patiences.end(), [](auto& p) { return p.second; });
    const bool dated = !common && patiences.size() >= 16 && usual * 4 >= std::ssize(patiences);
    return dated ? expiry - txn.patience : Span();
  }

  // Txns in flight to a member. Own ones are next to nothing at one of many routers, so what members tell
  // counts where it is more; it turns into the mean of what all told lately within 2 s, as a queue comes or
  // goes. One that told nothing lately has that mean: not asked is not idle.
  double load(const Member& m) const {
    const double others = outdated(told, now) ? 0 : mean(told);
    const double fresh = std::max(0.0, 1 - (now - m.toldAt).inSeconds() / 2);
    return std::max(others + (m.inHand - others) * fresh, static_cast<double>(m.outs.size()));
  }

  // Smoothed latency: the mean of the member's last answers. At a router with few txns one quick answer would
  // draw it to a node for long: the mean of all members of its kind counts as four more.
  double smoothed(const Member& m) const {
    const auto& alike = kinds.at(m.kind);
    const double usual = alike.empty() ? 1 : mean(alike);
    return std::max((sum(m.answers) + 4 * usual) / static_cast<double>(m.answers.size() + 4), 0.1);
  }

  // ---- which members may be used

  bool leaving(const Member& m) const {
    return terms.onlyDrainingBinds ? m.seenDraining : m.health != Health::live;
  }

  // A hung node looks idle: it takes submissions and answers none. Guards against every kind of silence
  // (hang, cut link, a machine that is gone unsaid). May hurt when all of a node's few txns are long at once.
  bool silent(const Member& m) const {
    if (m.outs.empty()) return false;
    const Span wait = patience(m.outs.front().type);
    return now - m.outs.front().sentAt > wait && now - m.heardAt > wait;
  }

  // Judged by the successes among its last few outcomes: half must be, once there are three.
  bool well(const Member& m) const {
    const auto good = std::count(m.successes.begin(), m.successes.end(), true);
    return !silent(m) && (m.successes.size() < 3 || good * 2 >= std::ssize(m.successes));
  }

  double warmth(const Member& m) const {
    if (m.startedAt == Instant() || now - m.startedAt >= terms.coldTime) return 1;
    return terms.coldShare + (1 - terms.coldShare) * std::max(0.0, (now - m.startedAt) / terms.coldTime);
  }

  // How long until a cold member may get its next txn: it gets its warm share of what this router would send
  // each member if all that came in lately went round. Over all routers, however unequal, that is its share
  // of an average load, well below the multiple at which it falls over.
  Span coldGap(const Member& m, std::size_t type) const {
    const Span over = std::max(now - arrivals.front().at, Span::millis(1));
    const auto running = std::count_if(members.begin(), members.end(),
                                       [&](const auto& other) { return !leaving(other.second); });
    return over * (usual(type).inSeconds() * static_cast<double>(running) / (sum(arrivals) * warmth(m)));
  }

  // The first waits for a part of that by chance, as all routers hear of a start at about the same time, and
  // for eight txns to tell a share from. Guards all that is new or comes back, one or a whole group; may hurt
  // by turning away what a node that warms early could take.
  bool coldRoom(Member& m, std::size_t type) {
    if (warmth(m) >= 1) return true;
    if (arrivals.size() < 8) return false;
    if (m.coldUntil < m.startedAt) m.coldUntil = now + coldGap(m, type) * draw01();
    return now >= m.coldUntil;
  }

  // What may be in flight to a member: its rate of answers times the time a txn may spend there, as measured:
  // a third of the shortest SLA time, as all types wait in one queue, and the answer is then in time even if
  // the queue doubles. Six over all routers at least, so that a rate can be measured and many don't fill a
  // queue.
  Span timeThere() const { return shortestSla * 0.35; }
  double inFlightBound(const Member& m) const {
    const double floor = std::max(1.0, 6.0 / terms.routers);
    if (m.answers.size() < 4) return floor;
    const Span over = std::max(now - m.answers.front().at, Span::millis(1));
    return std::max(floor, static_cast<double>(m.answers.size()) * (timeThere() / over));
  }

  // Whether the least of one in flight each sums up to twice the least that is meant: own bounds don't hold.
  bool oneOfMany() const { return terms.routers > 12; }

  // The same over all routers, where members tell what they have in hand: their rate is what they hold over
  // the time it takes (Little's law). Guards against a node in more demand than the others, whatever the
  // cause; may hurt when reports are late by seconds.
  bool crowded(const Member& m) const {
    if (!oneOfMany() || outdated(told, now) || times.size() < 8) return false;
    return load(m) > std::max({1.0, mean(told), mean(told) / mean(times) * timeThere().inSeconds()});
  }

  // What the last latencies say of a group or a primary at one of many routers, as a part of the SLA time; 0
  // where they are few or old.
  double strain(const Samples& last) const {
    return !oneOfMany() || last.size() < 3 || outdated(last, now) ? 0 : quantile(last, 2);
  }

  // One of many routers has none or one in flight to a member: its own bound never binds. It keeps to a part
  // of one by chance, sending on the part of a group's reads that brings their latency down to the time a txn
  // may spend at a node; what was turned away as full took the SLA time. Guards against a group that is asked
  // for more than it can serve; may hurt where slowness is no queue.
  bool shed(const Live& txn) {
    const double strained = typeOf(txn).level < ReadLevel::fresh ? strain(groups[txn.txn.group].strains) : 0;
    return strained > 0.35 && draw01() > 0.35 / strained;
  }

  bool usable(Member& m, const Live& txn, double part = 1) {
    if (leaving(m) || static_cast<double>(m.outs.size()) >= part * inFlightBound(m)) return false;
    // One that was full rests for a quarter of a second: what it turns away takes work, too.
    if (now - m.fullAt < Span::millis(250) || crowded(m) || !coldRoom(m, txn.txn.type)) return false;
    // An unwell node gets a repeatable txn now and then, to learn whether it is back. Four a second over all
    // routers: a node that only works off a queue nobody waits for must not be kept busy by trials.
    const bool trialDue = now - m.triedAt > Span::millis(250) * terms.routers;
    const auto& type = typeOf(txn);
    return well(m) || (trialDue && type.effect == Effect::repeatable && type.level != ReadLevel::fresh);
  }

  // The member last known to be primary and not leaving. Without any, the list's word, which is late.
  Member* primaryOf(GroupId group) {
    Member *best = nullptr, *listed = nullptr;
    for (Member* m : groups[group].members) {
      if (leaving(*m)) continue;
      if (m->primaryAt > m->replicaAt && (!best || m->primaryAt > best->primaryAt)) best = m;
      if (m->listedPrimary && m->replicaAt == Instant()) listed = m;
    }
    return best ? best : listed;
  }

  // ---- placing

  // A bounded read's target moves on while it travels: one round is left in hand.
  Instant targetNow(const Live& txn) const {
    if (typeOf(txn).level == ReadLevel::bounded) return now - typeOf(txn).bound + terms.roundLength;
    return txn.target;
  }

  bool wasTried(const Member& m, const Live& txn) const {
    return std::find(txn.tried.begin(), txn.tried.end(), &m) != txn.tried.end();
  }

  // An any read whose SLA time is four times the shortest takes long, and is best put where it keeps nothing
  // fresh from being applied: on replicas that told they are behind the bound, else on one that all routers
  // agree on, the first in the order of ids; on one more for each third of its SLA time that it usually
  // takes. Else, at many routers, long reads hold up the log everywhere. May hurt by filling one replica.
  bool isLong(const TxnType& type) const {
    return type.level == ReadLevel::any && type.slaTime >= shortestSla * 4;
  }

  // Draws among the replicas known to have reached the target; if unsure, also among those that may have, but
  // not for half a second after one turned a read away: it catches up no faster.
  Member* draw(const Live& txn, const Member* primary, bool unsure) {
    const Instant target = targetNow(txn);
    const bool longRead = isLong(typeOf(txn));
    const auto& group = groups[txn.txn.group].members;
    std::vector<Member*> able;
    std::vector<double> weights;
    for (const bool again : {false, true}) {
      for (Member* m : group) {
        const double part = longRead ? typeOf(txn).slaTime / shortestSla : 1;
        if (m == primary || (wasTried(*m, txn) && !again) || !usable(*m, txn, part)) continue;
        if (m->position < target && (!unsure || now - m->behindAt < Span::millis(500))) continue;
        able.push_back(m);
        const double zone = m->sameZone ? 1 : std::max(0.01, 1 - terms.crossZonePrice * 10);
        weights.push_back(warmth(*m) * zone / (smoothed(*m) * (1 + load(*m))));
      }
      if (!able.empty()) break;
    }
    if (able.empty()) return nullptr;
    if (longRead) {
      std::stable_partition(able.begin(), able.end(), [&](auto* m) { return m->lag > shortestBound; });
      const double used = 1 + usual(txn.txn.type) / (typeOf(txn).slaTime * 0.35);
      for (std::size_t i = 0; i < able.size(); ++i) weights[i] = static_cast<double>(i) + 1 <= used;
    }
    Member* m = able[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(chance)];
    // Any reads need no position and so bring no news: one of many routers asks, for the next, so that a full
    // queue is not fed by all that don't know of it.
    if (oneOfMany() && !told.empty() && now - m->toldAt > Span::seconds(1)) probe(*m);
    return m;
  }

  Member* place(const Live& txn) {
    Member* primary = primaryOf(txn.txn.group);
    if (typeOf(txn).level >= ReadLevel::fresh)
      return primary && usable(*primary, txn) && well(*primary) ? primary : nullptr;
    if (Member* replica = draw(txn, primary, false)) return replica;
    // Held for a third of the SLA time, so that the primary has time to answer; it keeps room for its writes.
    if (now < holdEnd(txn)) return nullptr;
    // Of many routers each sees room there: they stay away while what they sent took a quarter of its SLA
    // time.
    const bool strained = strain(groups[txn.txn.group].primaryStrains) > 0.25;
    if (primary && !strained && !wasTried(*primary, txn) && usable(*primary, txn, 0.6)) return primary;
    // Where nodes turn away what they are too far behind for, a replica whose position is only not known may
    // be asked all the same. Guards against news that come late or never; may hurt when all really are
    // behind.
    return terms.nodesGuard ? draw(txn, primary, true) : nullptr;
  }

  Instant holdEnd(const Live& txn) const { return txn.takenAt + typeOf(txn).slaTime * 0.35; }

  void submit(Live& txn, Member& m) {
    if (!well(m)) m.triedAt = now;
    if (warmth(m) < 1) m.coldUntil = now + coldGap(m, txn.txn.type);
    m.outs.push_back({txn.txn.id, txn.submissions, txn.txn.type, now, targetNow(txn)});
    ++txn.submissions;
    ++txn.out;
    txn.lastSentAt = now;
    txn.tried.push_back(&m);
    writer->submit(txn.txn.id, m.id, txn.answerBy);
  }

  // ---- final answers

  bool mayDecline(const Live& txn) const {
    const auto& type = typeOf(txn);
    return type.effect == Effect::repeatable || (txn.out == 0 && txn.mayHaveRunAt == Instant()) ||
           (type.effect == Effect::referenced && type.dropsRepeatsAnywhere);
  }

  void giveUp(const Live& txn) {
    if (txn.txn.session && !txn.erredAt)
      keepLast(givenUp, {*txn.txn.session, txn.txn.type, txn.firstAt, now}, 256);
    if (mayDecline(txn))
      writer->decline(txn.txn.id, terms.comeBackAllowed ? terms.longestComeBack * 0.5 : Span());
    else
      writer->rollBack(txn.txn.id);
    callOffAll(txn);
  }

  void callOffAll(const Live& txn) {
    if (!terms.cancelAllowed || typeOf(txn).effect != Effect::repeatable || txn.out == 0) return;
    for (const Member* m : groups[txn.txn.group].members)
      for (const Out& out : m->outs)
        if (out.txn == txn.txn.id) writer->callOff(out.txn, out.number);
  }

  // Whether errors are the txns' own: they err again wherever they are sent next. Guards against txns that
  // can only err, whatever they share, and a fault in data that all nodes hold. May hurt when nodes err at
  // random: one in eight is still sent again, and each of a node that erred three times in a row.
  bool errorsStick() const {
    return secondLuck.size() >= 4 &&
           std::count(secondLuck.begin(), secondLuck.end(), true) * 4 <= std::ssize(secondLuck);
  }

  // An error is held against a node once another has committed the same txn; where no other may be asked,
  // unless errors are known to be the txns' own and it is not the eighth in a row.
  void erred(Member& m, Live* txn) {
    ++m.errorsInARow;
    if (txn && txn->erredAt) {
      if (txn->erredAt != &m) keepLast(secondLuck, false, 8);
      txn->submissions = terms.mostSubmissions;
    } else if (txn && typeOf(*txn).effect != Effect::onceOnly) {
      txn->erredAt = &m;
      if (errorsStick() && m.errorsInARow < 3 && draw01() > 0.125) txn->submissions = terms.mostSubmissions;
    } else if (!errorsStick() || m.errorsInARow >= 8) {
      keepLast(m.successes, false, 8);
    }
  }

  // Whether a txn that is not out may be sent (again).
  bool maySend(const Live& txn) const {
    if (txn.submissions >= terms.mostSubmissions) return false;
    if (txn.mayHaveRunAt == Instant() || typeOf(txn).effect == Effect::repeatable) return true;
    return typeOf(txn).effect == Effect::referenced && now - txn.mayHaveRunAt < typeOf(txn).referenceWindow;
  }

  // The part of its value that a txn can be expected to earn if it is sent now.
  double hope(const Live& txn) const {
    const double inTime = chanceWithin(txn.txn.type, txn.slaBy - now);
    const double late = chanceWithin(txn.txn.type, txn.answerBy - now) - inTime;
    return inTime + std::max(0.0, late) * typeOf(txn).lateShare;
  }

  // Held with hardly a chance left to earn anything. A fifth: what is sent at worse odds is mostly wasted.
  bool hopeless(const Live& txn) const { return !maySend(txn) || hope(txn) < 0.2; }

  // ---- probes

  void probe(Member& m) {
    if (!terms.probesAllowed || m.probeOut || leaving(m)) return;
    m.probeOut = true;
    m.probedAt = now;
    writer->probe(m.id);
  }

  // Held reads share probes: the two replicas thought to be furthest are asked first, the next two 25 ms
  // later, each once in 100 ms, about as often as nodes renew their reports. What was known a second ago puts
  // none before the others, and chance decides: else all routers would ask the same two and crowd them.
  void probeForPosition(Group& group, const Member* primary) {
    if (now - group.askedAt < Span::millis(25)) return;
    group.askedAt = now;
    auto asked = group.members;
    std::erase_if(asked, [&](const Member* m) {
      return m == primary || leaving(*m) || !well(*m) || now - m->probedAt < Span::millis(100);
    });
    std::shuffle(asked.begin(), asked.end(), chance);
    const auto lately = [&](const Member* m) { return std::max(m->position, now - Span::seconds(1)); };
    std::stable_sort(asked.begin(), asked.end(), [&](auto* a, auto* b) { return lately(a) > lately(b); });
    for (std::size_t i = 0; i < asked.size() && i < 2; ++i) probe(*asked[i]);
  }

  // Each member once in 150 ms while its group's primary is looked for, for up to 40 routers; more share.
  void lookForPrimary(const Group& group) {
    for (Member* m : group.members)
      if (now - m->probedAt >= Span::millis(150) * std::max(1.0, terms.routers / 40.0)) probe(*m);
  }

  // ---- the round

  void decide() {
    // Most value to be expected for work first: what is shed when there is not room for all is the least. As
    // odds fall with the wait, the newest of a type come first, and an overload makes few answers late.
    std::vector<std::pair<double, Live*>> order;
    for (auto& [id, txn] : live)
      if (!txn.streaming)
        order.emplace_back(typeOf(txn).value * hope(txn) / usual(txn.txn.type).inSeconds(), &txn);
    std::stable_sort(order.begin(), order.end(), [](auto& a, auto& b) { return a.first > b.first; });
    // Ten rounds: late rounds are told by the wake that was asked for.
    Instant next = now + terms.roundLength * 10;
    for (auto& [value, txn] : order) {
      const auto id = txn->txn.id;
      // The last rounds before expiry: the final answer must be there in time.
      const Instant last = txn->answerBy - terms.roundLength * 2;
      const bool isNew = !std::exchange(txn->weighed, true);
      if (now >= last || (txn->out == 0 && hopeless(*txn)) || (isNew && shed(*txn))) {
        giveUp(*txn);
        live.erase(id);
        continue;
      }
      next = std::min(next, last);
      // A read whose node has been silent for long gets a second copy elsewhere, once.
      const Instant copyAt = txn->lastSentAt + patience(txn->txn.type);
      const bool mayCopy = txn->out == 1 && txn->submissions == 1 && terms.secondCopies &&
                           typeOf(*txn).effect == Effect::repeatable && !hopeless(*txn);
      if (mayCopy && now <= copyAt) next = std::min(next, copyAt + terms.roundLength);
      if (txn->out > 0 && (!mayCopy || now <= copyAt)) continue;
      Member* to = place(*txn);
      if (to && (txn->out == 0 || !wasTried(*to, *txn))) submit(*txn, *to);
      if (to || txn->out > 0) continue;
      // What is held is looked at again soon: room may come without a word.
      next = std::min({next, now + terms.roundLength * 4, std::max(holdEnd(*txn), now + terms.roundLength)});
      const auto level = typeOf(*txn).level;
      Group& group = groups[txn->txn.group];
      const Member* primary = primaryOf(txn->txn.group);
      if (level == ReadLevel::session || level == ReadLevel::bounded) probeForPosition(group, primary);
      if (!primary || !well(*primary)) lookForPrimary(group);
    }
    if (live.empty() || (wakeAt > now && wakeAt <= next)) return;
    wakeAt = next;
    writer->wakeAfter(next - now);
  }

  void followList() {
    if (!terms.listMustBeAsked || following || now < askListAt) return;
    following = true;
    writer->followList();
  }

  // ---- what was learnt

  void learn(Member& m, const Standing& said, Instant at, Span roundedUp = Span()) {
    if (said.role == Role::primary) m.primaryAt = std::max(m.primaryAt, at);
    if (said.role == Role::replica) m.replicaAt = std::max(m.replicaAt, at);
    if (!said.position || *said.position - roundedUp < m.position) return;
    m.position = *said.position - roundedUp;
    m.lag = said.role == Role::primary ? Span() : now - m.position;
  }

  // A report's age is not told, but its position dates it: a primary's is the time of the report, a replica's
  // is not later. Older reports than what is known already say nothing of the role.
  void learnReport(Member& m, const Standing& report) {
    if (!report.position) return;
    learn(m, report, std::min(*report.position, now));
    if (!report.inHand) return;
    // Reports are about as old as the newest position among the last of them: one member or other keeps up.
    keepLast(reportAges, (now - *report.position).inSeconds(), 16);
    m.inHand = *report.inHand;
    m.toldAt = now - Span::seconds(*std::min_element(reportAges.begin(), reportAges.end()));
    keepLast(told, {m.toldAt, m.inHand}, 32);
  }

  void remember(SessionId session, Instant commit) {
    if (commits.size() >= 20000) {  // as many as come in minutes: sessions read soon after they write
      for (const auto& [id, at] : commits) commitFloor = std::max(commitFloor, at);
      commits.clear();
    }
    auto& last = commits[session];
    last = std::max(last, commit);
  }

  Instant targetOf(const Txn& txn) const {
    const auto found = txn.session ? commits.find(*txn.session) : commits.end();
    const Instant own = found != commits.end() ? found->second : Instant();
    if (!terms.sessionAgeCarried || !txn.writeAge) return std::max(own, commitFloor);
    if (*txn.writeAge == Span()) return Instant();
    // The position our own write returned, if that was the session's last one; else what the age says.
    const Instant carried = now - *txn.writeAge + Span::millis(1);
    return own + terms.roundLength >= carried ? std::min(own, carried) : carried;
  }
};

Router::Router(Terms terms, std::uint64_t seed) : state_(std::make_unique<State>()) {
  auto& s = *state_;
  s.terms = std::move(terms);
  s.latencies.resize(s.terms.types.size());
  s.chance.seed(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32)));
  for (const auto& type : s.terms.types) {
    s.shortestSla = s.shortestSla == Span() ? type.slaTime : std::min(s.shortestSla, type.slaTime);
    if (type.level == ReadLevel::bounded) s.shortestBound = std::min(s.shortestBound, type.bound);
  }
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::round(Instant now, Feed& feed, Writer& writer) {
  auto& s = *state_;
  s.now = now;
  s.writer = &writer;
  // Long after the wake that was asked for: the router itself has been held up, and what it measures is its
  // own delay. Guards against pauses of the process or its machine.
  s.stalled = s.wakeAt != Instant() && now - s.wakeAt > Span::millis(50);
  if (s.stalled)
    for (auto& [id, m] : s.members) m.heardAt = now;
  if (now >= s.wakeAt) s.wakeAt = Instant();
  feed.deliver(*this);
  s.followList();
  s.decide();
}

void Router::listed(ListKind kind, const std::vector<ListEntry>& entries) {
  auto& s = *state_;
  if (kind != ListKind::changes)
    for (auto& [id, m] : s.members) m.health = Health::gone;
  for (const auto& entry : entries) {
    auto [at, isNew] = s.members.try_emplace(entry.node);
    Member& m = at->second;
    if (isNew) {
      m.id = entry.node;
      m.group = entry.group;
      auto& all = s.groups[entry.group].members;  // in the order of ids
      all.insert(std::find_if(all.begin(), all.end(), [&](auto* o) { return o->id > m.id; }), &m);
    }
    m.sameZone = entry.sameZone;
    m.kind = entry.kind;
    s.kinds.try_emplace(entry.kind);
    m.health = entry.health;
    m.listedPrimary = entry.primary;
    const bool again = entry.startedAt > m.startedAt;
    m.seenDraining = entry.health == Health::draining || (m.seenDraining && !again);
    if (!again) continue;
    m.startedAt = entry.startedAt;
    if (isNew) continue;
    m.successes.clear();  // it started again: cold, and a replica until it says otherwise
    m.answers.clear();
    m.replicaAt = std::max(m.replicaAt, entry.startedAt);
  }
}

void Router::listFailed() {
  auto& s = *state_;
  s.following = false;
  if (!s.terms.listMustBeAsked) return;
  s.askListAt = s.now + Span::seconds(1);  // one service for all routers: no storm on a failed call
  s.writer->wakeAfter(Span::seconds(1));
}

void Router::taken(const Txn& txn) {
  auto& s = *state_;
  const auto& type = s.terms.types[txn.type];
  Live taken;
  taken.txn = txn;
  taken.takenAt = s.now;
  taken.answerBy = s.now + txn.patience;
  const Span sla = type.slaTime + (txn.work ? *txn.work * type.slaStretch : Span());
  taken.firstAt = s.now - s.waitedBefore(txn);
  taken.slaBy = taken.firstAt + std::min(sla, type.expiry);
  if (type.level == ReadLevel::session) taken.target = s.targetOf(txn);
  keepLast(s.arrivals, {s.now, s.usual(txn.type).inSeconds()}, 64);
  s.live.emplace(txn.id, std::move(taken));
}

void Router::clientLeft(TxnId id) {
  auto& s = *state_;
  const auto found = s.live.find(id);
  if (found == s.live.end()) return;
  s.callOffAll(found->second);
  s.live.erase(found);
}

void Router::streamStarted(TxnId id) {
  const auto found = state_->live.find(id);
  if (found != state_->live.end()) found->second.streaming = true;
}

void Router::ended(TxnId id, unsigned submission, const NodeId& node, End how, bool txnOver, Span latency,
                   const Standing& answer, const Standing& report) {
  auto& s = *state_;
  const auto found = s.live.find(id);
  Live* txn = found == s.live.end() ? nullptr : &found->second;
  const auto at = s.members.find(node);
  Out out{id, submission, txn ? txn->txn.type : 0, s.now, {}};
  const bool committed = how == End::committed;
  if (at == s.members.end()) return;
  Member& m = at->second;
  const auto o = std::find_if(m.outs.begin(), m.outs.end(), [&](const Out& other) {
    return other.txn == id && other.number == submission;
  });
  if (o != m.outs.end()) out = *o, m.outs.erase(o);
  const TxnType& type = s.terms.types[out.type];
  if (committed || how == End::error || how == End::turnedAway || how == End::notHere) m.heardAt = s.now;
  // A write's commit is rounded up to the next millisecond; what is known to be applied is rounded down.
  const bool commit = committed && type.level == ReadLevel::write;
  s.learn(m, answer, s.now, commit ? Span::millis(1) : Span());
  s.learnReport(m, report);
  // A node that guards itself and answers a read has what the read needed.
  if (how == End::notHere && type.level != ReadLevel::write) m.behindAt = s.now;
  if (how == End::turnedAway) m.fullAt = s.now;
  if (committed && s.terms.nodesGuard) m.position = std::max(m.position, out.target);
  // Called off after a long wait is no answer either, and took at least that long: else a node that answers
  // nothing, or only what nobody waits for any more, is never found out, and looks as quick as its answers.
  const bool late =
      (how == End::calledOff || how == End::noAnswer) && s.now - out.sentAt > s.usual(out.type) * 3;
  if ((committed || late) && !s.stalled) {
    auto& last = s.latencies[out.type];
    if (outdated(last, s.now)) last.clear();
    keepLast(last, {s.now, latency.inSeconds()}, 32);
    keepLast(s.times, {s.now, latency.inSeconds()}, 64);
  }
  if (committed && !s.stalled) {
    const Sample multiple{s.now, latency / s.usual(out.type)};
    keepLast(m.answers, multiple, 16);
    keepLast(s.kinds[m.kind], multiple, 64);
  }
  Group& group = s.groups[m.group];
  if ((committed || how == End::turnedAway) && !s.stalled)
    keepLast(m.primaryAt > m.replicaAt ? group.primaryStrains : group.strains,
             {s.now, committed ? latency / type.slaTime : 1}, 16);
  if (committed) m.errorsInARow = 0;
  if (committed && m.triedAt >= out.sentAt) m.successes.clear();  // the trial went well
  const bool failed = late || how == End::noAnswer || how == End::turnedAway || how == End::noConnection ||
                      how == End::connectionLost;
  if (committed || (failed && !s.stalled)) keepLast(m.successes, committed, 8);
  if (how == End::error) s.erred(m, txn);
  if (!txn) return;
  if (txn->out > 0) --txn->out;
  const bool ran =
      how == End::error || how == End::noAnswer || how == End::connectionLost || how == End::calledOff;
  if (ran && txn->mayHaveRunAt == Instant()) txn->mayHaveRunAt = out.sentAt;
  if (commit && txn->txn.session) s.remember(*txn->txn.session, answer.position.value_or(s.now));
  if (committed && txn->erredAt && txn->erredAt != &m) {
    keepLast(s.secondLuck, true, 8);
    keepLast(txn->erredAt->successes, false, 8);
  }
  if (!txnOver && !committed) return;
  s.callOffAll(*txn);
  s.live.erase(found);
}

void Router::probed(const NodeId& node, End how, const Standing& report) {
  const auto at = state_->members.find(node);
  if (at == state_->members.end()) return;
  at->second.probeOut = false;
  if (how == End::committed) state_->learnReport(at->second, report);
}

}  // namespace gulltrestle
