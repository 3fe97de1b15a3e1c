#include "upstream/postgres/connection_pool.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::upstream::postgres {

using transactions::ConnectionCloseReason;
using transactions::outcomeOf;
namespace wire = gulltrestle::postgres;

namespace {

// A connection to a node is given up when it was idle for this part of the limit: the node counts from
// another moment than this router, and a txn on one that the node closes at that moment may or may not run.
constexpr double kIdlePart = 0.5;

LoadReport standingOf(const wire::Answer& answer) {
  LoadReport said;
  if (answer.fromPrimary) said.role = *answer.fromPrimary ? Role::primary : Role::replica;
  if (answer.positionMs)
    said.position = Instant() + Duration::millis(static_cast<std::int64_t>(*answer.positionMs));
  return said;
}

LoadReport standingOf(const wire::Report& report) {
  LoadReport said;
  if (report.primary) said.role = *report.primary ? Role::primary : Role::replica;
  if (report.positionSeconds) said.position = Instant() + Duration::seconds(*report.positionSeconds);
  said.inFlight = report.inHand;
  return said;
}

AttemptOutcome endOf(wire::AnswerKind verdict) {
  switch (verdict) {
    case wire::AnswerKind::row:
      return AttemptOutcome::committed;
    case wire::AnswerKind::wrongNode:
      return AttemptOutcome::wrongNode;
    case wire::AnswerKind::rejected:
      return AttemptOutcome::rejected;
    default:
      return AttemptOutcome::error;
  }
}

}  // namespace

void ConnectionPool::startAttempt(AttemptId job, const NodeId& id) {
  if (!nodes_.find(id)) return ledger_.onAttemptEnded(job, id, AttemptOutcome::notSent);
  NodeState& place = places_[id];
  if (place.idle.empty()) {
    place.waiting.push_back(job);
    return openFor(id, place);
  }
  const NodeConnectionId link = place.idle.back();
  place.idle.pop_back();
  write(link, links_.at(link), job);
}

// A connection for each job that waits for one, and for which none is about to be clear. What can't be had is
// told as not sent, so that the module decides anew. Guards against running out of descriptors; may hurt
// where all connections are busy.
void ConnectionPool::openFor(const NodeId& id, NodeState& place) {
  while (place.opening + place.clearing < place.waiting.size()) {
    if (links_.size() >= bounds_.maxConnections) {
      // The one that was used longest ago is due first.
      const auto idle = std::find_if(due_.begin(), due_.end(), [&](auto& entry) {
        return links_.at(entry.second).stage == Stage::idle;
      });
      if (idle != due_.end()) {
        endLink(NodeConnectionId(idle->second), ConnectionCloseReason::retired);
        continue;
      }
      const AttemptId job = place.waiting.back();
      place.waiting.pop_back();
      ledger_.onAttemptEnded(job, id, outcomeOf(ConnectionCloseReason::noDescriptor, false));
      continue;
    }
    const NodeConnectionId link = ++lastLink_;
    ++place.opening;
    links_[link].node = id;
    setDue(link, links_[link], ledger_.now() + bounds_.connectLimit);
    effects_.connect(link, nodes_.find(id)->address);
  }
}

void ConnectionPool::setDue(NodeConnectionId id, NodeConnection& link, Instant due) {
  due_.erase({link.due, id});
  link.due = due;
  due_.insert({link.due, id});
}

void ConnectionPool::write(NodeConnectionId id, NodeConnection& link, AttemptId job) {
  // The node is told how long this router will wait, in whole milliseconds.
  const auto* attempt = ledger_.attempt(job);
  const auto left =
      attempt ? std::max<std::int64_t>(1, (attempt->abandonAt - ledger_.now()).inMicros() / 1000) : 0;
  if (job.txn != 0 && !ledger_.maySend(job, link.node, Duration::millis(left))) {
    ledger_.onAttemptEnded(job, link.node, AttemptOutcome::notSent);
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
  const transactions::RequestMessage& message = ledger_.message(job.txn);
  const Instant sendBy = attempt->sendBy, cutAt = attempt->abandonAt;
  carried_[job] = id;
  const std::string wait = std::to_string(left);
  const std::string_view text = message.bytes;
  link.written = effects_.writeNode(id, {wire::queryHead(text.size() - message.timeoutSize + wait.size()),
                                         text.substr(0, message.timeoutOffset),
                                         wait,
                                         text.substr(message.timeoutOffset + message.timeoutSize),
                                         {"\0", 1}});
  // Guards against a statement of which the node takes a part at a time: the rest would make it whole there
  // when it may not be sent any more. Hurts none: it has not run, and ends as not sent.
  setDue(id, link, link.written ? cutAt : std::min(sendBy, cutAt));
}

void ConnectionPool::onConnected(NodeConnectionId id) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  at->second.stage = Stage::starting;
  effects_.writeNode(id, {wire::login()});
}

void ConnectionPool::onWritten(NodeConnectionId id) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  NodeConnection& link = at->second;
  link.written = true;
  // One that answers already has less time than that.
  if (link.stage == Stage::busy && link.job.txn != 0 && !link.answering)
    setDue(id, link, ledger_.attempt(link.job)->abandonAt);
}

std::size_t ConnectionPool::onReceived(NodeConnectionId id, std::string_view bytes) {
  const auto size = bytes.size();
  try {
    for (;;) {
      const auto at = links_.find(id);
      if (at == links_.end()) return size;
      NodeConnection& link = at->second;
      if (link.stage == Stage::starting) {
        const auto greeting = wire::takeGreeting(bytes);
        if (!greeting) break;
        if (*greeting != wire::Greeting::welcome) {
          endLink(id, *greeting == wire::Greeting::rejected ? ConnectionCloseReason::rejected
                                                            : ConnectionCloseReason::broken);
          continue;
        }
        NodeState& place = places_.at(link.node);
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
    endLink(id, ConnectionCloseReason::malformed);
    return size;
  }
  return size - bytes.size();
}

// A line a node and pause at most: any number of answers may be spoilt.
void ConnectionPool::logSpoilt(const NodeId& id, std::string_view what) {
  constexpr Duration kPause = Duration::millis(10000);  // a few lines a minute are read, more are not
  NodeState& place = places_.at(id);
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
void ConnectionPool::clear(NodeConnectionId id, NodeConnection& link, bool more) {
  link.stage = Stage::clearing;
  link.job = {};
  ++places_.at(link.node).clearing;
  setDue(id, link, ledger_.now() + bounds_.connectLimit);
  if (more) throw wire::Malformed("more than an answer");
  if (nodes_.isDraining(link.node)) return endLink(id, ConnectionCloseReason::nodeDrained);
  effects_.writeNode(id, {wire::queryHead(0), {"\0", 1}});
}

void ConnectionPool::takeAnswer(NodeConnectionId id, NodeConnection& link, const wire::Answer& answer,
                                bool more) {
  const AttemptId job = link.job;
  const NodeId node = link.node;
  const AttemptOutcome how = endOf(answer.kind);
  // Not carried any more: what its commit withdraws are the txn's other attempts.
  carried_.erase(job);
  if (how == AttemptOutcome::committed && job.txn != 0)
    ledger_.commit(job.txn, {answer.description, answer.row, answer.complete});
  LoadReport report = standingOf(answer.report);
  if (job.txn == 0 && how == AttemptOutcome::committed) report = standingOf(wire::readReport(answer.value));
  ledger_.onAttemptEnded(job, node, how, standingOf(answer), report);
  if (answer.fatal)
    endLink(id, ConnectionCloseReason::broken);
  else
    clear(id, link, more);
}

// The connection has no job any more.
void ConnectionPool::release(NodeConnectionId id, NodeConnection& link) {
  NodeState& place = places_.at(link.node);
  link.stage = Stage::idle;
  while (!place.waiting.empty()) {
    const AttemptId job = place.waiting.front();
    place.waiting.pop_front();
    const auto* attempt = ledger_.attempt(job);
    if (job.txn == 0 || (attempt && attempt->sendBy > ledger_.now())) return write(id, link, job);
    ledger_.onAttemptEnded(job, link.node, AttemptOutcome::notSent);
  }
  place.idle.push_back(id);
  setDue(id, link, ledger_.now() + bounds_.idleLimit * kIdlePart);
  if (nodes_.isDraining(link.node)) endLink(id, ConnectionCloseReason::nodeDrained);
}

void ConnectionPool::onClosed(NodeConnectionId id, ConnectionCloseReason how) { endLink(id, how); }

// A node that goes down ends all its connections; a link that fails, one.
bool ConnectionPool::wasDown(const NodeConnection& ended, ConnectionCloseReason how) const {
  if (how == ConnectionCloseReason::refused) return true;
  const auto isUp = [](const NodeConnection& link) {
    return link.stage != Stage::connecting && link.stage != Stage::starting;
  };
  return how == ConnectionCloseReason::broken && isUp(ended) &&
         std::none_of(links_.begin(), links_.end(), [&](const auto& other) {
           return other.second.node == ended.node && isUp(other.second);
         });
}

void ConnectionPool::endLink(NodeConnectionId id, ConnectionCloseReason how) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  const NodeConnection link = at->second;
  ledger_.trace().write([&] {
    return "event=link.closed link=" + std::to_string(id) + " node=" + link.node + " why=\"" +
           std::string(nameOf(how)) + "\"";
  });
  due_.erase({link.due, id});
  links_.erase(at);
  effects_.closeNode(id);
  NodeState& place = places_.at(link.node);
  if (wasDown(link, how)) ledger_.onNodeDisconnected(link.node);
  if (link.stage == Stage::idle) {
    std::erase(place.idle, id);
  } else if (link.stage == Stage::busy) {
    carried_.erase(link.job);
    ledger_.onAttemptEnded(link.job, link.node, outcomeOf(how, link.written));
  } else if (link.stage == Stage::clearing) {
    --place.clearing;
    openFor(link.node, place);
  } else {
    if (how != ConnectionCloseReason::nodeDrained && std::exchange(place.reached, false))
      effects_.log("node " + link.node + " is not reached: " + std::string(nameOf(how)));
    if (--place.opening + place.clearing < place.waiting.size()) {
      const AttemptId job = place.waiting.front();
      place.waiting.pop_front();
      ledger_.onAttemptEnded(job, link.node, outcomeOf(how, false));
    }
  }
}

void ConnectionPool::endIdle(NodeState& place) {
  while (!place.idle.empty())
    endLink(NodeConnectionId(place.idle.back()), ConnectionCloseReason::nodeDrained);
}

void ConnectionPool::endWaiting(const NodeId& id, NodeState& place, ConnectionCloseReason how) {
  for (const AttemptId job : std::exchange(place.waiting, {}))
    ledger_.onAttemptEnded(job, id, outcomeOf(how, false));
}

void ConnectionPool::onEndpointList(const std::vector<NodeId>& moved) {
  for (const NodeId& id : moved)
    if (const auto at = places_.find(id); at != places_.end()) endIdle(at->second);
  for (auto& [id, place] : places_) {
    if (!nodes_.isDraining(id)) continue;
    endWaiting(id, place, ConnectionCloseReason::nodeDrained);
    endIdle(place);
  }
}

void ConnectionPool::cancelAttempt(AttemptId job, const NodeId& id) {
  if (const auto at = carried_.find(job); at != carried_.end())
    return endLink(NodeConnectionId(at->second), ConnectionCloseReason::cancelled);
  std::erase(places_.at(id).waiting, job);
  ledger_.onAttemptEnded(job, id, outcomeOf(ConnectionCloseReason::cancelled, false));
}

void ConnectionPool::withdrawAttempt(AttemptId job, const NodeId& id) {
  if (const auto at = carried_.find(job); at != carried_.end()) {
    if (!links_.at(at->second).written)
      endLink(NodeConnectionId(at->second), ConnectionCloseReason::cancelled);
  } else if (const auto place = places_.find(id); place != places_.end()) {
    if (std::erase(place->second.waiting, job) > 0)
      ledger_.onAttemptEnded(job, id, outcomeOf(ConnectionCloseReason::cancelled, false));
  }
}

void ConnectionPool::forgetNode(const NodeId& id) {
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  endWaiting(id, place->second, ConnectionCloseReason::nodeDrained);
  std::vector<NodeConnectionId> left;
  for (const auto& [link, at] : links_)
    if (at.node == id) left.push_back(link);
  for (const NodeConnectionId link : left) endLink(link, ConnectionCloseReason::nodeDrained);
  places_.erase(place);
}

void ConnectionPool::endTurn() {
  while (!due_.empty() && due_.begin()->first <= ledger_.now()) {
    const NodeConnectionId id = due_.begin()->second;
    const NodeConnection& link = links_.at(id);
    const bool busy = link.stage == Stage::busy, begun = link.answering;
    const auto* attempt = busy ? ledger_.attempt(link.job) : nullptr;
    const bool tooLate = attempt && !link.written && ledger_.now() < attempt->abandonAt;
    if (link.stage == Stage::clearing || (busy && begun)) logSpoilt(link.node, "an answer without an end");
    endLink(id, link.stage == Stage::idle                ? ConnectionCloseReason::retired
                : link.stage == Stage::clearing || begun ? ConnectionCloseReason::malformed
                : tooLate                                ? ConnectionCloseReason::cancelled
                : busy                                   ? ConnectionCloseReason::unanswered
                                                         : ConnectionCloseReason::connectTimeout);
  }
}

}  // namespace gulltrestle::upstream::postgres
