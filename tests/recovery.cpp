// Which nodes leave, by lists that come in any order and by news of others. Run as `recovery CASE`: prints
// the case's trace.
#include <functional>
#include <iostream>

#include "recovery/drain_registry.h"

using namespace gulltrestle;
using namespace gulltrestle::recovery;

namespace {

class World {
 public:
  void list(EndpointUpdateKind kind, ListVersion version, std::vector<std::pair<NodeId, Health>> listed) {
    std::vector<EndpointEntry> entries;
    for (const auto& [node, health] : listed) {
      entries.emplace_back();
      entries.back().node = node;
      entries.back().health = health;
    }
    std::vector<EndpointEntry*> pointers;
    for (auto& entry : entries) pointers.push_back(&entry);
    std::cout << (kind == EndpointUpdateKind::snapshot   ? "list "
                  : kind == EndpointUpdateKind::restored ? "from before "
                                                         : "changes ")
              << version << ":";
    const auto updates = registry_.applyList(kind, version, pointers);
    constexpr const char* kHealth[] = {"live", "draining", "gone"};
    for (std::size_t i = 0; i < entries.size(); ++i) {
      std::cout << " " << entries[i].node << " " << kHealth[static_cast<int>(listed[i].second)];
      if (entries[i].health != listed[i].second)
        std::cout << " (taken as " << kHealth[static_cast<int>(entries[i].health)] << ")";
    }
    for (const auto& update : updates)
      std::cout << "; told: " << update.node << (update.isDraining ? " leaves" : " stays");
    std::cout << "\n";
  }
  void learn(const NodeId& node, ListVersion version, bool isDraining) {
    std::cout << "learnt: " << node << (isDraining ? " leaves by " : " stays by ") << version
              << (registry_.learn({node, version, isDraining}) ? ", news" : ", no news") << "\n";
  }
  DrainRegistry registry_{4};
};

void drains() {
  World world;
  using enum Health;
  world.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  world.list(EndpointUpdateKind::delta, 6, {{"a", draining}});
  world.list(EndpointUpdateKind::delta, 6, {{"a", live}});
  world.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  world.list(EndpointUpdateKind::restored, 9, {{"a", live}});
  world.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- one that a newer list leaves out; an older list that names it\n";
  world.list(EndpointUpdateKind::snapshot, 8, {{"a", live}});
  world.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- news of others: older, of the same list, newer; twice\n";
  world.learn("a", 7, true);
  world.learn("a", 8, false);
  world.learn("a", 8, true);
  world.learn("a", 8, true);
  world.learn("c", 12, true);
  world.list(EndpointUpdateKind::snapshot, 10, {{"a", live}, {"c", live}});
  world.list(EndpointUpdateKind::snapshot, 13, {{"a", live}, {"c", live}});
  std::cout << "-- more than are remembered: the oldest go\n";
  for (const char* node : {"d", "e", "f"}) world.learn(node, 20, true);
  std::cout << "remembered " << world.registry_.all().size() << ", b leaves "
            << world.registry_.isDraining("b") << ", newest list " << world.registry_.newest()
            << ", forgotten " << world.registry_.takeForgotten().size() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::string(argv[1]) != "leaving") return 2;
  drains();
  return 0;
}
