#include "runtime/server/server.h"

#include <utility>

#include "runtime/event_loop/sockets.h"
#include "runtime/server/server_log.h"

namespace gulltrestle::server {

using gateway::ByteSlices;
using gateway::ClientId;
using gateway::NodeConnectionId;

namespace {

// Pause after a failed turn: long enough to avoid a busy loop, and short compared with any deadline.
constexpr Duration kRetryDelayAfterFault = Duration::millis(10);

std::string discoveryAddress(const config::RouterConfig& config) {
  return config.discovery.host + ":" + std::to_string(config.discovery.port);
}

}  // namespace

Server::Server(config::RouterConfig config, ReservedResources reserved)
    : config_(std::move(config)),
      signals_(std::make_unique<event_loop::Stream>(loop_, event_loop::openSignalDescriptor())),
      buffers_{.maxBytes = maxBufferedBytes(config_)},
      gateway_(routingConfigOf(config_, reserved), config_.deployment.classNames, config_.seed,
               gatewayLimitsOf(config_), *this),
      clients_(loop_, gateway_, buffers_, config_, reserved),
      nodes_(loop_, gateway_, buffers_),
      discovery_(loop_, gateway_, buffers_, config_) {}

Server::~Server() { loop_.destroyTasks(); }

void Server::run() {
  logListening(config_);
  transactions().advanceTo(loop_.now());
  transactions().invariants().checkStart(loop_.now(), loop_.now() - startedAt_,
                                         [this] { return config_.name; });
  gateway_.onEndpointList(loop_.now(), EndpointUpdateKind::restored,
                          resolvedEndpoints(config_.initialEndpoints));
  gateway_.onConfigLoaded(loop_.now(), discoveryAddress(config_), {});
  loop_.spawn(watchSignals());
  discovery_.start(config_.initialEndpoints.version);
  clients_.start();
  loop_.run([this](Instant now) { return endTurn(now); }, logTaskFailed);
  logEnded(clients_.closedClients());
}

Instant Server::endTurn(Instant now) {
  Instant next = now + kRetryDelayAfterFault;
  // Prevents an exception in a turn, for example for lack of memory, from ending the process: transactions of
  // that turn may be lost, all others continue. Trade-off: the server continues with state that the exception
  // may have left partly updated.
  try {
    next = gateway_.endTurn(now);
  } catch (const std::exception& error) { logTurnFailed(error.what()); }
  if (gateway_.isFinished() && clients_.areFinished()) loop_.stop();
  return next;
}

// --- Effects

void Server::connect(NodeConnectionId id, const std::string& address) { nodes_.connect(id, address); }

bool Server::writeNode(NodeConnectionId id, ByteSlices slices) { return nodes_.write(id, slices); }

void Server::closeNode(NodeConnectionId id) { nodes_.close(id); }

void Server::writeClient(ClientId id, ByteSlices slices) { clients_.write(id, slices); }

void Server::readClient(ClientId id) { clients_.read(id); }

void Server::closeClient(ClientId id) { clients_.close(id); }

bool Server::hasUnreadBytes(ClientId id) { return clients_.hasUnreadBytes(id); }

void Server::stopListening() { clients_.stopListening(); }

void Server::requestEndpointList() {}  // nothing to do: the list is followed continuously

void Server::setDiscoveryAddress(const std::string& address) { discovery_.setAddress(address); }

void Server::log(std::string line) { logGatewayLine(line); }

// --- Signals

event_loop::Task Server::watchSignals() {
  for (;;) {
    while (const auto signal = event_loop::readSignal(signals_->descriptor())) {
      if (*signal == event_loop::Signal::terminate)
        gateway_.shutDown(loop_.now(), loop_.arrivalLowerBound());
      else
        reloadConfig();
    }
    signals_->readBlocked();
    co_await signals_->changed();
  }
}

// Keeps the current configuration if the file is missing, partly written or invalid.
void Server::reloadConfig() {
  gateway_.reloadConfig(loop_.now());
  try {
    const config::RouterConfig read = config::readRouterConfig(config::ValuePrecedence::file);
    gateway_.onConfigLoaded(loop_.now(), discoveryAddress(read), config::keysNeedingRestart(config_, read));
  } catch (const std::exception& error) { gateway_.onConfigRejected(loop_.now(), error.what()); }
}

}  // namespace gulltrestle::server
