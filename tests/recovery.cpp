// Which nodes drain, by endpoint lists that come in any order and by updates of other routers. Run as
// `recovery CASE`: prints the case's trace.
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

const char* shown(Health health) {
  constexpr const char* kHealth[] = {"live", "draining", "gone"};
  return kHealth[static_cast<int>(health)];
}

const char* shown(EndpointUpdateKind kind) {
  if (kind == EndpointUpdateKind::snapshot) return "list ";
  return kind == EndpointUpdateKind::restored ? "from before " : "changes ";
}

// A registry of four nodes, whose updates are printed.
class PrintedRegistry {
 public:
  const DrainRegistry& registry() const { return registry_; }
  std::size_t forgottenCount() { return registry_.takeForgotten().size(); }

  void list(EndpointUpdateKind kind, ListVersion version, const std::vector<ListedNode>& listed) {
    std::vector<EndpointEntry> entries;
    for (const auto& [node, health] : listed) {
      entries.emplace_back();
      entries.back().node = node;
      entries.back().health = health;
    }
    std::vector<EndpointEntry*> pointers;
    for (auto& entry : entries) pointers.push_back(&entry);
    const auto updates = registry_.applyList(kind, version, pointers);
    std::cout << shown(kind) << version << ":";
    for (std::size_t i = 0; i < entries.size(); ++i) {
      std::cout << " " << entries[i].node << " " << shown(listed[i].health);
      if (entries[i].health != listed[i].health)
        std::cout << " (taken as " << shown(entries[i].health) << ")";
    }
    for (const auto& update : updates)
      std::cout << "; told: " << update.node << (update.isDraining ? " leaves" : " stays");
    std::cout << "\n";
  }
  void learn(const NodeId& node, ListVersion version, bool isDraining) {
    std::cout << "learnt: " << node << (isDraining ? " leaves by " : " stays by ") << version
              << (registry_.learn({node, version, isDraining}) ? ", news" : ", no news") << "\n";
  }

 private:
  DrainRegistry registry_{4};
};

void printDrainsTrace() {
  PrintedRegistry drains;
  using enum Health;
  drains.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  drains.list(EndpointUpdateKind::delta, 6, {{"a", draining}});
  drains.list(EndpointUpdateKind::delta, 6, {{"a", live}});
  drains.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  drains.list(EndpointUpdateKind::restored, 9, {{"a", live}});
  drains.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- one that a newer list leaves out; an older list that names it\n";
  drains.list(EndpointUpdateKind::snapshot, 8, {{"a", live}});
  drains.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- news of others: older, of the same list, newer; twice\n";
  drains.learn("a", 7, true);
  drains.learn("a", 8, false);
  drains.learn("a", 8, true);
  drains.learn("a", 8, true);
  drains.learn("c", 12, true);
  drains.list(EndpointUpdateKind::snapshot, 10, {{"a", live}, {"c", live}});
  drains.list(EndpointUpdateKind::snapshot, 13, {{"a", live}, {"c", live}});
  std::cout << "-- more than are remembered: the oldest go\n";
  for (const char* node : {"d", "e", "f"}) drains.learn(node, 20, true);
  std::cout << "remembered " << drains.registry().all().size() << ", b leaves "
            << drains.registry().isDraining("b") << ", newest list " << drains.registry().newest()
            << ", forgotten " << drains.forgottenCount() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::string(argv[1]) != "drains") return 2;
  printDrainsTrace();
  return 0;
}
