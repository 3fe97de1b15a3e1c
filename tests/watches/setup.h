// Setup shared by the cases of endpoint lists: statements, lists of one or two nodes, and what these
// received.
#pragma once

#include <string>

#include "lists.h"

namespace gulltrestle::watches_test {

using namespace gulltrestle::testing;

// Returns the query message of a write.
inline std::string write(const std::string& key) {
  return query("INSERT INTO objects (oid, body) VALUES ('" + key + "', '\\x77') RETURNING body /* " +
               nextId() + ",c=write,d=60000,cluster=1 */");
}

// Returns an entry of the endpoint list.
inline std::string entryOf(const FakeNode& node, const std::string& id, const std::string& state,
                           bool primary) {
  auto entry = endpointEntryJson(node.server(), id, state);
  if (!primary) entry.replace(entry.find("master"), 6, "replica");
  return entry;
}
// Returns a list of two nodes. The first is the primary if it is up; otherwise the second is.
inline std::string bothNodesList(int version, const FakeNode& first, const FakeNode& second,
                                 const std::string& stateOfFirst, bool isSnapshot = true) {
  const bool drains = stateOfFirst != "up";
  return endpointListJson(
      version, entryOf(first, "s-1", stateOfFirst, !drains) + "," + entryOf(second, "s-2", "up", drains),
      isSnapshot);
}

// Breaks the JSON into many lines.
inline std::string indented(const std::string& json) {
  std::string result;
  for (const char c : json) {
    result += c;
    if (c == '{' || c == '[' || c == ',') result += "\n   ";
  }
  return result;
}

// Sends a write and prints its answer and what both nodes have received.
inline void printWrite(Program& router, FakeNode& first, FakeNode& second, const std::string& title) {
  Peer client = router.client();
  client.send(write("k"));
  std::cout << title << ": " << client.answer() << "first received " << first.receivedKeys()
            << ", second received " << second.receivedKeys() << "\n";
}

}  // namespace gulltrestle::watches_test
