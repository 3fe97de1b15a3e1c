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
        << "A router that starts with this file renames it and casts no votes for the retention time.\n";
    return ExitCode::failure;
  }
  std::size_t committed = 0;
  for (const auto& claim : contents.state.claims) committed += claim.isCommitted;
  out << "voter " << contents.voter << ": intact\n"
      << "transaction ids " << contents.state.claims.size() << ", known to be committed " << committed << "\n"
      << "last incarnation "
      << (contents.state.ownStarts.empty() ? 0 : contents.state.ownStarts.back().number)
      << "; after the next start, votes "
      << (contents.state.isComplete ? "count at once" : "count only after the retention time") << "\n";
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
    out << claim.id << " claimed by " << claim.token.router << ", claim number " << claim.token.number
        << (claim.isCommitted ? ", committed, value of " + std::to_string(claim.value.size()) + " bytes" : "")
        << "\n";
  }
  if (shown > options.maxShown) out << "and " << contents.state.claims.size() - options.maxShown << " more\n";
  for (const auto& [name, start] : contents.state.voterStarts)
    out << "voter " << name << " last seen at incarnation " << start.number << "\n";
  return ExitCode::success;
}

}  // namespace

void addStoreCommand(CLI::App& app, std::ostream& out, Action& action) {
  auto* command =
      app.add_subcommand("store", "Create or inspect a voter's store of votes on at-most-once transactions");
  command->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  const auto add = [&](const char* name, const char* description, Action run) {
    auto* subcommand = command->add_subcommand(name, description);
    subcommand
        ->add_option("FOLDER", options->folder, "The folder that the cluster configuration names as store")
        ->required();
    subcommand->callback([&action, run = std::move(run)] { action = run; });
    return subcommand;
  };
  add("create",
      "Create the store of a voter in a new installation, whose votes count at once. Never use it for a "
      "voter whose disk was lost",
      [options, &out] {
        store::create(options->folder, options->voter);
        out << "created the store of voter " << options->voter << "\n";
        return ExitCode::success;
      })
      ->add_option("--keeper", options->voter, "Name of the voter's router")
      ->required();
  add("check", "Check the store for damage and print a summary",
      [options, &out] { return check(*options, out); });
  add("show", "Print the transaction ids in the store", [options, &out] {
    return show(*options, out);
  })->add_option("--most", options->maxShown, "Maximum number of transaction ids to print");
}

}  // namespace gulltrestle::cli
