// Claims: how routers agree that an at-most-once transaction runs at most once.
//
// A router that received such a transaction claims its id at all voters, which are a few routers with durable
// disks, named in a list that all routers have. A voter grants its vote for an id to one claim, durable
// before it is sent, and stores it for the time of retention. The router that has the votes of more than half
// of the voters may send the transaction. The voters are notified of its outcome, so that a client that
// repeats the request gets the outcome that is known.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::idempotency {

// Identifies one claim, over all routers and starts.
struct ClaimToken {
  std::string router;
  std::uint64_t start = 0;   // a 64-bit random number of each start of the program
  std::uint64_t number = 0;  // of that start's claims, from 1
  auto operator<=>(const ClaimToken&) const = default;
};

// One start of a voter's program: a number counted on its disk, and a random draw that tells apart two disks
// that have counted to the same number.
struct VoterIncarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const VoterIncarnation&) const = default;
};

// What a voter stores of an id: the claim that has its vote, or was committed.
struct ClaimRecord {
  std::string id;
  ClaimToken token;
  bool isCommitted = false;
  std::string value;  // where it is committed and its value known and not too long
  bool operator==(const ClaimRecord&) const = default;
};

// A voter's answer to a claim.
struct Vote {
  enum class Kind {
    granted,       // this claim has the vote, durably
    takenByOther,  // another claim has it
    abstained,     // the voter grants none at present
  } kind = Kind::abstained;
  bool isCommitted = false;  // takenByOther: the other claim was, with this value
  std::string value;
  bool operator==(const Vote&) const = default;
};

// More than half: any two majorities share a voter.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::idempotency
