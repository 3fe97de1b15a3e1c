#include "cli/status_command.h"

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

namespace gulltrestle::cli {

namespace {

using Json = nlohmann::json;

struct Options {
  std::string file;
  bool asJson = false, showsAll = false;
};

// Prints the names in an array of the document, each after a space.
void printNames(const Json& names, std::ostream& out) {
  for (const auto& name : names) out << " " << name.get<std::string>();
}

void printRecovery(const Json& status, std::ostream& out) {
  out << "started " << status.at("started_ms_ago").get<std::int64_t>() / 1000 << " s ago; ramp "
      << status.at("ramp").at("state").get<std::string>() << ", "
      << status.at("ramp").at("turned_away").get<std::uint64_t>() << " rejected\n";
  if (status.contains("forced_by")) out << "forced by " << status["forced_by"].get<std::string>() << "\n";
}

void printGroup(const Json& group, std::ostream& out) {
  out << "group " << group.at("group").get<std::uint64_t>() << ": " << group.at("stage").get<std::string>()
      << " for " << group.at("for_ms").get<std::int64_t>() << " ms";
  if (group.contains("awaits")) out << ", waiting for " << group["awaits"].get<std::string>();
  if (group.contains("contested_by")) {
    out << ", contested by";
    printNames(group["contested_by"], out);
  }
  out << "\n";
}

void printMember(const Json& member, std::ostream& out) {
  out << "router " << member.at("router").get<std::string>() << ": " << member.at("state").get<std::string>()
      << ", incarnation " << member.at("start").get<std::uint64_t>() << ", "
      << member.at("stage").get<std::string>();
  if (member.contains("silent_at")) {
    out << ", no heartbeat at";
    printNames(member["silent_at"], out);
  }
  out << "\n";
}

void printMembership(const Json& status, const Options& options, std::ostream& out) {
  const auto& join = status.at("entry");
  out << "join: " << join.at("state").get<std::string>() << ", incarnation "
      << join.at("start").get<std::uint64_t>() << "\n";
  std::size_t alive = 0;
  for (const auto& member : status.at("members")) {
    const bool isAlive = member.at("state").get<std::string>() == "lives";
    alive += isAlive;
    if (!isAlive || options.showsAll) printMember(member, out);
  }
  out << alive << " of " << status.at("members").size() << " routers alive\n";
}

void printVotingMember(const Json& votingMember, std::ostream& out) {
  out << "voter: " << votingMember.at("state").get<std::string>() << ", "
      << votingMember.at("ids").get<std::uint64_t>() << " transaction ids";
  if (votingMember.contains("waits_for")) {
    out << ", waiting for";
    printNames(votingMember["waits_for"], out);
  }
  out << "\n";
}

void printStore(const Json& store, std::ostream& out) {
  out << "store: " << store.at("bytes").get<std::uint64_t>() << " bytes, "
      << store.at("queued").get<std::uint64_t>() << " changes queued, last successful commit "
      << store.at("durable_ms_ago").get<std::int64_t>() << " ms ago";
  if (store.contains("fault")) out << "; last commit failed: " << store["fault"].get<std::string>();
  out << "\n";
}

ExitCode print(const Json& status, const Options& options, std::ostream& out) {
  const auto& groups = status.at("groups");
  std::size_t pending = 0;
  for (const auto& group : groups) pending += group.contains("awaits");
  if (options.asJson) {
    out << status.dump(2) << "\n";
    return pending > 0 ? ExitCode::pending : ExitCode::success;
  }
  printRecovery(status, out);
  for (const auto& group : groups)
    if (group.contains("awaits") || options.showsAll) printGroup(group, out);
  printMembership(status, options, out);
  if (status.contains("keeper")) printVotingMember(status["keeper"], out);
  if (status.contains("store")) printStore(status["store"], out);
  out << groups.size() - pending << " of " << groups.size() << " groups admit all transactions\n";
  return pending > 0 || groups.empty() ? ExitCode::pending : ExitCode::success;
}

ExitCode show(const Options& options, std::ostream& out) {
  std::ifstream file(options.file);
  if (!file) throw CommandError(options.file, " cannot be read");
  try {
    return print(Json::parse(file), options, out);
  } catch (const Json::exception&) { throw CommandError(options.file, " is not a status document"); }
}

}  // namespace

void addStatusCommand(CLI::App& app, std::ostream& out, Action& action) {
  const auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand("status", "Print the status document of a running router");
  command
      ->add_option("file", options->file,
                   "Path of the status document: status_file of the cluster configuration")
      ->required();
  command->add_flag("--json", options->asJson, "Print the document as JSON");
  command->add_flag("--all", options->showsAll,
                    "Also print the groups that admit all transactions and the routers that are alive");
  command->callback([options, &out, &action] { action = [options, &out] { return show(*options, out); }; });
}

}  // namespace gulltrestle::cli
