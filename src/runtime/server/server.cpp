#include "runtime/server/server.h"

#include <spdlog/spdlog.h>

#include <system_error>

#include "discovery/poll_schedule.h"
#include "protocol/http1/response.h"
#include "protocol/json/json.h"
#include "protocol/postgres/messages.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::server {

using event_loop::Io;
using gateway::ByteSlices;
using gateway::ClientId;
using gateway::ConnectionCloseReason;
using gateway::NodeConnectionId;

namespace {

// Descriptors that neither clients nor nodes get: standard streams, epoll, signals, listener, discovery, and
// some that are just being closed.
constexpr std::size_t kReserved = 32;
// A router has few txns out to each node; the rest is for clients, who hold on to connections.
constexpr std::size_t kLinksPart = 4;

// Clients keep at most a third of the descriptors for txns: the deployment's word, which settings don't
// carry.
constexpr std::size_t kTxnsPart = 3;

RoutingConfig termsOf(const config::RouterConfig& start, const ReservedResources& beside) {
  RoutingConfig terms = start.deployment.routing;
  terms.connectionPerAttempt = true;
  terms.maxOpenTransactions = start.descriptors / kTxnsPart + beside.openTxns;
  terms.degradationEnabled = beside.reducedByLevel;
  return terms;
}

std::size_t linksOf(const config::RouterConfig& start) {
  return (start.descriptors - kReserved) / kLinksPart;
}

// A quarter of the memory for statements that are held, and another for what connections keep: buffers grow
// by doubling, which may take as much again, and nodes' answers come on top.
std::size_t bytesOf(const config::RouterConfig& start) { return start.memoryBytes / 4; }

gateway::Bounds boundsOf(const config::RouterConfig& start) {
  return {start.deployment.idleLimit, start.deployment.connectLimit, linksOf(start), bytesOf(start),
          start.descriptors / kTxnsPart};
}

// A client that is told that nothing more comes ends its side within a turn of the network, or rests: two of
// the times in which a connection comes up.
constexpr double kClosingTimes = 2;

// Of the clients that are idle this part makes room at a time: one by one each costs a look at all.
constexpr std::size_t kRoomPart = 32;
// Clients that are being closed, and no longer count, take of the reserved descriptors. Beyond that, and
// where a new client wants the place, those that have been at it longest go at once.
constexpr std::size_t kMostClosing = 12;
// New clients that are taken in a turn: those that are there come first where many knock at once.
constexpr int kAcceptsATurn = 8;

// What a client sends ahead of an answer: some short statements, or the begin of a long one.
constexpr std::size_t kMostAhead = 16 * 1024;

// A list of a thousand nodes is a fifth of this.
constexpr std::size_t kLongestList = 1024 * 1024;

event_loop::Descriptor listenAt(const config::Address& at) {
  try {
    return event_loop::listenOn(at.host, at.port);
  } catch (const std::system_error& fault) {
    throw config::ConfigError("listen", at.host + ":" + std::to_string(at.port) + ": " + fault.what());
  }
}

// Turns are some milliseconds apart; a process that sees nothing for longer was held up.
constexpr Duration kStoodStill = Duration::millis(50);

// A client that is gone answers a notice with a reset, in a turn of the network.
constexpr Duration kGoneShows = Duration::millis(25);

// After a turn that failed: long enough not to spin, and short against any deadline.
constexpr Duration kPauseAfterFault = Duration::millis(10);

std::vector<gateway::ResolvedEndpoint> addressed(config::EndpointList list) {
  std::vector<gateway::ResolvedEndpoint> made;
  for (auto& node : list.nodes) made.push_back({std::move(node.entry), std::move(node.address)});
  return made;
}

}  // namespace

struct Server::Connection {
  Connection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}

  event_loop::Stream stream;
  std::string kept;      // read, and not taken yet
  std::string unsent;    // short writes leave this
  bool offer = false;    // what is kept may be taken now
  bool closing = false;  // to be closed once all is sent
  Instant unreadSince;   // when what it sends was first left unread; never: it is not
  bool hurried = false;  // its place is wanted: what it still sends is waited for no longer
  bool gone = false;     // to be closed at once
  bool ended = false;    // the other side sends no more
  bool broken = false;
  std::size_t counted = 0;  // of what it keeps, in the sum over all
  Instant askedAt;          // when a client that may be gone was sent a notice; never: it was not
  Instant stuckAt;          // when it is closed unless it takes what is unsent; never: nothing is
};

template <typename Id>
class Server::ConnectionEntry {
 public:
  ConnectionEntry(Server& server, std::map<Id, Connection*>& table, Id id, Connection& connection)
      : server_(server), table_(table), id_(id), connection_(connection) {
    table_[id_] = &connection;
  }
  ConnectionEntry(const ConnectionEntry&) = delete;
  ConnectionEntry& operator=(const ConnectionEntry&) = delete;
  ~ConnectionEntry() {
    table_.erase(id_);
    server_.bytes_ -= connection_.counted;
  }

 private:
  Server& server_;
  std::map<Id, Connection*>& table_;
  Id id_;
  Connection& connection_;
};

Server::Server(config::RouterConfig start, ReservedResources beside)
    : start_(std::move(start)),
      signals_(std::make_unique<event_loop::Stream>(loop_, event_loop::signals())),
      listener_(std::make_unique<event_loop::Stream>(loop_, listenAt(start_.listen))),
      mostClients_(start_.descriptors - kReserved - linksOf(start_)),
      mostBytes_(bytesOf(start_)),
      gateway_(termsOf(start_, beside), start_.deployment.typeNames, start_.seed, boundsOf(start_), *this) {
  if (mostClients_ <= beside.descriptors)
    throw config::ConfigError("limits.sockets",
                              "leaves none for clients beside the other fronts' connections");
  mostClients_ -= beside.descriptors;
  for (const auto& type : start_.deployment.routing.transactionClasses)
    longestDeadline_ = std::max(longestDeadline_, type.deadline);
}

Server::~Server() { loop_.endTasks(); }

void Server::run() {
  spdlog::info("{} listens on {}:{}, {} nodes known", start_.name, start_.listen.host, start_.listen.port,
               start_.known.nodes.size());
  ledger().advanceTo(loop_.now());
  ledger().invariants().checkStart(loop_.now(), loop_.now() - begunAt_, [this] { return start_.name; });
  listVersion_ = start_.known.version;
  gateway_.onEndpointList(loop_.now(), EndpointUpdateKind::restored, addressed(start_.known));
  const auto& at = start_.discovery;
  gateway_.onConfigLoaded(loop_.now(), at.host + ":" + std::to_string(at.port), {});
  loop_.spawn(watchSignals());
  loop_.spawn(followEndpointList());
  loop_.spawn(acceptClients());
  loop_.run([this](Instant now) { return endTurn(now); },
            [](std::exception_ptr failure) {
              try {
                std::rethrow_exception(failure);
              } catch (const std::exception& caught) {
                spdlog::error("a connection's task failed: {}", caught.what());
              }
            });
  spdlog::info("ended");
}

Instant Server::endTurn(Instant now) {
  Instant next = now + kPauseAfterFault;
  // Guards against whatever a turn may throw (memory that is not to be had above all): the txns of that turn
  // may be lost, those of all others are not. May hurt by going on with a state that the fault left half
  // changed.
  try {
    next = gateway_.endTurn(now);
  } catch (const std::exception& bad) { spdlog::error("a turn failed: {}", bad.what()); }
  if (gateway_.finished() && !listener_ && clients_.empty()) loop_.stop();
  return next;
}

// --- Effects

void Server::connect(NodeConnectionId link, const std::string& address) {
  links_[link] = nullptr;
  loop_.spawn(serveNodeConnection(link, address));
}

bool Server::writeNode(NodeConnectionId link, ByteSlices parts) {
  Connection& connection = *links_.at(link);
  send(connection, parts);
  return connection.unsent.empty() && !connection.broken;
}

void Server::closeNode(NodeConnectionId link) {
  const auto at = links_.find(link);
  if (at == links_.end()) return;
  if (at->second) {
    at->second->gone = true;
    at->second->stream.wake();
  } else {
    links_.erase(at);
  }
}

void Server::writeClient(ClientId client, ByteSlices parts) {
  if (const auto at = clients_.find(client); at != clients_.end() && at->second) send(*at->second, parts);
}

void Server::readClient(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end() || !at->second) return;
  at->second->offer = true;
  at->second->stream.wake();
}

void Server::closeClient(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end() || !at->second) return;
  at->second->closing = true;
  at->second->stream.wake();
}

void Server::stopListening() {
  accepting_ = false;
  listener_->wake();
}

void Server::requestEndpointList() {}  // it is followed all the time

void Server::followDiscovery(const std::string& address) {
  discovery_ = config::readAddress("discovery", address);
  if (toDiscovery_) toDiscovery_->wake();
}

void Server::log(std::string line) { spdlog::info("{}", line); }

// --- Connections

void Server::send(Connection& to, ByteSlices parts) {
  if (to.broken || to.gone) return;
  std::size_t sent = 0;
  if (to.unsent.empty()) {
    const auto done = to.stream.write({parts.begin(), parts.size()});
    if (done.how == Io::failed) {
      to.broken = true;
      to.stream.wake();
      return;
    }
    sent = done.size;
  }
  for (auto part : parts) {
    const auto skipped = std::min(sent, part.size());
    sent -= skipped;
    to.unsent += part.substr(skipped);
  }
  if (!to.unsent.empty()) account(to);
}

void Server::account(Connection& connection) {
  const auto bytes = connection.kept.size() + connection.unsent.size();
  bytes_ += bytes - connection.counted;
  connection.counted = bytes;
}

void Server::flush(Connection& to) {
  while (!to.broken && !to.unsent.empty() && to.stream.canWrite()) {
    const std::string_view all = to.unsent;
    const auto done = to.stream.write({&all, 1});
    if (done.how == Io::failed) to.broken = true;
    to.unsent.erase(0, done.size);
    if (to.unsent.empty()) to.unsent.shrink_to_fit();
  }
  account(to);
}

// Reads once, and offers what there is.
template <typename Take>
void Server::read(Connection& from, Take take) {
  const auto got = from.stream.read(buffer_);
  if (got.how == Io::ended) from.ended = true;
  if (got.how == Io::failed) from.broken = true;
  if (got.how != Io::some) return;
  std::string_view bytes(buffer_.data(), got.size);
  if (!from.kept.empty()) bytes = from.kept.append(bytes);
  const auto used = take(bytes);
  if (from.kept.empty())
    from.kept = bytes.substr(used);
  else
    from.kept.erase(0, used);
  if (from.kept.empty()) from.kept.shrink_to_fit();
  account(from);
}

// What is there now came no earlier than this. Guards against statements that came while this process stood
// still: their clients have less time left than they say, and may have gone. May hurt those that came just
// now.
Instant Server::arrivedSince() const {
  const Instant now = loop_.now(), since = loop_.arrivedSince();
  return now - since > kStoodStill ? since : now;
}

// Guards against running out of descriptors: at the bound the client that was idle longest makes room, and
// where none is idle the new one is refused. May hurt clients that come back often, which connect anew each
// time.
event_loop::Task Server::acceptClients() {
  int taken = 0;         // in this turn
  bool failed = false;   // the last one could not be taken, which was logged
  Instant failingSince;  // who is taken now may have been waiting since then; never: none was kept waiting
  // What the kernel has accepted when this ends is taken, too.
  for (bool accepting = true; accepting;) {
    const bool full = clients_.size() >= mostClients_ + std::min(closing_.size(), kMostClosing);
    const bool makesRoom = full && (hurried() || gateway_.closeIdleClients(1 + mostClients_ / kRoomPart));
    if (makesRoom || ++taken > kAcceptsATurn) {
      taken = 0;
      listener_->wake();
      co_await listener_->changed();
      continue;
    }
    event_loop::Descriptor descriptor;
    const Io how = listener_->accept(descriptor);
    if (how == Io::some || how == Io::wouldBlock) failed = false;
    if (how == Io::wouldBlock) failingSince = Instant();
    if (how == Io::some) {
      clients_.emplace(++lastClient_, nullptr);
      const Instant since = failingSince == Instant() ? arrivedSince() : failingSince;
      loop_.spawn(serveClient(lastClient_, std::move(descriptor), !full, since));
    } else if (how == Io::wouldBlock) {
      accepting = accepting_;
      taken = 0;
      if (accepting) co_await listener_->changed();
    } else {
      if (failingSince == Instant()) failingSince = arrivedSince();
      // A pause, lest it spins: what is in the way goes as clients and nodes come and go.
      if (!std::exchange(failed, true))
        spdlog::warn("no new client can be taken: {}",
                     how == Io::noDescriptor ? "no descriptor is left" : "the listening socket failed");
      gateway_.closeIdleClients();
      co_await loop_.sleepUntil(loop_.now() + Duration::millis(10));
    }
  }
  listener_.reset();
}

event_loop::Task Server::serveClient(ClientId id, event_loop::Descriptor descriptor, bool welcome,
                                     Instant knockedSince) {
  ConnectionCloseReason how = ConnectionCloseReason::broken;
  try {
    Connection client(loop_, std::move(descriptor));
    const ConnectionEntry<ClientId> place(*this, clients_, id, client);
    if (welcome) {
      gateway_.clientOpened(loop_.now(), id);
    } else {
      send(client, {postgres::error("FATAL", postgres::kRefused, "refused: too many clients")});
      client.closing = true;
    }
    // Where the first report says that something can be read, it may have come with the connection.
    client.unreadSince = knockedSince;
    const auto take = [&](std::string_view bytes) {
      return gateway_.clientReceived(loop_.now(), id, bytes, client.unreadSince);
    };
    // One that sends no more is still there as long as nothing reports a reset. One that was reset is gone,
    // also where what it sent before could still be read.
    while (!client.broken && !client.stream.hungUp()) {
      flush(client);
      if (client.broken || (client.closing && client.unsent.empty())) break;
      if (client.unsent.empty()) client.stuckAt = Instant();
      if (client.stream.canRead() && client.unreadSince == Instant()) client.unreadSince = arrivedSince();
      if (!client.unsent.empty()) {
        // Guards against clients that ask and never read, which would keep a descriptor and an answer for
        // good.
        if (client.stuckAt == Instant()) {
          client.stuckAt = loop_.now() + longestDeadline_;
          client.stream.wakeAt(client.stuckAt);
        } else if (loop_.now() >= client.stuckAt) {
          how = ConnectionCloseReason::clientStalled;
          break;
        }
      } else if (std::exchange(client.offer, false)) {
        client.kept.erase(0, take(client.kept));
        account(client);
        if (client.ended && !client.offer) gateway_.clientHalfClosed(loop_.now(), id);
        if (!client.offer) continue;
        client.stream.wake();  // the rest in another turn: the others have theirs
      } else if (mayBeGone(client)) {
        if (client.askedAt == Instant()) {
          client.askedAt = loop_.now();
          client.stream.wakeAt(client.askedAt + kGoneShows);
          send(client, {postgres::notice("still there?")});
        }
      } else if (client.stream.canRead() && !client.ended && mayKeep(id, client)) {
        read(client, take);
        // Only once all is read: what one read leaves behind has been there as long as what it took.
        if (!client.stream.canRead()) client.unreadSince = Instant();
        if (client.ended && !client.offer) gateway_.clientHalfClosed(loop_.now(), id);
        // One read a turn: the others have theirs.
        if (client.broken) break;  // told in this turn, before anything more is sent for it
        if (client.stream.canRead() || client.offer) client.stream.wake();
      } else if (client.stream.readEnds() && !client.ended && gateway_.isWaiting(id)) {
        // Its end is behind what is not read yet, as it waits and has sent much ahead.
        gateway_.clientHalfClosed(loop_.now(), id);
      }
      co_await client.stream.changed();
      if (!client.stream.canRead()) client.unreadSince = Instant();
    }
    // Guards against bytes that come as this end closes, or are not read yet: a close over them resets the
    // connection, and the answer that is on its way is lost with it. Nothing of them is sent on. May hurt
    // where the descriptor is wanted meanwhile.
    if (client.closing && !client.broken && !client.stream.hungUp() &&
        how != ConnectionCloseReason::clientStalled) {
      event_loop::endSending(client.stream.descriptor());
      const Instant until = loop_.now() + start_.deployment.connectLimit * kClosingTimes;
      client.stream.wakeAt(until);
      closing_.push_back(id);
      while (!client.ended && !client.broken && !client.stream.hungUp() && !client.hurried &&
             loop_.now() < until) {
        if (client.stream.canRead()) read(client, [](std::string_view bytes) { return bytes.size(); });
        if (client.stream.canRead() && !client.ended && !client.broken) client.stream.wake();
        if (!client.ended && !client.broken) co_await client.stream.changed();
      }
    }
  } catch (const std::exception& bad) { spdlog::error("a client's connection failed: {}", bad.what()); }
  clients_.erase(id);
  std::erase(closing_, id);
  gateway_.clientClosed(loop_.now(), id, how);
}

// Whether its end came with a statement that has been there for a while. Guards against attempts for clients
// that closed long ago: a notice, which clients skip, brings a reset if it is gone. Costs one that only ended
// its sending that wait.
bool Server::mayBeGone(const Connection& client) const {
  const Instant now = loop_.now();
  if (!client.stream.canRead() || !client.stream.readEnds() || client.ended) return false;
  if (client.unreadSince == Instant() || now - client.unreadSince <= kStoodStill) return false;
  return client.askedAt == Instant() || now < client.askedAt + kGoneShows;
}

// Whether there are so many that are being closed that the first goes within a turn.
bool Server::hurried() {
  if (closing_.size() <= kMostClosing) return false;
  Connection& first = *clients_.at(closing_.front());
  first.hurried = true;
  first.stream.wake();
  return true;
}

// Whether more of what a client sends may be read. Guards the memory limit: what a client sends ahead waits
// in the kernel while it is owed an answer, and where too much is kept one that goes on with a long message
// is closed. May hurt clients with long values when many send them at a time.
bool Server::mayKeep(ClientId id, Connection& client) {
  if (client.kept.empty()) return true;
  if (gateway_.isWaiting(id)) return client.kept.size() < kMostAhead && bytes_ < mostBytes_;
  if (bytes_ >= mostBytes_) gateway_.rejectClient(loop_.now(), id);
  return bytes_ < mostBytes_;
}

event_loop::Task Server::serveNodeConnection(NodeConnectionId id, std::string address) {
  ConnectionCloseReason how = ConnectionCloseReason::broken;
  try {
    const auto to = config::readAddress("addr", address);
    event_loop::Descriptor descriptor;
    if (links_.contains(id))
      descriptor = event_loop::startConnecting(to.host, to.port);  // else it is closed already
    if (!descriptor) {
      how = ConnectionCloseReason::noDescriptor;
    } else {
      Connection link(loop_, std::move(descriptor));
      const ConnectionEntry<NodeConnectionId> place(*this, links_, id, link);
      while (!link.gone && !link.stream.canWrite()) co_await link.stream.changed();
      const bool up = !link.gone && event_loop::isConnected(link.stream.descriptor());
      if (up)
        gateway_.nodeConnected(loop_.now(), id);
      else
        how = ConnectionCloseReason::refused;
      const auto take = [&](std::string_view bytes) { return gateway_.nodeReceived(loop_.now(), id, bytes); };
      while (up && !link.gone && !link.broken && !link.ended) {
        if (!link.unsent.empty()) {
          flush(link);
          if (link.unsent.empty() && !link.broken) gateway_.nodeWritten(loop_.now(), id);
        }
        if (link.stream.canRead() && !link.broken) read(link, take);
        // Its end is told in this turn, before anything more is decided: nothing is to be written on it.
        if (link.broken || link.ended) break;
        if (link.stream.canRead()) link.stream.wake();
        co_await link.stream.changed();
      }
    }
  } catch (const std::exception& bad) { spdlog::error("a connection to a node failed: {}", bad.what()); }
  links_.erase(id);
  gateway_.nodeConnectionClosed(loop_.now(), id, how);
}

// --- Signals and discovery

event_loop::Task Server::watchSignals() {
  for (;;) {
    while (const auto signal = event_loop::takeSignal(signals_->descriptor())) {
      if (*signal == event_loop::Signal::terminate)
        gateway_.shutDown(loop_.now());
      else
        reloadConfig();
    }
    signals_->readBlocked();
    co_await signals_->changed();
  }
}

// Guards against whatever the file holds by then: it may be missing, half written or wrong.
void Server::reloadConfig() {
  gateway_.reloadConfig(loop_.now());
  try {
    const auto read = config::readRouterConfig(config::ValuePrecedence::file);
    gateway_.onConfigLoaded(loop_.now(), read.discovery.host + ":" + std::to_string(read.discovery.port),
                            config::keysNeedingRestart(start_, read));
  } catch (const std::exception& bad) { gateway_.onConfigRejected(loop_.now(), bad.what()); }
}

void Server::takeList(json::Value value, bool isChange) {
  auto list = config::readList(value, start_.deployment.zone);
  if (list.isSnapshot || !isChange) {
    listVersion_ = list.version;
  } else if (list.version < listVersion_) {
    throw config::ConfigError("version", "goes back");
  }
  listVersion_ = list.version;
  const auto kind = list.isSnapshot ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta;
  if (!list.nodes.empty())
    spdlog::info("list version {}: {} nodes{}", list.version, list.nodes.size(),
                 list.isSnapshot ? "" : " changed");
  const std::uint64_t version = list.version;
  gateway_.onEndpointList(loop_.now(), kind, addressed(std::move(list)), version);
}

// Asks for the whole list, then watches it; whenever that ends or fails, again after a pause. Where discovery
// has moved, the whole list there comes next, without one: what the old place still sends may be old.
event_loop::Task Server::followEndpointList() {
  std::string lastWhy;  // a call that fails as the one before did is not logged again
  discovery::PollSchedule calls(start_.deployment.routing.endpointListIsPolled, start_.deployment.drainGrace,
                                start_.seed);
  for (bool watch = calls.watchesAtOnce() && !start_.known.nodes.empty();;) {
    const config::Address at = discovery_;
    const std::string host = at.host + ":" + std::to_string(at.port);
    std::string why = "is silent";
    bool spoilt = false;  // what it told can't be used: the whole list is needed
    if (event_loop::Descriptor descriptor = event_loop::startConnecting(at.host, at.port)) {
      Connection from(loop_, std::move(descriptor));
      toDiscovery_ = &from.stream;
      // A drain is known before anything of the same turn is sent.
      from.stream.comesFirst();
      http1::Response response;
      json::Parser parser;
      std::size_t begun = 0;  // bytes of what the parser has begun
      bool asked = false, heard = false;
      const Instant begunAt = loop_.now();
      Instant heardAt = begunAt;
      // Lists may be cut and indented in any way: what ends one is its last bracket. The answer to a call for
      // the whole list is taken once it is over, as one that breaks off may lack more than it shows.
      const auto body = [&](std::string_view part) {
        while (!part.empty()) {
          if (parser.done() && !watch) {
            if (part.find_first_not_of(" \t\r\n") != std::string_view::npos)
              throw http1::Malformed("more than a list");
            return;
          }
          if (begun == 0 && (part[0] == ' ' || part[0] == '\t' || part[0] == '\r' || part[0] == '\n')) {
            part.remove_prefix(1);
            continue;
          }
          const auto used = parser.feed(part);
          part.remove_prefix(used);
          begun += used;
          if (begun > kLongestList) throw http1::Malformed("the list is too long");
          if (!watch || !parser.done()) continue;
          begun = 0;
          takeList(parser.take(), true);
          lastWhy.clear();
        }
      };
      try {
        while (!from.broken && !from.ended && !response.done() && at == discovery_) {
          // Guards against a router that stood still and gives up what is there by then: an answer to a call
          // is looked at first. A watch is not, as what it reads late may have come before it fell silent.
          const Duration patience = calls.silence(watch, heard);
          const bool there = !watch && from.stream.canRead();
          if (loop_.now() - heardAt > patience && !there && (asked || !from.stream.canWrite())) break;
          if (!asked && !from.stream.canWrite() && loop_.now() - begunAt > start_.deployment.connectLimit) {
            why = "does not come up";
            break;
          }
          if (from.stream.canWrite() && !asked) {
            asked = true;
            heardAt = loop_.now();
            send(from, {http1::get(watch ? config::watchPath(listVersion_) : config::listPath(), host)});
          }
          flush(from);
          if (asked && from.stream.canRead())
            read(from, [&](std::string_view bytes) {
              heardAt = loop_.now();
              heard = true;
              gateway_.onDiscoveryActivity(heardAt);
              const auto used = response.feed(bytes, body);
              if (response.status() != 0 && response.status() != 200)
                throw http1::Malformed("status " + std::to_string(response.status()));
              if (response.status() == 200) calls.answered();
              return used;
            });
          if (from.stream.canRead() && !from.ended && !from.broken) from.stream.wake();
          from.stream.wakeAt((asked ? heardAt + patience : begunAt + start_.deployment.connectLimit) +
                             Duration::millis(1));
          if (!from.broken && !from.ended && !response.done()) co_await from.stream.changed();
        }
        if (from.ended) response.end();
        if (at == discovery_ && response.done() && !watch) {
          parser.finish();
          takeList(parser.take(), false);
          watch = true;
          why.clear();
          lastWhy.clear();
        } else if (from.broken || from.ended || response.done()) {
          why = "has ended";
        }
      } catch (const std::runtime_error& bad) {
        why = bad.what();
        spoilt = response.status() == 200;
      }
      toDiscovery_ = nullptr;
    } else {
      why = "can't be reached: no descriptor is left";
    }
    if (at != discovery_) watch = false;
    if (at != discovery_ || why.empty()) continue;
    why = (watch ? "watch " : "list ") + why;
    if (why != lastWhy) spdlog::warn("discovery at {}: the {}", host, why);
    lastWhy = why;
    gateway_.onEndpointListFailed(loop_.now());
    watch = watch && !spoilt && calls.watchesAtOnce();
    co_await loop_.sleepUntil(loop_.now() + calls.pause());
  }
}

}  // namespace gulltrestle::server
