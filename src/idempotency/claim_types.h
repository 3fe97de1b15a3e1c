// Claims: how routers agree that a txn that may run only once does.
//
// A router that was asked for such a txn claims its id at all voters, which are a few routers with a lasting
// disk, named in a list that all routers have. A voter gives its vote for an id to one claim, durable before
// it is answered, and stores it for the time of retention. Who has the votes of more than half of the voters
// may send the txn. The voters are notified of its outcome, so that a repeat gets the outcome that is known.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace gulltrestle::idempotency {

// One claim. No two have the same, of whatever router and start.
struct ClaimToken {
  std::string router;
  std::uint64_t start = 0;   // drawn anew at each start of the program, from all 64-bit numbers
  std::uint64_t number = 0;  // of that start's claims, from 1
  auto operator<=>(const ClaimToken&) const = default;
};

// One start of a voter's program: counted on its disk, and drawn, so that two disks that count alike are
// told apart.
struct VoterIncarnation {
  std::uint64_t number = 0;  // 0: none is known
  std::uint64_t draw = 0;
  bool operator==(const VoterIncarnation&) const = default;
};

// What a voter stores of an id.
struct ClaimRecord {
  std::string id;
  ClaimToken token;
  bool committed = false;
  std::string value;  // where it is committed and its value known and not too long
  bool operator==(const ClaimRecord&) const = default;
};

// A voter's answer to a claim.
struct Vote {
  enum class Kind {
    granted,       // this claim has its vote, durably
    takenByOther,  // another has it
    abstained,     // it gives none now
  } kind = Kind::abstained;
  bool committed = false;  // takenByOther: that one is known as committed, with this value
  std::string value;
  bool operator==(const Vote&) const = default;
};

// More than half: any two such sets share a voter.
constexpr std::size_t majorityOf(std::size_t voters) { return voters / 2 + 1; }

}  // namespace gulltrestle::idempotency
