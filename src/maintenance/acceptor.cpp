#include "maintenance/acceptor.h"

#include <nlohmann/json.hpp>

namespace gulltrestle::maintenance {

using Json = nlohmann::json;
using Kind = Acceptor::AcceptorReply::Kind;

Acceptor::Acceptor(const std::string& stored, bool isComplete)
    : isComplete_(isComplete), isDurablyComplete_(isComplete) {
  if (stored.empty()) return;
  // The store has verified the checksum, so the text is what was written.
  const Json all = Json::parse(stored, nullptr, false);
  if (all.is_discarded()) {
    markIncomplete();
    return;
  }
  promised_ = {all.value("promised", std::uint64_t{0}), all.value("promised_draw", std::uint64_t{0})};
  accepted_.ballot = {all.value("ballot", std::uint64_t{0}), all.value("ballot_draw", std::uint64_t{0})};
  accepted_.version = {all.value("version", std::uint64_t{0}), all.value("stamp_draw", std::uint64_t{0})};
  accepted_.value = all.value("value", "");
  isComplete_ = isDurablyComplete_ = isComplete && all.value("whole", false);
  durableValue_ = accepted_;
}

std::string Acceptor::serialized() const {
  return Json{{"promised", promised_.number},
              {"promised_draw", promised_.draw},
              {"ballot", accepted_.ballot.number},
              {"ballot_draw", accepted_.ballot.draw},
              {"version", accepted_.version.version},
              {"stamp_draw", accepted_.version.draw},
              {"value", accepted_.value},
              {"whole", isComplete_}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Acceptor::RequestOutcome Acceptor::replyWhenDurable(AcceptorReply reply) {
  pendingWrites_.push_back(PendingWrite{std::move(reply), accepted_});
  return {true, std::nullopt};
}

Acceptor::RequestOutcome Acceptor::rejected(const Ballot& ballot) const {
  return {false, AcceptorReply{Kind::rejected, ballot, promised_, AcceptedValue()}};
}

Acceptor::RequestOutcome Acceptor::prepare(const Ballot& ballot) {
  if (!isComplete_) return {};
  if (ballot <= promised_) return rejected(ballot);
  promised_ = ballot;
  return replyWhenDurable(AcceptorReply{Kind::promised, ballot, Ballot(), accepted_});
}

Acceptor::RequestOutcome Acceptor::accept(const AcceptedValue& proposed) {
  if (proposed.ballot < promised_) return rejected(proposed.ballot);
  promised_ = proposed.ballot;
  accepted_ = proposed;
  isComplete_ = true;
  return replyWhenDurable(AcceptorReply{Kind::accepted, proposed.ballot, Ballot(), AcceptedValue()});
}

std::optional<Acceptor::AcceptorReply> Acceptor::onWritten(bool durable) {
  if (pendingWrites_.empty()) return std::nullopt;
  const PendingWrite write = std::move(pendingWrites_.front());
  pendingWrites_.pop_front();
  if (!durable) return std::nullopt;
  durableValue_ = write.accepted;
  isDurablyComplete_ = isDurablyComplete_ || write.reply.kind == Kind::accepted;
  return write.reply;
}

}  // namespace gulltrestle::maintenance
