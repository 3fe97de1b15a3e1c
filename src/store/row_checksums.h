// Checksums of the rows of a store's database. The database keeps one digest over all rows, the exclusive or
// of their checksums, which does not depend on their order: a row that changes takes its old checksum out and
// puts its new one in.
//
// They are stored: what a checksum is made of must never change for a row that older versions wrote.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/stored_state.h"

namespace gulltrestle::store {

// --- Rows that no record of idempotency/stored_state.h stands for

// A row of `lists`: one voter of one list.
struct VoterListRow {
  std::uint64_t position = 0;  // 0: the list that is served under; from 1: lists before it
  std::uint64_t version = 0;
  std::string voter;
};

// A row of `meta`.
struct MetaRow {
  std::string key, value;
};

// --- A row of each table

std::uint64_t checksumOf(const idempotency::ClaimRecord& row);
std::uint64_t checksumOf(const idempotency::VoterStartRecord& row);
std::uint64_t checksumOf(const idempotency::NodeDrainRecord& row);
std::uint64_t checksumOf(const idempotency::PrimaryRecord& row);
std::uint64_t checksumOf(const idempotency::RouterStartRecord& row);
std::uint64_t checksumOf(const VoterListRow& row);
std::uint64_t checksumOf(const MetaRow& row);

}  // namespace gulltrestle::store
