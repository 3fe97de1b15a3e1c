// Tests how a router determines which nodes are draining, from endpoint lists that arrive in any order and
// from updates of other routers. Run as `recovery CASE`: prints the trace of the case.
#include <iostream>
#include <string>

#include "recovery/drain_registry.h"

using namespace gulltrestle;
using namespace gulltrestle::recovery;

namespace {

struct ListedNode {
  NodeId node;
  Health health;
};

const char* nameOf(Health health) {
  constexpr const char* kHealth[] = {"live", "draining", "removed"};
  return kHealth[static_cast<int>(health)];
}

const char* nameOf(EndpointUpdateKind kind) {
  if (kind == EndpointUpdateKind::snapshot) return "snapshot ";
  return kind == EndpointUpdateKind::restored ? "restored " : "delta ";
}

// A registry of at most four nodes that prints each operation and its result.
class PrintedRegistry {
 public:
  const DrainRegistry& registry() const { return registry_; }
  std::size_t evictedCount() { return registry_.takeForgotten().size(); }

  void applyList(EndpointUpdateKind kind, ListVersion version, const std::vector<ListedNode>& listed) {
    std::vector<EndpointEntry> entries;
    for (const auto& [node, health] : listed) {
      entries.emplace_back();
      entries.back().node = node;
      entries.back().health = health;
    }
    std::vector<EndpointEntry*> pointers;
    for (auto& entry : entries) pointers.push_back(&entry);
    const auto updates = registry_.applyList(kind, version, pointers);
    std::cout << nameOf(kind) << version << ":";
    for (std::size_t i = 0; i < entries.size(); ++i) {
      std::cout << " " << entries[i].node << " " << nameOf(listed[i].health);
      if (entries[i].health != listed[i].health)
        std::cout << " (changed to " << nameOf(entries[i].health) << ")";
    }
    for (const auto& update : updates)
      std::cout << "; notified: " << update.node << (update.isDraining ? " draining" : " live");
    std::cout << "\n";
  }
  void applyUpdate(const NodeId& node, ListVersion version, bool isDraining) {
    std::cout << "update: " << node << (isDraining ? " draining at " : " live at ") << version
              << (registry_.applyUpdate({node, version, isDraining}) ? ", changed" : ", unchanged") << "\n";
  }

 private:
  DrainRegistry registry_{4};
};

void printDrainsTrace() {
  PrintedRegistry drains;
  using enum Health;
  drains.applyList(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  drains.applyList(EndpointUpdateKind::delta, 6, {{"a", draining}});
  drains.applyList(EndpointUpdateKind::delta, 6, {{"a", live}});
  drains.applyList(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  drains.applyList(EndpointUpdateKind::restored, 9, {{"a", live}});
  drains.applyList(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- a node omitted from a newer list, then listed in an older one\n";
  drains.applyList(EndpointUpdateKind::snapshot, 8, {{"a", live}});
  drains.applyList(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- updates from other routers: older, same list, newer; duplicates\n";
  drains.applyUpdate("a", 7, true);
  drains.applyUpdate("a", 8, false);
  drains.applyUpdate("a", 8, true);
  drains.applyUpdate("a", 8, true);
  drains.applyUpdate("c", 12, true);
  drains.applyList(EndpointUpdateKind::snapshot, 10, {{"a", live}, {"c", live}});
  drains.applyList(EndpointUpdateKind::snapshot, 13, {{"a", live}, {"c", live}});
  std::cout << "-- more nodes than are stored: the oldest are evicted\n";
  for (const char* node : {"d", "e", "f"}) drains.applyUpdate(node, 20, true);
  std::cout << "stored " << drains.registry().all().size() << ", b draining "
            << drains.registry().isDraining("b") << ", newest list " << drains.registry().newestVersion()
            << ", evicted " << drains.evictedCount() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::string(argv[1]) != "drains") return 2;
  printDrainsTrace();
  return 0;
}
