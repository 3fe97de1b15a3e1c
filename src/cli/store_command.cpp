#include "cli/store_command.h"

#include <memory>
#include <ostream>

#include "store/store.h"

namespace gulltrestle::cli {

namespace {

struct Options {
  std::string folder, voter;
  std::size_t maxShown = 20;
};

ExitCode check(const Options& options, std::ostream& out) {
  const auto contents = store::read(options.folder);
  if (contents.damage) {
    out << "damaged: " << *contents.damage << "\n"
        << "A router that starts on it sets the file aside and gives no votes for the time of retention.\n";
    return ExitCode::failure;
  }
  std::size_t committed = 0;
  for (const auto& claim : contents.state.claims) committed += claim.isCommitted;
  out << "keeper " << contents.voter << ": sound\n"
      << "ids " << contents.state.claims.size() << ", known as committed " << committed << "\n"
      << "starts " << (contents.state.ownStarts.empty() ? 0 : contents.state.ownStarts.back().number)
      << "; its votes "
      << (contents.state.isComplete ? "count from the next start on"
                                    : "wait out the time of retention at the next start")
      << "\n";
  return ExitCode::success;
}

ExitCode show(const Options& options, std::ostream& out) {
  const auto contents = store::read(options.folder);
  if (contents.damage) {
    out << "damaged: " << *contents.damage << "\n";
    return ExitCode::failure;
  }
  std::size_t shown = 0;
  for (const auto& claim : contents.state.claims) {
    if (++shown > options.maxShown) break;
    out << claim.id << " claimed by " << claim.token.router << " number " << claim.token.number
        << (claim.isCommitted ? ", committed, value of " + std::to_string(claim.value.size()) + " bytes" : "")
        << "\n";
  }
  if (shown > options.maxShown) out << "and " << contents.state.claims.size() - options.maxShown << " more\n";
  for (const auto& [name, start] : contents.state.voterStarts)
    out << "keeper " << name << " was heard at start " << start.number << "\n";
  return ExitCode::success;
}

}  // namespace

void addStore(CLI::App& app, std::ostream& out, Action& action) {
  auto* command = app.add_subcommand("store", "A keeper's folder of votes for txns that may run only once");
  command->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  const auto add = [&](const char* name, const char* description, Action run) {
    auto* subcommand = command->add_subcommand(name, description);
    subcommand->add_option("FOLDER", options->folder, "The folder that the fleet's file names as store")
        ->required();
    subcommand->callback([&action, run = std::move(run)] { action = run; });
    return subcommand;
  };
  add("create", "A new installation's: its votes count at once. Never for a keeper whose disk was lost",
      [options, &out] {
        store::create(options->folder, options->voter);
        out << "made for the keeper " << options->voter << "\n";
        return ExitCode::success;
      })
      ->add_option("--keeper", options->voter, "The name of its router")
      ->required();
  add("check", "Whether it is sound, and what it holds in short",
      [options, &out] { return check(*options, out); });
  add("show", "The ids that it holds", [options, &out] {
    return show(*options, out);
  })->add_option("--most", options->maxShown, "How many ids at most");
}

}  // namespace gulltrestle::cli
