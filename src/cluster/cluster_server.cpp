#include "cluster/cluster_server.h"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "runtime/event_loop/sockets.h"

namespace gulltrestle::cluster {

using event_loop::Io;

namespace {

// A keeper that could not be reached is tried again after this, at first and at most; give or take half of
// it, so that routers that lost it together don't return in step.
constexpr Duration kAgainFirst = Duration::millis(100), kAgainMost = Duration::millis(2000);
// A stream on which a claim was made and nothing came for so long is broken off: a path that swallows what is
// sent shows no other sign.
constexpr Duration kDeaf = Duration::millis(3000);
// Kind waits to be written to a keeper. A stream beyond it is broken off.
constexpr std::size_t kMostUnsent = 1 << 20;
constexpr std::size_t kLongestMessage = 128 * 1024;
// How often the folder of requests is looked at.
constexpr Duration kRequestsPause = Duration::millis(500);
// How often the counts are logged while there is anything new.
constexpr Duration kCountsPause = Duration::millis(60'000);

std::uint64_t drawn() {
  std::random_device chance;
  return static_cast<std::uint64_t>(chance()) << 32 | chance();
}

std::unique_ptr<store::Store> storeOf(const ClusterConfig& setup, const std::string& name,
                                      std::uint64_t draw) {
  if (setup.storeFolder.empty()) return nullptr;
  try {
    return std::make_unique<store::Store>(setup.storeFolder, name, draw, setup.voterLists);
  } catch (const store::RejectedVoterList& bad) {
    throw config::ConfigError("keepers", bad.what());
  } catch (const store::UnusableFolder& bad) { throw config::ConfigError("store", bad.what()); }
}

grpc_server::Bounds boundsOf(const ClusterConfig& setup) {
  grpc_server::Bounds bounds;
  bounds.calls.connection.mostStreams = 4;
  bounds.calls.longestMessage = kLongestMessage;
  bounds.mostConnections = setup.maxConnections;
  return bounds;
}

}  // namespace

struct ClusterServer::PeerStream final : http2::Handler {
  PeerStream(event_loop::EventLoop& onLoop, event_loop::Descriptor descriptor)
      : stream(onLoop, std::move(descriptor)), session(http2::Session::Side::client, {}, *this) {}

  void headers(http2::StreamId, http2::Headers) override {}
  void data(http2::StreamId, std::string_view bytes) override { kept += bytes; }
  void halfClosed(http2::StreamId) override { over = true; }
  void closed(http2::StreamId, http2::Code) override { over = true; }

  void flush() {
    if (!up || over) return;
    unsent += session.output();
    while (!unsent.empty()) {
      const std::string_view all = unsent;
      const auto done = stream.write({&all, 1});
      if (done.how == Io::failed) over = true;
      if (done.how != Io::some) break;
      unsent.erase(0, done.size);
    }
    if (unsent.size() > kMostUnsent) over = true;
    if (over) stream.wake();
  }

  event_loop::Stream stream;
  http2::Session session;
  http2::StreamId call = 0;
  std::string kept, unsent;
  bool up = false, over = false;
  Instant deafAt;  // never: no answer is awaited
};

ClusterServer::ClusterServer(event_loop::EventLoop& loop, transactions::TransactionTable& ledger,
                             const RoutingConfig& terms, const ClusterConfig& setup, const std::string& name,
                             std::function<ClusterConfig()> read)
    : loop_(loop), ledger_(ledger), setup_(setup), chance_(drawn()), read_(std::move(read)) {
  const std::uint64_t draw = drawn();
  store_ = storeOf(setup_, name, draw);
  ledger_.advanceTo(loop_.now());
  std::optional<idempotency::StoredState> kept;
  if (store_) {
    if (!store_->setAside().empty())
      spdlog::error("event=store.damaged set_aside=\"{}\"", store_->setAside());
    spdlog::info("event=store.opened folder={} start={} whole={} ids={}", setup_.storeFolder,
                 store_->storedState().own.back().number, store_->storedState().isComplete,
                 store_->storedState().entries.size());
    if (!store_->storedState().isComplete)
      spdlog::warn(
          "event=store.not_whole folder={} votes_after_ms={} hint=\"a new installation's folder is made by: "
          "gulltrestle store create FOLDER {}\"",
          setup_.storeFolder, setup_.votingMember.retention.inMicros() / 1000, name);
    kept = store_->takeStoredState();
  }
  Duration longest;
  for (const auto& type : terms.transactionClasses) longest = std::max(longest, type.deadline);
  setup_.maintenance.fenceDuration = maintenance::fenceDurationFor(longest);
  if (!setup_.requestFolder.empty()) requests_.emplace(setup_.requestFolder);
  Effects& effects = *this;
  grpc_server::CallHandler& receiver = *this;
  desk_ = std::make_unique<ClaimDispatcher>(ledger_, terms, setup_, name, draw, std::move(kept), effects);
  for (idempotency::VoterIndex keeper = 0; keeper < setup_.voters.size(); ++keeper)
    if (keeper == desk_->ownIndex())
      listener_ = std::make_unique<grpc_server::GrpcServer>(
          loop_, setup_.voters[keeper].address, std::string(kMethod), boundsOf(setup_), "peers", receiver);
    else
      loop_.spawn(talk(keeper));
  if (store_) loop_.spawn(watchDisk());
  ledger_.setExecutionGate(desk_.get());
  ledger_.setAdmissionController(&desk_->recovery());
  spdlog::info("event=peers.on keepers=\"{}\" routers={} keeper={}", setup_.voterListText(),
               setup_.routers.size(), store_ != nullptr);
}

// Its coroutines refer to it.
ClusterServer::~ClusterServer() {
  ledger_.setExecutionGate(nullptr);
  ledger_.setAdmissionController(nullptr);
  loop_.endTasks();
}

// --- Effects

void ClusterServer::sendToVoter(idempotency::VoterIndex keeper, const PeerMessage& word) {
  const auto at = talks_.find(keeper);
  if (at == talks_.end()) return;
  PeerStream& talk = *at->second;
  ++streamStatistics_.messagesSent;
  talk.session.send(talk.call, grpc::framed(encoded(word)));
  // Only these are answered.
  const bool isAnswered = std::holds_alternative<Greeting>(word) || std::holds_alternative<Claim>(word) ||
                          std::holds_alternative<Heartbeat>(word);
  if (talk.deafAt == Instant() && isAnswered) {
    talk.deafAt = loop_.now() + kDeaf;
    talk.stream.wakeAt(talk.deafAt);
  }
}

void ClusterServer::reply(StreamKey stream, const PeerReply& said) {
  ++streamStatistics_.repliesSent;
  listener_->send(stream, encoded(said));
}

void ClusterServer::rejectStream(StreamKey stream, std::string_view why) {
  listener_->finish(stream, grpc::Status::invalidArgument, why);
}

void ClusterServer::log(std::string_view event, const std::string& fields) {
  spdlog::info("event={} {}", event, fields);
}

// --- Turns

void ClusterServer::endTurn() {
  readRequests(ledger_.now());
  desk_->endTurn();
  logCounts(ledger_.now());
  writeStatus(ledger_.now());
}

Instant ClusterServer::nextDue() const {
  Instant due = desk_->nextDue();
  const auto sooner = [&](Instant at) {
    if (due == Instant() || at < due) due = at;
  };
  if (!setup_.statusFile.empty()) sooner(statusAt_ + setup_.statusInterval);
  if (requests_) sooner(requestsAt_ + kRequestsPause);
  return due;
}

// --- Work on machines

void ClusterServer::readRequests(Instant now) {
  if (!requests_) return;
  for (const auto& answer : desk_->maintenance().takeAnswers())
    requests_->answer(answer.requestId, answer.rejection);
  if (requestsAt_ != Instant() && now - requestsAt_ < kRequestsPause) return;
  requestsAt_ = now;
  for (auto& [name, text] : requests_->takeNew()) try {
      desk_->maintenance().onOperatorRequest(name, maintenance::readOperatorRequest(text));
    } catch (const maintenance::InvalidRequest& bad) { requests_->answer(name, bad.what()); }
  if (const std::string fault = requests_->takeFault(); !fault.empty())
    spdlog::error("event=work.folder_fails why=\"{}\"", fault);
}

// As an operator would: it answers what it has taken, and ends.
void ClusterServer::terminate() { ::raise(SIGTERM); }

void ClusterServer::announce(std::uint64_t version, const std::set<std::string>& out) {
  if (setup_.announceFile.empty()) return;
  if (!replaceFile(setup_.announceFile, announcementOf(version, out)))
    spdlog::error("event=work.announce_failed file=\"{}\"", setup_.announceFile);
}

void ClusterServer::reloadConfig() {
  try {
    desk_->reloadConfig(read_());
  } catch (const std::exception& bad) { spdlog::error("event=peers.not_taken why=\"{}\"", bad.what()); }
}

void ClusterServer::writeStatus(Instant now) {
  if (setup_.statusFile.empty() || now - statusAt_ < setup_.statusInterval) return;
  statusAt_ = now;
  const auto disk = store_ ? std::optional(store_->statistics()) : std::nullopt;
  const bool fails =
      !replaceFile(setup_.statusFile, statusOf(now, *desk_, disk ? &*disk : nullptr, streamStatistics_));
  if (fails && !std::exchange(statusFails_, fails))
    spdlog::error("event=peers.status_failed file=\"{}\"", setup_.statusFile);
  statusFails_ = fails;
}

void ClusterServer::flush() {
  // Kind the ledger has told since the desk's turn goes out now, too.
  desk_->flushDecisions();
  if (listener_) listener_->flush();
  for (auto& [keeper, talk] : talks_) talk->flush();
}

void ClusterServer::logCounts(Instant now) {
  const auto& counts = desk_->coordinator().counts();
  if (now - saidAt_ < kCountsPause || counts.requested == saidAsked_) return;
  saidAt_ = now;
  saidAsked_ = counts.requested;
  spdlog::info(
      "event=claims.counts asked={} admitted={} committed={} rolled_back={} refused={} open={} reached={}",
      counts.requested, counts.admitted, counts.committed, counts.rolledBack, counts.rejected,
      desk_->coordinator().open(), desk_->coordinator().reachable());
  if (!store_) return;
  const auto figures = store_->statistics();
  spdlog::info("event=store.counts commits={} changes={} failures={} queued={} longest_ms={} ids={}",
               figures.commits, figures.changes, figures.failures, figures.queued,
               figures.longest.inMicros() / 1000, desk_->votingMember()->size());
}

event_loop::Task ClusterServer::watchDisk() {
  // Without it nothing that the disk says would be heard: it is tried for as long as there is no descriptor.
  int own = ::dup(store_->descriptor());
  while (own < 0) {
    co_await loop_.sleepUntil(loop_.now() + kAgainFirst);
    own = ::dup(store_->descriptor());
  }
  event_loop::Stream stream(loop_, event_loop::Descriptor(own));
  for (;;) {
    stream.readBlocked();
    ledger_.advanceTo(loop_.now());
    for (const auto& done : store_->takeCompleted()) desk_->onWritten(done.ticket, done.durable);
    const auto fault = store_->statistics().fault;
    if (fault.empty() == faulty_) {
      faulty_ = !fault.empty();
      if (faulty_)
        spdlog::error("event=store.fails why=\"{}\"", fault);
      else
        spdlog::info("event=store.heals");
    }
    co_await stream.changed();
  }
}

// --- A stream to a keeper, begun anew whenever it is gone

event_loop::Task ClusterServer::talk(idempotency::VoterIndex keeper) {
  const auto& place = setup_.voters[keeper];
  Duration pause = kAgainFirst;
  for (;;) {
    try {
      event_loop::Descriptor descriptor = event_loop::startConnecting(place.address.host, place.address.port);
      if (descriptor) {
        PeerStream talk(loop_, std::move(descriptor));
        const Instant by = loop_.now() + kDeaf;
        talk.stream.wakeAt(by);
        while (!talk.stream.canWrite() && loop_.now() < by) co_await talk.stream.changed();
        talk.up = talk.stream.canWrite() && event_loop::isConnected(talk.stream.descriptor());
        if (talk.up) {
          talk.call = talk.session.request({{":method", "POST"},
                                            {":scheme", "http"},
                                            {":path", std::string(kMethod)},
                                            {":authority", place.name},
                                            {"content-type", "application/grpc"},
                                            {"te", "trailers"}});
          struct Up {
            ClusterServer& peers;
            idempotency::VoterIndex keeper;
            ~Up() {
              peers.talks_.erase(keeper);
              peers.desk_->onVoterLost(keeper);
            }
          };
          talks_[keeper] = &talk;
          const Up place_up{*this, keeper};
          sendToVoter(keeper, desk_->greeting());
          talk.flush();
          while (!talk.over) {
            if (talk.deafAt != Instant() && loop_.now() >= talk.deafAt) break;
            if (talk.stream.canRead()) {
              char bytes[16384];
              const auto got = talk.stream.read(bytes);
              if (got.how == Io::ended || got.how == Io::failed) break;
              if (got.how == Io::some) {
                const Instant now = loop_.now();
                ledger_.advanceTo(now);
                talk.deafAt = Instant();
                if (!talk.session.received(now, {bytes, got.size})) talk.over = true;
                std::string_view left = talk.kept, message;
                grpc::Cut cut;
                while ((cut = grpc::cutMessage(left, kLongestMessage, message)) == grpc::Cut::message) {
                  ++streamStatistics_.repliesReceived;
                  desk_->onReply(keeper, message);
                  pause = kAgainFirst;
                }
                if (cut != grpc::Cut::none) break;
                talk.kept.erase(0, talk.kept.size() - left.size());
              }
            }
            talk.flush();
            if (!talk.over && !talk.stream.canRead()) co_await talk.stream.changed();
          }
        }
      }
    } catch (const std::exception& bad) {
      spdlog::warn("event=peers.talk_failed keeper={} why=\"{}\"", place.name, bad.what());
    }
    ledger_.advanceTo(loop_.now());
    co_await loop_.sleepUntil(loop_.now() +
                              pause * std::uniform_real_distribution<double>(0.5, 1.5)(chance_));
    pause = std::min(pause * 2, kAgainMost);
  }
}

}  // namespace gulltrestle::cluster
