#include "store/database.h"

#include <exception>
#include <utility>
#include <variant>

#include "store/schema.h"

namespace gulltrestle::store {

namespace {

using idempotency::ClaimRecord;
using idempotency::ClaimRemoval;
using idempotency::ClaimToken;
using idempotency::MaintenanceRecord;
using idempotency::NodeDrainRecord;
using idempotency::PrimaryRecord;
using idempotency::RouterStartRecord;
using idempotency::StoredState;
using idempotency::VoterIncarnation;
using idempotency::VoterList;
using idempotency::VoterListHistory;
using idempotency::VoterStartRecord;
using idempotency::VotingRecord;

// Keys of the table `meta`.
constexpr char kFormatKey[] = "format";
constexpr char kVoterKey[] = "keeper";
constexpr char kCompleteKey[] = "whole";
constexpr char kNewSinceKey[] = "new_since";
constexpr char kMaintenanceKey[] = "work";
constexpr char kDigestKey[] = "digest";
// Keys that the digest covers in every format, even while they have no value.
constexpr const char* kCheckedKeys[] = {kFormatKey, kVoterKey, kCompleteKey, kNewSinceKey};

// Number of its own starts that a voting member keeps. If another member knows of an older start, that start
// is attributed to another disk: the voting member abstains once more, which is safe.
constexpr std::uint64_t kMaxOwnStarts = 64;

// Starts of this voter with lower numbers are removed. Of other voters only the newest start is kept.
std::uint64_t oldestKeptStart(const VoterStartRecord& newest) {
  const std::uint64_t number = newest.incarnation.number;
  if (!newest.voter.empty()) return number;
  return number > kMaxOwnStarts ? number - kMaxOwnStarts : 0;
}

// Reads an incarnation: its number from the given column, its draw from the next one.
VoterIncarnation incarnationAt(const Statement& row, int column) {
  return {.number = row.number(column), .draw = row.number(column + 1)};
}

// Reads a row with the columns place, version and keeper.
VoterListRow voterListRowAt(const Statement& row) {
  return {.position = row.number(0), .version = row.number(1), .voter = row.text(2)};
}

}  // namespace

Database::Database(const std::string& path, OpenMode mode) try : connection_(path, mode) {
  isNew_ = !Statement(connection_, "SELECT 1 FROM sqlite_schema").step();
  if (isNew_) return;
  const std::string format = meta(kFormatKey);
  if (format.empty()) throw CorruptDatabase("it has no format", path);
  if (!isReadableFormat(format))
    throw UnsupportedFormat("it has format " + format + ", this program " + kFormat, path);
  voter_ = meta(kVoterKey);
} catch (const StoreError&) { throw; } catch (const std::exception& error) {
  // Any other error while the file is opened is treated as damage to the file.
  throw CorruptDatabase(error.what(), path);
}

std::string Database::meta(const std::string& key) const {
  Statement statement(connection_, "SELECT value FROM meta WHERE key = ?");
  return statement.bind(key).step() ? statement.text(0) : "";
}

void Database::setMeta(const std::string& key, const std::string& value) {
  if (key != kDigestKey) digest_ ^= checksumOf(MetaRow{key, meta(key)}) ^ checksumOf(MetaRow{key, value});
  Statement(connection_, "INSERT OR REPLACE INTO meta (key, value) VALUES (?, ?)")
      .bind(key)
      .bind(value)
      .step();
}

void Database::initialize(const std::string& voter, const VotingRecord& voting) {
  connection_.execute("BEGIN IMMEDIATE");
  createTables(connection_);
  digest_ = 0;
  for (const char* key : kCheckedKeys) digest_ ^= checksumOf(MetaRow{key, ""});
  setMeta(kFormatKey, kFormat);
  setMeta(kVoterKey, voter);
  apply(voting);
  setMeta(kDigestKey, std::to_string(digest_));
  connection_.execute("COMMIT");
  voter_ = voter;
  isNew_ = false;
}

// --- Reading

StoredState Database::load() {
  checkStructure();
  StoredState state;
  digest_ = 0;
  loadMeta(state);
  loadClaims(state);
  loadVoterStarts(state);
  loadNodeDrains(state);
  const std::string format = meta(kFormatKey);
  if (hasPrimaries(format)) loadPrimaries(state);
  if (hasMembersAndLists(format)) {
    loadRouterStarts(state);
    loadVoterLists(state);
  }
  if (meta(kDigestKey) != std::to_string(digest_))
    throw CorruptDatabase("its rows are not those that were written", connection_.path());
  state.minValidStart = std::stoull(meta(kNewSinceKey));
  if (format != kFormat && !connection_.isReadOnly()) upgrade(format);
  return state;
}

void Database::checkStructure() const {
  Statement check(connection_, "PRAGMA quick_check(1)");
  if (!check.step() || check.text(0) != "ok")
    throw CorruptDatabase("its structure is not sound", connection_.path());
}

void Database::loadMeta(StoredState& state) {
  for (const char* key : kCheckedKeys) digest_ ^= checksumOf(MetaRow{key, meta(key)});
  state.isComplete = meta(kCompleteKey) == "1";
  state.acceptorState = meta(kMaintenanceKey);
  // Older formats lack this row, so an empty value must not change the digest.
  digest_ ^=
      checksumOf(MetaRow{kMaintenanceKey, state.acceptorState}) ^ checksumOf(MetaRow{kMaintenanceKey, ""});
}

void Database::loadClaims(StoredState& state) {
  Statement rows(connection_, "SELECT id, router, start, number, committed, value FROM claims");
  while (rows.step()) {
    const ClaimToken token{.router = rows.text(1), .start = rows.number(2), .number = rows.number(3)};
    ClaimRecord claim{.id = rows.text(0), .token = token, .isCommitted = rows.flag(4), .value = rows.text(5)};
    digest_ ^= checksumOf(claim);
    state.claims.push_back(std::move(claim));
  }
}

void Database::loadVoterStarts(StoredState& state) {
  Statement rows(connection_, "SELECT keeper, number, draw FROM starts ORDER BY number");
  while (rows.step()) {
    const VoterStartRecord start{.voter = rows.text(0), .incarnation = incarnationAt(rows, 1)};
    digest_ ^= checksumOf(start);
    if (start.voter.empty())
      state.ownStarts.push_back(start.incarnation);
    else
      state.voterStarts[start.voter] = start.incarnation;
  }
}

void Database::loadNodeDrains(StoredState& state) {
  Statement rows(connection_, "SELECT id, version, leaving FROM nodes");
  while (rows.step()) {
    const NodeDrainRecord drain{
        .node = rows.text(0), .listVersion = rows.number(1), .isDraining = rows.flag(2)};
    digest_ ^= checksumOf(drain);
    state.nodeDrains[drain.node] = drain;
  }
}

void Database::loadPrimaries(StoredState& state) {
  Statement rows(connection_, "SELECT grp, node, version FROM primaries");
  while (rows.step()) {
    const PrimaryRecord primary{.group = rows.number(0), .node = rows.text(1), .listVersion = rows.number(2)};
    digest_ ^= checksumOf(primary);
    state.primaries[primary.group] = primary;
  }
}

void Database::loadRouterStarts(StoredState& state) {
  Statement rows(connection_, "SELECT router, number, draw FROM members");
  while (rows.step()) {
    const RouterStartRecord start{.router = rows.text(0), .incarnation = incarnationAt(rows, 1)};
    digest_ ^= checksumOf(start);
    state.routerStarts[start.router] = start.incarnation;
  }
}

void Database::loadVoterLists(StoredState& state) {
  Statement rows(connection_, "SELECT place, version, keeper FROM lists ORDER BY place");
  std::vector<VoterList>& previous = state.voterLists.previous;
  while (rows.step()) {
    const VoterListRow row = voterListRowAt(rows);
    digest_ ^= checksumOf(row);
    if (row.position > idempotency::kMaxVoterLists)
      throw CorruptDatabase("it holds too many lists", connection_.path());
    if (row.position > previous.size()) previous.resize(row.position);
    VoterList& list = row.position == 0 ? state.voterLists.current : previous[row.position - 1];
    list.version = row.version;
    list.names.insert(row.voter);
  }
}

void Database::upgrade(const std::string& format) {
  connection_.execute("BEGIN IMMEDIATE");
  addMissingTables(connection_, format);
  setMeta(kFormatKey, kFormat);
  setMeta(kDigestKey, std::to_string(digest_));
  connection_.execute("COMMIT");
}

// --- Writing

void Database::commit(const std::vector<const std::vector<DiskChange>*>& groups) {
  connection_.execute("BEGIN IMMEDIATE");
  for (const auto* changes : groups)
    for (const DiskChange& change : *changes)
      std::visit([this](const auto& record) { apply(record); }, change);
  setMeta(kDigestKey, std::to_string(digest_));
  connection_.execute("COMMIT");
}

void Database::removeClaimChecksum(const std::string& id) {
  Statement old(connection_, "SELECT router, start, number, committed, value FROM claims WHERE id = ?");
  if (!old.bind(id).step()) return;
  const ClaimToken token{.router = old.text(0), .start = old.number(1), .number = old.number(2)};
  digest_ ^=
      checksumOf(ClaimRecord{.id = id, .token = token, .isCommitted = old.flag(3), .value = old.text(4)});
}

void Database::apply(const ClaimRecord& claim) {
  removeClaimChecksum(claim.id);
  digest_ ^= checksumOf(claim);
  Statement(connection_, "INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?, ?)")
      .bind(claim.id)
      .bind(claim.token.router)
      .bind(claim.token.start)
      .bind(claim.token.number)
      .bind(std::uint64_t{claim.isCommitted})
      .bind(claim.value)
      .step();
}

void Database::apply(const ClaimRemoval& removal) {
  removeClaimChecksum(removal.id);
  Statement(connection_, "DELETE FROM claims WHERE id = ?").bind(removal.id).step();
}

void Database::apply(const VoterStartRecord& start) {
  const std::uint64_t oldest = oldestKeptStart(start);
  Statement old(connection_,
                "SELECT number, draw FROM starts WHERE keeper = ? AND (number < ? OR number = ?)");
  old.bind(start.voter).bind(oldest).bind(start.incarnation.number);
  while (old.step())
    digest_ ^= checksumOf(VoterStartRecord{.voter = start.voter, .incarnation = incarnationAt(old, 0)});
  Statement(connection_, "DELETE FROM starts WHERE keeper = ? AND (number < ? OR number = ?)")
      .bind(start.voter)
      .bind(oldest)
      .bind(start.incarnation.number)
      .step();
  digest_ ^= checksumOf(start);
  Statement(connection_, "INSERT INTO starts VALUES (?, ?, ?)")
      .bind(start.voter)
      .bind(start.incarnation.number)
      .bind(start.incarnation.draw)
      .step();
}

void Database::apply(const NodeDrainRecord& drain) {
  Statement old(connection_, "SELECT version, leaving FROM nodes WHERE id = ?");
  if (old.bind(drain.node).step())
    digest_ ^= checksumOf(
        NodeDrainRecord{.node = drain.node, .listVersion = old.number(0), .isDraining = old.flag(1)});
  if (drain.listVersion == 0) {
    Statement(connection_, "DELETE FROM nodes WHERE id = ?").bind(drain.node).step();
    return;
  }
  digest_ ^= checksumOf(drain);
  Statement(connection_, "INSERT OR REPLACE INTO nodes VALUES (?, ?, ?)")
      .bind(drain.node)
      .bind(drain.listVersion)
      .bind(std::uint64_t{drain.isDraining})
      .step();
}

void Database::apply(const PrimaryRecord& primary) {
  Statement old(connection_, "SELECT node, version FROM primaries WHERE grp = ?");
  if (old.bind(primary.group).step())
    digest_ ^=
        checksumOf(PrimaryRecord{.group = primary.group, .node = old.text(0), .listVersion = old.number(1)});
  digest_ ^= checksumOf(primary);
  Statement(connection_, "INSERT OR REPLACE INTO primaries VALUES (?, ?, ?)")
      .bind(primary.group)
      .bind(primary.node)
      .bind(primary.listVersion)
      .step();
}

void Database::apply(const RouterStartRecord& start) {
  Statement old(connection_, "SELECT number, draw FROM members WHERE router = ?");
  if (old.bind(start.router).step())
    digest_ ^= checksumOf(RouterStartRecord{.router = start.router, .incarnation = incarnationAt(old, 0)});
  digest_ ^= checksumOf(start);
  Statement(connection_, "INSERT OR REPLACE INTO members VALUES (?, ?, ?)")
      .bind(start.router)
      .bind(start.incarnation.number)
      .bind(start.incarnation.draw)
      .step();
}

void Database::apply(const VoterListHistory& lists) {
  Statement old(connection_, "SELECT place, version, keeper FROM lists");
  while (old.step()) digest_ ^= checksumOf(voterListRowAt(old));
  connection_.execute("DELETE FROM lists");
  std::uint64_t position = 0;
  insertVoterList(position, lists.current);
  for (const VoterList& previous : lists.previous) insertVoterList(++position, previous);
}

void Database::insertVoterList(std::uint64_t position, const VoterList& list) {
  for (const std::string& voter : list.names) {
    digest_ ^= checksumOf(VoterListRow{.position = position, .version = list.version, .voter = voter});
    Statement(connection_, "INSERT INTO lists VALUES (?, ?, ?)")
        .bind(position)
        .bind(list.version)
        .bind(voter)
        .step();
  }
}

void Database::apply(const VotingRecord& voting) {
  setMeta(kCompleteKey, voting.isComplete ? "1" : "0");
  setMeta(kNewSinceKey, std::to_string(voting.minValidStart));
}

void Database::apply(const MaintenanceRecord& maintenance) {
  setMeta(kMaintenanceKey, maintenance.acceptorState);
}

}  // namespace gulltrestle::store
