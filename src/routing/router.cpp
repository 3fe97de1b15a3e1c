// The decision module of gulltrestle: every decision, table and tuned value of a router stands here.
//
// How to call it: router.h holds the interface. A front makes a Router from its Terms and a seed and calls
// round(now, feed, writer) once for all that came in. The feed calls taken(), ended(), listed() and the like,
// which only note what was learnt and answer what is settled by it; then the round places what waits, in
// order of value for work. The front wakes the router when Writer::wakeAfter asked for it.
//
// The ordinary path (docs/design.md): a read has a target; among the replicas whose known position has
// reached it, one is drawn at random, weight falling with smoothed latency x (1 + own in flight). With none,
// the read is held while the group is probed, then goes to the primary. Writes and fresh reads go to the
// known primary.

#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <utility>

namespace gulltrestle {

namespace {

template <typename T>
void keepLast(std::deque<T>& samples, T sample, std::size_t most) {
  samples.push_back(std::move(sample));
  if (samples.size() > most) samples.pop_front();
}

struct Out {  // a submission that is still out
  TxnId txn;
  unsigned number;
  std::size_t type;
  Instant sentAt;
  Instant target;  // the position its answer needs; never: any
};

struct Sample {
  Instant at;
  double figure;
};

struct Took {
  Instant at;
  Span latency;
};

struct Figures {
  Instant at;
  std::vector<Span> recent;  // sorted
  Span usual;
};

struct Member {
  NodeId id;
  GroupId group = 0;
  KindId kind;
  Health health = Health::gone;
  bool seenDraining = false;
  bool listedPrimary = false;
  bool sameZone = true;
  Instant startedAt;
  Instant position;   // all commits up to here are known to be applied
  Span lag;           // how far that was behind when it was told
  Instant primaryAt;  // the last moment at which it is known to have been the primary
  Instant replicaAt;  // and a replica
  Instant heardAt;
  Instant probedAt;
  bool probeOut = false;
  Instant toldAt;       // when it last told how many txns it has in hand
  double inHand = 0;
  Instant fullAt;       // when it last turned a txn away unseen
  Instant behindAt;            // when it last turned a read away for being too far behind
  Instant triedAt;             // the last submission while it was judged unwell
  std::deque<Sample> answers;  // latencies as multiples of what is usual for the txn type
  std::deque<bool> successes;
  unsigned errorsInARow = 0;
  Instant coldUntil;  // while cold, it gets its next txn after this
  std::vector<Out> outs;
};

struct Group {
  std::vector<Member*> members;
  Instant askedAt;     // when its replicas were last probed for held reads
  std::deque<Sample> strains;  // the last latencies of reads at its replicas, as parts of the SLA time
  unsigned taken = 0;          // txns since its positions were last renewed
};

struct Live {  // a txn that is owed its final answer
  Txn txn;
  Instant takenAt;
  Instant firstAt;  // when its client's first try came, as far as can be told
  Instant slaBy;
  Instant answerBy;
  Instant target;  // session reads: what the answering member must have applied
  unsigned submissions = 0;
  unsigned out = 0;
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
  Instant firstAt;
  Instant at;
};

}  // namespace

struct Router::State {
  Terms terms;
  std::knuth_b chance;
  Instant now;
  Writer* writer = nullptr;
  std::map<NodeId, Member> members;
  std::map<GroupId, Group> groups;
  std::map<TxnId, Live> live;
  std::vector<std::deque<Took>> latencies;  // a row a txn type: the last few, over all members
  mutable std::vector<Figures> figuresNow;  // a row a txn type, of this round
  mutable Instant meanAt;                   // and the mean of what members told of txns in hand
  mutable double meanInHand = 0;
  std::deque<Sample> arrivals;              // the last few txns taken and the time they usually take
  std::deque<Span> times;                   // the last latencies of all txn types
  std::map<KindId, std::deque<double>> kinds;  // of the last answers of each kind, as those of members
  std::deque<GivenUp> givenUp;              // the last few
  std::deque<bool> secondLuck;              // of the last few txns that erred at a node: another committed them
  std::deque<double> patienceShares;        // the patience of the last few tries as shares of their expiry
  std::map<SessionId, Instant> commits;     // the last write of a session that was committed through here
  std::deque<std::pair<SessionId, Instant>> commitOrder;
  Instant commitFloor;                 // the newest commit among the sessions no longer remembered
  Instant wakeAt;
  bool wakePending = false;
  bool stalled = false;  // this round comes late
  Instant askListAt;
  bool following = false;

  const TxnType& typeOf(const Live& txn) const { return terms.types[txn.txn.type]; }

  // ---- what is usual

  // What the last few latencies of a txn type say, worked out once a round. They lose their say when the
  // newest is 2 s old, as what is given up for them brings no new ones: an overload or a stall that is over
  // must not be held against what comes now. Usual is their median; the lower quarter of old ones; before
  // the first a fifth of the SLA time, as who sets one has the work in mind.
  const Figures& figures(std::size_t type) const {
    Figures& known = figuresNow[type];
    if (known.at == now) return known;
    known.at = now;
    known.recent.clear();
    for (const Took& took : latencies[type]) known.recent.push_back(took.latency);
    std::sort(known.recent.begin(), known.recent.end());
    const auto count = known.recent.size();
    const bool old = count > 0 && outdated(type);
    known.usual = count == 0 ? terms.types[type].slaTime * 0.2 : known.recent[old ? count / 4 : count / 2];
    known.usual = std::max(known.usual, Span::millis(1));
    if (old) known.recent.clear();
    return known;
  }

  bool outdated(std::size_t type) const { return now - latencies[type].back().at > Span::seconds(2); }

  Span usual(std::size_t type) const { return figures(type).usual; }

  // How long a submission may be out before its silence counts against the node: six times the usual, as
  // service times spread widely; 200 ms at least, so that a few quick answers don't make it nervous.
  Span patience(std::size_t type) const { return std::max(usual(type) * 6, Span::millis(200)); }

  // The chance that a submission sent now is answered within `left`: the part of the last few that were, and
  // one more that was, so that few or no samples leave hope.
  double chanceWithin(std::size_t type, Span left) const {
    if (left <= Span()) return 0;
    const auto& recent = figures(type).recent;
    const auto quick = std::upper_bound(recent.begin(), recent.end(), left) - recent.begin();
    return static_cast<double>(quick + 1) / static_cast<double>(recent.size() + 1);
  }

  // How long the client of a txn has waited in earlier tries. Its SLA time runs from the first, and a try
  // that comes when that is past earns nothing: in an overload these crowd out the ones that still can. First
  // tries of all txn types are given up after one and the same share of the expiry, so among the last few
  // that share stands out (a quarter of them within 2% of it); a later try has what the expiry leaves, which
  // dates it. Where no share stands out, clients differ by themselves and nothing is dated. May hurt the few
  // whose patience is their own.
  Span waitedBefore(const Txn& txn) {
    const Span expiry = terms.types[txn.type].expiry;
    const double share = txn.patience / expiry;
    keepLast(patienceShares, share, 64);
    std::vector<double> sorted(patienceShares.begin(), patienceShares.end());
    std::sort(sorted.begin(), sorted.end());
    const double width = 0.02;
    std::size_t most = 0, end = 0;
    double first = share;
    for (std::size_t from = 0; from < sorted.size(); ++from) {
      while (end < sorted.size() && sorted[end] <= sorted[from] + width) ++end;
      if (end - from > most) most = end - from, first = sorted[(from + end - 1) / 2];
    }
    const bool standsOut = sorted.size() >= 16 && most * 4 >= sorted.size();
    return standsOut && std::abs(share - first) > width ? std::max(expiry - txn.patience, Span()) : Span();
  }

  // A session that asks for the same again within a second of being given up comes back: its first try is
  // known.
  Span waitedHere(const Txn& txn) {
    const auto same = std::find_if(givenUp.rbegin(), givenUp.rend(), [&](const GivenUp& g) {
      return txn.session == g.session && txn.type == g.type && now - g.at < Span::seconds(1);
    });
    if (same == givenUp.rend()) return Span();
    const Span waited = now - same->firstAt;
    givenUp.erase(std::next(same).base());
    return waited;
  }

  // Txns in flight to a member. Own ones are next to nothing at a router that is one of many, so what members
  // tell counts where it is more; it turns into the mean of what all told lately within 2 s, as long as a
  // queue takes to come or go. One that told nothing lately has that mean: not asked is not idle.
  double load(const Member& m) const {
    const auto fresh = [&](const Member& o) {
      return o.toldAt == Instant() ? 0.0 : std::max(0.0, 1 - (now - o.toldAt) / Span::seconds(2));
    };
    if (meanAt != now) {
      meanAt = now;
      double sum = 0, weight = 0;
      for (const auto& [id, o] : members) sum += fresh(o) * o.inHand, weight += fresh(o);
      meanInHand = weight > 0 ? sum / weight : 0;
    }
    return std::max(meanInHand + (m.inHand - meanInHand) * fresh(m), static_cast<double>(m.outs.size()));
  }

  // Smoothed latency: the mean of the member's last answers. A router with few txns has hardly any, and one
  // quick answer would draw it to a node for long: the mean of all members of its kind counts as four more.
  double smoothed(const Member& m) const {
    const auto& alike = kinds.at(m.kind);
    double sum = alike.empty() ? 4 : std::accumulate(alike.begin(), alike.end(), 0.0) * 4 / double(alike.size());
    for (const auto& answer : m.answers) sum += answer.figure;
    return std::max(sum / static_cast<double>(m.answers.size() + 4), 0.1);
  }

  // ---- which members may be used

  bool leaving(const Member& m) const {
    if (terms.onlyDrainingBinds) return m.seenDraining;
    return m.health != Health::live;
  }

  // A hung node looks idle: it takes submissions and answers none. Guards against every kind of silence
  // (hang, cut link, a machine that is gone before the list says so). May hurt when all of a node's few txns
  // are long at once.
  bool silent(const Member& m) const {
    if (m.outs.empty()) return false;
    const Out& oldest = m.outs.front();
    const Span wait = patience(oldest.type);
    return now - oldest.sentAt > wait && now - m.heardAt > wait;
  }

  // Judged by the successes among its last few outcomes: half must be, once there are three.
  bool well(const Member& m) const {
    if (silent(m)) return false;
    const auto good = static_cast<std::size_t>(std::count(m.successes.begin(), m.successes.end(), true));
    return m.successes.size() < 3 || good * 2 >= m.successes.size();
  }

  // An unwell node gets one repeatable txn now and then, to learn whether it is back. Four a second over all
  // routers: a node that only works off a queue nobody waits for must not be kept busy by trials.
  bool trialDue(const Member& m) const { return now - m.triedAt > Span::millis(250) * terms.routers; }

  double warmth(const Member& m) const {
    if (m.startedAt == Instant() || now - m.startedAt >= terms.coldTime) return 1;
    return terms.coldShare + (1 - terms.coldShare) * std::max(0.0, (now - m.startedAt) / terms.coldTime);
  }

  // How long until a cold member may get a txn of a type again: it gets its warm share of what this router
  // would send each member if all that came in lately went round. Summed over all routers, however unequal
  // they are, that is the member's share of an average load, well below the multiple at which it falls over.
  Span coldGap(const Member& m, std::size_t type) const {
    double work = 0;
    for (const Sample& a : arrivals) work += a.figure;
    const Span over = std::max(now - arrivals.front().at, Span::millis(1));
    const auto running = std::count_if(members.begin(), members.end(),
                                       [&](const auto& other) { return !leaving(other.second); });
    return over * (usual(type).inSeconds() * static_cast<double>(running) / (work * warmth(m)));
  }

  // The first waits for a part of that by chance, as all routers are told of a start at about the same time.
  // Guards all that is new or comes back, one or a whole group; may hurt by turning away what a node that
  // warms early could take.
  bool coldRoom(Member& m, std::size_t type) {
    if (warmth(m) >= 1) return true;
    if (arrivals.size() < 8) return false;  // nothing to tell a share from
    if (m.coldUntil < m.startedAt)
      m.coldUntil = now + coldGap(m, type) * std::uniform_real_distribution<>(0, 1)(chance);
    return now >= m.coldUntil;
  }

  // What may be in flight to a member: its rate of answers times the time a txn may spend there, as measured.
  // The time is a third of the shortest SLA time, as all txn types wait in one queue: the answer is then in
  // time even if the queue doubles and the work is long. Six over all routers at least, so that a rate can be
  // measured at all and yet many small routers together do not fill a queue.
  double inFlightBound(const Member& m) const {
    const double floor = std::max(1.0, 6.0 / terms.routers);
    if (m.answers.size() < 4) return floor;
    const Span over = std::max(now - m.answers.front().at, Span::millis(1));
    return std::max(floor,
                    static_cast<double>(m.answers.size()) / over.inSeconds() * (shortestSla() * 0.35).inSeconds());
  }

  Span shortestSla() const {
    Span shortest = terms.types.front().slaTime;
    for (const auto& type : terms.types) shortest = std::min(shortest, type.slaTime);
    return shortest;
  }

  // A router with few txns has none or one in flight to a member, so that its own bound never binds: what it
  // may have in flight is a part of one. It keeps to that by chance, sending on the part of a group's reads
  // that brings their latency down to the time a txn may spend at a node; what was turned away as full counts
  // as the SLA time. Guards against a group in more demand than it can serve, at a fleet of which each router
  // sees little; may hurt where slowness is no queue.
  double partToSend(const Live& txn) {
    const Group& group = groups[txn.txn.group];
    const auto& last = group.strains;
    if (typeOf(txn).level >= ReadLevel::fresh || last.size() < 4) return 1;
    if (now - last.back().at > Span::seconds(2)) return 1;
    const double over = (now - last.front().at).inSeconds();
    const double inFlight = static_cast<double>(last.size()) * (shortestSla() * 0.35).inSeconds();
    if (inFlight > over * static_cast<double>(group.members.size())) return 1;
    std::vector<double> sorted;
    for (const Sample& sample : last) sorted.push_back(sample.figure);
    std::sort(sorted.begin(), sorted.end());
    return 0.35 / sorted[sorted.size() / 2];
  }

  // The shortest of the bounds; 2 s where no txn type has one: sessions read within a second or so of their
  // write.
  Span shortestBound() const {
    Span shortest = Span::seconds(2);
    for (const auto& type : terms.types)
      if (type.level == ReadLevel::bounded) shortest = std::min(shortest, type.bound);
    return shortest;
  }

  // A replica that is crowded applies the log more slowly, and once it is too far behind for the reads that
  // need it fresh, those crowd the others and the primary. One that is behind by more than a third of the
  // bound, but not yet past it, gets half at once, to stay useful; past that it can only serve any reads, and
  // does. May hurt when only the news is late, by room that stays empty in an overload.
  double easing(const Member& m) const {
    return m.lag > shortestBound() * 0.33 && m.lag < shortestBound() * 1.2 ? 0.5 : 1;
  }

  // The same bound over all routers, where members tell what they have in hand: their rate, by Little's law, is
  // what they hold over the time they take. Guards against a group or a node in more demand than the others,
  // which a router with few txns can't see by its own; may hurt when reports are late by seconds.
  bool crowded(const Member& m) const {
    const double held = load(m);
    if (held <= meanInHand || times.size() < 8) return false;
    double sum = 0;
    for (const Span time : times) sum += time.inSeconds();
    const double rate = meanInHand * static_cast<double>(times.size()) / sum;
    return held > std::max(1.0, rate * shortestSla().inSeconds() * 0.35);
  }

  bool room(Member& m, const Live& txn, double part) {
    part *= easing(m);
    return static_cast<double>(m.outs.size()) < part * inFlightBound(m) && !crowded(m) && coldRoom(m, txn.txn.type);
  }

  bool usable(Member& m, const Live& txn, double part = 1) {
    if (leaving(m) || !room(m, txn, part)) return false;
    if (well(m)) return true;
    return trialDue(m) && typeOf(txn).effect == Effect::repeatable && typeOf(txn).level != ReadLevel::fresh;
  }

  // ---- the primary

  // The member last known to be primary and not leaving. Without any, the list's word, which is late.
  Member* primaryOf(GroupId group) {
    Member* best = nullptr;
    for (Member* m : groups[group].members)
      if (m->primaryAt > m->replicaAt && !leaving(*m) && (!best || m->primaryAt > best->primaryAt)) best = m;
    if (best) return best;
    for (Member* m : groups[group].members)
      if (m->listedPrimary && m->replicaAt == Instant() && !leaving(*m)) return m;
    return nullptr;
  }

  // ---- placing

  // A bounded read's target moves on while it travels: one round is left in hand.
  Instant targetNow(const Live& txn) const {
    if (typeOf(txn).level == ReadLevel::bounded) return now - typeOf(txn).bound + terms.roundLength;
    return typeOf(txn).level == ReadLevel::session ? txn.target : Instant();
  }

  bool wasTried(const Member& m, const Live& txn) const {
    return std::find(txn.tried.begin(), txn.tried.end(), &m) != txn.tried.end();
  }

  // An any read far longer than the others is best put where it keeps nothing fresh from being applied: on one
  // replica of its group that all routers agree on, the first in the order of ids; on one more for each time
  // that its usual latency has grown by a third of its SLA time. Else, at many routers, such reads hold up the
  // log at every replica. Acts on types of four times the usual latency over all types. Covers long reads that
  // hold up the log and those that only crowd; may hurt by filling one replica.
  bool isLong(std::size_t type) const {
    if (terms.types[type].level != ReadLevel::any) return false;
    std::vector<Span> each;
    for (std::size_t other = 0; other < terms.types.size(); ++other) each.push_back(usual(other));
    std::sort(each.begin(), each.end());
    return usual(type) >= each[each.size() / 2] * 4;
  }

  // Draws among the replicas known to have reached the target; if unsure, also among those that may have. One
  // that has turned a read away is not asked on suspicion for half a second: it catches up no faster than
  // that.
  Member* draw(const Live& txn, const Member* primary, bool unsure) {
    const Instant target = targetNow(txn);
    std::vector<Member*> able;
    std::vector<double> weights;
    // Any reads leave half the room of the replica furthest ahead, for reads that need it to stay there: in
    // an overload they would else crowd every replica until none applies the log in time.
    const Member* ahead = nullptr;
    if (typeOf(txn).level == ReadLevel::any)
      for (const Member* m : groups[txn.txn.group].members)
        if (m != primary && !leaving(*m) && well(*m) && (!ahead || m->position > ahead->position)) ahead = m;
    for (const bool again : {false, true}) {
      for (Member* m : groups[txn.txn.group].members) {
        const bool shunned = wasTried(*m, txn) || now - m->fullAt < Span::millis(250);
        if (m == primary || (shunned && !again)) continue;
        if (!usable(*m, txn, m == ahead ? 0.5 : 1)) continue;
        if (m->position < target && (!unsure || now - m->behindAt < Span::millis(500))) continue;
        able.push_back(m);
        const double zone = m->sameZone ? 1 : std::max(0.0, 1 - terms.crossZonePrice * 10);
        weights.push_back(warmth(*m) * zone / (smoothed(*m) * (1 + load(*m))));
      }
      if (!able.empty()) break;
    }
    if (able.empty()) return nullptr;
    if (isLong(txn.txn.type)) {
      std::sort(able.begin(), able.end(), [](const Member* a, const Member* b) { return a->id < b->id; });
      const auto used = static_cast<std::size_t>(1 + usual(txn.txn.type) / (typeOf(txn).slaTime * 0.35));
      return able[std::uniform_int_distribution<std::size_t>(0, std::min(used, able.size()) - 1)(chance)];
    }
    double left = std::uniform_real_distribution<double>(
        0, std::accumulate(weights.begin(), weights.end(), 0.0))(chance);
    std::size_t i = 0;
    while (i + 1 < able.size() && left >= weights[i]) left -= weights[i++];
    return able[i];
  }

  Member* place(const Live& txn) {
    Member* primary = primaryOf(txn.txn.group);
    const auto level = typeOf(txn).level;
    if (level == ReadLevel::write || level == ReadLevel::fresh)
      return primary && usable(*primary, txn) && well(*primary) ? primary : nullptr;
    if (Member* replica = draw(txn, primary, false)) return replica;
    // Held for a third of the SLA time, so that the primary has time to answer; it keeps room for its writes.
    if (now - txn.takenAt < typeOf(txn).slaTime * 0.35) return nullptr;
    if (primary && !wasTried(*primary, txn) && usable(*primary, txn, 0.6)) return primary;
    // The primary has no room either. Where nodes turn away what they are too far behind for, a replica whose
    // position is only not known may be asked all the same. Guards against news of positions that come late,
    // seldom or not at all; may hurt when the replicas really are behind, by a short wait at each.
    return terms.nodesGuard ? draw(txn, primary, true) : nullptr;
  }

  void submit(Live& txn, Member& m) {
    if (!well(m)) m.triedAt = now;
    m.outs.push_back({txn.txn.id, txn.submissions, txn.txn.type, now, targetNow(txn)});
    if (warmth(m) < 1) m.coldUntil = now + coldGap(m, txn.txn.type);
    ++txn.submissions;
    ++txn.out;
    txn.lastSentAt = now;
    txn.tried.push_back(&m);
    writer->submit(txn.txn.id, m.id, txn.answerBy);
  }

  // ---- final answers

  bool mayDecline(const Live& txn) const {
    if (typeOf(txn).effect == Effect::repeatable) return true;
    if (txn.out == 0 && txn.mayHaveRunAt == Instant()) return true;
    return typeOf(txn).effect == Effect::referenced && typeOf(txn).dropsRepeatsAnywhere;
  }

  void giveUp(const Live& txn) {
    if (txn.txn.session) keepLast(givenUp, {*txn.txn.session, txn.txn.type, txn.firstAt, now}, 256);
    if (mayDecline(txn)) {
      writer->decline(txn.txn.id, terms.comeBackAllowed ? terms.longestComeBack * 0.5 : Span());
    } else {
      writer->rollBack(txn.txn.id);
    }
    callOffAll(txn);
  }

  void callOffAll(const Live& txn) {
    if (!terms.cancelAllowed || typeOf(txn).effect != Effect::repeatable || txn.out == 0) return;
    for (const auto& [id, m] : members)
      for (const Out& out : m.outs)
        if (out.txn == txn.txn.id) writer->callOff(out.txn, out.number);
  }

  // Whether errors are the txns' own: they err again wherever they are sent next. Guards against txns that can
  // only err, whatever they have in common; covers a fault in the data that all nodes of a group hold. May
  // hurt when most nodes err at random, where another try would help: one in eight is still made to find out,
  // and one after each error of a node that erred three times in a row.
  bool errorsStick() const {
    const auto lucky = std::count(secondLuck.begin(), secondLuck.end(), true);
    return secondLuck.size() >= 4 && static_cast<std::size_t>(lucky) * 4 <= secondLuck.size();
  }

  // An error is held against a node once another has committed the same txn; where no other may be asked,
  // unless errors are known to be the txns' own and it is not the eighth in a row.
  void erred(Member& m, Live* txn) {
    const bool sticks = errorsStick();
    ++m.errorsInARow;
    if (txn && txn->erredAt) {
      if (txn->erredAt != &m) keepLast(secondLuck, false, 8);
      txn->submissions = terms.mostSubmissions;
    } else if (txn && typeOf(*txn).effect != Effect::onceOnly) {
      txn->erredAt = &m;
      if (sticks && m.errorsInARow < 3 && std::uniform_int_distribution<>(0, 7)(chance) > 0)
        txn->submissions = terms.mostSubmissions;
    } else if (!sticks || m.errorsInARow >= 8) {
      keepLast(m.successes, false, 8);
    }
  }

  // Whether a txn that is not out may be sent (again).
  bool maySend(const Live& txn) const {
    if (txn.submissions >= terms.mostSubmissions) return false;
    if (txn.mayHaveRunAt == Instant()) return true;
    if (typeOf(txn).effect == Effect::onceOnly) return false;
    return typeOf(txn).effect == Effect::repeatable || now - txn.mayHaveRunAt < typeOf(txn).referenceWindow;
  }

  // The part of its value that a txn can be expected to earn if it is sent now.
  double hope(const Live& txn) const {
    const double inTime = chanceWithin(txn.txn.type, txn.slaBy - now);
    const double late = chanceWithin(txn.txn.type, txn.answerBy - now) - inTime;
    return inTime + std::max(0.0, late) * typeOf(txn).lateShare;
  }

  // Held with hardly a chance left to earn anything. A fifth: what is sent at worse odds is mostly wasted
  // work.
  bool hopeless(const Live& txn) const { return !maySend(txn) || hope(txn) < 0.2; }

  // ---- probes

  void probe(Member& m) {
    if (!terms.probesAllowed || m.probeOut || leaving(m)) return;
    m.probeOut = true;
    m.probedAt = now;
    writer->probe(m.id);
  }

  // Held reads share probes: the two replicas thought to be furthest are asked first, the next two 25 ms
  // later if that was not enough, each replica once in 100 ms, about as often as nodes renew their reports.
  // What was known a second ago puts none before the others, and chance decides: else all routers, which know
  // as little, would ask the same two and crowd them.
  void probeForPosition(std::vector<Member*> asked, const Member* primary) {
    std::erase_if(asked, [&](const Member* m) {
      return m == primary || leaving(*m) || !well(*m) || now - m->probedAt < Span::millis(100);
    });
    std::shuffle(asked.begin(), asked.end(), chance);
    const auto lately = [&](const Member* m) { return std::max(m->position, now - Span::seconds(1)); };
    std::stable_sort(asked.begin(), asked.end(),
                     [&](const Member* a, const Member* b) { return lately(a) > lately(b); });
    for (std::size_t i = 0; i < asked.size() && i < 2; ++i) probe(*asked[i]);
  }

  void probeGroups(const std::map<GroupId, bool>& wantsPosition,
                   const std::map<GroupId, bool>& wantsPrimary) {
    const Span smallest = shortestBound();
    const bool toldUnasked = terms.positionsInAnswers || terms.reportsInAnswers;
    // Each member once in 150 ms while its group's primary is looked for, for up to 40 routers; more share.
    const Span lookAgain = Span::millis(150) * std::max(1.0, terms.routers / 40.0);
    for (auto& [id, group] : groups) {
      // Replicas' positions are kept within the bound, asked for once half of that is used up, while it costs
      // less than a probe for four txns: a router with few asks when a read needs it.
      const bool renew = !toldUnasked && group.taken >= group.members.size() * 4;
      const Member* primary = primaryOf(id);
      for (Member* m : group.members)
        if ((wantsPrimary.contains(id) && now - m->probedAt >= lookAgain) ||
            (renew && m != primary && now - m->position >= smallest * 0.5 &&
             now - m->probedAt >= smallest * 0.25))
          probe(*m), group.taken = 0;
      if (wantsPosition.contains(id) && now - group.askedAt >= Span::millis(25)) {
        group.askedAt = now;
        probeForPosition(group.members, primary);
      }
    }
  }

  // ---- the round

  void decide() {
    // Most value to be expected for work first: what is shed when there is not room for all is the least. As
    // odds fall with the wait, the newest of a type come first, and an overload makes few answers late.
    std::vector<std::pair<double, Live*>> order;
    for (auto& [id, txn] : live)
      if (!txn.streaming)
        order.emplace_back(typeOf(txn).value * hope(txn) / usual(txn.txn.type).inSeconds(), &txn);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
      return a.first != b.first ? a.first > b.first : a.second->takenAt < b.second->takenAt;
    });
    std::map<GroupId, bool> wantsPosition, wantsPrimary;
    bool held = false;
    for (auto& [value, txn] : order) {
      const auto id = txn->txn.id;
      // The last rounds before expiry: the final answer must be there in time.
      const double part = std::exchange(txn->weighed, true) ? 1 : partToSend(*txn);
      if (now + terms.roundLength * 2 >= txn->answerBy || (txn->out == 0 && hopeless(*txn)) ||
          (part < 1 && std::uniform_real_distribution<>(0, 1)(chance) > part)) {
        giveUp(*txn);
        live.erase(id);
        continue;
      }
      // A read whose node has been silent for long gets a second copy elsewhere, once.
      const bool copy = txn->out == 1 && terms.secondCopies && typeOf(*txn).effect == Effect::repeatable &&
                        now - txn->lastSentAt > patience(txn->txn.type) && txn->submissions == 1 &&
                        !hopeless(*txn);
      if (txn->out > 0 && !copy) continue;
      if (Member* to = place(*txn)) {
        if (!copy || !wasTried(*to, *txn)) submit(*txn, *to);
        continue;
      }
      if (copy) continue;
      held = true;
      const auto level = typeOf(*txn).level;
      const Member* primary = primaryOf(txn->txn.group);
      if (level == ReadLevel::session || level == ReadLevel::bounded) wantsPosition[txn->txn.group] = true;
      if (!primary || !well(*primary) || leaving(*primary)) wantsPrimary[txn->txn.group] = true;
    }
    probeGroups(wantsPosition, wantsPrimary);
    // Anything held is looked at every round; what is out, often enough to answer in time.
    const Span next = held ? terms.roundLength : terms.roundLength * 4;
    if (!live.empty() && (wakeAt <= now || wakeAt > now + next)) {
      wakeAt = now + next;
      wakePending = true;
      writer->wakeAfter(next);
    }
  }

  void followList() {
    if (!terms.listMustBeAsked || following || now < askListAt) return;
    following = true;
    writer->followList();
  }

  // ---- what was learnt

  void learn(Member& m, const Standing& said, Instant at) {
    if (said.inHand && at > m.toldAt) m.inHand = *said.inHand, m.toldAt = at;
    if (said.role == Role::primary) m.primaryAt = std::max(m.primaryAt, at);
    if (said.role == Role::replica) m.replicaAt = std::max(m.replicaAt, at);
    if (said.position && *said.position >= m.position) {
      m.position = *said.position;
      m.lag = said.role == Role::primary ? Span() : now - m.position;
    }
  }

  // A report's age is not told, but its position dates it: a primary's is the time of the report, a replica's
  // is not later. Older reports than what is known already say nothing of the role.
  void learnReport(Member& m, const Standing& report) {
    if (!report.position) return;
    learn(m, report, std::min(*report.position, now));
  }

  void remember(SessionId session, Instant commit) {
    // Sessions read soon after they write: as many as come in minutes are enough.
    const std::size_t most = 20000;
    auto& last = commits[session];
    last = std::max(last, commit);
    commitOrder.emplace_back(session, commit);
    if (commitOrder.size() <= most) return;
    const auto [oldest, at] = commitOrder.front();
    commitOrder.pop_front();
    commitFloor = std::max(commitFloor, at);
    if (const auto found = commits.find(oldest); found != commits.end() && found->second <= at)
      commits.erase(found);
  }

  Instant targetOf(const Txn& txn) const {
    const auto found = txn.session ? commits.find(*txn.session) : commits.end();
    const Instant own = found != commits.end()    ? found->second
                        : terms.sessionAgeCarried ? Instant()
                                                  : commitFloor;
    if (!terms.sessionAgeCarried || !txn.writeAge) return own;
    if (*txn.writeAge == Span()) return Instant();
    const Instant carried = now - *txn.writeAge + Span::millis(1);
    // The position our own write returned, if that was the session's last one; else what the carried age
    // says.
    return own + terms.roundLength >= carried ? std::min(own, carried) : carried;
  }
};

Router::Router(Terms terms, std::uint64_t seed) : state_(std::make_unique<State>()) {
  state_->terms = std::move(terms);
  state_->latencies.resize(state_->terms.types.size());
  state_->figuresNow.resize(state_->terms.types.size());
  state_->chance.seed(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32)));
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::round(Instant now, Feed& feed, Writer& writer) {
  state_->now = now;
  state_->writer = &writer;
  // A round that comes long after the wake that was asked for: the router itself has been held up. What it
  // measures in it is its own delay; of the nodes it says nothing. Guards against pauses of the process or
  // its machine.
  state_->stalled =
      state_->wakeAt != Instant() && state_->wakePending && now - state_->wakeAt > Span::millis(50);
  if (state_->stalled)
    for (auto& [id, m] : state_->members) m.heardAt = now;
  feed.deliver(*this);
  state_->followList();
  state_->decide();
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
      s.groups[entry.group].members.push_back(&m);
    }
    m.sameZone = entry.sameZone;
    m.kind = entry.kind;
    s.kinds.try_emplace(entry.kind);
    m.health = entry.health;
    if (entry.health == Health::draining) m.seenDraining = true;
    if (entry.startedAt > m.startedAt) {
      if (!isNew) {  // it started again: cold, and a replica until it says otherwise
        m.successes.clear();
        m.answers.clear();
        m.replicaAt = std::max(m.replicaAt, entry.startedAt);
      }
      m.seenDraining = entry.health == Health::draining;
      m.startedAt = entry.startedAt;
    }
    m.listedPrimary = entry.primary;
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
  taken.firstAt = s.now - std::max(s.waitedBefore(txn), s.waitedHere(txn));
  taken.slaBy = taken.firstAt + std::min(sla, type.expiry);
  if (type.level == ReadLevel::session) taken.target = s.targetOf(txn);
  keepLast(s.arrivals, {s.now, s.usual(txn.type).inSeconds()}, 64);
  ++s.groups[txn.group].taken;
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
  const auto at = s.members.find(node);
  Out out{id, submission, 0, s.now, {}};
  if (at != s.members.end()) {
    Member& m = at->second;
    for (auto o = m.outs.begin(); o != m.outs.end(); ++o)
      if (o->txn == id && o->number == submission) {
        out = *o;
        m.outs.erase(o);
        break;
      }
    if (how == End::committed || how == End::error || how == End::turnedAway || how == End::notHere)
      m.heardAt = s.now;
    Standing said = answer;
    // A write's commit is rounded up to the next millisecond; what is known to be applied is rounded down.
    if (said.position && how == End::committed && s.terms.types[out.type].level == ReadLevel::write)
      said.position = *said.position - Span::millis(1);
    s.learn(m, said, s.now);
    s.learnReport(m, report);
    // A node that guards itself and answers a read has what the read needed.
    if (how == End::turnedAway) m.fullAt = s.now;
    const TxnType& type = s.terms.types[out.type];
    if ((how == End::committed || how == End::turnedAway) && !s.stalled && type.level < ReadLevel::fresh)
      keepLast(s.groups[m.group].strains, {s.now, how == End::committed ? latency / type.slaTime : 1}, 16);
    if (how == End::notHere && s.terms.types[out.type].level != ReadLevel::write) m.behindAt = s.now;
    if (how == End::committed && s.terms.nodesGuard) m.position = std::max(m.position, out.target);
    if (how == End::committed && !s.stalled) {
      const Span usual = s.usual(out.type);
      if (!s.latencies[out.type].empty() && s.outdated(out.type)) s.latencies[out.type].clear();
      keepLast(s.latencies[out.type], Took{s.now, latency}, 32);
      keepLast(m.answers, Sample{s.now, latency / usual}, 16);
      keepLast(s.kinds[m.kind], latency / usual, 64);
      keepLast(s.times, latency, 64);
    }
    // Called off after a long wait is no answer either: else a node that answers nothing, or only what nobody
    // waits for any more, is never found out, as its txns are answered elsewhere or given up first.
    const bool calledOffLate = how == End::calledOff && s.now - out.sentAt > s.usual(out.type) * 3;
    if (how == End::committed && m.triedAt >= out.sentAt) m.successes.clear();  // the trial went well
    const bool judged = calledOffLate || (how != End::calledOff && how != End::notSent &&
                                          how != End::notHere && how != End::error);
    if (judged && (!s.stalled || how == End::committed)) keepLast(m.successes, how == End::committed, 8);
    if (how == End::committed) m.errorsInARow = 0;
    if (how == End::error) s.erred(m, found == s.live.end() ? nullptr : &found->second);
  }
  if (found == s.live.end()) return;
  Live& txn = found->second;
  if (txn.out > 0) --txn.out;
  const bool ran =
      how == End::error || how == End::noAnswer || how == End::connectionLost || how == End::calledOff;
  if (ran && txn.mayHaveRunAt == Instant()) txn.mayHaveRunAt = out.sentAt;
  if (how == End::committed) {
    const auto level = s.typeOf(txn).level;
    if (level == ReadLevel::write && txn.txn.session)
      s.remember(*txn.txn.session, answer.position.value_or(s.now));
    if (txn.erredAt && txn.erredAt->id != node) {
      keepLast(s.secondLuck, true, 8);
      keepLast(txn.erredAt->successes, false, 8);
    }
  }
  if (txnOver || how == End::committed) {
    s.callOffAll(txn);
    s.live.erase(found);
  }
}

void Router::probed(const NodeId& node, End how, const Standing& report) {
  auto& s = *state_;
  const auto at = s.members.find(node);
  if (at == s.members.end()) return;
  at->second.probeOut = false;
  if (how == End::committed) s.learnReport(at->second, report);
}

void Router::woken() {
  if (state_->now >= state_->wakeAt) state_->wakePending = false;
}

}  // namespace gulltrestle
