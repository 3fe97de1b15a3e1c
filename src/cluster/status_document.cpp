#include "cluster/status_document.h"

#include <nlohmann/json.hpp>

namespace gulltrestle::cluster {

using Json = nlohmann::ordered_json;

namespace {

std::int64_t millis(Span span) { return span.inMicros() / 1000; }

Json groupsOf(Instant now, const Service& service) {
  Json groups = Json::array();
  const auto& stages = service.stages();
  for (const GroupId id : stages.groups()) {
    const auto group = stages.of(id);
    Json one{{"group", id}, {"stage", recovery::nameOf(group.stage)}, {"for_ms", millis(now - group.since)}};
    if (!group.awaits.empty()) one["awaits"] = group.awaits;
    if (!group.claimed.empty()) one["contested_by"] = group.claimed;
    if (const auto known = service.known().find(id); known != service.known().end())
      one["primary"] = known->second.node;
    groups.push_back(std::move(one));
  }
  return groups;
}

Json membersOf(const Membership& membership) {
  Json all = Json::array();
  const auto& view = membership.view();
  for (const auto& router : view.routers()) {
    const auto member = view.of(router);
    Json one{{"router", router},
             {"state", membership::nameOf(member.state)},
             {"start", member.incarnation},
             {"stage", recovery::nameOf(static_cast<recovery::Stage>(
                           std::min(member.progress.stage, static_cast<unsigned>(recovery::Stage::all))))}};
    for (const auto keeper : member.silent) one["silent_at"].push_back(membership.keepers().at(keeper));
    all.push_back(std::move(one));
  }
  return all;
}

Json workOf(Instant now, const Worker& worker) {
  Json work{{"version", worker.known()}, {"clear", worker.clear()}, {"foreman", worker.isForeman()}};
  work["lease_ms"] = worker.leaseUntil() == Instant() ? 0 : millis(worker.leaseUntil() - now);
  work["machines"] = Json::array();
  for (const auto& m : worker.plan().machines) {
    Json one{{"machine", m.name},
             {"phase", maintenance::nameOf(m.phase)},
             {"why", m.why},
             {"by", m.by},
             {"tries", m.tries}};
    if (const auto awaits = worker.awaits(m); !awaits.empty()) one["awaits"] = awaits;
    work["machines"].push_back(std::move(one));
  }
  return work;
}

}  // namespace

std::string statusOf(Instant now, const Desk& desk, const store::Figures* disk, const Talked& talked) {
  Json all;
  const Service& service = desk.service();
  const auto& ramp = service.ramp();
  all["time_ms"] = now.inMicros() / 1000;
  all["started_ms_ago"] = millis(now - ramp.startedAt());
  all["ramp"] = {{"state", nameOf(ramp.state())}, {"turned_away", ramp.rejected()}};
  if (ramp.state() != recovery::Ramp::State::over) all["ramp"]["txns_a_second"] = ramp.rate();
  if (!service.forcedBy().empty()) all["forced_by"] = service.forcedBy();
  all["groups"] = groupsOf(now, service);
  const Membership& membership = desk.membership();
  all["entry"] = {{"state", nameOf(membership.entry().state())},
                  {"start", membership.entry().incarnation().number}};
  all["members"] = membersOf(membership);
  const Worker& worker = desk.worker();
  all["work"] = workOf(now, worker);
  if (const idempotency::Keeper* keeper = desk.keeper()) {
    all["keeper"] = {{"state", nameOf(keeper->state())}, {"ids", keeper->size()}};
    if (const auto unheard = keeper->unheard(); !unheard.empty()) all["keeper"]["waits_for"] = unheard;
  }
  if (disk) {
    all["store"] = {{"bytes", disk->bytes},
                    {"queued", disk->queued},
                    {"commits", disk->commits},
                    {"failures", disk->failures},
                    {"longest_ms", millis(disk->longest)},
                    {"durable_ms_ago", millis(disk->durableAgo)}};
    if (!disk->fault.empty()) all["store"]["fault"] = disk->fault;
  }
  all["talk"] = {{"said", talked.said}, {"heard", talked.heard}};
  if (disk) {
    all["talk"]["words_taken"] = talked.wordsTaken;
    all["talk"]["answers_given"] = talked.answersGiven;
  }
  return all.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace gulltrestle::cluster
