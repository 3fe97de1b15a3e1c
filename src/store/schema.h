// The tables of a store's database, and the formats that they had in earlier versions.
//
//   format   added
//   1        meta, starts, claims, nodes
//   2        primaries
//   3        members, lists
//   4        the row `work` of meta
//
// A file of an older format is brought up to date as a voting member starts on it; read-only it is read as it
// is.
#pragma once

#include <string>

#include "store/connection.h"

namespace gulltrestle::store {

// The format that this version writes. Raised when an older version can't read what it writes.
inline constexpr char kFormat[] = "4";

[[nodiscard]] bool isReadableFormat(const std::string& format);
[[nodiscard]] bool hasPrimaries(const std::string& format);
[[nodiscard]] bool hasMembersAndLists(const std::string& format);

// Creates all tables of the present format in a file that has none, within the caller's transaction. Throws
// as the connection does.
void createTables(Connection& connection);
// Creates the tables that a readable, older format lacks, within the caller's transaction.
void addMissingTables(Connection& connection, const std::string& format);

}  // namespace gulltrestle::store
