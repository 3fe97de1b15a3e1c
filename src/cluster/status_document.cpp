#include "cluster/status_document.h"

#include <nlohmann/json.hpp>

namespace gulltrestle::cluster {

using Json = nlohmann::ordered_json;

namespace {

std::int64_t millis(Duration span) { return span.inMicros() / 1000; }

Json groupsOf(Instant now, const RecoveryService& service) {
  Json groups = Json::array();
  const auto& stages = service.stages();
  for (const GroupId id : stages.groups()) {
    const auto group = stages.statusOf(id);
    Json one{{"group", id}, {"stage", recovery::nameOf(group.stage)}, {"for_ms", millis(now - group.since)}};
    if (!group.awaits.empty()) one["awaits"] = group.awaits;
    if (!group.claimed.empty()) one["contested_by"] = group.claimed;
    if (const auto known = service.known().find(id); known != service.known().end())
      one["primary"] = known->second.node;
    groups.push_back(std::move(one));
  }
  return groups;
}

Json membersOf(const MembershipService& membership) {
  Json all = Json::array();
  const auto& view = membership.view();
  for (const auto& router : view.routers()) {
    const auto member = view.memberState(router);
    Json one{{"router", router},
             {"state", membership::nameOf(member.state)},
             {"start", member.incarnation},
             {"stage", recovery::nameOf(static_cast<recovery::Stage>(std::min(
                           member.progress.recoveryStage, static_cast<unsigned>(recovery::Stage::all))))}};
    for (const auto keeper : member.silent) one["silent_at"].push_back(membership.keepers().at(keeper));
    all.push_back(std::move(one));
  }
  return all;
}

Json workOf(Instant now, const MaintenanceService& worker) {
  Json work{{"version", worker.known()}, {"clear", worker.clear()}, {"foreman", worker.isForeman()}};
  work["lease_ms"] = worker.leaseUntil() == Instant() ? 0 : millis(worker.leaseUntil() - now);
  work["machines"] = Json::array();
  for (const auto& m : worker.plan().machines) {
    Json one{{"machine", m.name},
             {"phase", maintenance::nameOf(m.phase)},
             {"why", m.reason},
             {"by", m.requestedBy},
             {"tries", m.attempts}};
    if (const auto awaits = worker.awaits(m); !awaits.empty()) one["awaits"] = awaits;
    work["machines"].push_back(std::move(one));
  }
  return work;
}

}  // namespace

std::string statusOf(Instant now, const ClaimDispatcher& desk, const store::StoreStatistics* disk,
                     const StreamStatistics& talked) {
  Json all;
  const RecoveryService& service = desk.service();
  const auto& ramp = service.ramp();
  all["time_ms"] = now.inMicros() / 1000;
  all["started_ms_ago"] = millis(now - ramp.startedAt());
  all["ramp"] = {{"state", nameOf(ramp.state())}, {"turned_away", ramp.rejected()}};
  if (ramp.state() != recovery::AdmissionRamp::State::finished) all["ramp"]["txns_a_second"] = ramp.rate();
  if (!service.forcedBy().empty()) all["forced_by"] = service.forcedBy();
  all["groups"] = groupsOf(now, service);
  const MembershipService& membership = desk.membership();
  all["entry"] = {{"state", nameOf(membership.entry().state())},
                  {"start", membership.entry().incarnation().number}};
  all["members"] = membersOf(membership);
  const MaintenanceService& worker = desk.worker();
  all["work"] = workOf(now, worker);
  if (const idempotency::VotingMember* keeper = desk.votingMember()) {
    all["keeper"] = {{"state", nameOf(keeper->state())}, {"ids", keeper->size()}};
    if (const auto unheard = keeper->unverifiedVoters(); !unheard.empty())
      all["keeper"]["waits_for"] = unheard;
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
