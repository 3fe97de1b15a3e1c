// The rows of a store: loads all of them, verifies their checksums, and changes them in transactions. Holds
// one connection to one file; not thread-safe. Used by Store, which owns the folder and the writer thread.
//
// Each row has a checksum, and the database has one digest over all rows (store/row_checksums.h). The digest
// detects rows that are missing, outdated or changed by another program.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "idempotency/stored_state.h"
#include "store/connection.h"
#include "store/row_checksums.h"

namespace gulltrestle::store {

// The rows of one database file.
class Database {
 public:
  using OpenMode = Connection::OpenMode;
  using DiskChange = idempotency::DiskChange;

  // Opens the file; creates a missing file when opened for writing. Throws CorruptDatabase, LockedDatabase,
  // UnsupportedFormat, DiskError.
  Database(const std::string& path, OpenMode mode);

  // Whether the file has no tables yet. If so, initialize() must be called first.
  [[nodiscard]] bool isNew() const { return isNew_; }
  // Creates the tables. `voter` is the voting member that the store belongs to. Throws DiskError.
  void initialize(const std::string& voter, const idempotency::VotingRecord& voting);
  // The voting member that the store belongs to.
  [[nodiscard]] const std::string& voter() const { return voter_; }
  // Returns all rows after verifying them against the digest. Upgrades a file of an older format if it is
  // open for writing. Throws CorruptDatabase, DiskError.
  idempotency::StoredState load();
  // Commits all changes of all groups in one transaction; they are durable when it returns. Throws DiskError
  // or CorruptDatabase; then either all changes are durable or none, and the connection must not be used any
  // more. Must be called after load() or initialize().
  void commit(const std::vector<const std::vector<DiskChange>*>& groups);

 private:
  // The value of a row of the table `meta`; empty if there is no such row.
  std::string meta(const std::string& key) const;
  void setMeta(const std::string& key, const std::string& value);

  void checkStructure() const;
  void loadMeta(idempotency::StoredState& state);
  void loadClaims(idempotency::StoredState& state);
  void loadVoterStarts(idempotency::StoredState& state);
  void loadNodeDrains(idempotency::StoredState& state);
  void loadPrimaries(idempotency::StoredState& state);
  void loadRouterStarts(idempotency::StoredState& state);
  void loadVoterLists(idempotency::StoredState& state);
  void upgrade(const std::string& format);

  // Each applies one change within the open transaction.
  void apply(const idempotency::ClaimRecord& claim);
  void apply(const idempotency::ClaimRemoval& removal);
  void apply(const idempotency::VoterStartRecord& start);
  void apply(const idempotency::VotingRecord& voting);
  void apply(const idempotency::NodeDrainRecord& drain);
  void apply(const idempotency::PrimaryRecord& primary);
  void apply(const idempotency::RouterStartRecord& start);
  void apply(const idempotency::VoterListHistory& lists);
  void apply(const idempotency::MaintenanceRecord& maintenance);
  void insertVoterList(std::uint64_t position, const idempotency::VoterList& list);
  // Removes the checksum of the claim with this id, if there is one, from the digest.
  void removeClaimChecksum(const std::string& id);

  Connection connection_;
  std::string voter_;
  bool isNew_ = false;
  std::uint64_t digest_ = 0;  // exclusive or of the checksums of all rows
};

}  // namespace gulltrestle::store
