#include "cli/status_command.h"

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

namespace gulltrestle::cli {

namespace {

struct Asked {
  std::string file;
  bool asJson = false, all = false;
};

int show(const Asked& asked, std::ostream& out) {
  std::ifstream file(asked.file);
  if (!file) throw std::runtime_error("'" + asked.file + "' can't be read");
  nlohmann::json status;
  try {
    status = nlohmann::json::parse(file);
    std::size_t waiting = 0;
    const auto& groups = status.at("groups");
    for (const auto& group : groups) waiting += group.contains("awaits");
    if (asked.asJson) {
      out << status.dump(2) << "\n";
      return waiting > 0 ? 3 : 0;
    }
    out << "started " << status.at("started_ms_ago").get<std::int64_t>() / 1000 << " s ago; ramp "
        << status.at("ramp").at("state").get<std::string>() << ", "
        << status.at("ramp").at("turned_away").get<std::uint64_t>() << " rejected\n";
    if (status.contains("forced_by")) out << "forced by " << status["forced_by"].get<std::string>() << "\n";
    for (const auto& group : groups) {
      if (!group.contains("awaits") && !asked.all) continue;
      out << "group " << group.at("group").get<std::uint64_t>() << ": "
          << group.at("stage").get<std::string>() << " for " << group.at("for_ms").get<std::int64_t>()
          << " ms";
      if (group.contains("awaits")) out << ", awaits " << group["awaits"].get<std::string>();
      if (group.contains("contested_by")) {
        out << ", contested by";
        for (const auto& node : group["contested_by"]) out << " " << node.get<std::string>();
      }
      out << "\n";
    }
    const auto& entry = status.at("entry");
    out << "entry: " << entry.at("state").get<std::string>() << ", start "
        << entry.at("start").get<std::uint64_t>() << "\n";
    std::size_t lives = 0;
    for (const auto& member : status.at("members")) {
      const auto state = member.at("state").get<std::string>();
      lives += state == "lives";
      if (state == "lives" && !asked.all) continue;
      out << "router " << member.at("router").get<std::string>() << ": " << state << ", start "
          << member.at("start").get<std::uint64_t>() << ", " << member.at("stage").get<std::string>();
      if (member.contains("silent_at")) {
        out << ", silent at";
        for (const auto& keeper : member["silent_at"]) out << " " << keeper.get<std::string>();
      }
      out << "\n";
    }
    out << lives << " of " << status.at("members").size() << " routers live\n";
    if (status.contains("keeper")) {
      const auto& keeper = status["keeper"];
      out << "keeper: " << keeper.at("state").get<std::string>() << ", "
          << keeper.at("ids").get<std::uint64_t>() << " ids";
      if (keeper.contains("waits_for")) {
        out << ", waits for";
        for (const auto& name : keeper["waits_for"]) out << " " << name.get<std::string>();
      }
      out << "\n";
    }
    if (status.contains("store")) {
      const auto& store = status["store"];
      out << "store: " << store.at("bytes").get<std::uint64_t>() << " bytes, "
          << store.at("queued").get<std::uint64_t>() << " changes wait, the last commit "
          << store.at("durable_ms_ago").get<std::int64_t>() << " ms ago";
      if (store.contains("fault")) out << "; it fails: " << store["fault"].get<std::string>();
      out << "\n";
    }
    out << groups.size() - waiting << " of " << groups.size() << " groups let all in\n";
    return waiting > 0 || groups.empty() ? 3 : 0;
  } catch (const nlohmann::json::exception&) {
    throw std::runtime_error("'" + asked.file + "' is no status document");
  }
}

}  // namespace

void addStatus(CLI::App& app, std::ostream& out, std::function<int()>& todo) {
  const auto asked = std::make_shared<Asked>();
  CLI::App* command = app.add_subcommand("status", "What a running router's status document says");
  command->add_option("file", asked->file, "the fleet file's status_file")->required();
  command->add_flag("--json", asked->asJson, "the document itself");
  command->add_flag("--all", asked->all, "groups that let all in, too");
  command->callback([asked, &out, &todo] { todo = [asked, &out] { return show(*asked, out); }; });
}

}  // namespace gulltrestle::cli
