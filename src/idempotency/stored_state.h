// Contents of a voting member's folder on disk, and changes to them: the member's own records, and those of
// other modules whose state a voter stores on the same disk.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "idempotency/claim_types.h"
#include "idempotency/voter_lists.h"

namespace gulltrestle::idempotency {

// --- Records. Each replaces the record previously stored under the same key.

// Removes a claim that was released or whose retention time has passed. The key is the id, as for
// ClaimRecord.
struct ClaimRemoval {
  std::string id;
};

// A start of a voter. For this folder's own voting member all starts are stored, up to a limit; for another
// voter only the newest start that this member was notified of.
struct VoterStartRecord {
  std::string voter;  // key; empty: this folder's own voting member
  VoterIncarnation incarnation;
};

// Whether votes of earlier starts count. The folder has one such record.
struct VotingRecord {
  bool isComplete = false;          // the stored claims include every granted vote that still counts
  std::uint64_t minValidStart = 0;  // starts below this number belong to another disk and no longer count
};

// Whether a node is draining, according to the last endpoint list that reported it
// (recovery/drain_registry.h).
struct NodeDrainRecord {
  std::string node;               // key
  std::uint64_t listVersion = 0;  // of that endpoint list; in a change, 0 removes the node
  bool isDraining = false;
};

// The last confirmed primary of a group (recovery/recovery_stages.h).
struct PrimaryRecord {
  std::uint64_t group = 0;  // key
  std::string node;
  std::uint64_t listVersion = 0;  // of the newest endpoint list at the time of confirmation
};

// The newest start of a router (membership/failure_detector.h).
struct RouterStartRecord {
  std::string router;  // key
  VoterIncarnation incarnation;
};

// The voter's accepted state of the maintenance plan (maintenance/acceptor.h). The folder has one such
// record.
struct MaintenanceRecord {
  std::string acceptorState;  // as Acceptor::serialized() returns it
};

// One change to the folder. A VoterListHistory replaces all stored voter lists.
using DiskChange = std::variant<ClaimRecord, ClaimRemoval, VoterStartRecord, VotingRecord, NodeDrainRecord,
                                PrimaryRecord, RouterStartRecord, VoterListHistory, MaintenanceRecord>;

// --- The whole state

// The contents of the disk when the voting member started. Read by store/database.h.
struct StoredState {
  // The starts recorded on this disk, the current one last. All of them are durable.
  std::vector<VoterIncarnation> ownStarts;
  bool isComplete = false;          // as in VotingRecord
  std::uint64_t minValidStart = 0;  // as in VotingRecord
  std::vector<ClaimRecord> claims;
  std::map<std::string, VoterIncarnation> voterStarts;   // by voter: the newest start of each other voter
  std::map<std::string, NodeDrainRecord> nodeDrains;     // by node
  std::map<std::uint64_t, PrimaryRecord> primaries;      // by group
  std::map<std::string, VoterIncarnation> routerStarts;  // by router: the newest start of each
  VoterListHistory voterLists;
  std::string acceptorState;  // as in MaintenanceRecord; empty: none was stored
};

}  // namespace gulltrestle::idempotency
