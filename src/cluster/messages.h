// The messages between routers and keepers, as values. Protobuf's types stay within words.cpp.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/membership.h"
#include "cluster/recovery_service.h"
#include "idempotency/claim_types.h"
#include "maintenance/acceptor.h"
#include "recovery/drain_registry.h"

namespace gulltrestle::cluster {

constexpr std::string_view kMethod = "/gulltrestle.peers.Keeper/Talk";

class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Hello {
  std::string router, keepers;
  std::uint64_t draw = 0;
  idempotency::Start keeper;  // number 0: it is none
};
struct Claim {
  std::string id;
  std::uint64_t number = 0;
};
struct Release {
  std::string id;
  std::uint64_t number = 0;
};
struct Committed {
  std::string id;
  std::uint64_t number = 0;
  std::string value;
};
using Nodes = std::vector<recovery::News>;   // to a keeper, and back
using Primaries = std::vector<PrimaryNews>;  // likewise
struct WorkRead {                            // a round on the plan of work
  maintenance::Ballot ballot;
};
struct WorkWrite {
  maintenance::Held held;
};
using Word =
    std::variant<Hello, Claim, Release, Committed, Nodes, Primaries, Enter, Beat, WorkRead, WorkWrite>;

struct Heard {
  std::uint64_t number = 0;
  idempotency::Start knew;
  membership::Incarnation speaks;  // the newest start of the router that has entered there
};
struct VoteOf {
  std::uint64_t number = 0;
  idempotency::Vote vote;
};
struct WorkAnswer {  // to a round
  maintenance::Acceptor::Answer answer;
};
struct WorkHeld {  // what that keeper has on disk, whenever it changes, and ahead of its greeting's answer
  maintenance::Held held;
};
using Reply = std::variant<Heard, VoteOf, Nodes, Primaries, Seen, Entered, Reports, WorkAnswer, WorkHeld>;

std::string encoded(const Word& word);
std::string encoded(const Reply& reply);
// Throw Malformed where it is none, or one that is not known.
Word readWord(std::string_view bytes);
Reply readReply(std::string_view bytes);

}  // namespace gulltrestle::cluster
