#include "upstream/postgres/connection_pool.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionEnd;
using transactions::outcomeOf;
namespace wire = gulltrestle::postgres;

namespace {

// A connection to a node is given up when it was idle for this part of the limit: the node counts from
// another moment than this router, and a txn on one that the node closes at that moment may or may not run.
constexpr double kIdlePart = 0.5;

Standing standingOf(const wire::Answer& answer) {
  Standing said;
  if (answer.fromPrimary) said.role = *answer.fromPrimary ? Role::primary : Role::replica;
  if (answer.positionMs)
    said.position = Instant() + Span::millis(static_cast<std::int64_t>(*answer.positionMs));
  return said;
}

Standing standingOf(const wire::Report& report) {
  Standing said;
  if (report.primary) said.role = *report.primary ? Role::primary : Role::replica;
  if (report.positionSeconds) said.position = Instant() + Span::seconds(*report.positionSeconds);
  said.inHand = report.inHand;
  return said;
}

End endOf(wire::Verdict verdict) {
  switch (verdict) {
    case wire::Verdict::row:
      return End::committed;
    case wire::Verdict::notHere:
      return End::notHere;
    case wire::Verdict::rejected:
      return End::rejected;
    default:
      return End::error;
  }
}

}  // namespace

void Links::carry(Job job, const NodeId& id) {
  if (!nodes_.find(id)) return ledger_.ended(job, id, End::notSent);
  Place& place = places_[id];
  if (place.idle.empty()) {
    place.waiting.push_back(job);
    return openFor(id, place);
  }
  const LinkId link = place.idle.back();
  place.idle.pop_back();
  write(link, links_.at(link), job);
}

// A connection for each job that waits for one, and for which none is about to be clear. What can't be had is
// told as not sent, so that the module decides anew. Guards against running out of descriptors; may hurt
// where all connections are busy.
void Links::openFor(const NodeId& id, Place& place) {
  while (place.opening + place.clearing < place.waiting.size()) {
    if (links_.size() >= bounds_.mostLinks) {
      // The one that was used longest ago is due first.
      const auto idle = std::find_if(due_.begin(), due_.end(), [&](auto& entry) {
        return links_.at(entry.second).stage == Stage::idle;
      });
      if (idle != due_.end()) {
        endLink(LinkId(idle->second), ConnectionEnd::retired);
        continue;
      }
      const Job job = place.waiting.back();
      place.waiting.pop_back();
      ledger_.ended(job, id, outcomeOf(ConnectionEnd::notOpened, false));
      continue;
    }
    const LinkId link = ++lastLink_;
    ++place.opening;
    links_[link].node = id;
    setDue(link, links_[link], ledger_.now() + bounds_.connectLimit);
    effects_.connect(link, nodes_.find(id)->address);
  }
}

void Links::setDue(LinkId id, Link& link, Instant due) {
  due_.erase({link.due, id});
  link.due = due;
  due_.insert({link.due, id});
}

void Links::write(LinkId id, Link& link, Job job) {
  // The node is told how long this router will wait, in whole milliseconds.
  const auto* attempt = ledger_.attempt(job);
  const auto left =
      attempt ? std::max<std::int64_t>(1, (attempt->cutAt - ledger_.now()).inMicros() / 1000) : 0;
  if (job.txn != 0 && !ledger_.maySend(job, link.node, Span::millis(left))) {
    ledger_.ended(job, link.node, End::notSent);
    return release(id, link);
  }
  link.stage = Stage::busy;
  link.job = job;
  link.written = link.answering = false;
  if (job.txn == 0) {
    setDue(id, link, ledger_.now() + bounds_.connectLimit);
    link.written =
        effects_.writeNode(id, {wire::queryHead(wire::kShowReport.size()), wire::kShowReport, {"\0", 1}});
    return;
  }
  const transactions::Message& message = ledger_.message(job.txn);
  const Instant sendBy = attempt->sendBy, cutAt = attempt->cutAt;
  carried_[job] = id;
  const std::string wait = std::to_string(left);
  const std::string_view text = message.bytes;
  link.written = effects_.writeNode(id, {wire::queryHead(text.size() - message.waitSize + wait.size()),
                                         text.substr(0, message.waitAt),
                                         wait,
                                         text.substr(message.waitAt + message.waitSize),
                                         {"\0", 1}});
  // Guards against a statement of which the node takes a part at a time: the rest would make it whole there
  // when it may not be sent any more. Hurts none: it has not run, and ends as not sent.
  setDue(id, link, link.written ? cutAt : std::min(sendBy, cutAt));
}

void Links::up(LinkId id) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  at->second.stage = Stage::starting;
  effects_.writeNode(id, {wire::login()});
}

void Links::written(LinkId id) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  Link& link = at->second;
  link.written = true;
  // One that answers already has less time than that.
  if (link.stage == Stage::busy && link.job.txn != 0 && !link.answering)
    setDue(id, link, ledger_.attempt(link.job)->cutAt);
}

std::size_t Links::sent(LinkId id, std::string_view bytes) {
  const auto size = bytes.size();
  try {
    for (;;) {
      const auto at = links_.find(id);
      if (at == links_.end()) return size;
      Link& link = at->second;
      if (link.stage == Stage::starting) {
        const auto greeting = wire::takeGreeting(bytes);
        if (!greeting) break;
        if (*greeting != wire::Greeting::welcome) {
          endLink(id,
                  *greeting == wire::Greeting::rejected ? ConnectionEnd::rejected : ConnectionEnd::broken);
          continue;
        }
        Place& place = places_.at(link.node);
        --place.opening;
        if (!std::exchange(place.reached, true)) effects_.log("node " + link.node + " is reached again");
        release(id, link);
      } else if (link.stage == Stage::busy) {
        const auto answer = wire::takeAnswer(bytes);
        if (!answer) {
          // Guards against answers that begin and don't end, which would take all of the txn's time: what has
          // begun is whole soon. May hurt where the network takes longer for one than for a connection.
          if (!bytes.empty() && !std::exchange(link.answering, true))
            setDue(id, link, std::min(link.due, ledger_.now() + bounds_.connectLimit));
          break;
        }
        takeAnswer(id, link, *answer, !bytes.empty());
      } else if (link.stage == Stage::clearing) {
        if (!wire::takeAllClear(bytes)) break;
        if (!bytes.empty()) throw wire::Malformed("more than an answer");
        --places_.at(link.node).clearing;
        release(id, link);
      } else if (bytes.empty()) {
        break;
      } else {  // bytes that nobody asked for: they must not be taken for the next txn's answer
        throw wire::Malformed("bytes that nobody asked for");
      }
    }
  } catch (const wire::Malformed& bad) {
    logSpoilt(links_.at(id).node, bad.what());
    endLink(id, ConnectionEnd::malformed);
    return size;
  }
  return size - bytes.size();
}

// A line a node and pause at most: any number of answers may be spoilt.
void Links::logSpoilt(const NodeId& id, std::string_view what) {
  constexpr Span kPause = Span::millis(10000);  // a few lines a minute are read, more are not
  Place& place = places_.at(id);
  ++place.spoilt;
  if (place.spoiltAt != Instant() && ledger_.now() - place.spoiltAt < kPause) return;
  place.spoiltAt = ledger_.now();
  effects_.log(
      "node " + id + " sent what can't be read: " + std::string(what) +
      (place.spoilt > 1 ? ", " + std::to_string(place.spoilt) + " times since the last such line" : ""));
  place.spoilt = 0;
}

// Its answer is whole. Guards against more than that, the same again or noise, which must not be taken for
// the next txn's answer, however late it comes: an empty query is asked, and once its answer has come nothing
// older is on the way. Costs a message each way; may hurt at nodes that answer empty queries late.
void Links::clear(LinkId id, Link& link, bool more) {
  link.stage = Stage::clearing;
  link.job = {};
  ++places_.at(link.node).clearing;
  setDue(id, link, ledger_.now() + bounds_.connectLimit);
  if (more) throw wire::Malformed("more than an answer");
  if (nodes_.leaving(link.node)) return endLink(id, ConnectionEnd::nodeLeft);
  effects_.writeNode(id, {wire::queryHead(0), {"\0", 1}});
}

void Links::takeAnswer(LinkId id, Link& link, const wire::Answer& answer, bool more) {
  const Job job = link.job;
  const NodeId node = link.node;
  const End how = endOf(answer.verdict);
  // Not carried any more: what its commit withdraws are the txn's other attempts.
  carried_.erase(job);
  if (how == End::committed && job.txn != 0)
    ledger_.commit(job.txn, {answer.description, answer.row, answer.complete});
  Standing report = standingOf(answer.report);
  if (job.txn == 0 && how == End::committed) report = standingOf(wire::readReport(answer.value));
  ledger_.ended(job, node, how, standingOf(answer), report);
  if (answer.fatal)
    endLink(id, ConnectionEnd::broken);
  else
    clear(id, link, more);
}

// The connection has no job any more.
void Links::release(LinkId id, Link& link) {
  Place& place = places_.at(link.node);
  link.stage = Stage::idle;
  while (!place.waiting.empty()) {
    const Job job = place.waiting.front();
    place.waiting.pop_front();
    const auto* attempt = ledger_.attempt(job);
    if (job.txn == 0 || (attempt && attempt->sendBy > ledger_.now())) return write(id, link, job);
    ledger_.ended(job, link.node, End::notSent);
  }
  place.idle.push_back(id);
  setDue(id, link, ledger_.now() + bounds_.idleLimit * kIdlePart);
  if (nodes_.leaving(link.node)) endLink(id, ConnectionEnd::nodeLeft);
}

void Links::ended(LinkId id, ConnectionEnd how) { endLink(id, how); }

// A node that goes down ends all its connections; a link that fails, one.
bool Links::wasDown(const Link& ended, ConnectionEnd how) const {
  if (how == ConnectionEnd::refused) return true;
  const auto isUp = [](const Link& link) {
    return link.stage != Stage::connecting && link.stage != Stage::starting;
  };
  return how == ConnectionEnd::broken && isUp(ended) &&
         std::none_of(links_.begin(), links_.end(), [&](const auto& other) {
           return other.second.node == ended.node && isUp(other.second);
         });
}

void Links::endLink(LinkId id, ConnectionEnd how) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  const Link link = at->second;
  ledger_.trace().say([&] {
    return "event=link.closed link=" + std::to_string(id) + " node=" + link.node + " why=\"" +
           std::string(nameOf(how)) + "\"";
  });
  due_.erase({link.due, id});
  links_.erase(at);
  effects_.closeNode(id);
  Place& place = places_.at(link.node);
  if (wasDown(link, how)) ledger_.disconnected(link.node);
  if (link.stage == Stage::idle) {
    std::erase(place.idle, id);
  } else if (link.stage == Stage::busy) {
    carried_.erase(link.job);
    ledger_.ended(link.job, link.node, outcomeOf(how, link.written));
  } else if (link.stage == Stage::clearing) {
    --place.clearing;
    openFor(link.node, place);
  } else {
    if (how != ConnectionEnd::nodeLeft && std::exchange(place.reached, false))
      effects_.log("node " + link.node + " is not reached: " + std::string(nameOf(how)));
    if (--place.opening + place.clearing < place.waiting.size()) {
      const Job job = place.waiting.front();
      place.waiting.pop_front();
      ledger_.ended(job, link.node, outcomeOf(how, false));
    }
  }
}

void Links::endIdle(Place& place) {
  while (!place.idle.empty()) endLink(LinkId(place.idle.back()), ConnectionEnd::nodeLeft);
}

void Links::endWaiting(const NodeId& id, Place& place, ConnectionEnd how) {
  for (const Job job : std::exchange(place.waiting, {})) ledger_.ended(job, id, outcomeOf(how, false));
}

void Links::listed(const std::vector<NodeId>& moved) {
  for (const NodeId& id : moved)
    if (const auto at = places_.find(id); at != places_.end()) endIdle(at->second);
  for (auto& [id, place] : places_) {
    if (!nodes_.leaving(id)) continue;
    endWaiting(id, place, ConnectionEnd::nodeLeft);
    endIdle(place);
  }
}

void Links::cancel(Job job, const NodeId& id) {
  if (const auto at = carried_.find(job); at != carried_.end())
    return endLink(LinkId(at->second), ConnectionEnd::cancelled);
  std::erase(places_.at(id).waiting, job);
  ledger_.ended(job, id, outcomeOf(ConnectionEnd::cancelled, false));
}

void Links::withdraw(Job job, const NodeId& id) {
  if (const auto at = carried_.find(job); at != carried_.end()) {
    if (!links_.at(at->second).written) endLink(LinkId(at->second), ConnectionEnd::cancelled);
  } else if (const auto place = places_.find(id); place != places_.end()) {
    if (std::erase(place->second.waiting, job) > 0)
      ledger_.ended(job, id, outcomeOf(ConnectionEnd::cancelled, false));
  }
}

void Links::forget(const NodeId& id) {
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  endWaiting(id, place->second, ConnectionEnd::nodeLeft);
  std::vector<LinkId> left;
  for (const auto& [link, at] : links_)
    if (at.node == id) left.push_back(link);
  for (const LinkId link : left) endLink(link, ConnectionEnd::nodeLeft);
  places_.erase(place);
}

void Links::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const LinkId id = due_.begin()->second;
    const Link& link = links_.at(id);
    const bool busy = link.stage == Stage::busy, begun = link.answering;
    const auto* attempt = busy ? ledger_.attempt(link.job) : nullptr;
    const bool tooLate = attempt && !link.written && ledger_.now() < attempt->cutAt;
    if (link.stage == Stage::clearing || (busy && begun)) logSpoilt(link.node, "an answer without an end");
    endLink(id, link.stage == Stage::idle                ? ConnectionEnd::retired
                : link.stage == Stage::clearing || begun ? ConnectionEnd::malformed
                : tooLate                                ? ConnectionEnd::cancelled
                : busy                                   ? ConnectionEnd::unanswered
                                                         : ConnectionEnd::neverUp);
  }
}

}  // namespace gulltrestle::upstream::postgres
