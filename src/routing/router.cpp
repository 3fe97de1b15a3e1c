// The decision module of gulltrestle: every decision, table and tuned value of a router stands here. A front
// calls round(now, feed, writer) once for all that came in: the feed notes what was learnt, then what waits
// is placed, in order of value for work. DecisionSink::wakeAfter asks for the next round.
//
// The ordinary path (docs/design.md): among the replicas whose known position has reached a read's target one
// is drawn at random, weight falling with smoothed latency x (1 + in flight). With none, the read is held
// while the group is probed, then goes to the primary. Writes and fresh reads go to the known primary.

#include "routing/router.h"

#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "base/samples.h"

namespace gulltrestle {

namespace {

// What some samples say is over: after 2 s, as long as a queue takes to go.
bool outdated(const Samples& samples, Instant now) {
  return samples.empty() || now - samples.back().at > Duration::seconds(2);
}

// What has left, and what was committed, is over after this: no txn, wrong list or lag lasts so long.
constexpr Duration kForgetAfter = Duration::seconds(60);

struct Out {  // an attempt that is still out
  TxnId txn;
  unsigned number;
  std::size_t type;
  Instant sentAt;
  Instant target;  // the position its answer needs; never: any
  std::optional<SessionId> session;
};

struct Member {
  EndpointEntry listed;  // the list's last word; startedAt is the latest that it ever said
  Instant namedAt;       // when a list last named it as live or draining
  bool seenDraining = false, probeOut = false;
  Instant position;              // all commits up to here are known to be applied
  Duration lag;                  // how far that was behind when it was told
  Instant primaryAt, replicaAt;  // the last moments at which it is known to have been one
  Instant heardAt, probedAt;
  Instant toldAt;  // when it last told how many txns it has in hand
  double inHand = 0;
  Instant fullAt, behindAt;     // when it last turned a txn away unseen; a read, for being too far behind
  Instant overtookAt, triedAt;  // when the last it answered was sent; when it was last tried while unwell
  Instant failedAt;             // when an attempt to it last failed
  Instant coldUntil;            // while cold, it gets its next txn after this
  Samples answers;              // latencies as multiples of what is usual for the txn type
  std::deque<bool> successes;
  unsigned errorsInARow = 0;
  std::vector<Out> outs;
};

struct Group {
  std::vector<Member*> members;
  Instant askedAt;                  // when its replicas were last probed for held reads
  DegradationRules level, below;    // of service, and what a level less would be
  double trial = 0;                 // the part of txns that is judged by the latter
  Samples strains, primaryStrains;  // the last latencies of its replicas, its primary, by latency target
};

struct Live {  // a txn that is owed its final answer
  Transaction txn;
  Instant takenAt, firstAt;  // firstAt: when its client's first try came, as far as can be told
  Instant latencyTargetBy, answerBy;
  Instant target;  // session reads: what the answering member must have applied
  unsigned attempts = 0, out = 0;
  Instant lastSentAt;
  Instant mayHaveRunAt;  // when the first attempt that may have run was sent; never: none may have
  std::vector<const Member*> tried;
  Member* erredAt = nullptr;                // where it got an error, while it is not known whose the error is
  bool streaming = false, weighed = false;  // weighed: whether it may be sent, where its group is short
};

struct GivenUp {  // a session's txn that got no result
  SessionId session;
  std::size_t type;
  Instant firstAt, at;
};

}  // namespace

struct Router::State {
  RoutingConfig terms;
  std::knuth_b chance;
  Instant now;
  DecisionSink* writer = nullptr;
  Duration shortestLatencyTarget;
  Duration shortestBound =
      Duration::seconds(2);  // where no type has one: sessions read soon after they write
  std::map<NodeId, Member> members;
  std::map<GroupId, Group> groups;
  Group noGroup;  // stands for those that no member is in
  std::map<TxnId, Live> live;
  std::vector<Samples> latencies;        // a row a txn type: the last few, over all members
  mutable std::vector<Duration> usuals;  // their medians, once worked out in this round
  Samples times;                         // the last latencies of all txn types
  std::map<KindId, Samples> kinds;       // the last answers of each kind, as those of members
  Samples arrivals;                      // the last few txns taken and the time they usually take
  std::deque<bool> secondLuck;           // of the last txns that erred: another node committed them
  std::deque<GivenUp> givenUp;           // the last few
  std::deque<std::pair<double, bool>>
      patiences;                         // the last, as shares of the deadline; whether others had it
  std::map<SessionId, Instant> commits;  // the last write of a session that was committed here
  std::deque<std::pair<SessionId, Instant>> remembered;  // all of them, oldest first
  Instant commitFloor;            // the newest commit among sessions no longer remembered
  std::deque<double> reportAges;  // how far the last reports' positions were behind
  Samples told;                   // the last that members told of txns in hand
  Instant wakeAt, askListAt;
  bool stalled = false;  // this round comes late

  // Clients may name any group: only the list makes one.
  Group& groupOf(GroupId id) {
    const auto found = groups.find(id);
    return found == groups.end() ? noGroup : found->second;
  }
  const TransactionClass& typeOf(const Live& txn) const { return terms.transactionClasses[txn.txn.type]; }
  double draw01() { return std::uniform_real_distribution<>(0, 1)(chance); }

  // The median of a type's last latencies; the lower quarter of old ones; before any a fifth of the latency
  // target.
  Duration usual(std::size_t type) const {
    const auto& last = latencies[type];
    if (last.empty()) return terms.transactionClasses[type].latencyTarget * 0.2;
    Duration& known = usuals[type];
    if (known == Duration())
      known = std::max(Duration::seconds(quantile(last, outdated(last, now) ? 4 : 2)), Duration::millis(1));
    return known;
  }

  // Times that were tuned where the shortest latency target is 200 ms or more; where txns are quicker, all
  // is.
  Duration paced(std::int64_t millis) const {
    return Duration::millis(millis) * std::min(1.0, shortestLatencyTarget / Duration::millis(200));
  }

  // How long an attempt may be out before its silence counts: six times the usual, as service times spread
  // widely; 200 ms at least, so that a few quick answers don't make it nervous.
  Duration patience(std::size_t type) const { return std::max(usual(type) * 6, paced(200)); }

  // The part of the last attempts that were answered within `left`, and one more, so that few leave hope.
  double chanceWithin(std::size_t type, Duration left) const {
    if (left <= Duration()) return 0;
    const auto& last = latencies[type];
    if (outdated(last, now)) return 1;
    const auto quick =
        std::count_if(last.begin(), last.end(), [&](auto& took) { return took.value <= left.inSeconds(); });
    return static_cast<double>(quick + 1) / static_cast<double>(last.size() + 1);
  }

  // How long a txn's client has waited in earlier tries. Its latency target runs from the first; tries that
  // come when that is past earn nothing, and crowd out others in an overload. A session that asks for the
  // same within a second of being given up comes back, unless the first try has expired: it asks anew. Else,
  // first tries of all types are given up after one share of the deadline, common among the last few (a sixth
  // of them within 1%); a later one has what the deadline leaves, which dates it. May hurt the few whose
  // patience is their own.
  Duration waitedBefore(const Transaction& txn) {
    const Duration deadline = terms.transactionClasses[txn.type].deadline;
    const auto same = std::find_if(givenUp.rbegin(), givenUp.rend(), [&](const GivenUp& g) {
      return txn.session == g.session && txn.type == g.type && now - g.at < Duration::seconds(1) &&
             now - g.firstAt < deadline;
    });
    if (same != givenUp.rend()) {
      const Duration waited = now - same->firstAt;
      givenUp.erase(std::next(same).base());
      return waited;
    }
    const double share = txn.remainingTime / deadline;
    const auto near = std::count_if(patiences.begin(), patiences.end(),
                                    [&](auto& p) { return std::abs(p.first - share) < 0.01; });
    const bool common = near * 6 >= std::ssize(patiences);
    pushBounded(patiences, {share, common}, 64);
    const auto usual = std::count_if(patiences.begin(), patiences.end(), [](auto& p) { return p.second; });
    const bool dated = !common && patiences.size() >= 16 && usual * 4 >= std::ssize(patiences);
    return dated ? deadline - txn.remainingTime : Duration();
  }

  // Own ones, but for once-only txns left behind where each has a connection: what was sent long after has
  // been answered. Guards places against silent connections; may hurt where it is the work that takes long.
  double inFlight(const Member& m) const {
    return static_cast<double>(std::count_if(m.outs.begin(), m.outs.end(), [&](const Out& out) {
      const bool stays =
          terms.connectionPerAttempt && terms.transactionClasses[out.type].effect == Effect::atMostOnce;
      return !stays || m.overtookAt - out.sentAt <= patience(out.type);
    }));
  }

  // Txns in flight to a member. Own ones are next to nothing at one of many routers: what members tell counts
  // where it is more, turning into the mean of what all told within 2 s. Not asked is not idle.
  double load(const Member& m) const {
    const double others = outdated(told, now) ? 0 : mean(told);
    const double fresh = std::max(0.0, 1 - (now - m.toldAt).inSeconds() / 2);
    return std::max(others + (m.inHand - others) * fresh, inFlight(m));
  }

  // The mean of the member's last answers, and of four that are as usual for its kind: it may have next to
  // none.
  double smoothed(const Member& m) const {
    const auto& alike = kinds.at(m.listed.kind);
    return std::max(
        (sum(m.answers) + 4 * (alike.empty() ? 1 : mean(alike))) / static_cast<double>(m.answers.size() + 4),
        0.1);
  }

  bool leaving(const Member& m) const {
    return terms.onlyDrainingExcludes ? m.seenDraining : m.listed.health != Health::live;
  }

  // A hung node looks idle: it takes attempts and answers none. Guards against every kind of silence
  // (hang, cut link, a machine that is gone unsaid). May hurt when all of a node's few txns are long at once.
  bool silent(const Member& m) const {
    if (m.outs.empty()) return false;
    const Duration wait = patience(m.outs.front().type);
    return now - m.outs.front().sentAt > wait && now - m.heardAt > wait;
  }

  // Judged by the successes among its last few outcomes: half must be, once there are three.
  bool well(const Member& m) const {
    return !silent(m) && (m.successes.size() < 3 || fractionTrue(m.successes) >= 0.5);
  }

  double warmth(const Member& m) const {
    if (m.listed.startedAt == Instant() || now - m.listed.startedAt >= terms.slowStartWindow) return 1;
    return terms.slowStartFraction +
           (1 - terms.slowStartFraction) * std::max(0.0, (now - m.listed.startedAt) / terms.slowStartWindow);
  }

  // How long until a cold member may get its next txn: it gets its warm share of what this router would send
  // each if all that came in lately went round. Over all routers, however unequal, that is far from too much.
  Duration coldGap(const Member& m, std::size_t type) const {
    const Duration over = std::max(now - arrivals.front().at, Duration::millis(1));
    const double each = sum(arrivals) * warmth(m) / static_cast<double>(members.size());
    return over * (usual(type).inSeconds() / each);
  }

  // The first waits for a part of that by chance, as all routers hear of a start at once, and for eight txns
  // to tell a share from. Guards what starts, one or a whole group; may hurt where nodes warm early.
  bool coldRoom(Member& m, std::size_t type) {
    if (warmth(m) >= 1) return true;
    if (arrivals.size() < 8) return false;
    if (m.coldUntil < m.listed.startedAt) m.coldUntil = now + coldGap(m, type) * draw01();
    return now >= m.coldUntil;
  }

  // What may be in flight to a member: its rate of answers times the time a txn may spend there, a third of
  // the shortest latency target, as all types wait in one queue. Six over all routers at least, to measure a
  // rate.
  Duration timeThere() const { return shortestLatencyTarget * 0.35; }
  // What may stay `part` times as long has room for as many times the rate, but for three times the least at
  // most: ten times it is seconds of queue. Twice cost an overload 0.004, thrice nothing.
  double inFlightBound(const Member& m, double part) const {
    const double floor = std::max(1.0, 6.0 / terms.routerCount) * std::min(part, 3.0);
    if (m.answers.size() < 4) return floor;
    const double rate = static_cast<double>(m.answers.size()) / (now - m.answers.front().at).inSeconds();
    return std::max(floor, rate * timeThere().inSeconds() * part);
  }

  bool oneOfMany() const {
    return terms.routerCount > 12;
  }  // one in flight each: twice the least that is meant

  // The same over all routers, where members tell what they have in hand: their rate is that over the time it
  // takes (Little's law). Guards against a node in more demand than others; may hurt when reports are late.
  bool crowded(const Member& m) const {
    if (!oneOfMany() || outdated(told, now) || times.size() < 8) return false;
    return load(m) > std::max({1.0, mean(told), mean(told) / mean(times) * timeThere().inSeconds()});
  }

  // The last latencies at a group or a primary, as a part of the latency target; 0 where they are few or old.
  double strain(const Samples& last) const {
    return !oneOfMany() || last.size() < 3 || outdated(last, now) ? 0 : quantile(last, 2);
  }

  // One of many routers has none or one in flight to a member, so its own bound never binds. It keeps to a
  // part of one by chance, sending on the part of a group's reads that brings latency down to the time a txn
  // may spend there. Guards a group asked for more than it can serve; may hurt where slowness is no queue.
  // Where levels say what is refused it is the second half of what they do, from the first level on: one of
  // many routers sees room at a node that all others see, too.
  bool shed(const Live& txn) {
    if (terms.degradationEnabled && refusedByLevel(txn)) return true;
    if (terms.degradationEnabled && groupOf(txn.txn.group).level.admission.empty()) return false;
    const double strained =
        typeOf(txn).level < ReadLevel::linearizable ? strain(groupOf(txn.txn.group).strains) : 0;
    return strained > 0.35 && draw01() > 0.35 / strained;
  }

  bool refusedByLevel(const Live& txn) {
    Group& group = groupOf(txn.txn.group);
    const DegradationRules& level = group.trial > 0 && draw01() < group.trial ? group.below : group.level;
    const AdmissionPolicy admit =
        level.admission.empty() ? AdmissionPolicy::all : level.admission[txn.txn.type];
    if (admit == AdmissionPolicy::all || admit == AdmissionPolicy::none)
      return admit == AdmissionPolicy::none;
    const double part = admit == AdmissionPolicy::withReadyReplica ? 1 : 0.5;
    const Member* primary = primaryOf(txn.txn.group);
    return std::none_of(group.members.begin(), group.members.end(), [&](Member* m) {
      return m != primary && m->position >= targetNow(txn) && usable(*m, txn, part);
    });
  }

  bool hasRoom(Member& m, const Live& txn, double part = 1) {
    // Of few routers each leaves half the room of a replica on its way out of the bound, to apply the log.
    if (!oneOfMany() && m.lag > shortestBound * 0.33 && m.lag < shortestBound * 1.2) part *= 0.5;
    if (leaving(m) || inFlight(m) >= inFlightBound(m, part)) return false;
    // One that was full rests for a quarter of a second: what it rejects takes work, too.
    return now - m.fullAt >= paced(250) && !crowded(m) && coldRoom(m, txn.txn.type);
  }

  bool usable(Member& m, const Live& txn, double part = 1) {
    if (!hasRoom(m, txn, part)) return false;
    // An unwell node gets a trial with a repeatable read, four a second over all routers: it may be full.
    // With any other txn once a second: where no read comes to a primary, it would be left for ever.
    const bool mayFail =
        typeOf(txn).effect == Effect::idempotent && typeOf(txn).level < ReadLevel::linearizable;
    if (well(m) || (silent(m) && !mayFail)) return well(m);
    const Instant last = mayFail ? m.triedAt : std::max(m.triedAt, m.failedAt);
    return now - last > paced(mayFail ? 250 : 1000) * terms.routerCount;
  }

  // The member last known to be primary and not leaving. Without any, the list's word, which is late.
  Member* primaryOf(GroupId group) {
    Member *best = nullptr, *listed = nullptr;
    for (Member* m : groupOf(group).members) {
      if (leaving(*m)) continue;
      if (m->primaryAt > m->replicaAt && (!best || m->primaryAt > best->primaryAt)) best = m;
      if (m->listed.primary && m->replicaAt == Instant()) listed = m;
    }
    return best ? best : listed;
  }

  // A bounded read's target moves on while it travels: one round is left in hand.
  Instant targetNow(const Live& txn) const {
    const TransactionClass& type = typeOf(txn);
    return type.level == ReadLevel::bounded ? now - type.maxStaleness + terms.roundInterval : txn.target;
  }

  bool wasTried(const Member& m, const Live& txn) const {
    return std::find(txn.tried.begin(), txn.tried.end(), &m) != txn.tried.end();
  }

  // Draws among the replicas known to have reached the target; if unsure, also among those that may have, but
  // not for half a second after one turned a read away: it catches up no faster.
  Member* draw(const Live& txn, const Member* primary, bool unsure) {
    // An any read whose latency target is four times the shortest takes long, and is put where it keeps
    // nothing fresh from being applied: on replicas that told they are behind the bound, else on the first by
    // id, as all routers do; on one more for each third of its latency target that it takes. May hurt by
    // filling it.
    const TransactionClass& type = typeOf(txn);
    const bool longRead = type.level == ReadLevel::any && type.latencyTarget >= shortestLatencyTarget * 4;
    const double part = longRead ? type.latencyTarget / shortestLatencyTarget : 1;
    std::vector<Member*> able;
    std::vector<double> weights;
    for (const bool again : {false, true}) {
      for (Member* m : groupOf(txn.txn.group).members) {
        if (m == primary || (wasTried(*m, txn) && !again) || !usable(*m, txn, part)) continue;
        if (m->position < targetNow(txn) && (!unsure || now - m->behindAt < paced(500))) continue;
        able.push_back(m);
        const double zone = m->listed.sameZone ? 1 : std::max(0.01, 1 - terms.crossZoneCost * 10);
        weights.push_back(warmth(*m) * zone / (smoothed(*m) * (1 + load(*m))));
      }
      if (!able.empty()) break;
    }
    if (able.empty()) return nullptr;
    if (longRead) {
      std::stable_partition(able.begin(), able.end(), [&](auto* m) { return m->lag > shortestBound; });
      const double used = 1 + usual(txn.txn.type) / (type.latencyTarget * 0.35);
      for (std::size_t i = 0; i < able.size(); ++i) weights[i] = static_cast<double>(i) + 1 <= used;
    }
    Member* m = able[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(chance)];
    // Any reads bring no news by themselves: one of many routers asks, lest all feed a queue that is full.
    if (oneOfMany() && !told.empty() && now - std::max(m->toldAt, m->probedAt) > shared(1000)) probe(*m);
    return m;
  }

  Member* place(const Live& txn) {
    Member* primary = primaryOf(txn.txn.group);
    if (typeOf(txn).level >= ReadLevel::linearizable)
      return primary && usable(*primary, txn) ? primary : searched(txn, primary);
    if (Member* replica = draw(txn, primary, false)) return replica;
    // Held for a third of the latency target, so that the primary has time to answer; it keeps room for its
    // writes.
    if (now < holdEnd(txn)) return nullptr;
    // Each of many routers sees room there: none goes while the last took a quarter of their latency target.
    const bool strained = strain(groupOf(txn.txn.group).primaryStrains) > 0.25;
    if (primary && !strained && !wasTried(*primary, txn) && usable(*primary, txn, 0.6)) return primary;
    // Where nodes reject what they are too far behind for, a replica of unknown position may be asked all
    // the same. Guards against news that come late or never; may hurt when all really are behind.
    return terms.nodesRejectStaleReads ? draw(txn, primary, true) : nullptr;
  }

  // Where no probes are allowed and no primary is known to be well, writes look for it: a replica turns them
  // away untouched, and tells what it is. The one that was asked longest ago comes first. Guards against a
  // change of primary that no list tells, after which nothing at all would be sent; may hurt a write that has
  // few attempts.
  Member* searched(const Live& txn, const Member* primary) {
    if (terms.healthChecksAllowed || typeOf(txn).level != ReadLevel::write) return nullptr;
    // While one is known that is not well, only by an attempt that is to spare.
    const bool spare = txn.attempts + txn.txn.priorAttempts.attempts + 1 < terms.maxAttempts;
    if (primary && (well(*primary) || !spare)) return nullptr;
    auto asked = groupOf(txn.txn.group).members;
    std::erase_if(asked, [&](Member* m) { return wasTried(*m, txn) || !searchDue(*m) || !hasRoom(*m, txn); });
    if (asked.empty()) return nullptr;
    std::shuffle(asked.begin(), asked.end(), chance);
    Member* m = *std::min_element(asked.begin(), asked.end(),
                                  [](auto* a, auto* b) { return a->probedAt < b->probedAt; });
    m->probedAt = now;
    return m;
  }

  Instant holdEnd(const Live& txn) const { return txn.takenAt + typeOf(txn).latencyTarget * 0.35; }

  void submit(Live& txn, Member& m) {
    if (!well(m)) m.triedAt = now;
    if (warmth(m) < 1) m.coldUntil = now + coldGap(m, txn.txn.type);
    m.outs.push_back({txn.txn.id, txn.attempts++, txn.txn.type, now, targetNow(txn), txn.txn.session});
    ++txn.out;
    txn.lastSentAt = now;
    txn.tried.push_back(&m);
    // A bounded read may wait for a connection, but not until what its replica has falls out of the bound.
    const bool ages = typeOf(txn).level == ReadLevel::bounded && m.position >= targetNow(txn);
    Instant sendBy = ages ? std::min(txn.answerBy, m.position + typeOf(txn).maxStaleness) : txn.answerBy;
    // Nor may a repeat, once its first is forgotten.
    if (typeOf(txn).effect == Effect::deduplicated && txn.mayHaveRunAt != Instant())
      sendBy = std::min(sendBy, repeatBy(txn));
    writer->sendAttempt(txn.txn.id, m.listed.node, sendBy, txn.answerBy);
  }

  void giveUp(const Live& txn) {
    if (txn.txn.session && !txn.erredAt)
      pushBounded(givenUp, {*txn.txn.session, txn.txn.type, txn.firstAt, now}, 256);
    const auto& type = typeOf(txn);
    const bool neverRan = txn.out == 0 && txn.mayHaveRunAt == Instant();
    const bool harmless = type.effect == Effect::deduplicated && type.deduplicatesAcrossGroups;
    if (type.effect == Effect::idempotent || neverRan || harmless)
      writer->reject(txn.txn.id, terms.retryAfterAllowed ? terms.maxRetryAfter * 0.5 : Duration());
    else
      writer->rollBack(txn.txn.id);
    cancelAll(txn);
    live.erase(TxnId(txn.txn.id));
  }

  void cancelAll(const Live& txn) {
    if (!terms.cancelAllowed || typeOf(txn).effect != Effect::idempotent || txn.out == 0) return;
    for (const Member* m : groupOf(txn.txn.group).members)
      for (const Out& out : m->outs)
        if (out.txn == txn.txn.id) writer->cancel(out.txn, out.number);
  }

  // Whether errors are the txns' own and come again elsewhere. Guards against txns that can only err. May
  // hurt when nodes err at random: one in eight is still sent again, and all after a node's third in a row.
  bool errorsStick() const { return secondLuck.size() >= 4 && fractionTrue(secondLuck) <= 0.25; }

  // Held against a node once another committed the txn, or where none may be asked and errors don't stick.
  void erred(Member& m, Live* txn) {
    ++m.errorsInARow;
    if (txn && txn->erredAt) {
      if (txn->erredAt != &m) pushBounded(secondLuck, false, 8);
      txn->attempts = terms.maxAttempts;
    } else if (txn && typeOf(*txn).effect != Effect::atMostOnce) {
      txn->erredAt = &m;
      if (errorsStick() && m.errorsInARow < 3 && draw01() > 0.125) txn->attempts = terms.maxAttempts;
    } else if (!errorsStick() || m.errorsInARow >= 8) {
      pushBounded(m.successes, false, 8);
    }
  }

  // A repeat is known for a window from the first send on; on its way it gets older: two rounds are left in
  // hand.
  Instant repeatBy(const Live& txn) const {
    return txn.mayHaveRunAt + typeOf(txn).deduplicationWindow - terms.roundInterval * 2;
  }

  bool maySend(const Live& txn) const {
    const TransactionClass& type = typeOf(txn);
    const bool again = txn.mayHaveRunAt == Instant() || type.effect == Effect::idempotent ||
                       (type.effect == Effect::deduplicated && now < repeatBy(txn));
    const unsigned earlier = txn.txn.priorAttempts.attempts, mostHere = txn.txn.maxLocalAttempts;
    return again && txn.attempts + earlier < terms.maxAttempts && (mostHere == 0 || txn.attempts < mostHere);
  }

  // The part of its value that a txn can be expected to earn if it is sent now.
  double hope(const Live& txn) const {
    const double inTime = chanceWithin(txn.txn.type, txn.latencyTargetBy - now);
    const double late = chanceWithin(txn.txn.type, txn.answerBy - now) - inTime;
    return inTime + std::max(0.0, late) * typeOf(txn).lateValueFraction;
  }

  // Held with hardly a chance left to earn anything. A fifth: what is sent at worse odds is mostly wasted.
  bool hopeless(const Live& txn) const { return !maySend(txn) || hope(txn) < 0.2; }

  void probe(Member& m) {
    if (!terms.healthChecksAllowed || m.probeOut || leaving(m)) return;
    m.probeOut = true;
    m.probedAt = now;
    writer->sendHealthCheck(m.listed.node);
  }

  // What each of many routers asks of nodes for itself is spaced by their number beyond a dozen.
  Duration shared(std::int64_t millis) const {
    return paced(millis) * std::max(1.0, terms.routerCount / 12.0);
  }

  // While the primary is looked for each member is asked once in 150 ms, as far as routers share it.
  bool searchDue(const Member& m) const { return now - m.probedAt >= shared(150); }

  // Held reads share probes: the two replicas that were furthest within the last second are asked first, the
  // next two 25 ms later, each once in 100 ms, about as often as reports are renewed. Chance decides between
  // equals: else all routers would ask, and crowd, the same two.
  void probeForPosition(Group& group, const Member* primary) {
    if (now - group.askedAt < shared(25) * (group.level.limitsBackgroundWork ? 2 : 1)) return;
    group.askedAt = now;
    auto asked = group.members;
    std::erase_if(asked, [&](const Member* m) {
      return m == primary || leaving(*m) || !well(*m) || now - m->probedAt < shared(100);
    });
    std::shuffle(asked.begin(), asked.end(), chance);
    const auto lately = [&](const Member* m) { return std::max(m->position, now - Duration::seconds(1)); };
    std::stable_sort(asked.begin(), asked.end(), [&](auto* a, auto* b) { return lately(a) > lately(b); });
    for (std::size_t i = 0; i < asked.size() && i < 2; ++i) probe(*asked[i]);
  }

  // Where clients have connections for so many open txns: held for a primary that is there and slow, half of
  // the txn's time is over, and the queue ahead takes half of the rest. Guards all others against the room
  // that such a queue takes. May hurt where a slow primary is about to recover.
  bool queuesTooLong(const Live& txn, std::map<GroupId, std::size_t>& ahead) {
    const Member* primary = typeOf(txn).level < ReadLevel::linearizable ? nullptr : primaryOf(txn.txn.group);
    if (!primary || terms.maxOpenTransactions == 0 || txn.out > 0 || !well(*primary)) return false;
    const Duration each = usual(txn.txn.type) * (smoothed(*primary) / inFlightBound(*primary, 1));
    const Duration queue = each * static_cast<double>(ahead[txn.txn.group]++);
    return queue > (txn.answerBy - now) * 0.5 &&
           now + terms.roundInterval * 4 >= txn.takenAt + txn.txn.remainingTime * 0.5;
  }

  // There, too: beyond three quarters of that room what is held goes, what earns least for the time it may
  // stay first. Guards against whatever holds txns for long; may hurt where that is about to be over.
  void makeRoom() {
    if (terms.maxOpenTransactions == 0 || live.size() * 4 <= terms.maxOpenTransactions * 3) return;
    std::vector<std::pair<double, TxnId>> held;
    for (const auto& [id, txn] : live)
      if (txn.out == 0)
        held.emplace_back(typeOf(txn).priorityWeight * hope(txn) / (txn.answerBy - now).inSeconds(), id);
    std::sort(held.begin(), held.end());
    for (std::size_t i = 0; i < held.size() && live.size() * 4 > terms.maxOpenTransactions * 3; ++i)
      giveUp(live.at(held[i].second));
  }

  void decide() {
    // Most value to be expected for work first: what is shed is the least. As odds fall with the wait, the
    // newest of a type come first, and an overload makes few answers late.
    std::vector<std::pair<double, Live*>> order;
    for (auto& [id, txn] : live) {
      if (txn.streaming) continue;
      const bool waits = txn.out == 0 || now > txn.lastSentAt + patience(txn.txn.type);
      order.emplace_back(waits ? typeOf(txn).priorityWeight * hope(txn) / usual(txn.txn.type).inSeconds() : 0,
                         &txn);
    }
    std::stable_sort(order.begin(), order.end(), [](auto& a, auto& b) { return a.first > b.first; });
    std::map<GroupId, std::size_t> ahead;           // held for a group's primary, and to be sent before
    Instant next = now + terms.roundInterval * 10;  // at least: late rounds are told by the wake asked for
    for (auto& [value, txn] : order) {
      // The last rounds before deadline: the final answer must be there in time.
      const Duration hold = txn->txn.maxHold && txn->out == 0 ? *txn->txn.maxHold : txn->txn.remainingTime;
      const Instant last = std::min(txn->takenAt + hold, txn->answerBy) - terms.roundInterval * 2;
      const bool isNew = !std::exchange(txn->weighed, true);
      if (now >= last || (txn->out == 0 && hopeless(*txn)) || (isNew && shed(*txn)) ||
          queuesTooLong(*txn, ahead)) {
        giveUp(*txn);
        continue;
      }
      next = std::min(next, last);
      // A read whose node has been silent for long gets a hedge elsewhere, once.
      const Instant copyAt = txn->lastSentAt + patience(txn->txn.type);
      const bool mayCopy = txn->out == 1 && txn->attempts == 1 && terms.hedgingAllowed &&
                           !groupOf(txn->txn.group).level.limitsBackgroundWork &&
                           typeOf(*txn).effect == Effect::idempotent && !hopeless(*txn);
      if (mayCopy && now <= copyAt) next = std::min(next, copyAt + terms.roundInterval);
      if (txn->out > 0 && (!mayCopy || now <= copyAt)) continue;
      Member* to = place(*txn);
      if (to && (txn->out == 0 || !wasTried(*to, *txn))) submit(*txn, *to);
      if (to || txn->out > 0) continue;
      // What is held is looked at again soon: room may come without a word.
      next =
          std::min({next, now + terms.roundInterval * 4, std::max(holdEnd(*txn), now + terms.roundInterval)});
      const auto level = typeOf(*txn).level;
      Group& group = groupOf(txn->txn.group);
      const Member* primary = primaryOf(txn->txn.group);
      if (level == ReadLevel::session || level == ReadLevel::bounded) probeForPosition(group, primary);
      if (primary && well(*primary)) continue;
      for (Member* m : group.members)
        if (searchDue(*m)) probe(*m);
    }
    makeRoom();
    if (live.empty() || (wakeAt > now && wakeAt <= next)) return;
    wakeAt = next;
    writer->wakeAfter(next - now);
  }

  void learn(Member& m, const LoadReport& said, Instant at, Duration roundedUp = Duration()) {
    if (said.role == Role::primary) m.primaryAt = std::max(m.primaryAt, at);
    if (said.role == Role::replica) m.replicaAt = std::max(m.replicaAt, at);
    if (!said.position || *said.position - roundedUp < m.position) return;
    if (*said.position > now + Duration::seconds(1)) return;  // one clock serves all: none can be ahead of it
    m.position = *said.position - roundedUp;
    m.lag = said.role == Role::primary ? Duration() : now - m.position;
  }

  // A report's position dates its word on the role: a primary's is the time of the report, others are older.
  void learnReport(Member& m, const LoadReport& report) {
    if (!report.position) return;
    learn(m, report, std::min(*report.position, now));
    if (!report.inFlight) return;
    // Reports are about as old as the newest position among the last of them: one member or other keeps up.
    pushBounded(reportAges, (now - *report.position).inSeconds(), 16);
    m.inHand = *report.inFlight;
    m.toldAt = now - Duration::seconds(*std::min_element(reportAges.begin(), reportAges.end()));
    pushBounded(told, {m.toldAt, m.inHand}, 32);
  }

  // A session's commit is kept for a minute, and of 20,000 at most; then it is the floor for all sessions.
  void remember(SessionId session, Instant commit) {
    Instant& last = commits[session];
    last = std::max(last, commit);
    remembered.emplace_back(session, last);
    // A node may date a commit by a clock that is minutes behind: it is older than all from the start.
    while (remembered.size() > 20000 ||
           (!remembered.empty() && now - remembered.front().second > kForgetAfter)) {
      const auto [id, at] = remembered.front();
      remembered.pop_front();
      if (commits[id] > at) continue;  // it wrote again since
      commitFloor = std::max(commitFloor, at);
      commits.erase(id);
    }
  }

  // Guards against growing with every node that ever was: one that no list has named and that said nothing
  // for a minute is forgotten, unless an attempt is out there. May hurt one that drained and is back later.
  void forgetLongGone() {
    std::erase_if(members, [&](auto& entry) {
      const Member& m = entry.second;
      const bool old = now - std::max(m.namedAt, m.heardAt) > kForgetAfter;
      if (m.listed.health != Health::removed || !old || !m.outs.empty()) return false;
      for (auto& [id, txn] : live) {
        std::erase(txn.tried, &m);
        if (txn.erredAt == &m) txn.erredAt = nullptr;
      }
      std::erase(groupOf(m.listed.group).members, &m);
      writer->forgetNode(entry.first);
      return true;
    });
    std::erase_if(groups, [](auto& group) { return group.second.members.empty(); });
    std::set<KindId> used;
    for (const auto& [id, m] : members) used.insert(m.listed.kind);
    std::erase_if(kinds, [&](auto& kind) { return !used.contains(kind.first); });
  }

  // Whether a write of its session is out: it may have been committed, and its answer be lost on the way.
  // Guards the session against not seeing it; may hurt reads beside a write, which wait or go to the primary.
  bool writes(const Transaction& txn) {
    const auto& all = groupOf(txn.group).members;
    return txn.session && std::any_of(all.begin(), all.end(), [&](const Member* m) {
             return std::any_of(m->outs.begin(), m->outs.end(), [&](const Out& out) {
               return out.session == txn.session &&
                      terms.transactionClasses[out.type].level == ReadLevel::write;
             });
           });
  }

  Instant targetOf(const Transaction& txn) {
    const auto found = txn.session ? commits.find(*txn.session) : commits.end();
    const Instant own = found != commits.end() ? found->second : Instant();
    if (!terms.sessionAgeProvided || !txn.writeAge) return writes(txn) ? now : std::max(own, commitFloor);
    if (*txn.writeAge == Duration()) return Instant();
    // The position our own write returned, if that was the session's last one; else what the age says. A
    // write that another router took may have come within a round after our own: the age alone can tell.
    const Instant latest = now - *txn.writeAge;
    return own >= latest ? std::min(own, latest + Duration::millis(1)) : latest + Duration::millis(1);
  }
};

Router::Router(RoutingConfig terms, std::uint64_t seed) : state_(std::make_unique<State>()) {
  auto& s = *state_;
  s.terms = std::move(terms);
  s.latencies.resize(s.terms.transactionClasses.size());
  s.chance.seed(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32)));
  for (const auto& type : s.terms.transactionClasses) {
    s.shortestLatencyTarget = s.shortestLatencyTarget == Duration()
                                  ? type.latencyTarget
                                  : std::min(s.shortestLatencyTarget, type.latencyTarget);
    if (type.level == ReadLevel::bounded) s.shortestBound = std::min(s.shortestBound, type.maxStaleness);
  }
}
Router::~Router() = default;

void Router::runRound(Instant now, EventSource& feed, DecisionSink& writer) {
  auto& s = *state_;
  s.now = now;
  s.writer = &writer;
  s.usuals.assign(s.latencies.size(), Duration());
  // Long after the wake that was asked for: the router itself has been held up, and what it measures is its
  // own delay. Guards against pauses of the process or its machine.
  s.stalled = s.wakeAt != Instant() && now - s.wakeAt > Duration::millis(50);
  if (s.stalled)
    for (auto& [id, m] : s.members) m.heardAt = now;
  if (now >= s.wakeAt) s.wakeAt = Instant();
  feed.deliver(*this);
  if (s.terms.endpointListIsPolled && now >= s.askListAt) {
    s.askListAt = now + Duration::seconds(1e9);  // unless the call fails
    writer.followEndpointList();
  }
  s.decide();
}

void Router::onEndpointList(EndpointUpdateKind kind, const std::vector<EndpointEntry>& entries) {
  auto& s = *state_;
  if (kind != EndpointUpdateKind::delta)
    for (auto& [id, m] : s.members) m.listed.health = Health::removed;
  for (const auto& entry : entries) {
    auto [at, isNew] = s.members.try_emplace(entry.node);
    Member& m = at->second;
    const bool started = entry.startedAt > m.listed.startedAt;
    const Instant startedAt = std::max(entry.startedAt, m.listed.startedAt);
    if (isNew || entry.health != Health::removed) m.namedAt = s.now;
    m.listed = entry;
    m.listed.startedAt = startedAt;
    m.seenDraining = entry.health == Health::draining || (m.seenDraining && !started);
    s.kinds.try_emplace(entry.kind);
    auto& all = s.groups[entry.group].members;  // in the order of ids
    if (isNew)
      all.insert(std::find_if(all.begin(), all.end(), [&](auto* o) { return o->listed.node > entry.node; }),
                 &m);
    if (isNew || !started) continue;
    m.successes.clear();  // it started again: cold, and a replica until it says otherwise
    m.answers.clear();
    m.position = Instant();
    m.replicaAt = std::max(m.replicaAt, startedAt);
  }
  s.forgetLongGone();
}

void Router::onEndpointListFailed() {
  auto& s = *state_;
  if (!s.terms.endpointListIsPolled) return;
  s.askListAt = s.now + Duration::seconds(1);  // one service for all routers: no storm on a failed call
  s.writer->wakeAfter(Duration::seconds(1));
}

void Router::onTransaction(const Transaction& txn) {
  auto& s = *state_;
  const auto& type = s.terms.transactionClasses[txn.type];
  Live& taken = s.live[txn.id];
  taken.txn = txn;
  taken.takenAt = s.now;
  taken.answerBy = s.now + txn.remainingTime;
  const Duration sla =
      type.latencyTarget + (txn.expectedWork ? *txn.expectedWork * type.latencyTargetPerWork : Duration());
  // Earlier tries that the front knows of count as attempts of this one: what may have run then may have
  // run.
  const PriorAttempts& earlier = txn.priorAttempts;
  taken.firstAt = s.now - (earlier.firstAttemptAge ? *earlier.firstAttemptAge : s.waitedBefore(txn));
  if (earlier.ambiguousAttemptAge) taken.mayHaveRunAt = s.now - *earlier.ambiguousAttemptAge;
  for (const auto& node : earlier.attemptedNodes)
    if (const auto at = s.members.find(node); at != s.members.end()) taken.tried.push_back(&at->second);
  taken.latencyTargetBy = taken.firstAt + std::min(sla, type.deadline);
  if (type.level == ReadLevel::session) taken.target = s.targetOf(txn);
  pushBounded(s.arrivals, {s.now, s.usual(txn.type).inSeconds()}, 64);
}

void Router::onClientLeft(TxnId id) {
  const auto found = state_->live.find(id);
  if (found == state_->live.end()) return;
  state_->cancelAll(found->second);
  state_->live.erase(found);
}

void Router::setDegradation(GroupId id, const DegradationRules& level, const DegradationRules& below,
                            double trial) {
  auto& s = *state_;
  const auto at = s.groups.find(id);
  if (at == s.groups.end()) return;
  at->second.level = level;
  at->second.below = below;
  at->second.trial = trial;
}

void Router::onStreamStarted(TxnId id) {
  if (const auto at = state_->live.find(id); at != state_->live.end()) at->second.streaming = true;
}

void Router::onAttemptEnded(TxnId id, unsigned attempt, const NodeId& node, AttemptOutcome how, bool txnOver,
                            Duration latency, const LoadReport& answer, const LoadReport& report) {
  auto& s = *state_;
  const auto found = s.live.find(id);
  Live* txn = found == s.live.end() ? nullptr : &found->second;
  const auto at = s.members.find(node);
  if (at == s.members.end()) return;
  Member& m = at->second;
  const auto sent =
      std::find_if(m.outs.begin(), m.outs.end(), [&](auto& o) { return o.txn == id && o.number == attempt; });
  if (sent == m.outs.end()) return;
  const Out out = *sent;
  m.outs.erase(sent);
  const bool committed = how == AttemptOutcome::committed;
  const TransactionClass& type = s.terms.transactionClasses[out.type];
  if (committed || how == AttemptOutcome::error || how == AttemptOutcome::rejected ||
      how == AttemptOutcome::wrongNode)
    m.heardAt = s.now;
  // A write's commit is rounded up to the next millisecond; what is known to be applied is rounded down.
  const bool commit = committed && type.level == ReadLevel::write;
  s.learn(m, answer, s.now, commit ? Duration::millis(1) : Duration());
  s.learnReport(m, report);
  // A node that guards itself and answers a read has what the read needed.
  if (how == AttemptOutcome::wrongNode && type.level != ReadLevel::write) m.behindAt = s.now;
  if (how == AttemptOutcome::rejected) m.fullAt = s.now;
  if (committed && s.terms.nodesRejectStaleReads) m.position = std::max(m.position, out.target);
  // Cancelled after a long wait is no answer either, and took at least that long: else a node that answers
  // nothing, or only what nobody waits for any more, is never found out, and looks as quick as its answers.
  const bool unanswered = how == AttemptOutcome::cancelled || how == AttemptOutcome::timeout;
  const bool late = unanswered && s.now - out.sentAt > s.usual(out.type) * 3;
  if ((committed || late) && !s.stalled) {
    auto& last = s.latencies[out.type];
    if (outdated(last, s.now)) last.clear();
    pushBounded(last, {s.now, latency.inSeconds()}, 32);
    s.usuals[out.type] = Duration();
    pushBounded(s.times, {s.now, latency.inSeconds()}, 64);
  }
  if (committed && !s.stalled) {
    m.errorsInARow = 0;
    m.overtookAt = std::max(m.overtookAt, out.sentAt);
    const Sample multiple{s.now, latency / s.usual(out.type)};
    pushBounded(m.answers, multiple, 16);
    pushBounded(s.kinds[m.listed.kind], multiple, 64);
  }
  Group& group = s.groupOf(m.listed.group);
  if ((committed || how == AttemptOutcome::rejected) && !s.stalled)
    pushBounded(m.primaryAt > m.replicaAt ? group.primaryStrains : group.strains,
                {s.now, committed ? latency / type.latencyTarget : 1}, 16);
  if (committed && m.triedAt >= out.sentAt) m.successes.clear();  // the trial went well
  const bool failed = late || how == AttemptOutcome::timeout || how == AttemptOutcome::rejected ||
                      how == AttemptOutcome::noConnection || how == AttemptOutcome::connectionLost;
  if (failed) m.failedAt = s.now;
  if (committed || (failed && !s.stalled)) pushBounded(m.successes, committed, 8);
  if (how == AttemptOutcome::error) s.erred(m, txn);
  const bool lost = unanswered || how == AttemptOutcome::connectionLost;
  // Also where its client has left: the session reads on. What got no answer may have been committed.
  if (out.session && type.level == ReadLevel::write && (committed || lost))
    s.remember(*out.session, committed ? answer.position.value_or(s.now) : s.now);
  if (!txn) return;
  txn->out -= txn->out > 0;
  const bool ran = lost || how == AttemptOutcome::error;
  if (ran && txn->mayHaveRunAt == Instant()) txn->mayHaveRunAt = out.sentAt;
  if (committed && txn->erredAt && txn->erredAt != &m) {
    pushBounded(s.secondLuck, true, 8);
    pushBounded(txn->erredAt->successes, false, 8);
  }
  if (!txnOver && !committed) return;
  s.cancelAll(*txn);
  s.live.erase(found);
}

void Router::onHealthCheckEnded(const NodeId& node, AttemptOutcome how, const LoadReport& report) {
  const auto at = state_->members.find(node);
  if (at == state_->members.end()) return;
  at->second.probeOut = false;
  if (how == AttemptOutcome::committed) state_->learnReport(at->second, report);
}

// It may have been down, and have lost the end of its log: what was known to be applied may be gone. Guards
// against stale reads until the list tells of its start. Hurts where it was a link that failed.
void Router::onNodeDisconnected(const NodeId& node) {
  const auto at = state_->members.find(node);
  if (at != state_->members.end()) at->second.position = Instant();
}

}  // namespace gulltrestle
