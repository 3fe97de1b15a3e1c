#include "soak/nodes.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <sstream>

#include "protocol/postgres/answer.h"
#include "protocol/postgres/statement.h"

namespace gulltrestle::soak {

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr std::size_t kMaxMessageBytes = 1 << 20;
// How often the connection of a hanging node checks the node's state.
constexpr Duration kPollInterval = Duration::millis(3);
// An endpoint update counts as received by the router after this time, whether it arrived or not.
constexpr Duration kNotificationLimit = Duration::seconds(6);
// The longest time between two writes to an open watch.
constexpr Duration kWatchHeartbeat = Duration::seconds(2);
// How far a replica is behind the primary at most while it has no lag fault.
constexpr Duration kMaxNormalLag = Duration::millis(20);
// Tolerance of the staleness bound, which counts from the time of the send: it covers the time on the network
// and the delay of a router before its write.
constexpr Duration kStalenessTolerance = Duration::millis(200);

std::string readLevelName(ReadLevel level) {
  const char* const names[] = {"any", "bounded", "session", "fresh", "write"};
  return names[static_cast<int>(level)];
}

unsigned short portOf(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void resetOnClose(const event_loop::Stream& stream) {
  const linger lingerOption{1, 0};
  setsockopt(stream.descriptor(), SOL_SOCKET, SO_LINGER, &lingerOption, sizeof lingerOption);
}

std::string parameterStatus(std::string_view name, std::string_view value) {
  return postgres::message('S', std::string(name) + '\0' + std::string(value) + '\0');
}

std::string resultRow(std::string_view value) {
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

Node::Node(Harness& harness, std::string id, bool isPrimary, std::size_t routers)
    : primary(isPrimary), harness_(harness), id_(std::move(id)) {
  for (std::size_t router = 0; router < routers; ++router) {
    auto listener = std::make_shared<event_loop::Stream>(harness_.loop(), event_loop::listenOn(kHost, 0));
    ports_.push_back(portOf(listener->descriptor()));
    harness_.loop().spawn(accept(router, std::move(listener)));
  }
}

bool Node::isDown() const { return harness_.loop().now() < downUntil_ || state == NodeState::removed; }

void Node::crash(Instant until) {
  downUntil_ = until;
  startedAt = until;
  ++incarnation_;
}

std::string Node::endpointEntry(std::size_t router) const {
  const char* const states[] = {"up", "draining", "removed"};
  return R"({"id":")" + id_ + R"(","addr":"127.0.0.1:)" + std::to_string(ports_[router]) +
         R"(","zone":"a","kind":"m","cell":1,"state":")" + states[static_cast<int>(state)] + R"(","part":")" +
         (primary ? "master" : "replica") + R"(","weight":1.0,"started_ms":)" +
         std::to_string(startedAt.inMicros() / 1000) + "}";
}

event_loop::Task Node::accept(std::size_t router, std::shared_ptr<event_loop::Stream> listener) {
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener->accept(accepted) == event_loop::IoStatus::ok)
      harness_.loop().spawn(serve(router, std::move(accepted)));
    else
      co_await listener->changed();
  }
}

event_loop::Task Node::serve(std::size_t router, event_loop::Descriptor descriptor) {
  event_loop::Stream stream(harness_.loop(), std::move(descriptor));
  const std::uint64_t incarnation = incarnation_;
  std::string received, unsent;
  bool started = false;
  for (;;) {
    if (isDown() || incarnation != incarnation_) {
      resetOnClose(stream);
      co_return;
    }
    const bool open = readAll(stream, received);
    std::string_view bytes = received;
    if (!started && (started = postgres::takeStartupMessage(bytes).has_value()))
      unsent += postgres::startupAnswer();
    while (started) {
      const auto message = postgres::takeMessage(bytes, kMaxMessageBytes);
      if (!message || message->type == 'X') break;
      if (message->type != 'Q') continue;
      auto body = message->body;
      unsent += answer(router, postgres::takeString(body));
    }
    received.erase(0, received.size() - bytes.size());
    // A hanging node has received the statements and may have executed them; it delays its answers.
    while (!unsent.empty() && harness_.loop().now() < hangsUntil_ && !isDown() && incarnation == incarnation_)
      co_await harness_.loop().sleepUntil(harness_.loop().now() + kPollInterval);
    // Simulates a short network delay, so that an answer is sent at least one loop iteration after its
    // execution.
    if (!unsent.empty()) co_await harness_.loop().sleepUntil(harness_.loop().now() + Duration::micros(500));
    if (!write(stream, unsent) || !open) co_return;
    stream.wakeAt(harness_.loop().now() + Duration::millis(100));
    co_await stream.changed();
  }
}

Instant Node::position() const {
  const Instant now = harness_.loop().now();
  if (primary) return applied_ = now;
  if (now >= lagsUntil_) applied_ = std::max(applied_, now - kMaxNormalLag);
  return applied_;
}

std::string Node::answer(std::size_t router, std::string_view text) {
  const Instant now = harness_.loop().now(), position = this->position();
  const std::string sessionState =
      parameterStatus("part", primary ? "master" : "replica") +
      parameterStatus("caught_up_to", std::to_string(position.inMicros() / 1000)) + postgres::readyForQuery();
  if (postgres::isBlank(text)) return postgres::emptyQueryResponse() + postgres::readyForQuery();
  if (text == "SELECT 1") return resultRow("1") + sessionState;
  if (text.starts_with("SHOW"))
    return resultRow("x0=" + std::to_string((position - Instant()).inSeconds()) +
                     ",x1=" + (primary ? "1" : "0")) +
           sessionState;
  postgres::Statement statement;
  try {
    statement = postgres::readStatement(text);
  } catch (const postgres::InvalidStatement& bad) {
    harness_.history().recordViolation(now, "garbled",
                                       id_ + " received '" + std::string(text.substr(0, 80)) + "'");
    return postgres::error("ERROR", "08P01", bad.what()) + sessionState;
  }
  const std::string id(statement.id);
  const std::size_t classIndex = std::stoul(std::string(statement.typeName).substr(5));  // "type-N"
  const TransactionClass& transactionClass = harness_.transactionClass(classIndex);
  StatementArrival arrival{id,     id_,
                           router, Duration::millis(static_cast<std::int64_t>(statement.timeoutMs)),
                           false,  harness_.discoveryAgents()[router]->drainNotifiedAt(id_)};
  if (state == NodeState::draining) {
    harness_.history().recordArrival(now, arrival);
    return postgres::error("ERROR", "53300", "draining") + sessionState;
  }
  if (statement.isWrite && !primary) {
    harness_.history().recordArrival(now, arrival);
    return postgres::error("ERROR", "25006", "no primary") + sessionState;
  }
  const bool tooStale = isTooStale(now, position, transactionClass, statement);
  const bool rejects =
      tooStale && harness_.nodesRejectStaleReads() && transactionClass.level != ReadLevel::linearizable;
  arrival.executes = !rejects && harness_.recordExecution(id, transactionClass);
  harness_.history().recordArrival(now, arrival);
  if (rejects) return postgres::error("ERROR", "72000", "too far behind") + sessionState;
  if (now < errsUntil_ && harness_.randomBelow(2) == 0)
    return postgres::error("ERROR", "XX000", "fails") + sessionState;
  if (tooStale)
    harness_.history().recordStaleRead(now, id, id_ + " (" + readLevelName(transactionClass.level) + ")");
  return resultRow("value-of-" + id) + sessionState;
}

// Whether the node's log position is older than the read level allows.
bool Node::isTooStale(Instant now, Instant position, const TransactionClass& transactionClass,
                      const postgres::Statement& statement) const {
  const Instant after =
      Instant() + Duration::millis(static_cast<std::int64_t>(statement.afterMs.value_or(0)));
  switch (transactionClass.level) {
    case ReadLevel::session:
      // Positions are rounded down to milliseconds. If clients don't provide the session age, a router knows
      // only the writes since its own start.
      return harness_.sessionAgeProvided() && after > position + Duration::millis(1);
    case ReadLevel::bounded:
      return position < now - transactionClass.maxStaleness - kStalenessTolerance;
    case ReadLevel::linearizable:
      return !primary;
    case ReadLevel::any:
    case ReadLevel::write:
      return false;
  }
  return false;
}

// --- Discovery agent

DiscoveryAgent::DiscoveryAgent(Harness& harness, std::size_t router) : harness_(harness), router_(router) {
  auto listener = std::make_shared<event_loop::Stream>(harness_.loop(), event_loop::listenOn(kHost, 0));
  port_ = portOf(listener->descriptor());
  harness_.loop().spawn(accept(std::move(listener)));
}

bool DiscoveryAgent::isDown() const { return harness_.loop().now() < downUntil_; }

void DiscoveryAgent::endpointListChanged() {
  // The router counts as notified 6 s after discovery had the change and was reachable, even if a watch
  // notifies it at once.
  const Instant now = harness_.loop().now();
  for (const auto& node : harness_.nodes()) {
    if (node->state == NodeState::up)
      drainNotifiedAt_.erase(node->id());
    else
      drainNotifiedAt_.try_emplace(node->id(), std::max(now, downUntil_) + kNotificationLimit);
  }
}

Instant DiscoveryAgent::drainNotifiedAt(const std::string& node) const {
  const auto found = drainNotifiedAt_.find(node);
  return found == drainNotifiedAt_.end() ? Instant() : found->second;
}

event_loop::Task DiscoveryAgent::accept(std::shared_ptr<event_loop::Stream> listener) {
  for (;;) {
    event_loop::Descriptor accepted;
    if (listener->accept(accepted) == event_loop::IoStatus::ok)
      harness_.loop().spawn(serve(std::move(accepted)));
    else
      co_await listener->changed();
  }
}

event_loop::Task DiscoveryAgent::serve(event_loop::Descriptor descriptor) {
  event_loop::Stream stream(harness_.loop(), std::move(descriptor));
  std::string received, unsent;
  bool isWatch = false;
  std::uint64_t sentVersion = 0;
  Instant writtenAt = harness_.loop().now();
  for (;;) {
    if (isDown()) co_return;
    if (!readAll(stream, received)) co_return;
    if (!isWatch && received.find("\r\n\r\n") != std::string::npos) {
      isWatch = received.find("stream=1") != std::string::npos;
      const std::string endpointList = harness_.endpointList(router_);
      sentVersion = harness_.version();
      if (!isWatch) {
        unsent += "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(endpointList.size()) + "\r\n\r\n" +
                  endpointList;
        write(stream, unsent);
        co_return;
      }
      unsent += "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(endpointList + "\n");
      writtenAt = harness_.loop().now();
    }
    if (isWatch && sentVersion != harness_.version()) {
      sentVersion = harness_.version();
      unsent += chunk(harness_.endpointList(router_) + "\n");
      writtenAt = harness_.loop().now();
    }
    if (isWatch && harness_.loop().now() - writtenAt >= kWatchHeartbeat) {
      unsent += chunk("\n");
      writtenAt = harness_.loop().now();
    }
    if (!write(stream, unsent)) co_return;
    stream.wakeAt(harness_.loop().now() + Duration::millis(50));
    co_await stream.changed();
  }
}

// --- Harness

Harness::Harness(event_loop::EventLoop& loop, RequestHistory& history, const RoutingConfig& routingConfig,
                 std::size_t routers, std::uint64_t seed)
    : loop_(loop),
      history_(history),
      transactionClasses_(routingConfig.transactionClasses),
      sessionAgeProvided_(routingConfig.sessionAgeProvided),
      nodesRejectStaleReads_(routingConfig.nodesRejectStaleReads),
      random_(seed) {
  constexpr std::size_t kNodes = 5;
  for (std::size_t node = 0; node < kNodes; ++node)
    nodes_.push_back(std::make_unique<Node>(*this, "s-" + std::to_string(node), node == 0, routers));
  for (std::size_t router = 0; router < routers; ++router)
    discoveryAgents_.push_back(std::make_unique<DiscoveryAgent>(*this, router));
}

std::string Harness::endpointList(std::size_t router) const {
  std::string entries;
  for (const auto& node : nodes_) {
    if (node->state == NodeState::removed) continue;
    entries += (entries.empty() ? "" : ",") + node->endpointEntry(router);
  }
  return R"({"version":)" + std::to_string(version_) + R"(,"full":true,"servers":[)" + entries + "]}";
}

void Harness::endpointListChanged() {
  ++version_;
  for (const auto& agent : discoveryAgents_) agent->endpointListChanged();
}

bool Harness::recordExecution(const std::string& id, const TransactionClass& transactionClass) {
  const auto [execution, isNew] = executedAt_.try_emplace(id, loop_.now());
  if (isNew || transactionClass.effect != Effect::deduplicated) return true;
  return loop_.now() - execution->second > transactionClass.deduplicationWindow;
}

}  // namespace gulltrestle::soak
