#include "maintenance/acceptor.h"

#include <nlohmann/json.hpp>

namespace gulltrestle::maintenance {

using Json = nlohmann::json;
using Kind = Acceptor::AcceptorReply::Kind;

Acceptor::Acceptor(const std::string& kept, bool whole) : whole_(whole), durablyWhole_(whole) {
  if (kept.empty()) return;
  // The disk's checksum has been tested: what is there is what was written.
  const Json all = Json::parse(kept, nullptr, false);
  if (all.is_discarded()) {
    markIncomplete();
    return;
  }
  promised_ = {all.value("promised", std::uint64_t{0}), all.value("promised_draw", std::uint64_t{0})};
  held_.ballot = {all.value("ballot", std::uint64_t{0}), all.value("ballot_draw", std::uint64_t{0})};
  held_.version = {all.value("version", std::uint64_t{0}), all.value("stamp_draw", std::uint64_t{0})};
  held_.value = all.value("value", "");
  whole_ = durablyWhole_ = whole && all.value("whole", false);
  durable_ = held_;
}

std::string Acceptor::text() const {
  return Json{{"promised", promised_.number},
              {"promised_draw", promised_.draw},
              {"ballot", held_.ballot.number},
              {"ballot_draw", held_.ballot.draw},
              {"version", held_.version.version},
              {"stamp_draw", held_.version.draw},
              {"value", held_.value},
              {"whole", whole_}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

void Acceptor::wait(AcceptorReply answer) { waiting_.push_back(Waiting{std::move(answer), held_}); }

bool Acceptor::prepare(const Ballot& ballot, std::optional<AcceptorReply>& refused) {
  if (!whole_) return false;
  if (ballot <= promised_) {
    refused = AcceptorReply{Kind::rejected, ballot, promised_, AcceptedValue()};
    return false;
  }
  promised_ = ballot;
  wait(AcceptorReply{Kind::promised, ballot, Ballot(), held_});
  return true;
}

bool Acceptor::accept(const AcceptedValue& held, std::optional<AcceptorReply>& refused) {
  if (held.ballot < promised_) {
    refused = AcceptorReply{Kind::rejected, held.ballot, promised_, AcceptedValue()};
    return false;
  }
  promised_ = held.ballot;
  held_ = held;
  whole_ = true;
  wait(AcceptorReply{Kind::accepted, held.ballot, Ballot(), AcceptedValue()});
  return true;
}

std::optional<Acceptor::AcceptorReply> Acceptor::onWritten(bool durable) {
  if (waiting_.empty()) return std::nullopt;
  const Waiting done = std::move(waiting_.front());
  waiting_.pop_front();
  if (!durable) return std::nullopt;
  durable_ = done.held;
  durablyWhole_ = durablyWhole_ || done.answer.kind == Kind::accepted;
  return done.answer;
}

}  // namespace gulltrestle::maintenance
