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

// The names in an array of the document, each after a space.
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
  if (group.contains("awaits")) out << ", awaits " << group["awaits"].get<std::string>();
  if (group.contains("contested_by")) {
    out << ", contested by";
    printNames(group["contested_by"], out);
  }
  out << "\n";
}

void printMember(const Json& member, std::ostream& out) {
  out << "router " << member.at("router").get<std::string>() << ": " << member.at("state").get<std::string>()
      << ", start " << member.at("start").get<std::uint64_t>() << ", "
      << member.at("stage").get<std::string>();
  if (member.contains("silent_at")) {
    out << ", silent at";
    printNames(member["silent_at"], out);
  }
  out << "\n";
}

void printMembership(const Json& status, const Options& options, std::ostream& out) {
  const auto& entry = status.at("entry");
  out << "entry: " << entry.at("state").get<std::string>() << ", start "
      << entry.at("start").get<std::uint64_t>() << "\n";
  std::size_t alive = 0;
  for (const auto& member : status.at("members")) {
    const bool isAlive = member.at("state").get<std::string>() == "lives";
    alive += isAlive;
    if (!isAlive || options.showsAll) printMember(member, out);
  }
  out << alive << " of " << status.at("members").size() << " routers live\n";
}

void printVotingMember(const Json& votingMember, std::ostream& out) {
  out << "keeper: " << votingMember.at("state").get<std::string>() << ", "
      << votingMember.at("ids").get<std::uint64_t>() << " ids";
  if (votingMember.contains("waits_for")) {
    out << ", waits for";
    printNames(votingMember["waits_for"], out);
  }
  out << "\n";
}

void printStore(const Json& store, std::ostream& out) {
  out << "store: " << store.at("bytes").get<std::uint64_t>() << " bytes, "
      << store.at("queued").get<std::uint64_t>() << " changes wait, the last commit "
      << store.at("durable_ms_ago").get<std::int64_t>() << " ms ago";
  if (store.contains("fault")) out << "; it fails: " << store["fault"].get<std::string>();
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
  out << groups.size() - pending << " of " << groups.size() << " groups let all in\n";
  return pending > 0 || groups.empty() ? ExitCode::pending : ExitCode::success;
}

ExitCode show(const Options& options, std::ostream& out) {
  std::ifstream file(options.file);
  if (!file) throw CommandError(options.file, " can't be read");
  try {
    return print(Json::parse(file), options, out);
  } catch (const Json::exception&) { throw CommandError(options.file, " is no status document"); }
}

}  // namespace

void addStatus(CLI::App& app, std::ostream& out, Action& action) {
  const auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand("status", "What a running router's status document says");
  command->add_option("file", options->file, "the fleet file's status_file")->required();
  command->add_flag("--json", options->asJson, "the document itself");
  command->add_flag("--all", options->showsAll, "groups that let all in, too");
  command->callback([options, &out, &action] { action = [options, &out] { return show(*options, out); }; });
}

}  // namespace gulltrestle::cli
