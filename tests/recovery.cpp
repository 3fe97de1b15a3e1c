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
  void list(EndpointUpdateKind kind, ListVersion version, std::vector<std::pair<NodeId, Health>> named) {
    std::vector<EndpointEntry> entries;
    for (const auto& [node, health] : named) {
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
    const auto news = leaving_.applyList(kind, version, pointers);
    constexpr const char* kHealth[] = {"live", "draining", "gone"};
    for (std::size_t i = 0; i < entries.size(); ++i) {
      std::cout << " " << entries[i].node << " " << kHealth[static_cast<int>(named[i].second)];
      if (entries[i].health != named[i].second)
        std::cout << " (taken as " << kHealth[static_cast<int>(entries[i].health)] << ")";
    }
    for (const auto& one : news)
      std::cout << "; told: " << one.node << (one.isDraining ? " leaves" : " stays");
    std::cout << "\n";
  }
  void learn(const NodeId& node, ListVersion version, bool leaves) {
    std::cout << "learnt: " << node << (leaves ? " leaves by " : " stays by ") << version
              << (leaving_.learn({node, version, leaves}) ? ", news" : ", no news") << "\n";
  }
  DrainRegistry leaving_{4};
};

void leaving() {
  World w;
  using enum Health;
  w.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  w.list(EndpointUpdateKind::delta, 6, {{"a", draining}});
  w.list(EndpointUpdateKind::delta, 6, {{"a", live}});
  w.list(EndpointUpdateKind::snapshot, 5, {{"a", live}, {"b", live}});
  w.list(EndpointUpdateKind::restored, 9, {{"a", live}});
  w.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- one that a newer list leaves out; an older list that names it\n";
  w.list(EndpointUpdateKind::snapshot, 8, {{"a", live}});
  w.list(EndpointUpdateKind::snapshot, 7, {{"a", live}, {"b", live}});
  std::cout << "-- news of others: older, of the same list, newer; twice\n";
  w.learn("a", 7, true);
  w.learn("a", 8, false);
  w.learn("a", 8, true);
  w.learn("a", 8, true);
  w.learn("c", 12, true);
  w.list(EndpointUpdateKind::snapshot, 10, {{"a", live}, {"c", live}});
  w.list(EndpointUpdateKind::snapshot, 13, {{"a", live}, {"c", live}});
  std::cout << "-- more than are remembered: the oldest go\n";
  for (const char* node : {"d", "e", "f"}) w.learn(node, 20, true);
  std::cout << "remembered " << w.leaving_.all().size() << ", b leaves " << w.leaving_.isDraining("b")
            << ", newest list " << w.leaving_.newest() << ", forgotten " << w.leaving_.takeForgotten().size()
            << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::string(argv[1]) != "leaving") return 2;
  leaving();
  return 0;
}
