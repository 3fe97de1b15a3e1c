// Checksums of the rows of a store's database. The database keeps one digest over all rows, the exclusive or
// of their checksums, which does not depend on their order: a row that changes takes its old checksum out and
// puts its new one in.
//
// They are stored: what a checksum is made of must never change for a row that older versions wrote.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/claim_types.h"

namespace gulltrestle::store {

// Rows, where no type elsewhere stands for one. A row of `starts`: a start of a voter.
struct VoterStartRow {
  std::string voter;  // empty: the store's own voting member
  idempotency::VoterIncarnation incarnation;
};
// A row of `nodes`.
struct NodeRow {
  std::string node;
  std::uint64_t listVersion = 0;  // of the endpoint list by which it drains or stays
  bool isDraining = false;
};
// A row of `primaries`.
struct PrimaryRow {
  std::uint64_t group = 0;
  std::string node;
  std::uint64_t listVersion = 0;  // the newest when it was the primary
};
// A row of `members`: the newest start of a router.
struct RouterStartRow {
  std::string router;
  idempotency::VoterIncarnation incarnation;
};
// A row of `lists`: one voter of one list.
struct VoterListRow {
  std::uint64_t place = 0;  // 0: the list that is served under; from 1: lists before it
  std::uint64_t version = 0;
  std::string voter;
};
// A row of `meta`.
struct MetaRow {
  std::string key, value;
};

std::uint64_t checksumOf(const idempotency::ClaimRecord& row);
std::uint64_t checksumOf(const VoterStartRow& row);
std::uint64_t checksumOf(const NodeRow& row);
std::uint64_t checksumOf(const PrimaryRow& row);
std::uint64_t checksumOf(const RouterStartRow& row);
std::uint64_t checksumOf(const VoterListRow& row);
std::uint64_t checksumOf(const MetaRow& row);

}  // namespace gulltrestle::store
