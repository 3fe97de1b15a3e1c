// What the folder of a voting member holds, and the changes to it: the member's own records, and those of
// other packages whose state a voter stores on the same disk.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "idempotency/claim_types.h"
#include "idempotency/voter_lists.h"

namespace gulltrestle::idempotency {

// --- Records. Each replaces the one that was stored under the same key before.

// A claim is removed: it was released, or its retention has passed. Its key is its id; so is a ClaimRecord's.
struct ClaimRemoval {
  std::string id;
};

// A start of a voter. Of this folder's own voting member all are stored, up to a limit; of another voter the
// newest that this one was notified of.
struct VoterStartRecord {
  std::string voter;  // key; empty: this folder's own voting member
  VoterIncarnation incarnation;
};

// Whether the votes of earlier starts count. One for the folder.
struct VotingRecord {
  bool isComplete = false;     // all votes it ever gave that still count are among its claims
  std::uint64_t newSince = 0;  // starts below this number were another disk's, and count no more
};

// Whether a node drains, by the endpoint list that said so last (recovery/drain_registry.h).
struct NodeDrainRecord {
  std::string node;               // key
  std::uint64_t listVersion = 0;  // of that endpoint list; as a change, 0: the node is forgotten
  bool isDraining = false;
};

// The primary that was last confirmed for a group (recovery/recovery_stages.h).
struct PrimaryRecord {
  std::uint64_t group = 0;  // key
  std::string node;
  std::uint64_t listVersion = 0;  // of the newest endpoint list when it was the primary
};

// The newest start of a router (membership/failure_detector.h).
struct RouterStartRecord {
  std::string router;  // key
  VoterIncarnation incarnation;
};

// What the voter has accepted of the maintenance plan (maintenance/acceptor.h). One for the folder.
struct MaintenanceRecord {
  std::string acceptorState;  // as Acceptor::serialized() returns it
};

// One change to the folder. A VoterListHistory replaces all voter lists that are stored.
using DiskChange = std::variant<ClaimRecord, ClaimRemoval, VoterStartRecord, VotingRecord, NodeDrainRecord,
                                PrimaryRecord, RouterStartRecord, VoterListHistory, MaintenanceRecord>;

// --- All of them

// What a disk held when the voting member started. Read by store/database.h.
struct StoredState {
  // The starts that this disk has seen, the present one last, durable there.
  std::vector<VoterIncarnation> ownStarts;
  bool isComplete = false;     // as in VotingRecord
  std::uint64_t newSince = 0;  // as in VotingRecord
  std::vector<ClaimRecord> claims;
  std::map<std::string, VoterIncarnation> voterStarts;   // by voter: the newest of each other one
  std::map<std::string, NodeDrainRecord> nodeDrains;     // by node
  std::map<std::uint64_t, PrimaryRecord> primaries;      // by group
  std::map<std::string, VoterIncarnation> routerStarts;  // by router: the newest of each
  VoterListHistory voterLists;
  std::string acceptorState;  // as in MaintenanceRecord; empty: none was stored
};

}  // namespace gulltrestle::idempotency
