#include "cluster/status_document.h"

#include <nlohmann/json.hpp>

namespace gulltrestle::cluster {

using Json = nlohmann::ordered_json;

namespace {

std::int64_t millis(Duration span) { return span.inMicros() / 1000; }

Json groupsOf(Instant now, const RecoveryService& recovery) {
  Json groups = Json::array();
  const auto& stages = recovery.stages();
  for (const GroupId id : stages.groups()) {
    const auto status = stages.statusOf(id);
    Json group{
        {"group", id}, {"stage", recovery::nameOf(status.stage)}, {"for_ms", millis(now - status.since)}};
    if (!status.waitingFor.empty()) group["awaits"] = status.waitingFor;
    if (!status.contenders.empty()) group["contested_by"] = status.contenders;
    if (const auto known = recovery.knownPrimaries().find(id); known != recovery.knownPrimaries().end())
      group["primary"] = known->second.node;
    groups.push_back(std::move(group));
  }
  return groups;
}

std::string_view stageNameOf(unsigned recoveryStage) {
  // A router of a later version may report a stage that is unknown here.
  const unsigned known = std::min(recoveryStage, static_cast<unsigned>(recovery::Stage::all));
  return recovery::nameOf(static_cast<recovery::Stage>(known));
}

Json membersOf(const MembershipService& membership) {
  Json members = Json::array();
  const auto& view = membership.view();
  for (const auto& router : view.routers()) {
    const auto state = view.memberState(router);
    Json member{{"router", router},
                {"state", membership::nameOf(state.state)},
                {"start", state.incarnation},
                {"stage", stageNameOf(state.progress.recoveryStage)}};
    for (const auto voter : state.silentVoters) member["silent_at"].push_back(membership.voters().at(voter));
    members.push_back(std::move(member));
  }
  return members;
}

Json maintenanceOf(Instant now, const MaintenanceService& maintenance) {
  Json work{{"version", maintenance.planVersion()},
            {"clear", maintenance.drainedVersion()},
            {"foreman", maintenance.isLeader()}};
  const Instant leaseUntil = maintenance.leaseUntil();
  work["lease_ms"] = leaseUntil == Instant() ? 0 : millis(leaseUntil - now);
  work["machines"] = Json::array();
  for (const auto& machine : maintenance.plan().machines) {
    Json status{{"machine", machine.name},
                {"phase", maintenance::nameOf(machine.phase)},
                {"why", machine.reason},
                {"by", machine.requestedBy},
                {"tries", machine.attempts}};
    if (const auto waitingFor = maintenance.waitingFor(machine); !waitingFor.empty())
      status["awaits"] = waitingFor;
    work["machines"].push_back(std::move(status));
  }
  return work;
}

Json votingMemberOf(const idempotency::VotingMember& votingMember) {
  Json status{{"state", nameOf(votingMember.state())}, {"ids", votingMember.claimCount()}};
  if (const auto unverified = votingMember.unverifiedVoters(); !unverified.empty())
    status["waits_for"] = unverified;
  return status;
}

Json storeOf(const store::StoreStatistics& store) {
  Json status{{"bytes", store.fileBytes},
              {"queued", store.queuedChanges},
              {"commits", store.commits},
              {"failures", store.failedCommits},
              {"longest_ms", millis(store.longestCommit)},
              {"durable_ms_ago", millis(store.sinceLastCommit)}};
  if (!store.lastError.empty()) status["fault"] = store.lastError;
  return status;
}

}  // namespace

std::string statusDocument(Instant now, const ClaimDispatcher& dispatcher,
                           const store::StoreStatistics* store, const StreamStatistics& streams) {
  Json document;
  const RecoveryService& recovery = dispatcher.recovery();
  const auto& ramp = recovery.ramp();
  document["time_ms"] = now.inMicros() / 1000;
  document["started_ms_ago"] = millis(now - ramp.startedAt());
  document["ramp"] = {{"state", nameOf(ramp.state())}, {"turned_away", ramp.rejected()}};
  if (ramp.state() != recovery::AdmissionRamp::State::finished)
    document["ramp"]["txns_a_second"] = ramp.rate();
  if (!recovery.forcedBy().empty()) document["forced_by"] = recovery.forcedBy();
  document["groups"] = groupsOf(now, recovery);
  const auto& joinProtocol = dispatcher.membership().joinProtocol();
  document["entry"] = {{"state", nameOf(joinProtocol.state())}, {"start", joinProtocol.incarnation().number}};
  document["members"] = membersOf(dispatcher.membership());
  document["work"] = maintenanceOf(now, dispatcher.maintenance());
  if (const auto* votingMember = dispatcher.votingMember())
    document["keeper"] = votingMemberOf(*votingMember);
  if (store) document["store"] = storeOf(*store);
  document["talk"] = {{"said", streams.messagesSent}, {"heard", streams.repliesReceived}};
  if (store) {
    document["talk"]["words_taken"] = streams.messagesReceived;
    document["talk"]["answers_given"] = streams.repliesSent;
  }
  return document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace gulltrestle::cluster
