#include "server/server.h"

#include <spdlog/spdlog.h>

#include <system_error>

#include "http/response.h"
#include "json/json.h"
#include "loop/sockets.h"

namespace gulltrestle::server {

using gateway::ClientId;
using gateway::ConnectionEnd;
using gateway::LinkId;
using gateway::Parts;
using loop::Io;

namespace {

// Descriptors that neither clients nor nodes get: standard streams, epoll, signals, listener, discovery, and
// some that are just being closed.
constexpr std::size_t kReserved = 32;
// A router has few txns out to each node; the rest is for clients, who hold on to connections.
constexpr std::size_t kLinksPart = 4;

std::size_t linksOf(const startup::Start& start) { return (start.descriptors - kReserved) / kLinksPart; }

gateway::Bounds boundsOf(const startup::Start& start) {
  return {start.told.idleLimit, start.told.connectLimit, linksOf(start)};
}

// More than any message that is taken: what a client sends ahead waits in the kernel beyond that.
constexpr std::size_t kMostKept = 256 * 1024;

// Discovery sends an empty line every 2 s while nothing changes: after two that did not come it is silent.
constexpr Span kListSilence = Span::millis(5000);
// Between two tries to reach discovery: a list that is so much older costs little, and no storm comes up.
constexpr Span kListPause = Span::millis(250);
// A list of a thousand nodes is a fifth of this.
constexpr std::size_t kLongestList = 1024 * 1024;

std::vector<gateway::Addressed> addressed(startup::NodeList list) {
  std::vector<gateway::Addressed> made;
  for (auto& node : list.nodes) made.push_back({std::move(node.entry), std::move(node.address)});
  return made;
}

}  // namespace

struct Server::Connection {
  Connection(loop::Loop& loop, loop::Descriptor descriptor) : stream(loop, std::move(descriptor)) {}

  loop::Stream stream;
  std::string kept;    // read, and not taken yet
  std::string unsent;  // short writes leave this
  bool offer = false;    // what is kept may be taken now
  bool closing = false;  // to be closed once all is sent
  bool gone = false;     // to be closed at once
  bool ended = false;    // the other side sends no more
  bool broken = false;
};

template <typename Id>
class Server::Place {
 public:
  Place(std::map<Id, Connection*>& table, Id id, Connection& connection) : table_(table), id_(id) {
    table_[id_] = &connection;
  }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  ~Place() { table_.erase(id_); }

 private:
  std::map<Id, Connection*>& table_;
  Id id_;
};

Server::Server(startup::Start start)
    : start_(std::move(start)),
      signals_(std::make_unique<loop::Stream>(loop_, loop::endSignals())),
      listener_(std::make_unique<loop::Stream>(loop_,
                                               loop::listenOn(start_.listen.host, start_.listen.port))),
      mostClients_(start_.descriptors - kReserved - linksOf(start_)),
      gateway_(start_.told.terms, start_.told.typeNames, start_.seed, boundsOf(start_), *this) {}

Server::~Server() = default;

void Server::run() {
  spdlog::info("{} listens on {}:{}, {} nodes known", start_.name, start_.listen.host, start_.listen.port,
               start_.known.nodes.size());
  listVersion_ = start_.known.version;
  gateway_.listed(loop_.now(), ListKind::disk, addressed(start_.known));
  loop_.spawn(watchSignals());
  loop_.spawn(followList());
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
  const Instant next = gateway_.endTurn(now);
  if (gateway_.finished() && !accepting_ && clients_.empty()) loop_.stop();
  return next;
}

// --- Effects

void Server::connect(LinkId link, const std::string& address) {
  links_[link] = nullptr;
  loop_.spawn(serveLink(link, address));
}

bool Server::writeNode(LinkId link, Parts parts) {
  Connection& connection = *links_.at(link);
  send(connection, parts);
  return connection.unsent.empty() && !connection.broken;
}

void Server::closeNode(LinkId link) {
  const auto at = links_.find(link);
  if (at == links_.end()) return;
  if (at->second) {
    at->second->gone = true;
    at->second->stream.wake();
  } else {
    links_.erase(at);
  }
}

void Server::writeClient(ClientId client, Parts parts) {
  if (const auto at = clients_.find(client); at != clients_.end()) send(*at->second, parts);
}

void Server::readClient(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end()) return;
  at->second->offer = true;
  at->second->stream.wake();
}

void Server::closeClient(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end()) return;
  at->second->closing = true;
  at->second->stream.wake();
}

void Server::stopListening() {
  accepting_ = false;
  listener_->wake();
}

void Server::askForList() {}  // it is followed all the time

void Server::log(std::string line) { spdlog::info("{}", line); }

// --- Connections

void Server::send(Connection& to, Parts parts) {
  if (to.broken || to.gone) return;
  std::size_t sent = 0;
  if (to.unsent.empty()) {
    const auto done = loop::writeFrom(to.stream.descriptor(), {parts.begin(), parts.size()});
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
  if (to.unsent.empty()) return;
  to.stream.canWrite = false;
}

void Server::flush(Connection& to) {
  while (!to.broken && !to.unsent.empty() && to.stream.canWrite) {
    const std::string_view all = to.unsent;
    const auto done = loop::writeFrom(to.stream.descriptor(), {&all, 1});
    if (done.how == Io::failed) to.broken = true;
    if (done.how == Io::wouldBlock) to.stream.canWrite = false;
    to.unsent.erase(0, done.size);
    if (to.unsent.empty()) to.unsent.shrink_to_fit();
  }
}

// Reads once, and offers what there is.
template <typename Take>
void Server::read(Connection& from, Take take) {
  const auto got = loop::readInto(from.stream.descriptor(), buffer_);
  if (got.how == Io::wouldBlock) from.stream.canRead = false;
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
}

loop::Task Server::acceptClients() {
  while (accepting_) {
    loop::Descriptor taken;
    const Io how = loop::accept(listener_->descriptor(), taken);
    if (how == Io::some) {
      if (clients_.size() >= mostClients_ && !gateway_.closeIdleClient()) {
        const std::string full = pg::error("FATAL", "53300", "too many clients");
        const std::string_view part = full;
        loop::writeFrom(taken.number(), {&part, 1});
        continue;
      }
      loop_.spawn(serveClient(++lastClient_, std::move(taken)));
    } else if (how == Io::noDescriptor) {
      spdlog::warn("no descriptor is left for a new client");
      gateway_.closeIdleClient();
      co_await loop_.sleepUntil(loop_.now() + Span::millis(10));
    } else if (how == Io::failed) {
      spdlog::error("the listening socket failed");
      co_await loop_.sleepUntil(loop_.now() + Span::millis(100));
    } else {
      co_await listener_->changed();
    }
  }
  listener_.reset();
}

loop::Task Server::serveClient(ClientId id, loop::Descriptor descriptor) {
  Connection client(loop_, std::move(descriptor));
  const Place<ClientId> place(clients_, id, client);
  gateway_.clientOpened(loop_.now(), id);
  const auto take = [&](std::string_view bytes) { return gateway_.clientSent(loop_.now(), id, bytes); };
  while (!client.broken) {
    flush(client);
    if (client.broken) break;
    if (client.closing) {
      if (client.unsent.empty()) co_return;
    } else if (client.unsent.empty() && std::exchange(client.offer, false)) {
      client.kept.erase(0, take(client.kept));
      if (client.ended) gateway_.clientSendsNoMore(loop_.now(), id);
      continue;
    } else if (client.stream.canRead && !client.ended && client.kept.size() < kMostKept) {
      read(client, take);
      if (client.ended) gateway_.clientSendsNoMore(loop_.now(), id);
      if (client.broken) break;
      // One read a turn: the others have theirs.
      if (client.stream.canRead) client.stream.wake();
    }
    co_await client.stream.changed();
  }
  gateway_.clientEnded(loop_.now(), id, ConnectionEnd::broken);
}

loop::Task Server::serveLink(LinkId id, std::string address) {
  if (!links_.contains(id)) co_return;  // closed before it was opened
  const auto to = startup::readAddress("addr", address);
  loop::Descriptor descriptor = loop::startConnecting(to.host, to.port);
  if (!descriptor) {
    links_.erase(id);
    gateway_.linkEnded(loop_.now(), id, ConnectionEnd::notOpened);
    co_return;
  }
  Connection link(loop_, std::move(descriptor));
  const Place<LinkId> place(links_, id, link);
  while (!link.gone && !link.stream.canWrite) co_await link.stream.changed();
  if (link.gone) co_return;
  if (!loop::isConnected(link.stream.descriptor())) {
    gateway_.linkEnded(loop_.now(), id, ConnectionEnd::refused);
    co_return;
  }
  gateway_.linkUp(loop_.now(), id);
  const auto take = [&](std::string_view bytes) { return gateway_.linkSent(loop_.now(), id, bytes); };
  while (!link.gone && !link.broken && !link.ended) {
    if (!link.unsent.empty()) {
      flush(link);
      if (link.unsent.empty() && !link.broken) gateway_.linkWritten(loop_.now(), id);
    }
    if (link.stream.canRead && !link.broken) read(link, take);
    if (link.gone || link.broken || link.ended) break;
    if (link.stream.canRead) link.stream.wake();
    co_await link.stream.changed();
  }
  gateway_.linkEnded(loop_.now(), id, ConnectionEnd::broken);
}

// --- Signals and discovery

loop::Task Server::watchSignals() {
  for (;;) {
    co_await signals_->changed();
    loop::takeEndSignal(signals_->descriptor());
    gateway_.shutDown(loop_.now());
  }
}

void Server::takeList(std::string_view line, bool isChange) {
  json::Parser parser;
  parser.feed(line);
  parser.finish();
  auto list = startup::readList(parser.take(), start_.told.zone);
  if (list.whole || !isChange) {
    listVersion_ = list.version;
  } else if (list.version < listVersion_) {
    throw startup::BadKey("version", "goes back");
  }
  listVersion_ = list.version;
  const auto kind = list.whole ? ListKind::whole : ListKind::changes;
  spdlog::info("list version {}: {} nodes{}", list.version, list.nodes.size(), list.whole ? "" : " changed");
  gateway_.listed(loop_.now(), kind, addressed(std::move(list)));
}

// Asks for the whole list, then watches it; whenever that ends or fails, again after a pause.
loop::Task Server::followList() {
  const std::string host = start_.discovery.host + ":" + std::to_string(start_.discovery.port);
  bool watch = false;
  for (;; watch = !watch) {
    std::string why = "is silent";
    if (loop::Descriptor descriptor = loop::startConnecting(start_.discovery.host, start_.discovery.port)) {
      Connection from(loop_, std::move(descriptor));
      http::Response response;
      std::string line;
      bool asked = false;
      Instant heardAt = loop_.now();
      const auto body = [&](std::string_view part) {
        line += part;
        if (line.size() > kLongestList) throw http::Malformed("the list is too long");
        for (auto end = line.find('\n'); watch && end != std::string::npos; end = line.find('\n')) {
          if (end > 1) takeList(std::string_view(line).substr(0, end), true);
          line.erase(0, end + 1);
        }
      };
      try {
        while (!from.broken && !from.ended && !response.done()) {
          if (loop_.now() - heardAt > kListSilence) break;
          if (from.stream.canWrite && !asked) {
            asked = true;
            const std::string path = watch ? "/api/targets?stream=1&index=" + std::to_string(listVersion_)
                                           : std::string("/api/targets");
            send(from, {http::get(path, host)});
          }
          flush(from);
          if (asked && from.stream.canRead)
            read(from, [&](std::string_view bytes) {
              heardAt = loop_.now();
              const auto used = response.feed(bytes, body);
              if (response.status() != 0 && response.status() != 200)
                throw http::Malformed("status " + std::to_string(response.status()));
              return used;
            });
          if (from.stream.canRead && !from.ended && !from.broken) from.stream.wake();
          from.stream.wakeAt(heardAt + kListSilence + Span::millis(1));
          if (!from.broken && !from.ended && !response.done()) co_await from.stream.changed();
        }
        if (response.done() && !watch) {
          takeList(line, false);
          continue;  // on to the watch
        }
        if (from.broken || from.ended || response.done()) why = "has ended";
      } catch (const std::runtime_error& bad) {
        why = bad.what();
      }
    } else {
      why = "can't be reached: no descriptor is left";
    }
    spdlog::warn("discovery at {}: the {} {}", host, watch ? "watch" : "list", why);
    gateway_.listFailed(loop_.now());
    watch = true;  // the whole list comes next
    co_await loop_.sleepUntil(loop_.now() + kListPause);
  }
}

}  // namespace gulltrestle::server
