// The voter part of the claim dispatcher: passes messages of all routers, this one included, to the voting
// member and the failure detector, and sends each reply once the state that it reports is durable.
#include "cluster/chunks.h"
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

using idempotency::Vote;
using idempotency::VotingMember;

namespace {

// Minimum time between log lines about rejected greetings, so that a router that reconnects repeatedly does
// not flood the log.
constexpr Duration kRejectionLogInterval = Duration::millis(1000);
// Fields of a rejected greeting are truncated to these lengths in the log.
constexpr std::size_t kMaxLoggedNameBytes = 40, kMaxLoggedListBytes = 200;
// Rejection reason of a stream whose message could not be made durable.
constexpr std::string_view kStoreFailed = "the disk of this keeper fails";

}  // namespace

// --- Streams of other routers

void ClaimDispatcher::onMessage(PeerStreamId stream, std::string_view bytes) {
  try {
    const PeerMessage message = readMessage(bytes);
    if (!votingMember_) return effects_.rejectStream(stream, "this router is no keeper");
    if (const auto* greeting = std::get_if<Greeting>(&message)) return onGreeting(stream, *greeting);
    const auto sender = greetedStreams_.find(stream);
    if (sender == greetedStreams_.end()) return effects_.rejectStream(stream, "a greeting comes first");
    onPeerMessage(stream, sender->second, message);
  } catch (const MalformedMessage& bad) { effects_.rejectStream(stream, bad.what()); }
}

void ClaimDispatcher::onStreamEnded(PeerStreamId stream) {
  greetedStreams_.erase(stream);
  membership_.onStreamEnded(stream);
}

void ClaimDispatcher::onGreeting(PeerStreamId stream, const Greeting& greeting) {
  if (!config_.routers.contains(greeting.router)) {
    logRateLimited("peers.unknown_router",
                   "router=\"" + greeting.router.substr(0, kMaxLoggedNameBytes) + "\"");
    return effects_.rejectStream(stream, "this router is not on the list");
  }
  if (greeting.voterList != config_.voterListText()) {
    logRateLimited("peers.voter_list_mismatch", "router=" + greeting.router + " received=\"" +
                                                    greeting.voterList.substr(0, kMaxLoggedListBytes) +
                                                    "\" configured=\"" + config_.voterListText() + "\"");
    return effects_.rejectStream(stream, "the lists of keepers differ");
  }
  greetedStreams_[stream] = {greeting.router, greeting.draw};
  // Sent before the reply to the greeting, and therefore before any vote.
  for (const DrainUpdates& chunk : chunked(drains_.all())) effects_.reply(stream, chunk);
  for (const PrimaryUpdates& chunk : chunked(recovery_.primaries())) effects_.reply(stream, chunk);
  for (const ObservationReport& chunk : chunked(recovery_.observations())) effects_.reply(stream, chunk);
  if (maintenance_.accepted().version.version > 0)
    effects_.reply(stream, PlanUpdate{maintenance_.accepted()});
  const auto& incarnation = greeting.voterIncarnation;
  PendingGreetingReply pending{stream, greeting.router, incarnation.number, {}};
  if (incarnation.number > 0) {
    const auto previous = votingMember_->onGreeting(greeting.router, incarnation);
    if (!previous)
      return effects_.rejectStream(stream, "the list of keepers before this one may still count");
    pending.previousVoterIncarnation = *previous;
  }
  writeChanges(std::move(pending));
}

void ClaimDispatcher::logRateLimited(std::string_view event, const std::string& fields) {
  const Instant now = transactions_.now();
  if (rejectionLoggedAt_ != Instant() && now - rejectionLoggedAt_ < kRejectionLogInterval) return;
  rejectionLoggedAt_ = now;
  effects_.log(event, fields);
}

// --- Messages

void ClaimDispatcher::onPeerMessage(PeerStreamId stream, const PeerIdentity& sender,
                                    const PeerMessage& message) {
  const auto tokenOf = [&](std::uint64_t number) {
    return idempotency::ClaimToken{sender.router, sender.draw, number};
  };
  membership::FailureDetector& failureDetector = *membership_.failureDetector();
  const auto* heartbeat = std::get_if<Heartbeat>(&message);
  // Every message shows that its sender is alive, not only a heartbeat.
  failureDetector.onHeartbeat(transactions_.now(), sender.router, sender.draw,
                              heartbeat ? std::optional(heartbeat->progress) : std::nullopt);
  const bool hasJoined = failureDetector.isCurrent(sender.router, sender.draw);
  if (const auto* join = std::get_if<JoinRequest>(&message))
    return onJoinRequest(stream, sender, join->number);
  if (heartbeat) return hasJoined ? onHeartbeat(stream, *heartbeat) : deliverJoinReply(stream, sender.router);
  if (std::holds_alternative<PrepareRequest>(message) || std::holds_alternative<AcceptRequest>(message))
    return hasJoined ? onProposal(stream, message) : void();
  if (const auto* claim = std::get_if<Claim>(&message))
    return hasJoined ? onClaim(stream, sender, *claim) : deliverVote(stream, claim->number, Vote{});
  if (const auto* drains = std::get_if<DrainUpdates>(&message)) return onDrainUpdates(*drains, sender.router);
  if (const auto* primaries = std::get_if<PrimaryUpdates>(&message)) return onPrimaryUpdates(*primaries);
  if (const auto* release = std::get_if<Release>(&message))
    votingMember_->onReleased(release->id, tokenOf(release->number));
  if (const auto* committed = std::get_if<Committed>(&message))
    votingMember_->onCommitted(transactions_.now(), committed->id, tokenOf(committed->number),
                               committed->value);
  writeChanges();
}

void ClaimDispatcher::onJoinRequest(PeerStreamId stream, const PeerIdentity& sender, std::uint64_t number) {
  membership_.failureDetector()->onJoinRequest(transactions_.now(), sender.router, {number, sender.draw});
  writeChanges(PendingJoinReply{stream, sender.router});
}

void ClaimDispatcher::onHeartbeat(PeerStreamId stream, const Heartbeat& heartbeat) {
  HeartbeatReply reply = membership_.reportsFor(stream);
  reply.heartbeatNumber = heartbeat.number;
  reply.grantsLease = maintenance_.isComplete() && mayVote();
  effects_.reply(stream, reply);
}

void ClaimDispatcher::onClaim(PeerStreamId stream, const PeerIdentity& sender, const Claim& claim) {
  const idempotency::ClaimToken token{sender.router, sender.draw, claim.number};
  const auto vote = votingMember_->onClaim(transactions_.now(), claim.id, token);
  if (vote) return deliverVote(stream, claim.number, *vote);
  writeChanges(PendingVote{stream, claim.number, claim.id, token});
}

void ClaimDispatcher::deliverVote(PeerStreamId stream, std::uint64_t claimNumber, const Vote& vote) {
  if (stream == kOwnStream) return coordinator_.onVote(*identity_.ownIndex, claimNumber, vote);
  effects_.reply(stream, VoteReply{claimNumber, vote});
}

void ClaimDispatcher::deliverJoinReply(PeerStreamId stream, const std::string& router) {
  const auto newest = membership_.failureDetector()->newestIncarnation(router);
  if (stream == kOwnStream) return onJoinReply(*identity_.ownIndex, newest);
  effects_.reply(stream, JoinReply{newest});
}

// --- The store

void ClaimDispatcher::writeChanges(std::optional<PendingWrite> pending) {
  auto changes = votingMember_->takeChanges();
  for (const auto& [router, incarnation] : membership_.failureDetector()->takeChanges())
    changes.push_back(idempotency::RouterStartRecord{
        .router = router, .incarnation = {.number = incarnation.number, .draw = incarnation.draw}});
  if (pending && std::holds_alternative<PendingAcceptorReply>(*pending))
    changes.push_back(idempotency::MaintenanceRecord{maintenance_.serializedAcceptor()});
  if (changes.empty() && !pending) return;
  const StoreWriteId write = effects_.write(std::move(changes));
  if (pending) pendingWrites_[write] = std::move(*pending);
}

void ClaimDispatcher::onWritten(StoreWriteId write, bool durable) {
  const auto found = pendingWrites_.find(write);
  if (found == pendingWrites_.end()) return;
  const PendingWrite pending = std::move(found->second);
  pendingWrites_.erase(found);
  std::visit([&](const auto& typed) { finishWrite(typed, durable); }, pending);
}

// If the incarnation is not durable here, the greeting failed: its router sends another one on its next
// stream.
void ClaimDispatcher::finishWrite(const PendingGreetingReply& pending, bool durable) {
  if (!durable) return effects_.rejectStream(pending.stream, kStoreFailed);
  const auto joinedIncarnation = membership_.failureDetector()->newestIncarnation(pending.router);
  effects_.reply(pending.stream,
                 GreetingReply{pending.number, pending.previousVoterIncarnation, joinedIncarnation});
}

void ClaimDispatcher::finishWrite(const PendingVote& pending, bool durable) {
  const auto vote = votingMember_->onWritten(pending.id, pending.token, durable);
  if (vote) deliverVote(pending.stream, pending.claimNumber, *vote);
}

void ClaimDispatcher::finishWrite(const PendingJoinReply& pending, bool durable) {
  if (durable) return deliverJoinReply(pending.stream, pending.router);
  if (pending.stream == kOwnStream) return writeChanges(pending);
  effects_.rejectStream(pending.stream, kStoreFailed);
}

void ClaimDispatcher::finishWrite(const PendingRegreeting& pending, bool durable) {
  if (!durable) return writeChanges(pending);
  sendToOtherVoters(greeting());
}

void ClaimDispatcher::logVotingState() {
  if (!votingMember_ || loggedState_ == votingMember_->state()) return;
  loggedState_ = votingMember_->state();
  std::string fields = "state=" + std::string(nameOf(*loggedState_)) +
                       " start=" + std::to_string(votingMember_->start().number) +
                       " claims=" + std::to_string(votingMember_->claimCount());
  for (const auto& name : votingMember_->unverifiedVoters()) fields += " waits_for=" + name;
  if (loggedState_ == VotingMember::State::abstaining)
    fields += " for_ms=" + std::to_string(config_.votingMember.retention.inMicros() / 1000);
  effects_.log("claims.voter", fields);
}

}  // namespace gulltrestle::cluster
