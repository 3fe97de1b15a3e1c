#include "cli/store_command.h"

#include <memory>
#include <ostream>

#include "store/store.h"

namespace gulltrestle::cli {

namespace {

struct Asked {
  std::string folder, keeper;
  std::size_t most = 20;
};

int check(const Asked& asked, std::ostream& out) {
  const auto contents = store::read(asked.folder);
  if (!contents.damage.empty()) {
    out << "damaged: " << contents.damage << "\n"
        << "A router that starts on it sets the file aside and gives no votes for the time of retention.\n";
    return 1;
  }
  std::size_t committed = 0;
  for (const auto& entry : contents.kept.entries) committed += entry.committed;
  out << "keeper " << contents.keeper << ": sound\n"
      << "ids " << contents.kept.entries.size() << ", known as committed " << committed << "\n"
      << "starts " << (contents.kept.own.empty() ? 0 : contents.kept.own.back().number) << "; its votes "
      << (contents.kept.isComplete ? "count from the next start on"
                                   : "wait out the time of retention at the next start")
      << "\n";
  return 0;
}

int show(const Asked& asked, std::ostream& out) {
  const auto contents = store::read(asked.folder);
  if (!contents.damage.empty()) {
    out << "damaged: " << contents.damage << "\n";
    return 1;
  }
  std::size_t shown = 0;
  for (const auto& entry : contents.kept.entries) {
    if (++shown > asked.most) break;
    out << entry.id << " claimed by " << entry.token.router << " number " << entry.token.number
        << (entry.committed ? ", committed, value of " + std::to_string(entry.value.size()) + " bytes" : "")
        << "\n";
  }
  if (shown > asked.most) out << "and " << contents.kept.entries.size() - asked.most << " more\n";
  for (const auto& [name, start] : contents.kept.starts)
    out << "keeper " << name << " was heard at start " << start.number << "\n";
  return 0;
}

}  // namespace

void addStore(CLI::App& app, std::ostream& out, std::function<int()>& todo) {
  auto* all = app.add_subcommand("store", "A keeper's folder of votes for txns that may run only once");
  all->require_subcommand(1);
  const auto asked = std::make_shared<Asked>();
  const auto add = [&](const char* name, const char* what, std::function<int()> call) {
    auto* made = all->add_subcommand(name, what);
    made->add_option("FOLDER", asked->folder, "The folder that the fleet's file names as store")->required();
    made->callback([&todo, call = std::move(call)] { todo = call; });
    return made;
  };
  add("create", "A new installation's: its votes count at once. Never for a keeper whose disk was lost",
      [asked, &out] {
        store::create(asked->folder, asked->keeper);
        out << "made for the keeper " << asked->keeper << "\n";
        return 0;
      })
      ->add_option("--keeper", asked->keeper, "The name of its router")
      ->required();
  add("check", "Whether it is sound, and what it holds in short",
      [asked, &out] { return check(*asked, out); });
  add("show", "The ids that it holds", [asked, &out] {
    return show(*asked, out);
  })->add_option("--most", asked->most, "How many ids at most");
}

}  // namespace gulltrestle::cli
