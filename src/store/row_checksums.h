// Checksums of the rows of a store's database. The database keeps one digest over all rows, the exclusive or
// of their checksums, which does not depend on their order: changing a row removes its old checksum from the
// digest and adds the new one.
//
// The digest is stored, so the input of a checksum must never change for rows that older versions wrote.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/stored_state.h"

namespace gulltrestle::store {

// --- Rows without a record type in idempotency/stored_state.h

// A row of the table `lists`: one voter of one voter list.
struct VoterListRow {
  std::uint64_t position = 0;  // 0: the current list; 1 and above: previous lists
  std::uint64_t version = 0;
  std::string voter;
};

// A row of the table `meta`.
struct MetaRow {
  std::string key, value;
};

// --- The checksum of a row of each table

std::uint64_t checksumOf(const idempotency::ClaimRecord& row);
std::uint64_t checksumOf(const idempotency::VoterStartRecord& row);
std::uint64_t checksumOf(const idempotency::NodeDrainRecord& row);
std::uint64_t checksumOf(const idempotency::PrimaryRecord& row);
std::uint64_t checksumOf(const idempotency::RouterStartRecord& row);
std::uint64_t checksumOf(const VoterListRow& row);
std::uint64_t checksumOf(const MetaRow& row);

}  // namespace gulltrestle::store
