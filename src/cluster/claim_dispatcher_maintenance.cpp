// The desk's part in work on machines: words of rounds from streams to this keeper and its disk, and back.
#include "cluster/claim_dispatcher.h"

namespace gulltrestle::cluster {

using idempotency::Keeper;

void Desk::workOn(StreamKey stream, const Word& word) {
  const auto heard = worker_.hear(word, keeper_->state() == Keeper::State::votes);
  if (heard.said) workSaid(stream, *heard.said);
  if (!heard.toDisk) return;
  toDisk(Waiting{Waiting::What::work, stream, 0, "", {}, {}});
}

void Desk::workSaid(StreamKey stream, const maintenance::Acceptor::Answer& answer) {
  if (stream == 0) return worker_.told(ledger_.now(), *own_, answer);
  effects_.reply(stream, WorkAnswer{answer});
}

// What it held is no longer what it is taken for, also at the next start.
void Desk::forgetWork() {
  worker_.forgets();
  effects_.write({{Keeper::Change::What::work, worker_.text(), {}, {}, false}});
}

void Desk::workTurn(Instant now) {
  // Its own keeper's word needs no stream.
  const bool counts = keeper_ && keeper_->state() == Keeper::State::votes;
  if (counts && worker_.isWhole()) worker_.answersItself(now);
  const bool strained = ledger_.isReduced() || !service_.hasReturned();
  for (const Word& word : worker_.turn(now, membership_, service_, strained, counts))
    for (idempotency::KeeperNumber keeper = 0; keeper < setup_.keepers.size(); ++keeper)
      if (keeper == own_)
        hear(0, {name_, draw_}, word);
      else
        effects_.toKeeper(keeper, word);
  if (const auto news = worker_.takeNews()) effects_.announce(news->first, news->second);
  if (worker_.takeEnd()) {
    effects_.log("work.ends_itself", "version=" + std::to_string(worker_.known()));
    effects_.endItself();
  }
}

}  // namespace gulltrestle::cluster
