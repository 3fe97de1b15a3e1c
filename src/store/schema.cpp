#include "store/schema.h"

namespace gulltrestle::store {

namespace {

constexpr char kFormat1Tables[] =
    "CREATE TABLE meta (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID;"
    "CREATE TABLE starts (keeper BLOB, number INTEGER, draw INTEGER, PRIMARY KEY (keeper, number)) WITHOUT "
    "ROWID;"
    "CREATE TABLE claims (id BLOB PRIMARY KEY, router BLOB, start INTEGER, number INTEGER, committed "
    "INTEGER,"
    " value BLOB) WITHOUT ROWID;"
    "CREATE TABLE nodes (id BLOB PRIMARY KEY, version INTEGER, leaving INTEGER) WITHOUT ROWID";
constexpr char kPrimariesTable[] =
    "CREATE TABLE primaries (grp INTEGER PRIMARY KEY, node BLOB, version INTEGER)";
constexpr char kMembersAndListsTables[] =
    "CREATE TABLE members (router BLOB PRIMARY KEY, number INTEGER, draw INTEGER) WITHOUT ROWID;"
    "CREATE TABLE lists (place INTEGER, version INTEGER, keeper BLOB, PRIMARY KEY (place, keeper)) WITHOUT "
    "ROWID";

}  // namespace

bool isReadableFormat(const std::string& format) {
  return format == kFormat || format == "1" || format == "2" || format == "3";
}

bool hasPrimaries(const std::string& format) { return format != "1"; }

bool hasMembersAndLists(const std::string& format) { return format != "1" && format != "2"; }

void createTables(Connection& connection) {
  connection.execute(kFormat1Tables);
  connection.execute(kPrimariesTable);
  connection.execute(kMembersAndListsTables);
}

void addMissingTables(Connection& connection, const std::string& format) {
  if (!hasPrimaries(format)) connection.execute(kPrimariesTable);
  if (!hasMembersAndLists(format)) connection.execute(kMembersAndListsTables);
}

}  // namespace gulltrestle::store
