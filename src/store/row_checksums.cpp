#include "store/row_checksums.h"

#include <xxhash.h>

namespace gulltrestle::store {

namespace {

// Encodes a column as text with its length in front, so that the boundaries between columns are unambiguous.
std::string column(const std::string& text) { return std::to_string(text.size()) + ":" + text + ","; }
std::string column(std::uint64_t number) { return column(std::to_string(number)); }
std::string flag(bool isSet) { return isSet ? "1" : "0"; }

std::uint64_t hashOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace

std::uint64_t checksumOf(const idempotency::ClaimRecord& row) {
  return hashOf("claim " + column(row.id) + column(row.token.router) + column(row.token.start) +
                column(row.token.number) + flag(row.isCommitted) + column(row.value));
}

std::uint64_t checksumOf(const idempotency::VoterStartRecord& row) {
  return hashOf("start " + column(row.voter) + column(row.incarnation.number) + column(row.incarnation.draw));
}

std::uint64_t checksumOf(const idempotency::NodeDrainRecord& row) {
  return hashOf("node " + column(row.node) + column(row.listVersion) + flag(row.isDraining));
}

std::uint64_t checksumOf(const idempotency::PrimaryRecord& row) {
  return hashOf("primary " + column(row.group) + column(row.node) + std::to_string(row.listVersion));
}

std::uint64_t checksumOf(const idempotency::RouterStartRecord& row) {
  return hashOf("member " + column(row.router) + column(row.incarnation.number) +
                column(row.incarnation.draw));
}

std::uint64_t checksumOf(const VoterListRow& row) {
  return hashOf("list " + column(row.position) + column(row.version) + column(row.voter));
}

std::uint64_t checksumOf(const MetaRow& row) { return hashOf("meta " + column(row.key) + column(row.value)); }

}  // namespace gulltrestle::store
