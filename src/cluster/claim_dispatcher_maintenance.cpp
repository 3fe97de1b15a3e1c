// The maintenance part of the claim dispatcher: passes proposals on the plan from streams to this voter's
// acceptor and its store, sends the replies, and runs this router's own maintenance turn.
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

using idempotency::VotingMember;

bool ClaimDispatcher::mayVote() const {
  return votingMember_ && votingMember_->state() == VotingMember::State::voting;
}

void ClaimDispatcher::onProposal(PeerStreamId stream, const PeerMessage& message) {
  if (!mayVote()) return;
  const auto outcome = maintenance_.onProposal(message);
  if (outcome.rejection) deliverAcceptorReply(stream, *outcome.rejection);
  if (!outcome.needsWrite) return;
  writeChanges(PendingAcceptorReply{stream});
}

void ClaimDispatcher::finishWrite(const PendingAcceptorReply& pending, bool durable) {
  const maintenance::AcceptedValue before = maintenance_.accepted();
  const auto reply = maintenance_.onWritten(durable);
  // Every router receives the accepted value before the reply to any message that it sends after this point.
  if (maintenance_.accepted() != before)
    for (const auto& [other, peer] : greetedStreams_)
      effects_.reply(other, PlanUpdate{maintenance_.accepted()});
  if (reply) deliverAcceptorReply(pending.stream, *reply);
}

void ClaimDispatcher::deliverAcceptorReply(PeerStreamId stream,
                                           const maintenance::Acceptor::AcceptorReply& reply) {
  if (stream == kOwnStream)
    return maintenance_.onAcceptorReply(transactions_.now(), *identity_.ownIndex, reply);
  effects_.reply(stream, ProposalReply{reply});
}

// Writes the state, so that the acceptor is incomplete after a restart too.
void ClaimDispatcher::markAcceptorIncomplete() {
  maintenance_.markIncomplete();
  effects_.write({idempotency::MaintenanceRecord{maintenance_.serializedAcceptor()}});
}

void ClaimDispatcher::endMaintenanceTurn(Instant now) {
  // This router's own vote for the lease does not need a stream.
  if (mayVote() && maintenance_.isComplete()) maintenance_.renewOwnLease(now);
  const bool isDegraded = transactions_.isDegraded() || !recovery_.isFullyRecovered();
  const MaintenanceService::TurnInput input{membership_, recovery_, isDegraded, mayVote()};
  for (const PeerMessage& message : maintenance_.endTurn(now, input))
    for (idempotency::VoterIndex voter = 0; voter < config_.voters.size(); ++voter)
      sendOrHandle(voter, message);
  if (const auto announcement = maintenance_.takeAnnouncement())
    effects_.announce(announcement->version, announcement->excludedNodes);
  if (maintenance_.takeTermination()) {
    effects_.log("work.shutting_down", "version=" + std::to_string(maintenance_.planVersion()));
    effects_.terminate();
  }
}

}  // namespace gulltrestle::cluster
