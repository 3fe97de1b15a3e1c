#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace gulltrestle::gateway {

namespace {

// A value of 64 KiB is twice that as hex; the rest of a statement is short.
constexpr std::size_t kLongestQuery = 2 * 64 * 1024 + 4096;

// For this long after it was told to end a router goes on as before: the front still sends new clients. It
// does so for 0.4 s at most; the rest is for what is on its way.
constexpr Span kGraceAtEnd = Span::millis(500);

// A connection to a node is given up when it was idle for this part of the limit: the node counts from
// another moment than this router, and a txn on one that the node closes at that moment may or may not run.
constexpr double kIdlePart = 0.5;

// A client's greeting, and any message once it has begun, must be whole within this many times the settings'
// limit for connections: a message takes some turns of the network where coming up takes one.
constexpr double kMessageTimes = 8;

// Where room is wanted, one that has come this part of that limit ago and said nothing may go: a greeting
// sets out together with the last packet that brings the connection up.
constexpr double kFreshPart = 0.1;

// What one client may have looked at in a turn. Clients that wait for their answers send one or two.
constexpr int kMessagesATurn = 4;

Instant later(Instant a, Instant b) { return std::max(a, b); }

// Sessions are told apart by a number; equal keys give equal ones (FNV-1a). Two keys that share one make a
// read wait for the other's write at the worst.
SessionId sessionOf(std::string_view key) {
  SessionId hash = 14695981039346656037U;
  for (const char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

Standing standingOf(const pg::Answer& answer) {
  Standing said;
  if (answer.fromPrimary) said.role = *answer.fromPrimary ? Role::primary : Role::replica;
  if (answer.positionMs)
    said.position = Instant() + Span::millis(static_cast<std::int64_t>(*answer.positionMs));
  return said;
}

Standing standingOf(const pg::Report& report) {
  Standing said;
  if (report.primary) said.role = *report.primary ? Role::primary : Role::replica;
  if (report.positionSeconds) said.position = Instant() + Span::seconds(*report.positionSeconds);
  said.inHand = report.inHand;
  return said;
}

End endOf(pg::Verdict verdict) {
  switch (verdict) {
    case pg::Verdict::row:
      return End::committed;
    case pg::Verdict::notHere:
      return End::notHere;
    case pg::Verdict::turnedAway:
      return End::turnedAway;
    default:
      return End::error;
  }
}

}  // namespace

Gateway::Gateway(Terms terms, std::vector<std::string> typeNames, std::uint64_t seed, Bounds bounds,
                 Effects& effects)
    : router_(terms, seed), bounds_(bounds), goneBinds_(!terms.onlyDrainingBinds), effects_(effects) {
  for (std::size_t row = 0; row < terms.types.size(); ++row) {
    types_.emplace(typeNames[row], row);
    levels_.push_back(terms.types[row].level);
  }
}

// --- Clients

void Gateway::clientOpened(Instant now, ClientId id) {
  now_ = later(now_, now);
  Client& client = clients_[id];
  client.idleSince = now_;
  awaitMessage(id, client, now_ + bounds_.connectLimit * kMessageTimes);
}

// Guards against clients that say nothing, or half of a message, and keep a descriptor and what they sent.
// May hurt those whose network takes seconds for a message.
void Gateway::awaitMessage(ClientId id, Client& client, Instant due) {
  if (client.due != Instant()) clientsDue_.erase({client.due, id});
  client.due = due;
  if (due != Instant()) clientsDue_.insert({due, id});
}

std::size_t Gateway::clientSent(Instant now, ClientId id, std::string_view bytes) {
  now_ = later(now_, now);
  const auto size = bytes.size();
  try {
    for (int taken = 0;; ++taken) {
      const auto at = clients_.find(id);
      if (at == clients_.end()) return size;
      Client& client = at->second;
      if (client.txn != 0 || client.waitsForList) break;
      client.toRead = taken == kMessagesATurn;
      if (client.toRead) {
        effects_.readClient(id);
        break;
      }
      client.idleSince = now_;
      const bool opening = client.stage == Stage::opening;
      if (opening ? takeOpening(id, client, bytes) : takeMessage(id, client, bytes)) {
        if (!clients_.contains(id) || client.stage == Stage::opening) continue;
        if (client.due != Instant()) awaitMessage(id, client, {});
        continue;
      }
      if (!bytes.empty() && client.due == Instant())
        awaitMessage(id, client, now_ + bounds_.connectLimit * kMessageTimes);
      break;
    }
  } catch (const pg::Malformed& bad) {
    fatal(id, pg::kProtocolViolation, bad.what());
    return size;
  }
  return size - bytes.size();
}

bool Gateway::takeOpening(ClientId id, Client& client, std::string_view& bytes) {
  const auto opening = pg::takeOpening(bytes);
  if (!opening) return false;
  if (opening->code == pg::kSslRequest || opening->code == pg::kGssRequest) {
    effects_.writeClient(id, {"N"});
  } else if (opening->code == pg::kCancelRequest) {
    dropClient(id);
  } else if (opening->code >> 16 != pg::kMajorVersion) {
    fatal(id, pg::kNotSupported, "only version 3 of the protocol is spoken here");
  } else {
    client.stage = Stage::ready;
    effects_.writeClient(id, {pg::welcome()});
  }
  return true;
}

bool Gateway::takeMessage(ClientId id, Client& client, std::string_view& bytes) {
  const auto message = pg::takeMessage(bytes, kLongestQuery);
  if (!message) return false;
  const auto request = pg::requestOf(message->type);
  // The rest of an exchange that was refused, up to its Sync.
  if (client.stage == Stage::refusing && request != pg::Request::goodbye && request != pg::Request::sync)
    return true;
  auto body = message->body;
  switch (request) {
    case pg::Request::query:
      takeStatement(id, client, pg::takeText(body));
      break;
    case pg::Request::goodbye:
      dropClient(id);
      break;
    case pg::Request::sync:
      client.stage = Stage::ready;
      effects_.writeClient(id, {pg::readyForQuery()});
      break;
    case pg::Request::extended:
      client.stage = Stage::refusing;
      effects_.writeClient(id, {pg::error("ERROR", pg::kNotSupported, "only simple queries are taken")});
      break;
    case pg::Request::functionCall:
      answerError(id, pg::kNotSupported, "only simple queries are taken");
      break;
    case pg::Request::passedOver:
      break;
    case pg::Request::unknown:
      throw pg::Malformed("a message of this type is not known");
  }
  return true;
}

void Gateway::takeStatement(ClientId id, Client& client, std::string_view text) {
  if (pg::isBlank(text)) {
    if (listKnown_) return answerEmpty(id, client);
    client.waitsForList = true;
    return;
  }
  try {
    const auto statement = pg::readStatement(text);
    const auto type = types_.find(statement.typeName);
    if (type == types_.end())
      throw pg::BadStatement(pg::kBadValue,
                             "txn type '" + std::string(statement.typeName) + "' is not known");
    const ReadLevel level = levels_[type->second];
    if (statement.writes != (level == ReadLevel::write))
      throw pg::BadStatement(pg::kBadValue, "the statement is not of its txn type");
    if (openIds_.contains(statement.id))
      throw pg::BadStatement(pg::kBadValue, "field id of the comment names a txn that is open");
    // Guards the memory limit against many long statements at a time; may hurt while nodes are slow.
    if (heldBytes_ + text.size() > bounds_.mostBytes)
      throw pg::BadStatement(pg::kDeclined, "declined: too much is held here");
    Txn txn;
    txn.id = client.txn = ++lastTxn_;
    asking_ += !std::exchange(client.asked, true);
    txn.type = type->second;
    txn.group = statement.group;
    if (level >= ReadLevel::write || level == ReadLevel::session) txn.session = sessionOf(statement.key);
    if (level == ReadLevel::session) {
      txn.writeAge = Span();  // it owes nothing
      if (statement.afterMs.value_or(0) > 0)
        txn.writeAge =
            std::max(now_ - (Instant() + Span::millis(static_cast<std::int64_t>(*statement.afterMs))),
                     Span::micros(1));
    }
    txn.patience = Span::millis(static_cast<std::int64_t>(statement.waitMs));
    Live& live = live_[txn.id];
    live.client = id;
    live.statement = text;
    heldBytes_ += text.size();
    live.waitAt = static_cast<std::size_t>(statement.wait.data() - text.data());
    live.waitSize = statement.wait.size();
    live.id = std::string_view(live.statement)
                  .substr(static_cast<std::size_t>(statement.id.data() - text.data()), statement.id.size());
    openIds_.insert(live.id);
    arrived([txn](Router& router) { router.taken(txn); });
  } catch (const pg::BadStatement& bad) { answerError(id, bad.code(), bad.what()); }
}

void Gateway::answerEmpty(ClientId id, Client& client) {
  client.waitsForList = false;
  effects_.writeClient(id, {pg::emptyQueryResponse(), pg::readyForQuery()});
}

void Gateway::answerError(ClientId id, std::string_view code, std::string_view text,
                          std::string_view detail) {
  effects_.writeClient(id, {pg::error("ERROR", code, text, detail), pg::readyForQuery()});
}

void Gateway::fatal(ClientId id, std::string_view code, std::string_view text) {
  effects_.writeClient(id, {pg::error("FATAL", code, text)});
  dropClient(id);
}

// The router closes the connection, after what was written has gone.
void Gateway::dropClient(ClientId id) {
  effects_.closeClient(id);
  clientEnded(now_, id, ConnectionEnd::clientDone);
}

// A client that sends no more may still wait for its answer, or may be gone: both look alike. A notice, which
// clients skip, brings a reset if it is gone. Guards against work for clients that left, and against leaving
// one that only shut down its sending without its answer. May hurt a client that can't take a notice.
void Gateway::clientSendsNoMore(Instant now, ClientId id) {
  now_ = later(now_, now);
  const auto at = clients_.find(id);
  if (at == clients_.end()) return;
  Client& client = at->second;
  if (client.txn == 0 && !client.waitsForList) return dropClient(id);
  if (!std::exchange(client.sendsNoMore, true)) effects_.writeClient(id, {pg::notice("still at work")});
}

void Gateway::clientEnded(Instant now, ClientId id, ConnectionEnd) {
  now_ = later(now_, now);
  const auto at = clients_.find(id);
  if (at == clients_.end()) return;
  const TxnId txn = at->second.txn;
  awaitMessage(id, at->second, {});
  asking_ -= at->second.asked;
  clients_.erase(at);
  if (Live* live = owed(txn)) {
    live->client = 0;
    arrived([txn](Router& router) { router.clientLeft(txn); });
    forget(txn);
  }
}

// One that has just come may have sent its first query already, and is not idle yet.
bool Gateway::isFresh(const Client& client, Span limit) const {
  return client.stage == Stage::opening && now_ - client.idleSince < limit;
}

bool Gateway::closeIdle(std::size_t most, bool onlyAsked) {
  std::vector<std::pair<Instant, ClientId>> idle;
  for (const auto& [id, client] : clients_)
    if (client.txn == 0 && !client.waitsForList && !client.toRead && (client.asked || !onlyAsked) &&
        !isFresh(client, bounds_.connectLimit * kFreshPart))
      idle.emplace_back(client.idleSince, id);
  most = std::min(most, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(most), idle.end());
  for (std::size_t i = 0; i < most; ++i) dropClient(idle[i].second);
  return most > 0;
}

// Clients keep so many connections for txns and no more. Where each asks once and stays, all of them are soon
// idle, and no other client can ask. Guards against that: beyond three quarters the ones idle longest make
// room, some at a time. May hurt clients with so many at work that one is closed just when it is wanted
// again: such a query is sent once more, on a new connection.
void Gateway::makeRoomToAsk() {
  if (bounds_.mostAsking > 0 && asking_ * 4 > bounds_.mostAsking * 3)
    closeIdle(1 + bounds_.mostAsking / 32, true);
}

void Gateway::refuse(Instant now, ClientId id) {
  now_ = later(now_, now);
  if (clients_.contains(id)) fatal(id, pg::kDeclined, "declined: too much is held here");
}

bool Gateway::isWaiting(ClientId id) const {
  const auto at = clients_.find(id);
  return at != clients_.end() && (at->second.txn != 0 || at->second.waitsForList);
}

// The txn's final answer goes to its client.
void Gateway::finishTxn(TxnId txn, Parts answer) {
  Live* live = owed(txn);
  if (!live) return;
  const ClientId id = std::exchange(live->client, 0);
  effects_.writeClient(id, answer);
  clients_.at(id).txn = 0;
  nextOf(id);
  forget(txn);
}

void Gateway::nextOf(ClientId id) {
  clients_.at(id).idleSince = now_;
  if (stopped_) return dropClient(id);
  clients_.at(id).toRead = true;
  effects_.readClient(id);
  makeRoomToAsk();
}

Gateway::Live* Gateway::owed(TxnId txn) {
  const auto at = live_.find(txn);
  return at == live_.end() || at->second.client == 0 ? nullptr : &at->second;
}

// What has its final answer is kept only while submissions of it are out.
void Gateway::forget(TxnId txn) {
  const auto at = live_.find(txn);
  if (at == live_.end() || at->second.client != 0) return;
  const auto& all = at->second.submissions;
  if (!std::all_of(all.begin(), all.end(), [](auto& s) { return s.over; })) return;
  heldBytes_ -= at->second.statement.size();
  openIds_.erase(at->second.id);
  live_.erase(at);
}

// --- Nodes

Gateway::Submission* Gateway::submissionOf(Job job) {
  const auto at = live_.find(job.txn);
  if (at == live_.end() || job.submission >= at->second.submissions.size()) return nullptr;
  return &at->second.submissions[job.submission];
}

void Gateway::dispatch(const NodeId& id, Node& node, Job job) {
  if (node.idle.empty()) {
    node.waiting.push_back(job);
    return openFor(id, node);
  }
  const LinkId link = node.idle.back();
  node.idle.pop_back();
  write(link, links_.at(link), job);
}

// A connection for each job that waits for one, and for which none is about to be clear. What can't be had is
// told as not sent, so that the module decides anew. Guards against running out of descriptors; may hurt
// where all connections are busy.
void Gateway::openFor(const NodeId& id, Node& node) {
  while (node.opening + node.clearing < node.waiting.size()) {
    if (links_.size() >= bounds_.mostLinks) {
      // The one that was used longest ago is due first.
      const auto idle = std::find_if(due_.begin(), due_.end(), [&](auto& entry) {
        return links_.at(entry.second).stage == LinkStage::idle;
      });
      if (idle != due_.end()) {
        endLink(LinkId(idle->second), ConnectionEnd::retired);
        continue;
      }
      const Job job = node.waiting.back();
      node.waiting.pop_back();
      endJob(job, id, outcomeOf(ConnectionEnd::notOpened, false), {}, {});
      continue;
    }
    const LinkId link = ++lastLink_;
    ++node.opening;
    links_[link].node = id;
    setDue(link, links_[link], now_ + bounds_.connectLimit);
    effects_.connect(link, node.address);
  }
}

void Gateway::setDue(LinkId id, Link& link, Instant due) {
  due_.erase({link.due, id});
  link.due = due;
  due_.insert({link.due, id});
}

void Gateway::write(LinkId id, Link& link, Job job) {
  link.stage = LinkStage::busy;
  link.job = job;
  link.written = link.answering = false;
  if (job.txn == 0) {
    setDue(id, link, now_ + bounds_.connectLimit);
    link.written =
        effects_.writeNode(id, {pg::queryHead(pg::kShowReport.size()), pg::kShowReport, {"\0", 1}});
    return;
  }
  const Live& live = live_.at(job.txn);
  Submission& submission = *submissionOf(job);
  submission.link = id;
  setDue(id, link, submission.cutAt);
  // The node is told how long this router will wait, in whole milliseconds.
  const auto left = std::max<std::int64_t>(1, (submission.cutAt - now_).inMicros() / 1000);
  const std::string wait = std::to_string(left);
  const std::string_view text = live.statement;
  link.written = effects_.writeNode(id, {pg::queryHead(text.size() - live.waitSize + wait.size()),
                                         text.substr(0, live.waitAt),
                                         wait,
                                         text.substr(live.waitAt + live.waitSize),
                                         {"\0", 1}});
}

void Gateway::linkUp(Instant now, LinkId id) {
  now_ = later(now_, now);
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  at->second.stage = LinkStage::starting;
  effects_.writeNode(id, {pg::login()});
}

void Gateway::linkWritten(Instant now, LinkId id) {
  now_ = later(now_, now);
  if (const auto at = links_.find(id); at != links_.end()) at->second.written = true;
}

std::size_t Gateway::linkSent(Instant now, LinkId id, std::string_view bytes) {
  now_ = later(now_, now);
  const auto size = bytes.size();
  try {
    for (;;) {
      const auto at = links_.find(id);
      if (at == links_.end()) return size;
      Link& link = at->second;
      if (link.stage == LinkStage::starting) {
        const auto greeting = pg::takeGreeting(bytes);
        if (!greeting) break;
        if (*greeting != pg::Greeting::welcome) {
          endLink(id,
                  *greeting == pg::Greeting::turnedAway ? ConnectionEnd::turnedAway : ConnectionEnd::broken);
          continue;
        }
        Node& node = nodes_.at(link.node);
        --node.opening;
        if (!std::exchange(node.reached, true)) effects_.log("node " + link.node + " is reached again");
        release(id, link);
      } else if (link.stage == LinkStage::busy) {
        const auto answer = pg::takeAnswer(bytes);
        if (!answer) {
          // Guards against answers that begin and don't end, which would take all of the txn's time: what has
          // begun is whole soon. May hurt where the network takes longer for one than for a connection.
          if (!bytes.empty() && !std::exchange(link.answering, true))
            setDue(id, link, std::min(link.due, now_ + bounds_.connectLimit));
          break;
        }
        takeAnswer(id, link, *answer, !bytes.empty());
      } else if (link.stage == LinkStage::clearing) {
        if (!pg::takeAllClear(bytes)) break;
        if (!bytes.empty()) throw pg::Malformed("more than an answer");
        --nodes_.at(link.node).clearing;
        release(id, link);
      } else if (bytes.empty()) {
        break;
      } else {  // bytes that nobody asked for: they must not be taken for the next txn's answer
        throw pg::Malformed("bytes that nobody asked for");
      }
    }
  } catch (const pg::Malformed& bad) {
    logSpoilt(links_.at(id).node, bad.what());
    endLink(id, ConnectionEnd::malformed);
    return size;
  }
  return size - bytes.size();
}

// A line a node and pause at most: any number of answers may be spoilt.
void Gateway::logSpoilt(const NodeId& id, std::string_view what) {
  constexpr Span kPause = Span::millis(10000);  // a few lines a minute are read, more are not
  Node& node = nodes_.at(id);
  ++node.spoilt;
  if (node.spoiltAt != Instant() && now_ - node.spoiltAt < kPause) return;
  node.spoiltAt = now_;
  effects_.log(
      "node " + id + " sent what can't be read: " + std::string(what) +
      (node.spoilt > 1 ? ", " + std::to_string(node.spoilt) + " times since the last such line" : ""));
  node.spoilt = 0;
}

// Its answer is whole. Guards against more than that, a second copy or noise, which must not be taken for the
// next txn's answer, however late it comes: an empty query is asked, and once its answer has come nothing
// older is on the way. Costs a message each way; may hurt at nodes that answer empty queries late.
void Gateway::clear(LinkId id, Link& link, bool more) {
  Node& node = nodes_.at(link.node);
  link.stage = LinkStage::clearing;
  link.job = {};
  ++node.clearing;
  setDue(id, link, now_ + bounds_.connectLimit);
  if (more) throw pg::Malformed("more than an answer");
  if (leaving(node)) return endLink(id, ConnectionEnd::nodeLeft);
  effects_.writeNode(id, {pg::queryHead(0), {"\0", 1}});
}

void Gateway::takeAnswer(LinkId id, Link& link, const pg::Answer& answer, bool more) {
  const Job job = link.job;
  const NodeId node = link.node;
  const End how = endOf(answer.verdict);
  if (how == End::committed && job.txn != 0)
    finishTxn(job.txn, {answer.description, answer.row, answer.complete, pg::readyForQuery()});
  Standing report = standingOf(answer.report);
  if (job.txn == 0 && how == End::committed) report = standingOf(pg::readReport(answer.value));
  endJob(job, node, how, standingOf(answer), report);
  if (answer.fatal)
    endLink(id, ConnectionEnd::broken);
  else
    clear(id, link, more);
}

// The connection has no job any more.
void Gateway::release(LinkId id, Link& link) {
  Node& node = nodes_.at(link.node);
  link.stage = LinkStage::idle;
  while (!node.waiting.empty()) {
    const Job job = node.waiting.front();
    node.waiting.pop_front();
    const Submission* submission = submissionOf(job);
    if (job.txn == 0 || (submission && submission->sendBy > now_)) return write(id, link, job);
    endJob(job, link.node, End::notSent, {}, {});
  }
  node.idle.push_back(id);
  setDue(id, link, now_ + bounds_.idleLimit * kIdlePart);
  if (leaving(node)) endLink(id, ConnectionEnd::nodeLeft);
}

void Gateway::linkEnded(Instant now, LinkId id, ConnectionEnd how) {
  now_ = later(now_, now);
  endLink(id, how);
}

void Gateway::endLink(LinkId id, ConnectionEnd how) {
  const auto at = links_.find(id);
  if (at == links_.end()) return;
  const Link link = at->second;
  due_.erase({link.due, id});
  links_.erase(at);
  effects_.closeNode(id);
  Node& node = nodes_.at(link.node);
  if (link.stage == LinkStage::idle) {
    std::erase(node.idle, id);
  } else if (link.stage == LinkStage::busy) {
    endJob(link.job, link.node, outcomeOf(how, link.written), {}, {});
  } else if (link.stage == LinkStage::clearing) {
    --node.clearing;
    openFor(link.node, node);
  } else {
    if (how != ConnectionEnd::nodeLeft && std::exchange(node.reached, false))
      effects_.log("node " + link.node + " is not reached: " + std::string(nameOf(how)));
    if (--node.opening + node.clearing < node.waiting.size()) {
      const Job job = node.waiting.front();
      node.waiting.pop_front();
      endJob(job, link.node, outcomeOf(how, false), {}, {});
    }
  }
}

// The outcome of a submission or a probe, told to the module.
void Gateway::endJob(Job job, const NodeId& node, End how, const Standing& answer, const Standing& report) {
  if (job.txn == 0) return arrived([=](Router& router) { router.probed(node, how, report); });
  Submission* submission = submissionOf(job);
  if (!submission || std::exchange(submission->over, true)) return;
  const Span latency = now_ - submission->sentAt;
  const bool txnOver = owed(job.txn) == nullptr;
  arrived([=](Router& router) {
    router.ended(job.txn, job.submission, node, how, txnOver, latency, answer, report);
  });
  forget(job.txn);
}

void Gateway::endWaiting(const NodeId& id, Node& node, ConnectionEnd how) {
  for (const Job job : std::exchange(node.waiting, {})) endJob(job, id, outcomeOf(how, false), {}, {});
}

// --- The list

void Gateway::listed(Instant now, ListKind kind, const std::vector<Addressed>& list) {
  now_ = later(now_, now);
  if (kind != ListKind::changes)
    for (auto& [id, node] : nodes_) node.health = Health::gone;
  std::vector<ListEntry> entries;
  for (const auto& [entry, address] : list) {
    Node& node = nodes_[entry.node];
    if (node.address != address)
      while (!node.idle.empty()) endLink(LinkId(node.idle.back()), ConnectionEnd::nodeLeft);
    node.address = address;
    node.health = entry.health;
    entries.push_back(entry);
    listKnown_ = true;
  }
  for (auto& [id, node] : nodes_) {
    if (!leaving(node)) continue;
    endWaiting(id, node, ConnectionEnd::nodeLeft);
    while (!node.idle.empty()) endLink(LinkId(node.idle.back()), ConnectionEnd::nodeLeft);
  }
  arrived([=](Router& router) { router.listed(kind, entries); });
  if (!listKnown_) return;
  std::vector<ClientId> waiting;
  for (const auto& [id, client] : clients_)
    if (client.waitsForList) waiting.push_back(id);
  for (const ClientId id : waiting) {
    answerEmpty(id, clients_.at(id));
    nextOf(id);
  }
}

// Nothing new may go to it. Where only draining binds, a node that is listed as gone is used as before.
bool Gateway::leaving(const Node& node) const {
  return node.health == Health::draining || (node.health == Health::gone && goneBinds_);
}

void Gateway::listFailed(Instant now) {
  now_ = later(now_, now);
  arrived([](Router& router) { router.listFailed(); });
}

// --- The configuration

void Gateway::configured(Instant now, const std::string& discovery, const std::vector<std::string>& kept) {
  now_ = later(now_, now);
  const bool moved = discovery_ != discovery, anew = !discovery_.empty();
  for (const auto& key : kept) effects_.log("configuration: " + key + " has changed: after a restart");
  if (anew) effects_.log("configuration read anew: discovery at " + discovery + (moved ? "" : ", as before"));
  if (!moved) return;
  discovery_ = discovery;
  effects_.followDiscovery(discovery);
}

void Gateway::misconfigured(Instant now, std::string_view fault) {
  now_ = later(now_, now);
  effects_.log("configuration not taken, all goes on as it was: " + std::string(fault));
}

// --- Turns

void Gateway::shutDown(Instant now) {
  now_ = later(now_, now);
  if (std::exchange(stopping_, true)) return;
  stopAt_ = now_ + kGraceAtEnd;
  effects_.log("told to end: serving on for a while, then answering what was taken");
}

Instant Gateway::endTurn(Instant now) {
  now_ = later(now_, now);
  while (!due_.empty() && due_.begin()->first <= now_) {
    const LinkId id = due_.begin()->second;
    const Link& link = links_.at(id);
    const bool busy = link.stage == LinkStage::busy, begun = link.answering;
    if (link.stage == LinkStage::clearing || (busy && begun))
      logSpoilt(link.node, "an answer without an end");
    endLink(id, link.stage == LinkStage::idle                ? ConnectionEnd::retired
                : link.stage == LinkStage::clearing || begun ? ConnectionEnd::malformed
                : busy                                       ? ConnectionEnd::unanswered
                                                             : ConnectionEnd::neverUp);
  }
  while (!clientsDue_.empty() && clientsDue_.begin()->first <= now_)
    fatal(clientsDue_.begin()->second, pg::kProtocolViolation, "a message has not come whole in time");
  if (stopping_ && now_ >= stopAt_) {
    if (!std::exchange(stopped_, true)) effects_.stopListening();
    // Once more, for those that had just come and have asked for nothing since.
    std::vector<ClientId> idle;
    for (const auto& [id, client] : clients_)
      if (client.txn == 0 && !isFresh(client, bounds_.connectLimit)) idle.push_back(id);
    for (const ClientId id : idle) dropClient(id);
  }
  if (!arrivals_.empty() || (wakeAt_ != Instant() && wakeAt_ <= now_)) {
    if (wakeAt_ <= now_) wakeAt_ = Instant();
    router_.round(now_, *this, *this);
  }
  Instant next = arrivals_.empty() ? wakeAt_ : now_;
  const auto sooner = [&](Instant at) {
    if (at != Instant() && (next == Instant() || at < next)) next = at;
  };
  if (!due_.empty()) sooner(due_.begin()->first);
  if (!clientsDue_.empty()) sooner(clientsDue_.begin()->first);
  if (stopping_) sooner(stopped_ ? now_ + bounds_.connectLimit : stopAt_);
  return next;
}

void Gateway::deliver(Router& router) {
  // What the module asks for meanwhile may end submissions at once: that is for the next round.
  for (const auto& call : std::exchange(arrivals_, {})) call(router);
}

void Gateway::submit(TxnId txn, const NodeId& id, Instant sendBy, Instant cutAt) {
  Live* live = owed(txn);
  if (!live) return;
  const Job job{txn, static_cast<unsigned>(live->submissions.size())};
  live->submissions.push_back({0, id, now_, sendBy, cutAt, false});
  const auto node = nodes_.find(id);
  if (node == nodes_.end()) return endJob(job, id, End::notSent, {}, {});
  dispatch(id, node->second, job);
}

void Gateway::callOff(TxnId txn, unsigned number) {
  const Job job{txn, number};
  const Submission* submission = submissionOf(job);
  if (!submission || submission->over) return;
  if (submission->link != 0) return endLink(submission->link, ConnectionEnd::calledOff);
  const NodeId id = submission->node;
  auto& waiting = nodes_.at(id).waiting;
  std::erase_if(waiting, [&](Job other) { return other.txn == txn && other.submission == number; });
  endJob(job, id, outcomeOf(ConnectionEnd::calledOff, false), {}, {});
}

void Gateway::decline(TxnId txn, Span comeBackAfter) {
  finishTxn(txn, {pg::declined(comeBackAfter.inMicros() / 1000), pg::readyForQuery()});
}

void Gateway::rollBack(TxnId txn) { finishTxn(txn, {pg::rolledBack(), pg::readyForQuery()}); }

void Gateway::probe(const NodeId& id) {
  const auto node = nodes_.find(id);
  if (node == nodes_.end()) return endJob({}, id, End::notSent, {}, {});
  dispatch(id, node->second, {});
}

void Gateway::wakeAfter(Span after) {
  const Instant at = now_ + after;
  if (wakeAt_ == Instant() || wakeAt_ <= now_ || at < wakeAt_) wakeAt_ = at;
}

void Gateway::followList() { effects_.askForList(); }

void Gateway::forget(const NodeId& id) {
  const auto node = nodes_.find(id);
  if (node == nodes_.end() || node->second.health != Health::gone) return;  // a newer list names it
  endWaiting(id, node->second, ConnectionEnd::nodeLeft);
  std::vector<LinkId> left;
  for (const auto& [link, at] : links_)
    if (at.node == id) left.push_back(link);
  for (const LinkId link : left) endLink(link, ConnectionEnd::nodeLeft);
  nodes_.erase(node);
}

}  // namespace gulltrestle::gateway
