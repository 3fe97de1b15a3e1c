#include "cli/work_command.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "maintenance/operator_requests.h"

namespace gulltrestle::cli {

namespace {

// How often the answer is looked for.
constexpr auto kLook = std::chrono::milliseconds(50);

struct Asked {
  std::string folder, file, machine, by;
  double wait = 15;
  bool asJson = false;
};

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("'" + path + "' can't be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Put beside and renamed, so that the router finds a whole one; its name is the request's for good.
int send(const Asked& asked, const maintenance::OperatorRequest& ask, std::ostream& out) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::string name =
      std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-" +
      std::to_string(getpid());
  const std::string base = asked.folder + "/" + name;
  {
    std::ofstream file(base + ".new", std::ios::binary);
    file << encoded(ask) << "\n";
    file.close();
    if (!file || std::rename((base + ".new").c_str(), (base + ".ask.json").c_str()) != 0)
      throw std::runtime_error("'" + asked.folder + "': the request can't be put there");
  }
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(asked.wait);
  while (std::chrono::steady_clock::now() < until) {
    if (std::ifstream file(base + ".answer.json"); file) {
      const auto answer = nlohmann::json::parse(file);
      if (answer.at("done").get<bool>()) {
        out << "done: request " << name << "\n";
        return 0;
      }
      out << "refused: " << answer.at("why").get<std::string>() << "\n";
      return 1;
    }
    std::this_thread::sleep_for(kLook);
  }
  out << "no answer yet: request " << name << " waits in " << asked.folder
      << "; is a keeper running there that reaches more than half of the others?\n";
  return 3;
}

int list(const Asked& asked, std::ostream& out) {
  try {
    const auto all = nlohmann::json::parse(contentOf(asked.file));
    const auto& work = all.at("work");
    if (asked.asJson) {
      out << work.dump(2) << "\n";
      return 0;
    }
    std::size_t open = 0;
    for (const auto& m : work.at("machines")) {
      const auto phase = m.at("phase").get<std::string>();
      open += phase != "over";
      out << m.at("machine").get<std::string>() << ": " << phase << ", by " << m.at("by").get<std::string>();
      if (m.at("tries").get<unsigned>() > 0)
        out << ", " << m.at("tries").get<unsigned>() << " tries given up";
      if (!m.at("why").get<std::string>().empty()) out << "; " << m.at("why").get<std::string>();
      if (m.contains("awaits")) out << "; awaits " << m.at("awaits").get<std::string>();
      out << "\n";
    }
    out << "plan " << work.at("version").get<std::uint64_t>() << ", " << open
        << " machines open; this router "
        << (work.at("foreman").get<bool>() ? "carries it on" : "does not carry it on") << ", lease "
        << work.at("lease_ms").get<std::int64_t>() << " ms\n";
    return open > 0 ? 3 : 0;
  } catch (const nlohmann::json::exception&) {
    throw std::runtime_error("'" + asked.file + "' is no status document of a router that knows of work");
  }
}

}  // namespace

void addWork(CLI::App& app, std::ostream& out, std::function<int()>& todo) {
  auto* all = app.add_subcommand("work", "Machines that are to be taken out for work, one after another");
  all->require_subcommand(1);
  const auto asked = std::make_shared<Asked>();
  const auto add = [&](const char* name, const char* what,
                       std::function<maintenance::OperatorRequest()> make) {
    auto* made = all->add_subcommand(name, what);
    made->add_option("FOLDER", asked->folder, "A keeper's work.folder")->required();
    made->add_option("--by", asked->by, "Whose word it is, for the log")->required();
    made->add_option("--wait", asked->wait, "Seconds to wait for the answer");
    made->callback([asked, &out, &todo, make = std::move(make)] {
      todo = [asked, &out, make] { return send(*asked, make(), out); };
    });
    return made;
  };
  add("ask", "Asks for work on the machines that a file names",
      [asked] {
        // Checked here first: a fault is told at once, with its key.
        maintenance::OperatorRequest ask = maintenance::readOperatorRequest(contentOf(asked->file));
        if (ask.kind != maintenance::OperatorRequest::Kind::plan)
          throw std::runtime_error("'" + asked->file + "' asks for no work");
        ask.requestedBy = asked->by;
        return ask;
      })
      ->add_option("FILE", asked->file, "The machines, as JSON")
      ->required();
  add("stop", "Stops the work on a machine, or on all", [asked] {
    return maintenance::OperatorRequest{
        maintenance::OperatorRequest::Kind::stop, asked->by, {}, asked->machine};
  })->add_option("MACHINE", asked->machine, "Without: all");
  add("done", "Gives back a machine that was told free",
      [asked] {
        return maintenance::OperatorRequest{
            maintenance::OperatorRequest::Kind::done, asked->by, {}, asked->machine};
      })
      ->add_option("MACHINE", asked->machine, "Which")
      ->required();
  auto* shown = all->add_subcommand("list", "What is out, what waits for what, and for whom");
  shown->add_option("FILE", asked->file, "A keeper's status_file")->required();
  shown->add_flag("--json", asked->asJson, "As JSON");
  shown->callback([asked, &out, &todo] { todo = [asked, &out] { return list(*asked, out); }; });
}

}  // namespace gulltrestle::cli
