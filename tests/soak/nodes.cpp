#include "soak/nodes.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <sstream>

#include "protocol/postgres/answer.h"
#include "protocol/postgres/statement.h"

namespace gulltrestle::soak {

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr std::size_t kLongest = 1 << 20;
// How often a connection that waits for nothing else looks at its node's state.
constexpr Duration kTick = Duration::millis(3);
// What discovery has to tell counts as told by then, whether it arrived or not.
constexpr Duration kToldWithin = Duration::seconds(6);
// An open watch says something this often.
constexpr Duration kWatchBeat = Duration::seconds(2);
// How far a replica is behind at most when it does not lag.
constexpr Duration kUsualLag = Duration::millis(20);
// A bound counts from the send: what travels, and a router that is held up before it writes.
constexpr Duration kBoundSlack = Duration::millis(200);

std::string nameOf(ReadLevel level) {
  const char* const names[] = {"any", "bounded", "session", "fresh", "write"};
  return names[static_cast<int>(level)];
}

unsigned short portOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void resets(const event_loop::Stream& stream) {
  const linger at{1, 0};
  setsockopt(stream.descriptor(), SOL_SOCKET, SO_LINGER, &at, sizeof at);
}

std::string status(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string row(std::string_view value) {
  std::string body("\0\1", 2);
  for (int shift = 24; shift >= 0; shift -= 8) body += static_cast<char>(value.size() >> shift & 0xFF);
  return postgres::message('T', std::string("\0\1body\0", 7) + std::string(18, '\0')) +
         postgres::message('D', body + std::string(value)) +
         postgres::message('C', std::string("SELECT 1") + '\0');
}

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

}  // namespace

// --- Nodes

Node::Node(World& world, std::string id, bool isPrimary, std::size_t routers)
    : primary(isPrimary), world_(world), id_(std::move(id)) {
  for (std::size_t router = 0; router < routers; ++router) {
    auto listener = std::make_shared<event_loop::Stream>(world_.loop(), event_loop::listenOn(kHost, 0));
    ports_.push_back(portOf(listener->descriptor()));
    world_.loop().spawn(accept(router, std::move(listener)));
  }
}

bool Node::isDown() const { return world_.loop().now() < downUntil_ || state == NodeState::removed; }

void Node::crash(Instant until) {
  downUntil_ = until;
  startedAt = until;
  ++life_;
}

std::string Node::entry(std::size_t router) const {
  const char* const states[] = {"up", "draining", "removed"};
  return R"({"id":")" + id_ + R"(","addr":"127.0.0.1:)" + std::to_string(ports_[router]) +
         R"(","zone":"a","kind":"m","cell":1,"state":")" + states[static_cast<int>(state)] + R"(","part":")" +
         (primary ? "master" : "replica") + R"(","weight":1.0,"started_ms":)" +
         std::to_string(startedAt.inMicros() / 1000) + "}";
}

event_loop::Task Node::accept(std::size_t router, std::shared_ptr<event_loop::Stream> listener) {
  for (;;) {
    event_loop::Descriptor taken;
    if (listener->accept(taken) == event_loop::Io::some)
      world_.loop().spawn(serve(router, std::move(taken)));
    else
      co_await listener->changed();
  }
}

event_loop::Task Node::serve(std::size_t router, event_loop::Descriptor descriptor) {
  event_loop::Stream stream(world_.loop(), std::move(descriptor));
  const std::uint64_t life = life_;
  std::string kept, unsent;
  bool started = false;
  for (;;) {
    if (isDown() || life != life_) {
      resets(stream);
      co_return;
    }
    const bool on = readAll(stream, kept);
    std::string_view bytes = kept;
    if (!started && (started = postgres::takeOpening(bytes).has_value())) unsent += postgres::welcome();
    while (started) {
      const auto message = postgres::takeMessage(bytes, kLongest);
      if (!message || message->type == 'X') break;
      if (message->type != 'Q') continue;
      auto body = message->body;
      unsent += answer(router, postgres::takeText(body));
    }
    kept.erase(0, kept.size() - bytes.size());
    // A node that hangs has taken what came, and may have run it; its answers come late.
    while (!unsent.empty() && world_.loop().now() < hangsUntil_ && !isDown() && life == life_)
      co_await world_.loop().sleepUntil(world_.loop().now() + kTick);
    // What was answered travels for a moment: an answer is a turn later than its run.
    if (!unsent.empty()) co_await world_.loop().sleepUntil(world_.loop().now() + Duration::micros(500));
    if (!write(stream, unsent) || !on) co_return;
    stream.wakeAt(world_.loop().now() + Duration::millis(100));
    co_await stream.changed();
  }
}

Instant Node::position() const {
  const Instant now = world_.loop().now();
  if (primary) return applied_ = now;
  if (now >= lagsUntil_) applied_ = std::max(applied_, now - kUsualLag);
  return applied_;
}

std::string Node::answer(std::size_t router, std::string_view text) {
  const Instant now = world_.loop().now(), position = this->position();
  const std::string told = status("part", primary ? "master" : "replica") +
                           status("caught_up_to", std::to_string(position.inMicros() / 1000)) +
                           postgres::readyForQuery();
  if (postgres::isBlank(text)) return postgres::emptyQueryResponse() + postgres::readyForQuery();
  if (text == "SELECT 1") return row("1") + told;
  if (text.starts_with("SHOW"))
    return row("x0=" + std::to_string((position - Instant()).inSeconds()) + ",x1=" + (primary ? "1" : "0")) +
           told;
  postgres::Statement statement;
  try {
    statement = postgres::readStatement(text);
  } catch (const postgres::InvalidStatement& bad) {
    world_.books().broken(now, "garbled", id_ + " got '" + std::string(text.substr(0, 80)) + "'");
    return postgres::error("ERROR", "08P01", bad.what()) + told;
  }
  const std::string id(statement.id);
  const std::size_t row_ = std::stoul(std::string(statement.typeName).substr(5));  // "type-N"
  const TransactionClass& type = world_.type(row_);
  Seen seen{id,     id_,
            router, Duration::millis(static_cast<std::int64_t>(statement.waitMs)),
            false,  world_.agents()[router]->drainedSince(id_)};
  if (state == NodeState::draining) {
    world_.books().seen(now, seen);
    return postgres::error("ERROR", "53300", "draining") + told;
  }
  if (statement.writes && !primary) {
    world_.books().seen(now, seen);
    return postgres::error("ERROR", "25006", "no primary") + told;
  }
  const bool tooOld = isTooOld(now, position, type, statement);
  const bool rejects = tooOld && world_.nodesGuard() && type.level != ReadLevel::linearizable;
  seen.runs = !rejects && world_.runs(id, type);
  world_.books().seen(now, seen);
  if (rejects) return postgres::error("ERROR", "72000", "too far behind") + told;
  if (now < errsUntil_ && world_.below(2) == 0) return postgres::error("ERROR", "XX000", "fails") + told;
  if (tooOld) world_.books().stale(now, id, id_ + " (" + nameOf(type.level) + ")");
  return row("value-of-" + id) + told;
}

// Whether what it would answer from is older than the read's type allows.
bool Node::isTooOld(Instant now, Instant position, const TransactionClass& type,
                    const postgres::Statement& statement) const {
  const Instant after =
      Instant() + Duration::millis(static_cast<std::int64_t>(statement.afterMs.value_or(0)));
  switch (type.level) {
    case ReadLevel::session:
      // Positions are rounded down to milliseconds. Without carried ages a router knows its own start's
      // writes alone.
      return world_.agesCarried() && after > position + Duration::millis(1);
    case ReadLevel::bounded:
      return position < now - type.maxStaleness - kBoundSlack;
    case ReadLevel::linearizable:
      return !primary;
    case ReadLevel::any:
    case ReadLevel::write:
      return false;
  }
  return false;
}

// --- Discovery

Agent::Agent(World& world, std::size_t router) : world_(world), router_(router) {
  auto listener = std::make_shared<event_loop::Stream>(world_.loop(), event_loop::listenOn(kHost, 0));
  port_ = portOf(listener->descriptor());
  world_.loop().spawn(accept(std::move(listener)));
}

bool Agent::isDown() const { return world_.loop().now() < downUntil_; }

void Agent::changed() {
  // Told by 6 s after discovery had it and could be reached; by then also where a watch tells it at once.
  const Instant now = world_.loop().now();
  for (const auto& node : world_.nodes()) {
    if (node->state == NodeState::up)
      drained_.erase(node->id());
    else
      drained_.try_emplace(node->id(), std::max(now, downUntil_) + kToldWithin);
  }
}

Instant Agent::drainedSince(const std::string& node) const {
  const auto at = drained_.find(node);
  return at == drained_.end() ? Instant() : at->second;
}

event_loop::Task Agent::accept(std::shared_ptr<event_loop::Stream> listener) {
  for (;;) {
    event_loop::Descriptor taken;
    if (listener->accept(taken) == event_loop::Io::some)
      world_.loop().spawn(serve(std::move(taken)));
    else
      co_await listener->changed();
  }
}

event_loop::Task Agent::serve(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(world_.loop(), std::move(descriptor));
  std::string kept, unsent;
  bool watches = false;
  std::uint64_t told = 0;
  Instant saidAt = world_.loop().now();
  for (;;) {
    if (isDown()) co_return;
    if (!readAll(stream, kept)) co_return;
    if (!watches && kept.find("\r\n\r\n") != std::string::npos) {
      watches = kept.find("stream=1") != std::string::npos;
      const std::string list = world_.list(router_);
      told = world_.version();
      if (!watches) {
        unsent += "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        write(stream, unsent);
        co_return;
      }
      unsent += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n");
      saidAt = world_.loop().now();
    }
    if (watches && told != world_.version()) {
      told = world_.version();
      unsent += chunk(world_.list(router_) + "\n");
      saidAt = world_.loop().now();
    }
    if (watches && world_.loop().now() - saidAt >= kWatchBeat) {
      unsent += chunk("\n");
      saidAt = world_.loop().now();
    }
    if (!write(stream, unsent)) co_return;
    stream.wakeAt(world_.loop().now() + Duration::millis(50));
    co_await stream.changed();
  }
}

// --- The world

World::World(event_loop::EventLoop& loop, Books& books, const RoutingConfig& terms, std::size_t routers,
             std::uint64_t seed)
    : loop_(loop),
      books_(books),
      types_(terms.transactionClasses),
      agesCarried_(terms.sessionAgeProvided),
      nodesGuard_(terms.nodesRejectStaleReads),
      chance_(seed) {
  constexpr std::size_t kNodes = 5;
  for (std::size_t node = 0; node < kNodes; ++node)
    nodes_.push_back(std::make_unique<Node>(*this, "s-" + std::to_string(node), node == 0, routers));
  for (std::size_t router = 0; router < routers; ++router)
    agents_.push_back(std::make_unique<Agent>(*this, router));
}

std::string World::list(std::size_t router) const {
  std::string entries;
  for (const auto& node : nodes_) {
    if (node->state == NodeState::removed) continue;
    entries += (entries.empty() ? "" : ",") + node->entry(router);
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"full":true,"servers":[)" + entries + "]}";
}

void World::changed() {
  ++version_;
  for (const auto& agent : agents_) agent->changed();
}

bool World::runs(const std::string& id, const TransactionClass& type) {
  const auto [at, isNew] = ran_.try_emplace(id, loop_.now());
  if (isNew || type.effect != Effect::deduplicated) return true;
  return loop_.now() - at->second > type.deduplicationWindow;
}

}  // namespace gulltrestle::soak
