#include "cluster/cluster_server.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::cluster {

using event_loop::IoStatus;

namespace {

// Initial and maximum delay before a stream that ended is reopened. Jitter of plus or minus half of it
// prevents routers that lost a voter at the same time from reconnecting in step.
constexpr Duration kInitialBackoff = Duration::millis(100), kMaxBackoff = Duration::millis(2000);
// Interval between reads of the request folder.
constexpr Duration kRequestsInterval = Duration::millis(500);
// Minimum time between log lines with the counts. They are logged only when there were new claims.
constexpr Duration kCountsInterval = Duration::millis(60'000);
// Maximum number of bytes read from a stream before other streams have a turn.
constexpr std::size_t kReadBytes = 16384;
// A router opens one stream at a time; the others allow for streams that are being closed.
constexpr std::size_t kMaxStreamsPerConnection = 4;

std::uint64_t randomDraw() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

std::unique_ptr<store::Store> storeOf(const ClusterConfig& config, const std::string& name,
                                      std::uint64_t draw) {
  if (config.storeFolder.empty()) return nullptr;
  try {
    return std::make_unique<store::Store>(config.storeFolder, name, draw, config.voterLists);
  } catch (const store::RejectedVoterList& bad) {
    throw config::ConfigError("keepers", bad.what());
  } catch (const store::UnusableFolder& bad) { throw config::ConfigError("store", bad.what()); }
}

grpc_server::Bounds boundsOf(const ClusterConfig& config) {
  grpc_server::Bounds bounds;
  bounds.calls.connection.maxStreams = kMaxStreamsPerConnection;
  bounds.calls.maxMessageBytes = kMaxMessageBytes;
  bounds.maxConnections = config.maxConnections;
  bounds.maxIncompleteBytes = config.maxIncompleteBytes;
  return bounds;
}

}  // namespace

class ClusterServer::StreamRegistration {
 public:
  StreamRegistration(ClusterServer& server, idempotency::VoterIndex voter, PeerStream& peer)
      : server_(server), voter_(voter) {
    server_.openStreams_[voter_] = &peer;
  }
  StreamRegistration(const StreamRegistration&) = delete;
  StreamRegistration& operator=(const StreamRegistration&) = delete;
  ~StreamRegistration() {
    server_.openStreams_.erase(voter_);
    server_.dispatcher_->onVoterLost(voter_);
  }

 private:
  ClusterServer& server_;
  idempotency::VoterIndex voter_;
};

ClusterServer::ClusterServer(event_loop::EventLoop& loop, transactions::TransactionTable& transactions,
                             const RoutingConfig& routing, const ClusterConfig& config,
                             const std::string& name, std::function<ClusterConfig()> readConfig)
    : loop_(loop),
      transactions_(transactions),
      config_(config),
      random_(randomDraw()),
      readConfig_(std::move(readConfig)) {
  const std::uint64_t draw = randomDraw();
  auto stored = openStore(name, draw);
  config_.maintenance.fenceDuration = maintenance::fenceDurationFor(routing.longestDeadline());
  if (!config_.requestFolder.empty()) requests_.emplace(config_.requestFolder);
  Effects& effects = *this;
  dispatcher_ = std::make_unique<ClaimDispatcher>(transactions_, routing, config_,
                                                  LocalRouter{name, draw, std::move(stored)}, effects);
  startStreams();
  if (store_) loop_.spawn(watchStore());
  transactions_.setExecutionGate(dispatcher_.get());
  transactions_.setAdmissionController(&dispatcher_->recovery());
  spdlog::info("event=peers.enabled keepers=\"{}\" routers={} keeper={}", config_.voterListText(),
               config_.routers.size(), store_ != nullptr);
}

std::optional<idempotency::StoredState> ClusterServer::openStore(const std::string& name,
                                                                 std::uint64_t draw) {
  store_ = storeOf(config_, name, draw);
  transactions_.advanceTo(loop_.now());
  if (!store_) return std::nullopt;
  if (!store_->damagedFile().empty())
    spdlog::error("event=store.damaged set_aside=\"{}\"", store_->damagedFile());
  const idempotency::StoredState& stored = store_->storedState();
  spdlog::info("event=store.opened folder={} start={} complete={} ids={}", config_.storeFolder,
               stored.ownStarts.back().number, stored.isComplete, stored.claims.size());
  if (!stored.isComplete)
    spdlog::warn(
        "event=store.incomplete folder={} votes_after_ms={} hint=\"for a new installation create the folder "
        "with: gulltrestle store create FOLDER --keeper {}\"",
        config_.storeFolder, config_.votingMember.retention.inMicros() / 1000, name);
  return store_->takeStoredState();
}

void ClusterServer::startStreams() {
  grpc_server::CallHandler& handler = *this;
  for (idempotency::VoterIndex voter = 0; voter < config_.voters.size(); ++voter)
    if (voter == dispatcher_->ownIndex())
      listener_ = std::make_unique<grpc_server::GrpcServer>(
          loop_, config_.voters[voter].address, std::string(kMethod), boundsOf(config_), "peers", handler);
    else
      loop_.spawn(maintainStream(voter));
}

// Ends the event loop's tasks, which refer to this object.
ClusterServer::~ClusterServer() {
  transactions_.setExecutionGate(nullptr);
  transactions_.setAdmissionController(nullptr);
  loop_.destroyTasks();
}

// --- Effects

void ClusterServer::sendToVoter(idempotency::VoterIndex voter, const PeerMessage& message) {
  const auto stream = openStreams_.find(voter);
  if (stream == openStreams_.end()) return;
  ++streamStatistics_.messagesSent;
  stream->second->send(message);
}

void ClusterServer::reply(PeerStreamId stream, const PeerReply& reply) {
  ++streamStatistics_.repliesSent;
  listener_->send(stream, encoded(reply));
}

void ClusterServer::rejectStream(PeerStreamId stream, std::string_view reason) {
  listener_->finish(stream, grpc::Status::invalidArgument, reason);
}

void ClusterServer::log(std::string_view event, const std::string& fields) {
  spdlog::info("event={} {}", event, fields);
}

// Starts the same graceful shutdown as an operator: the process finishes the transactions that it has
// admitted, and exits.
void ClusterServer::terminate() { ::raise(SIGTERM); }

void ClusterServer::announce(std::uint64_t version, const std::set<std::string>& excludedNodes) {
  if (config_.announceFile.empty()) return;
  if (!replaceFile(config_.announceFile, announcementOf(version, excludedNodes)))
    spdlog::error("event=work.announce_failed file=\"{}\"", config_.announceFile);
}

// --- Turns

void ClusterServer::endTurn() {
  readRequests(transactions_.now());
  dispatcher_->endTurn();
  logCounts(transactions_.now());
  writeStatus(transactions_.now());
}

Instant ClusterServer::nextDue() const {
  Instant due = dispatcher_->nextDue();
  const auto includeDueTime = [&](Instant other) {
    if (due == Instant() || other < due) due = other;
  };
  if (!config_.statusFile.empty()) includeDueTime(statusWrittenAt_ + config_.statusInterval);
  if (requests_) includeDueTime(requestsReadAt_ + kRequestsInterval);
  return due;
}

void ClusterServer::flush() {
  // Also sends what the transaction table has reported since the dispatcher's turn.
  dispatcher_->flushDecisions();
  if (listener_) listener_->flush();
  for (auto& [voter, stream] : openStreams_) stream->flush();
}

void ClusterServer::reloadConfig() {
  try {
    dispatcher_->reloadConfig(readConfig_());
  } catch (const std::exception& bad) {
    // Whatever is wrong with the file, the router keeps its current configuration.
    spdlog::error("event=peers.config_rejected reason=\"{}\"", bad.what());
  }
}

// --- Operators

void ClusterServer::readRequests(Instant now) {
  if (!requests_) return;
  for (const auto& answer : dispatcher_->maintenance().takeAnswers())
    requests_->answer(answer.requestId, answer.rejection);
  if (requestsReadAt_ != Instant() && now - requestsReadAt_ < kRequestsInterval) return;
  requestsReadAt_ = now;
  for (auto& [name, text] : requests_->takeNew()) try {
      dispatcher_->maintenance().onOperatorRequest(name, maintenance::readOperatorRequest(text));
    } catch (const maintenance::InvalidRequest& bad) { requests_->answer(name, bad.what()); }
  if (const std::string fault = requests_->takeFault(); !fault.empty())
    spdlog::error("event=work.folder_failed reason=\"{}\"", fault);
}

void ClusterServer::writeStatus(Instant now) {
  if (config_.statusFile.empty() || now - statusWrittenAt_ < config_.statusInterval) return;
  statusWrittenAt_ = now;
  const auto storeStatistics = store_ ? std::optional(store_->statistics()) : std::nullopt;
  const std::string status =
      statusDocument(now, *dispatcher_, storeStatistics ? &*storeStatistics : nullptr, streamStatistics_);
  const bool hasFailed = !replaceFile(config_.statusFile, status);
  if (hasFailed && !isStatusFailing_)
    spdlog::error("event=peers.status_failed file=\"{}\"", config_.statusFile);
  isStatusFailing_ = hasFailed;
}

void ClusterServer::logCounts(Instant now) {
  const auto& counts = dispatcher_->coordinator().counts();
  if (now - countsLoggedAt_ < kCountsInterval || counts.requested == loggedClaims_) return;
  countsLoggedAt_ = now;
  loggedClaims_ = counts.requested;
  spdlog::info(
      "event=claims.counts requested={} admitted={} committed={} rolled_back={} refused={} open={} "
      "reached={}",
      counts.requested, counts.admitted, counts.committed, counts.rolledBack, counts.rejected,
      dispatcher_->coordinator().openClaims(), dispatcher_->coordinator().reachableVoters());
  if (!store_) return;
  const auto statistics = store_->statistics();
  spdlog::info("event=store.counts commits={} changes={} failures={} queued={} longest_ms={} ids={}",
               statistics.commits, statistics.durableChanges, statistics.failedCommits,
               statistics.queuedChanges, statistics.longestCommit.inMicros() / 1000,
               dispatcher_->votingMember()->claimCount());
}

// --- The store

event_loop::Task ClusterServer::watchStore() {
  // Without a descriptor no completed write would be noticed, so dup() is retried until it succeeds.
  int descriptor = ::dup(store_->descriptor());
  while (descriptor < 0) {
    co_await loop_.sleepUntil(loop_.now() + kInitialBackoff);
    descriptor = ::dup(store_->descriptor());
  }
  event_loop::Stream stream(loop_, event_loop::Descriptor(descriptor));
  for (;;) {
    stream.readBlocked();
    transactions_.advanceTo(loop_.now());
    for (const auto& write : store_->takeCompleted()) dispatcher_->onWritten(write.id, write.isDurable);
    logStoreHealth();
    co_await stream.changed();
  }
}

void ClusterServer::logStoreHealth() {
  const auto fault = store_->statistics().lastError;
  if (fault.empty() != isStoreFailing_) return;
  isStoreFailing_ = !fault.empty();
  if (isStoreFailing_)
    spdlog::error("event=store.failed reason=\"{}\"", fault);
  else
    spdlog::info("event=store.recovered");
}

// --- Streams to voters

event_loop::Task ClusterServer::maintainStream(idempotency::VoterIndex voter) {
  const auto& [name, address] = config_.voters[voter];
  Duration backoff = kInitialBackoff;
  for (;;) {
    try {
      event_loop::Descriptor descriptor = event_loop::startConnecting(address.host, address.port);
      if (descriptor) {
        PeerStream peer(loop_, std::move(descriptor));
        const Instant deadline = loop_.now() + PeerStream::kReplyTimeout;
        peer.stream().wakeAt(deadline);
        while (!peer.stream().canWrite() && loop_.now() < deadline) co_await peer.stream().changed();
        if (peer.open(name)) {
          const StreamRegistration registration(*this, voter, peer);
          sendToVoter(voter, dispatcher_->greeting());
          peer.flush();
          while (exchange(voter, peer, backoff))
            if (!peer.stream().canRead()) co_await peer.stream().changed();
        }
      }
    } catch (const std::exception& bad) {
      // Whether malformed replies or a system error made the stream unusable, another one is opened below.
      spdlog::warn("event=peers.stream_failed keeper={} reason=\"{}\"", name, bad.what());
    }
    transactions_.advanceTo(loop_.now());
    co_await loop_.sleepUntil(loop_.now() +
                              backoff * std::uniform_real_distribution<double>(0.5, 1.5)(random_));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

bool ClusterServer::exchange(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff) {
  if (peer.isClosed() || peer.hasTimedOut()) return false;
  if (peer.stream().canRead() && !receiveReplies(voter, peer, backoff)) return false;
  peer.flush();
  return !peer.isClosed();
}

bool ClusterServer::receiveReplies(idempotency::VoterIndex voter, PeerStream& peer, Duration& backoff) {
  char bytes[kReadBytes];
  const auto result = peer.stream().read(bytes);
  if (result.status == IoStatus::endOfStream || result.status == IoStatus::failed) return false;
  if (result.status != IoStatus::ok) return true;
  const Instant now = loop_.now();
  transactions_.advanceTo(now);
  peer.onBytes(now, {bytes, result.size});
  while (const auto reply = peer.nextReply()) {
    ++streamStatistics_.repliesReceived;
    dispatcher_->onReply(voter, *reply);
    backoff = kInitialBackoff;
  }
  return !peer.isMalformed();
}

}  // namespace gulltrestle::cluster
