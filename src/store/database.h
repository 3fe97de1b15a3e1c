// The rows of a store: reads all of them with their checksums, and changes them in transactions. One
// connection to one file; not for several threads at a time. Used by Store, which owns folder and thread.
//
// Each row has a checksum, and the database one digest over all of them (store/row_checksums.h), so that a
// row that is missing, of an older state or changed by others is noticed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "idempotency/stored_state.h"
#include "store/connection.h"
#include "store/row_checksums.h"

namespace gulltrestle::store {

// All rows of one file.
class Database {
 public:
  using OpenMode = Connection::OpenMode;
  using DiskChange = idempotency::DiskChange;

  // Opens the file; when writing, creates one that is missing. Throws CorruptDatabase, LockedDatabase,
  // UnsupportedFormat, DiskError.
  Database(const std::string& path, OpenMode mode);

  // Whether the file has no tables yet: initialize() is to be called before anything else.
  [[nodiscard]] bool isNew() const { return isNew_; }
  // Creates the tables. `voter` is the voting member whose store it is. Throws DiskError.
  void initialize(const std::string& voter, const idempotency::VotingRecord& voting);
  // The voting member whose store it is.
  [[nodiscard]] const std::string& voter() const { return voter_; }
  // All rows, checked against the digest; a file of an older format that is open for writing is brought up to
  // date. Throws CorruptDatabase, DiskError.
  idempotency::StoredState load();
  // All changes of all groups in one transaction: once it returns they are durable. Throws DiskError or
  // CorruptDatabase: they may be durable or not, all or none, and the connection is of no further use. After
  // load() or initialize() only.
  void commit(const std::vector<const std::vector<DiskChange>*>& groups);

 private:
  // One row of the table `meta`; empty where there is none.
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

  // One change of each kind, within a transaction.
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
  // Takes the claim of that id out of the digest, if there is one.
  void removeClaimChecksum(const std::string& id);

  Connection connection_;
  std::string voter_;
  bool isNew_ = false;
  std::uint64_t digest_ = 0;  // exclusive or of the checksums of all rows
};

}  // namespace gulltrestle::store
