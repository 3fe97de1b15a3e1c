// The tables of a store's database and the formats that earlier versions wrote.
//
//   format   added
//   1        meta, starts, claims, nodes
//   2        primaries
//   3        members, lists
//   4        the row `work` of meta
//
// When a voting member starts on a file of an older format, the file is upgraded. A file that is opened
// read-only is not changed.
#pragma once

#include <string>

#include "store/connection.h"

namespace gulltrestle::store {

// The format that this version writes. Incremented when older versions can't read the new files.
inline constexpr char kFormat[] = "4";

// Whether this version can read files of the given format.
[[nodiscard]] bool isReadableFormat(const std::string& format);
// Whether files of the given format have the table `primaries`.
[[nodiscard]] bool hasPrimaries(const std::string& format);
// Whether files of the given format have the tables `members` and `lists`.
[[nodiscard]] bool hasMembersAndLists(const std::string& format);

// Creates all tables of the current format in a file without tables, within the caller's transaction. Throws
// the same errors as the connection.
void createTables(Connection& connection);
// Creates the tables that an older, readable format lacks, within the caller's transaction.
void addMissingTables(Connection& connection, const std::string& format);

}  // namespace gulltrestle::store
