// Setup shared by the cases of the race conditions: statements and endpoint lists.
#pragma once

#include "lists.h"

namespace gulltrestle::crossings_test {

using namespace gulltrestle::testing;

// Prints the heading of a part of a case.
inline void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }

// Returns the query message of a transaction. `bytes` is the size of the value that a write writes.
inline std::string statement(const std::string& key, const std::string& type, int timeoutMs = 60000,
                             std::size_t bytes = 1) {
  const std::string comment =
      " /* " + nextId() + ",c=" + type + ",d=" + std::to_string(timeoutMs) + ",cluster=1 */";
  std::string hex;
  while (hex.size() < 2 * bytes) hex += "77";
  return type == "write" || type == "known"
             ? query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x" + hex +
                     "') RETURNING body" + comment)
             : query("SELECT body FROM objects WHERE oid = '" + key + "'" + comment);
}

// An endpoint list with this node as the primary of the only group.
inline std::string singleNodeList(const FakeNode& node, const std::string& state = "up") {
  return endpointListJson(1, endpointEntryJson(node.server(), "s-1", state));
}

}  // namespace gulltrestle::crossings_test
