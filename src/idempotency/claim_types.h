// Claims are how routers agree that an at-most-once transaction runs at most once.
//
// A router that receives such a transaction claims its id at all voters. Voters are a few routers with
// durable disks, named in a list that all routers have. A voter grants its vote for an id to one claim, makes
// the vote durable before sending it, and stores it for the retention time. A router that has the votes of
// more than half of the voters may send the transaction. The voters are notified of the outcome, so that a
// client that repeats the request receives the known outcome.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::idempotency {

// Identifies one claim, uniquely across all routers and all starts of their programs.
struct ClaimToken {
  std::string router;
  std::uint64_t start = 0;   // a 64-bit random number, drawn at each start of the program
  std::uint64_t number = 0;  // sequence number among that start's claims, from 1
  auto operator<=>(const ClaimToken&) const = default;
};

// Identifies one start of a voter's program: a counter kept on its disk, and a random number that
// distinguishes two disks with the same counter value.
struct VoterIncarnation {
  std::uint64_t number = 0;  // 0: no start is known
  std::uint64_t draw = 0;
  bool operator==(const VoterIncarnation&) const = default;
};

// What a voter stores for an id: the claim that has its vote, or the claim that was committed.
struct ClaimRecord {
  std::string id;
  ClaimToken token;
  bool isCommitted = false;
  std::string value;  // empty unless committed with a known value within the size limit
  bool operator==(const ClaimRecord&) const = default;
};

// A voter's answer to a claim.
struct Vote {
  enum class Kind {
    granted,       // this claim has the vote, and the vote is durable
    takenByOther,  // another claim has the vote
    abstained,     // the voter currently grants no votes
  } kind = Kind::abstained;
  bool isCommitted = false;  // takenByOther: the other claim was committed, with this value
  std::string value;
  bool operator==(const Vote&) const = default;
};

// The size of a majority: more than half, so that any two majorities share a voter.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::idempotency
