#include "store/database.h"

#include "store/schema.h"

namespace gulltrestle::store {

namespace {

using idempotency::ClaimRecord;
using idempotency::StoredState;
using idempotency::VoterIncarnation;

// Keys of the table `meta`.
constexpr char kFormatKey[] = "format";
constexpr char kVoterKey[] = "keeper";
constexpr char kCompleteKey[] = "whole";
constexpr char kNewSinceKey[] = "new_since";
constexpr char kMaintenanceKey[] = "work";
constexpr char kDigestKey[] = "digest";
// Those that are in the digest in every format, also while they have no value.
constexpr const char* kCheckedKeys[] = {kFormatKey, kVoterKey, kCompleteKey, kNewSinceKey};

// Starts of its own that a voting member remembers. One that others know of and that is older than these is
// taken for another disk's: the member abstains once more, which is safe.
constexpr std::uint64_t kOwnStarts = 64;

// The number below which starts of that voter are removed: of another voter only the newest counts.
std::uint64_t oldestRememberedStart(const VoterStartRow& newest) {
  const std::uint64_t number = newest.incarnation.number;
  if (!newest.voter.empty()) return number;
  return number > kOwnStarts ? number - kOwnStarts : 0;
}

}  // namespace

Database::Database(const std::string& path, OpenMode mode) try : connection_(path, mode) {
  isNew_ = !Statement(connection_, "SELECT 1 FROM sqlite_schema").step();
  if (isNew_) return;
  const std::string format = meta(kFormatKey);
  if (format.empty()) throw CorruptDatabase("it has no format");
  if (!isReadableFormat(format)) throw DiskError("it has format " + format + ", this program " + kFormat);
  voter_ = meta(kVoterKey);
} catch (const DiskError&) { throw; } catch (const CorruptDatabase&) {
  throw;
} catch (const std::exception& error) {
  // Whatever else goes wrong while a file is opened counts as damage of it.
  throw CorruptDatabase(error.what());
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

void Database::begin(const std::string& voter, bool isComplete) {
  connection_.execute("BEGIN IMMEDIATE");
  createTables(connection_);
  digest_ = 0;
  for (const char* key : kCheckedKeys) digest_ ^= checksumOf(MetaRow{key, ""});
  setMeta(kFormatKey, kFormat);
  setMeta(kVoterKey, voter);
  setMeta(kCompleteKey, isComplete ? "1" : "0");
  setMeta(kNewSinceKey, "0");
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
  loadNodes(state);
  const std::string format = meta(kFormatKey);
  if (hasPrimaries(format)) loadPrimaries(state);
  if (hasMembersAndLists(format)) {
    loadMembers(state);
    loadVoterLists(state);
  }
  if (meta(kDigestKey) != std::to_string(digest_))
    throw CorruptDatabase("its rows are not those that were written");
  state.newSince = std::stoull(meta(kNewSinceKey));
  if (format != kFormat && !connection_.isReadOnly()) upgrade(format);
  return state;
}

void Database::checkStructure() const {
  Statement check(connection_, "PRAGMA quick_check(1)");
  if (!check.step() || check.text(0) != "ok") throw CorruptDatabase("its structure is not sound");
}

void Database::loadMeta(StoredState& state) {
  for (const char* key : kCheckedKeys) digest_ ^= checksumOf(MetaRow{key, meta(key)});
  state.isComplete = meta(kCompleteKey) == "1";
  state.maintenance = meta(kMaintenanceKey);
  // Older formats have no such row: an empty one counts for nothing in the digest.
  digest_ ^=
      checksumOf(MetaRow{kMaintenanceKey, state.maintenance}) ^ checksumOf(MetaRow{kMaintenanceKey, ""});
}

void Database::loadClaims(StoredState& state) {
  Statement rows(connection_, "SELECT id, router, start, number, committed, value FROM claims");
  while (rows.step()) {
    ClaimRecord claim{
        rows.text(0), {rows.text(1), rows.number(2), rows.number(3)}, rows.flag(4), rows.text(5)};
    digest_ ^= checksumOf(claim);
    state.entries.push_back(std::move(claim));
  }
}

void Database::loadVoterStarts(StoredState& state) {
  Statement rows(connection_, "SELECT keeper, number, draw FROM starts ORDER BY number");
  while (rows.step()) {
    const VoterStartRow row{rows.text(0), {rows.number(1), rows.number(2)}};
    digest_ ^= checksumOf(row);
    if (row.voter.empty())
      state.own.push_back(row.incarnation);
    else
      state.starts[row.voter] = row.incarnation;
  }
}

void Database::loadNodes(StoredState& state) {
  Statement rows(connection_, "SELECT id, version, leaving FROM nodes");
  while (rows.step()) {
    const NodeRow row{rows.text(0), rows.number(1), rows.flag(2)};
    digest_ ^= checksumOf(row);
    state.nodes[row.node] = {row.listVersion, row.isDraining};
  }
}

void Database::loadPrimaries(StoredState& state) {
  Statement rows(connection_, "SELECT grp, node, version FROM primaries");
  while (rows.step()) {
    const PrimaryRow row{rows.number(0), rows.text(1), rows.number(2)};
    digest_ ^= checksumOf(row);
    state.primaries[row.group] = {row.node, row.listVersion};
  }
}

void Database::loadMembers(StoredState& state) {
  Statement rows(connection_, "SELECT router, number, draw FROM members");
  while (rows.step()) {
    const RouterStartRow row{rows.text(0), {rows.number(1), rows.number(2)}};
    digest_ ^= checksumOf(row);
    state.members[row.router] = row.incarnation;
  }
}

void Database::loadVoterLists(StoredState& state) {
  Statement rows(connection_, "SELECT place, version, keeper FROM lists ORDER BY place");
  auto& previous = state.lists.previous;
  while (rows.step()) {
    const VoterListRow row{rows.number(0), rows.number(1), rows.text(2)};
    digest_ ^= checksumOf(row);
    if (row.place > idempotency::kMaxVoterLists) throw CorruptDatabase("it holds too many lists");
    if (row.place > previous.size()) previous.resize(row.place);
    idempotency::VoterList& list = row.place == 0 ? state.lists.current : previous[row.place - 1];
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
    for (const DiskChange& change : *changes) apply(change);
  setMeta(kDigestKey, std::to_string(digest_));
  connection_.execute("COMMIT");
}

void Database::apply(const DiskChange& change) {
  switch (change.kind) {
    case DiskChange::Kind::put:
      return putClaim(change);
    case DiskChange::Kind::drop:
      return dropClaim(change.id);
    case DiskChange::Kind::start:
      return putVoterStart({change.id, change.start});
    case DiskChange::Kind::node:
      return putNode({change.id, change.start.number, change.isComplete});
    case DiskChange::Kind::primary:
      return putPrimary({change.group, change.id, change.start.number});
    case DiskChange::Kind::member:
      return putMember({change.id, change.start});
    case DiskChange::Kind::lists:
      return putVoterLists(change.lists);
    case DiskChange::Kind::work:
      return setMeta(kMaintenanceKey, change.id);
    case DiskChange::Kind::voting:
      return putVoting(change.isComplete, change.start.number);
  }
}

void Database::forgetClaimChecksum(const std::string& id) {
  Statement old(connection_, "SELECT router, start, number, committed, value FROM claims WHERE id = ?");
  if (!old.bind(id).step()) return;
  digest_ ^=
      checksumOf(ClaimRecord{id, {old.text(0), old.number(1), old.number(2)}, old.flag(3), old.text(4)});
}

void Database::putClaim(const DiskChange& change) {
  forgetClaimChecksum(change.id);
  const ClaimRecord& claim = change.entry;
  digest_ ^= checksumOf(claim);
  Statement(connection_, "INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?, ?)")
      .bind(claim.id)
      .bind(claim.token.router)
      .bind(claim.token.start)
      .bind(claim.token.number)
      .bind(std::uint64_t{claim.committed})
      .bind(claim.value)
      .step();
}

void Database::dropClaim(const std::string& id) {
  forgetClaimChecksum(id);
  Statement(connection_, "DELETE FROM claims WHERE id = ?").bind(id).step();
}

void Database::putVoterStart(const VoterStartRow& row) {
  const std::uint64_t oldest = oldestRememberedStart(row);
  Statement old(connection_,
                "SELECT number, draw FROM starts WHERE keeper = ? AND (number < ? OR number = ?)");
  old.bind(row.voter).bind(oldest).bind(row.incarnation.number);
  while (old.step()) digest_ ^= checksumOf(VoterStartRow{row.voter, {old.number(0), old.number(1)}});
  Statement(connection_, "DELETE FROM starts WHERE keeper = ? AND (number < ? OR number = ?)")
      .bind(row.voter)
      .bind(oldest)
      .bind(row.incarnation.number)
      .step();
  digest_ ^= checksumOf(row);
  Statement(connection_, "INSERT INTO starts VALUES (?, ?, ?)")
      .bind(row.voter)
      .bind(row.incarnation.number)
      .bind(row.incarnation.draw)
      .step();
}

// A list version of 0 removes the row.
void Database::putNode(const NodeRow& row) {
  Statement old(connection_, "SELECT version, leaving FROM nodes WHERE id = ?");
  if (old.bind(row.node).step()) digest_ ^= checksumOf(NodeRow{row.node, old.number(0), old.flag(1)});
  if (row.listVersion == 0) {
    Statement(connection_, "DELETE FROM nodes WHERE id = ?").bind(row.node).step();
    return;
  }
  digest_ ^= checksumOf(row);
  Statement(connection_, "INSERT OR REPLACE INTO nodes VALUES (?, ?, ?)")
      .bind(row.node)
      .bind(row.listVersion)
      .bind(std::uint64_t{row.isDraining})
      .step();
}

void Database::putPrimary(const PrimaryRow& row) {
  Statement old(connection_, "SELECT node, version FROM primaries WHERE grp = ?");
  if (old.bind(row.group).step()) digest_ ^= checksumOf(PrimaryRow{row.group, old.text(0), old.number(1)});
  digest_ ^= checksumOf(row);
  Statement(connection_, "INSERT OR REPLACE INTO primaries VALUES (?, ?, ?)")
      .bind(row.group)
      .bind(row.node)
      .bind(row.listVersion)
      .step();
}

void Database::putMember(const RouterStartRow& row) {
  Statement old(connection_, "SELECT number, draw FROM members WHERE router = ?");
  if (old.bind(row.router).step())
    digest_ ^= checksumOf(RouterStartRow{row.router, {old.number(0), old.number(1)}});
  digest_ ^= checksumOf(row);
  Statement(connection_, "INSERT OR REPLACE INTO members VALUES (?, ?, ?)")
      .bind(row.router)
      .bind(row.incarnation.number)
      .bind(row.incarnation.draw)
      .step();
}

void Database::putVoterLists(const idempotency::VoterListHistory& lists) {
  Statement old(connection_, "SELECT place, version, keeper FROM lists");
  while (old.step()) digest_ ^= checksumOf(VoterListRow{old.number(0), old.number(1), old.text(2)});
  connection_.execute("DELETE FROM lists");
  std::uint64_t place = 0;
  putVoterList(place, lists.current);
  for (const idempotency::VoterList& previous : lists.previous) putVoterList(++place, previous);
}

void Database::putVoterList(std::uint64_t place, const idempotency::VoterList& list) {
  for (const std::string& voter : list.names) {
    digest_ ^= checksumOf(VoterListRow{place, list.version, voter});
    Statement(connection_, "INSERT INTO lists VALUES (?, ?, ?)")
        .bind(place)
        .bind(list.version)
        .bind(voter)
        .step();
  }
}

void Database::putVoting(bool isComplete, std::uint64_t newSince) {
  setMeta(kCompleteKey, isComplete ? "1" : "0");
  setMeta(kNewSinceKey, std::to_string(newSince));
}

}  // namespace gulltrestle::store
