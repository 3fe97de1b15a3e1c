// Tests the decisions of a voting member, step by step.
#include <iostream>

#include "claims/cases.h"
#include "idempotency/voting_member.h"

namespace gulltrestle::idempotency {

std::string describe(const Vote& vote) {
  constexpr const char* kKinds[] = {"granted", "taken by other", "abstained"};
  return std::string(kKinds[static_cast<int>(vote.kind)]) +
         (vote.isCommitted ? " committed '" + vote.value + "'" : "");
}

namespace {

constexpr Instant kBegin = Instant::atMicros(1'000'000'000);
constexpr Duration kRetention = Duration::millis(60'000);
const VoterList kThreeVoters{.version = 1, .names = {"k1", "k2", "k3"}};
const ClaimToken kTokenA{"a", 11, 1}, kTokenB{"b", 22, 1};

std::string describe(const std::optional<Vote>& vote) {
  return vote ? idempotency::describe(*vote) : "pending until durable";
}

std::string describe(const DiskChange& change) {
  if (const auto* claim = std::get_if<ClaimRecord>(&change))
    return "store " + claim->id + " of " + claim->token.router + (claim->isCommitted ? " committed" : "");
  if (const auto* removal = std::get_if<ClaimRemoval>(&change)) return "remove " + removal->id;
  if (const auto* start = std::get_if<VoterStartRecord>(&change))
    return "start " + start->voter + "=" + std::to_string(start->incarnation.number);
  if (const auto* voting = std::get_if<VotingRecord>(&change))
    return std::string("voting ") + (voting->isComplete ? "yes" : "no");
  return "UNEXPECTED";
}

void printState(VotingMember& voter) {
  std::cout << "  " << nameOf(voter.state()) << ", start " << voter.start().number << ", claims "
            << voter.claimCount();
  for (const auto& name : voter.unverifiedVoters()) std::cout << ", unverified " << name;
  std::cout << "; to disk:";
  for (const DiskChange& change : voter.takeChanges()) std::cout << " " << describe(change);
  std::cout << "\n";
}

StoredState completeState(const VoterList& list, std::vector<VoterIncarnation> ownStarts,
                          std::vector<ClaimRecord> claims = {}) {
  StoredState stored;
  stored.ownStarts = std::move(ownStarts);
  stored.isComplete = true;
  stored.claims = std::move(claims);
  stored.voterLists.current = list;
  return stored;
}

VotingMemberLimits smallLimits() {
  VotingMemberLimits limits;
  limits.retention = kRetention;
  limits.maxValueBytes = 8;
  limits.maxClaims = 4;
  return limits;
}

void printVerification(VotingMember& voter) {
  std::cout << "after the start: " << describe(voter.onClaim(kBegin, "id1", kTokenA))
            << "; for a stored claim: " << describe(voter.onClaim(kBegin, "old", kTokenB)) << "\n";
  printState(voter);
  std::cout
      << "a reply to an earlier greeting, one from an unknown voter, then one with a start on its disk\n";
  voter.onGreetingReply(kBegin, "k2", 4, {});
  voter.onGreetingReply(kBegin, "k9", 5, {});
  printState(voter);
  voter.onGreetingReply(kBegin, "k2", 5, {4, 8});
  printState(voter);
}

void printClaims(VotingMember& voter) {
  std::cout << "a claims id1: " << describe(voter.onClaim(kBegin, "id1", kTokenA))
            << "; b claims it: " << describe(voter.onClaim(kBegin, "id1", kTokenB)) << "\n";
  printState(voter);
  std::cout << "durable: " << describe(voter.onWritten("id1", kTokenA, true))
            << "; a again: " << describe(voter.onClaim(kBegin, "id1", kTokenA)) << "\n";
  std::cout << "b releases a vote that it does not have, a releases its own; b claims: ";
  voter.onReleased("id1", kTokenB);
  voter.onReleased("id1", kTokenA);
  std::cout << describe(voter.onClaim(kBegin, "id1", kTokenB))
            << "; not durable: " << describe(voter.onWritten("id1", kTokenB, false))
            << "; b again: " << describe(voter.onClaim(kBegin, "id1", kTokenB)) << "\n";
  printState(voter);
}

void printOutcomes(VotingMember& voter) {
  std::cout << "committed by b with a value, then released by b; a claims\n";
  voter.onCommitted(kBegin, "id1", kTokenB, "value");
  voter.onReleased("id1", kTokenB);
  std::cout << "  " << describe(voter.onClaim(kBegin, "id1", kTokenA)) << "\n";
  std::cout << "another id is committed by a, with a value that is too long\n";
  voter.onCommitted(kBegin, "id2", kTokenA, "a value of some length");
  printState(voter);
  std::cout << "at the limit of stored ids: " << describe(voter.onClaim(kBegin, "id3", kTokenA)) << "\n";
  std::cout << "after the retention time\n";
  voter.runTimers(kBegin + kRetention);
  printState(voter);
}

void printLostDisk() {
  std::cout << "other voters know a start of this voter that its disk lacks\n";
  VotingMember voter(kBegin, "k1", smallLimits(), completeState(kThreeVoters, {{5, 1}}));
  std::cout << "  must greet again: " << voter.onGreetingReply(kBegin, "k2", 5, {3, 9}) << "\n";
  printState(voter);
  voter.onGreetingReply(kBegin, "k2", 5, {});
  voter.onGreetingReply(kBegin, "k3", 6, {3, 9});
  printState(voter);
  std::cout << "  " << describe(voter.onClaim(kBegin, "id1", kTokenA)) << "\n";
  voter.runTimers(kBegin + kRetention);
  printState(voter);
  std::cout << "other voters greet: known before " << voter.onGreeting("k2", {3, 1})->number << ", then "
            << voter.onGreeting("k2", {2, 5})->number << ", then " << voter.onGreeting("k2", {4, 5})->number
            << "; unknown voter " << voter.onGreeting("k9", {4, 5})->number << "\n";
  printState(voter);
}

void printSlowDisk() {
  VotingMemberLimits limits;
  limits.maxPendingWrites = 2;
  VotingMember voter(kBegin, "k1", limits, completeState({.version = 1, .names = {"k1"}}, {{1, 1}}));
  std::cout << "a slow disk, limit of two pending votes: " << describe(voter.onClaim(kBegin, "w1", kTokenA))
            << ", " << describe(voter.onClaim(kBegin, "w2", kTokenA)) << ", "
            << describe(voter.onClaim(kBegin, "w3", kTokenA)) << ", repeated "
            << describe(voter.onClaim(kBegin, "w1", kTokenA));
  std::cout << "; one becomes durable: " << describe(voter.onWritten("w1", kTokenA, true)) << ", "
            << describe(voter.onClaim(kBegin, "w3", kTokenA)) << "\n";
}

}  // namespace

void printVotingMemberTrace() {
  const ClaimRecord committed{.id = "old", .token = kTokenA, .isCommitted = true, .value = "v"};
  VotingMember voter(kBegin, "k1", smallLimits(), completeState(kThreeVoters, {{4, 8}, {5, 1}}, {committed}));
  printVerification(voter);
  printClaims(voter);
  printOutcomes(voter);
  printLostDisk();
  printSlowDisk();
}

}  // namespace gulltrestle::idempotency
