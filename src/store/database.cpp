#include "store/database.h"

#include <sqlite3.h>
#include <xxhash.h>

#include <cstring>

namespace gulltrestle::store {

namespace {

// Raised when a version can't read what an older one wrote.
constexpr const char* kFormat = "4";
// Those before knew no primaries (1), neither members nor lists of keepers (1 and 2), and no work (1 to 3); a
// file of theirs is brought up to date as a keeper starts on it.
constexpr const char* kPrimaries =
    "CREATE TABLE primaries (grp INTEGER PRIMARY KEY, node BLOB, version INTEGER)";
constexpr const char* kMembers =
    "CREATE TABLE members (router BLOB PRIMARY KEY, number INTEGER, draw INTEGER) WITHOUT ROWID;"
    "CREATE TABLE lists (place INTEGER, version INTEGER, keeper BLOB, PRIMARY KEY (place, keeper)) WITHOUT "
    "ROWID";

// Starts of its own that a keeper remembers. One that others know of and that is older than these is taken
// for another disk's: the keeper is silent once more, which is safe.
constexpr int kOwnStarts = 64;

// As text with its length, so that no two rows' parts run into each other.
std::string part(const std::string& text) { return std::to_string(text.size()) + ":" + text + ","; }
std::uint64_t sumOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
std::uint64_t sumOf(const idempotency::ClaimRecord& e) {
  return sumOf("claim " + part(e.id) + part(e.token.router) + part(std::to_string(e.token.start)) +
               part(std::to_string(e.token.number)) + (e.committed ? "1" : "0") + part(e.value));
}
std::uint64_t sumOf(const std::string& keeper, const idempotency::VoterIncarnation& s) {
  return sumOf("start " + part(keeper) + part(std::to_string(s.number)) + part(std::to_string(s.draw)));
}
std::uint64_t sumOfNode(const std::string& id, std::uint64_t version, bool leaving) {
  return sumOf("node " + part(id) + part(std::to_string(version)) + (leaving ? "1" : "0"));
}
std::uint64_t sumOfPrimary(std::uint64_t group, const std::string& node, std::uint64_t version) {
  return sumOf("primary " + part(std::to_string(group)) + part(node) + std::to_string(version));
}
std::uint64_t sumOfMember(const std::string& router, const idempotency::VoterIncarnation& s) {
  return sumOf("member " + part(router) + part(std::to_string(s.number)) + part(std::to_string(s.draw)));
}
std::uint64_t sumOfList(std::uint64_t place, std::uint64_t version, const std::string& keeper) {
  return sumOf("list " + part(std::to_string(place)) + part(std::to_string(version)) + part(keeper));
}
std::uint64_t sumOf(const char* key, const std::string& value) {
  return sumOf("meta " + part(key) + part(value));
}

std::int64_t whole(std::uint64_t n) { return static_cast<std::int64_t>(n); }

}  // namespace

class Database::Statement {
 public:
  Statement(Database& of, const char* text) : of_(of) {
    if (const int code = sqlite3_prepare_v2(of.handle_, text, -1, &statement_, nullptr)) of.fail(code);
  }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  ~Statement() { sqlite3_finalize(statement_); }

  Statement& with(const std::string& text) {
    sqlite3_bind_blob(statement_, ++at_, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& with(std::uint64_t n) {
    sqlite3_bind_int64(statement_, ++at_, whole(n));
    return *this;
  }
  bool step() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) of_.fail(code);
    return code == SQLITE_ROW;
  }
  std::string text(int column) {
    const void* bytes = sqlite3_column_blob(statement_, column);
    const int size = sqlite3_column_bytes(statement_, column);
    return bytes ? std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(size))
                 : std::string();
  }
  std::uint64_t number(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }

 private:
  Database& of_;
  sqlite3_stmt* statement_ = nullptr;
  int at_ = 0;
};

void Database::fail(int code) {
  const std::string what = sqlite3_errmsg(handle_);
  switch (code & 0xFF) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_ERROR:  // a table or column that isn't there
    case SQLITE_FORMAT:
    case SQLITE_MISMATCH:
    case SQLITE_TOOBIG:
    case SQLITE_CONSTRAINT:
      throw CorruptDatabase(what);
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      throw DiskError("another process has it");
    default:
      throw DiskError(what);
  }
}

void Database::run(const char* text) {
  if (const int code = sqlite3_exec(handle_, text, nullptr, nullptr, nullptr)) fail(code);
}

// A rollback journal that is truncated, with full synchronization: once a commit returns, all of it stands in
// the one file, where the checksums see each byte. A write-ahead log would cost one sync instead of three,
// but a flipped byte in its middle passes for the torn end of a power loss, and what was committed after is
// gone without a sign.
Database::Database(const std::string& path, OpenMode what) : path_(path) {
  const int flags =
      what == OpenMode::reading ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  const int code = sqlite3_open_v2(path.c_str(), &handle_, flags | SQLITE_OPEN_NOMUTEX, nullptr);
  try {
    if (code) fail(code);
    if (what == OpenMode::writing) {
      run("PRAGMA locking_mode = EXCLUSIVE");
      run("PRAGMA journal_mode = TRUNCATE");
      run("PRAGMA synchronous = EXTRA");
      run("BEGIN EXCLUSIVE; COMMIT");
    }
    isNew_ = !Statement(*this, "SELECT 1 FROM sqlite_schema").step();
    if (isNew_) return;
    if (const auto format = meta("format");
        format != kFormat && format != "1" && format != "2" && format != "3")
      throw format.empty() ? std::runtime_error("")
                           : DiskError("it has format " + format + ", this program " + kFormat);
    keeper_ = meta("keeper");
  } catch (const DiskError&) {
    sqlite3_close_v2(handle_);
    throw;
  } catch (const std::exception& bad) {
    const std::string why = bad.what();
    sqlite3_close_v2(handle_);
    throw CorruptDatabase(why.empty() ? "it has no format" : why);
  }
}

Database::~Database() { sqlite3_close_v2(handle_); }

std::string Database::meta(const char* key) {
  Statement statement(*this, "SELECT value FROM meta WHERE key = ?");
  return statement.with(std::string(key)).step() ? statement.text(0) : "";
}

void Database::setMeta(const char* key, const std::string& value) {
  if (std::strcmp(key, "digest") != 0) digest_ ^= sumOf(key, meta(key)) ^ sumOf(key, value);
  Statement(*this, "INSERT OR REPLACE INTO meta (key, value) VALUES (?, ?)")
      .with(std::string(key))
      .with(value)
      .step();
}

void Database::begin(const std::string& keeper, bool isWhole) {
  run("BEGIN IMMEDIATE");
  run("CREATE TABLE meta (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID;"
      "CREATE TABLE starts (keeper BLOB, number INTEGER, draw INTEGER, PRIMARY KEY (keeper, number)) WITHOUT "
      "ROWID;"
      "CREATE TABLE claims (id BLOB PRIMARY KEY, router BLOB, start INTEGER, number INTEGER, committed "
      "INTEGER,"
      " value BLOB) WITHOUT ROWID;"
      "CREATE TABLE nodes (id BLOB PRIMARY KEY, version INTEGER, leaving INTEGER) WITHOUT ROWID");
  run(kPrimaries);
  run(kMembers);
  digest_ = 0;
  for (const char* key : {"format", "keeper", "whole", "new_since"}) digest_ ^= sumOf(key, "");
  setMeta("format", kFormat);
  setMeta("keeper", keeper);
  setMeta("whole", isWhole ? "1" : "0");
  setMeta("new_since", "0");
  setMeta("digest", std::to_string(digest_));
  run("COMMIT");
  keeper_ = keeper;
  isNew_ = false;
}

idempotency::StoredState Database::load() {
  {
    Statement check(*this, "PRAGMA quick_check(1)");
    if (!check.step() || check.text(0) != "ok") throw CorruptDatabase("its structure is not sound");
  }
  idempotency::StoredState kept;
  digest_ = 0;
  for (const char* key : {"format", "keeper", "whole", "new_since"}) digest_ ^= sumOf(key, meta(key));
  digest_ ^= sumOf("work", meta("work")) ^ sumOf("work", "");
  kept.isComplete = meta("whole") == "1";
  kept.maintenance = meta("work");
  Statement claims(*this, "SELECT id, router, start, number, committed, value FROM claims");
  while (claims.step()) {
    idempotency::ClaimRecord entry{claims.text(0),
                                   {claims.text(1), claims.number(2), claims.number(3)},
                                   claims.number(4) != 0,
                                   claims.text(5)};
    digest_ ^= sumOf(entry);
    kept.entries.push_back(std::move(entry));
  }
  Statement starts(*this, "SELECT keeper, number, draw FROM starts ORDER BY number");
  while (starts.step()) {
    const idempotency::VoterIncarnation start{starts.number(1), starts.number(2)};
    digest_ ^= sumOf(starts.text(0), start);
    if (starts.text(0).empty())
      kept.own.push_back(start);
    else
      kept.starts[starts.text(0)] = start;
  }
  Statement nodes(*this, "SELECT id, version, leaving FROM nodes");
  while (nodes.step()) {
    kept.nodes[nodes.text(0)] = {nodes.number(1), nodes.number(2) != 0};
    digest_ ^= sumOfNode(nodes.text(0), nodes.number(1), nodes.number(2) != 0);
  }
  const std::string format = meta("format");
  if (format != "1") {
    Statement primaries(*this, "SELECT grp, node, version FROM primaries");
    while (primaries.step()) {
      kept.primaries[primaries.number(0)] = {primaries.text(1), primaries.number(2)};
      digest_ ^= sumOfPrimary(primaries.number(0), primaries.text(1), primaries.number(2));
    }
  }
  if (format != "1" && format != "2") {
    Statement members(*this, "SELECT router, number, draw FROM members");
    while (members.step()) {
      const idempotency::VoterIncarnation start{members.number(1), members.number(2)};
      kept.members[members.text(0)] = start;
      digest_ ^= sumOfMember(members.text(0), start);
    }
    // In the first place the list that it serves under.
    Statement lists(*this, "SELECT place, version, keeper FROM lists ORDER BY place");
    while (lists.step()) {
      const std::uint64_t place = lists.number(0);
      digest_ ^= sumOfList(place, lists.number(1), lists.text(2));
      if (place > idempotency::kMaxVoterLists) throw CorruptDatabase("it holds too many lists");
      auto& before = kept.lists.previous;
      if (place > before.size()) before.resize(place);
      idempotency::VoterList& list = place == 0 ? kept.lists.current : before[place - 1];
      list.version = lists.number(1);
      list.names.insert(lists.text(2));
    }
  }
  if (meta("digest") != std::to_string(digest_))
    throw CorruptDatabase("its rows are not those that were written");
  kept.newSince = std::stoull(meta("new_since"));
  if (format != kFormat && sqlite3_db_readonly(handle_, "main") == 0) {
    run("BEGIN IMMEDIATE");
    if (format == "1") run(kPrimaries);
    if (format != "3") run(kMembers);
    setMeta("format", kFormat);
    setMeta("digest", std::to_string(digest_));
    run("COMMIT");
  }
  return kept;
}

void Database::apply(const idempotency::VotingMember::DiskChange& change) {
  using Kind = idempotency::VotingMember::DiskChange::Kind;
  switch (change.kind) {
    case Kind::put:
    case Kind::drop: {
      Statement old(*this, "SELECT router, start, number, committed, value FROM claims WHERE id = ?");
      if (old.with(change.id).step())
        digest_ ^= sumOf(idempotency::ClaimRecord{
            change.id, {old.text(0), old.number(1), old.number(2)}, old.number(3) != 0, old.text(4)});
      if (change.kind == Kind::drop) {
        Statement(*this, "DELETE FROM claims WHERE id = ?").with(change.id).step();
        return;
      }
      const auto& e = change.entry;
      digest_ ^= sumOf(e);
      Statement(*this, "INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?, ?)")
          .with(e.id)
          .with(e.token.router)
          .with(e.token.start)
          .with(e.token.number)
          .with(std::uint64_t{e.committed})
          .with(e.value)
          .step();
      return;
    }
    case Kind::start: {
      // Of another keeper only the newest counts; of our own, some.
      const std::uint64_t before = !change.id.empty()                 ? change.start.number
                                   : change.start.number > kOwnStarts ? change.start.number - kOwnStarts
                                                                      : 0;
      Statement old(*this, "SELECT number, draw FROM starts WHERE keeper = ? AND (number < ? OR number = ?)");
      old.with(change.id).with(before).with(change.start.number);
      while (old.step()) digest_ ^= sumOf(change.id, {old.number(0), old.number(1)});
      Statement(*this, "DELETE FROM starts WHERE keeper = ? AND (number < ? OR number = ?)")
          .with(change.id)
          .with(before)
          .with(change.start.number)
          .step();
      digest_ ^= sumOf(change.id, change.start);
      Statement(*this, "INSERT INTO starts VALUES (?, ?, ?)")
          .with(change.id)
          .with(change.start.number)
          .with(change.start.draw)
          .step();
      return;
    }
    case Kind::node: {
      Statement old(*this, "SELECT version, leaving FROM nodes WHERE id = ?");
      if (old.with(change.id).step()) digest_ ^= sumOfNode(change.id, old.number(0), old.number(1) != 0);
      if (change.start.number == 0) {
        Statement(*this, "DELETE FROM nodes WHERE id = ?").with(change.id).step();
        return;
      }
      digest_ ^= sumOfNode(change.id, change.start.number, change.isComplete);
      Statement(*this, "INSERT OR REPLACE INTO nodes VALUES (?, ?, ?)")
          .with(change.id)
          .with(change.start.number)
          .with(std::uint64_t{change.isComplete})
          .step();
      return;
    }
    case Kind::primary: {
      Statement old(*this, "SELECT node, version FROM primaries WHERE grp = ?");
      if (old.with(change.group).step()) digest_ ^= sumOfPrimary(change.group, old.text(0), old.number(1));
      digest_ ^= sumOfPrimary(change.group, change.id, change.start.number);
      Statement(*this, "INSERT OR REPLACE INTO primaries VALUES (?, ?, ?)")
          .with(change.group)
          .with(change.id)
          .with(change.start.number)
          .step();
      return;
    }
    case Kind::member: {
      Statement old(*this, "SELECT number, draw FROM members WHERE router = ?");
      if (old.with(change.id).step()) digest_ ^= sumOfMember(change.id, {old.number(0), old.number(1)});
      digest_ ^= sumOfMember(change.id, change.start);
      Statement(*this, "INSERT OR REPLACE INTO members VALUES (?, ?, ?)")
          .with(change.id)
          .with(change.start.number)
          .with(change.start.draw)
          .step();
      return;
    }
    case Kind::lists: {
      Statement old(*this, "SELECT place, version, keeper FROM lists");
      while (old.step()) digest_ ^= sumOfList(old.number(0), old.number(1), old.text(2));
      run("DELETE FROM lists");
      std::uint64_t place = 0;
      const auto put = [&](const idempotency::VoterList& list) {
        for (const auto& name : list.names) {
          digest_ ^= sumOfList(place, list.version, name);
          Statement(*this, "INSERT INTO lists VALUES (?, ?, ?)")
              .with(place)
              .with(list.version)
              .with(name)
              .step();
        }
        ++place;
      };
      put(change.lists.current);
      for (const auto& before : change.lists.previous) put(before);
      return;
    }
    case Kind::work:
      setMeta("work", change.id);
      return;
    case Kind::voting:
      setMeta("whole", change.isComplete ? "1" : "0");
      setMeta("new_since", std::to_string(change.start.number));
  }
}

void Database::commit(const std::vector<const std::vector<idempotency::VotingMember::DiskChange>*>& groups) {
  run("BEGIN IMMEDIATE");
  for (const auto* changes : groups)
    for (const auto& change : *changes) apply(change);
  setMeta("digest", std::to_string(digest_));
  run("COMMIT");
}

}  // namespace gulltrestle::store
