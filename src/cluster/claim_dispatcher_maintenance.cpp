// The desk's part in work on machines: words of rounds from streams to this keeper and its disk, and back.
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

using idempotency::VotingMember;

void ClaimDispatcher::workOn(StreamKey stream, const PeerMessage& word) {
  const auto heard = worker_.hear(word, keeper_->state() == VotingMember::State::voting);
  if (heard.said) workSaid(stream, *heard.said);
  if (!heard.toDisk) return;
  toDisk(PendingWrite{PendingWrite::Kind::work, stream, 0, "", {}, {}});
}

void ClaimDispatcher::workSaid(StreamKey stream, const maintenance::Acceptor::AcceptorReply& answer) {
  if (stream == 0) return worker_.told(ledger_.now(), *own_, answer);
  effects_.reply(stream, ProposalReply{answer});
}

// Kind it held is no longer what it is taken for, also at the next start.
void ClaimDispatcher::forgetWork() {
  worker_.forgets();
  effects_.write({{VotingMember::DiskChange::Kind::work, worker_.text(), {}, {}, false}});
}

void ClaimDispatcher::workTurn(Instant now) {
  // Its own keeper's word needs no stream.
  const bool counts = keeper_ && keeper_->state() == VotingMember::State::voting;
  if (counts && worker_.isWhole()) worker_.answersItself(now);
  const bool strained = ledger_.isDegraded() || !service_.hasReturned();
  for (const PeerMessage& word : worker_.turn(now, membership_, service_, strained, counts))
    for (idempotency::VoterIndex keeper = 0; keeper < setup_.voters.size(); ++keeper)
      if (keeper == own_)
        hear(0, {name_, draw_}, word);
      else
        effects_.sendToVoter(keeper, word);
  if (const auto news = worker_.takeNews()) effects_.announce(news->first, news->second);
  if (worker_.takeEnd()) {
    effects_.log("work.ends_itself", "version=" + std::to_string(worker_.known()));
    effects_.terminate();
  }
}

}  // namespace gulltrestle::cluster
