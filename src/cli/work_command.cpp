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
constexpr auto kPollInterval = std::chrono::milliseconds(50);
// The exit code where there is no answer yet, or a machine is not finished.
constexpr int kPending = 3;

struct Options {
  std::string folder, file, machine, requestedBy;
  double waitSeconds = 15;
  bool asJson = false;
};

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("'" + path + "' can't be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Unique for each request: a router that finds it again after a crash knows it by that.
std::string newRequestId() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-" +
         std::to_string(getpid());
}

// Written beside and renamed, so that the router finds a complete file.
void writeRequest(const Options& options, const std::string& base,
                  const maintenance::OperatorRequest& request) {
  std::ofstream file(base + ".new", std::ios::binary);
  file << encoded(request) << "\n";
  file.close();
  if (!file || std::rename((base + ".new").c_str(), (base + ".ask.json").c_str()) != 0)
    throw std::runtime_error("'" + options.folder + "': the request can't be put there");
}

// Returns the exit code.
int printAnswer(const nlohmann::json& answer, const std::string& requestId, std::ostream& out) {
  if (answer.at("done").get<bool>()) {
    out << "done: request " << requestId << "\n";
    return 0;
  }
  out << "refused: " << answer.at("why").get<std::string>() << "\n";
  return 1;
}

int send(const Options& options, const maintenance::OperatorRequest& request, std::ostream& out) {
  const std::string requestId = newRequestId();
  const std::string base = options.folder + "/" + requestId;
  writeRequest(options, base, request);
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.waitSeconds);
  while (std::chrono::steady_clock::now() < deadline) {
    if (std::ifstream file(base + ".answer.json"); file)
      return printAnswer(nlohmann::json::parse(file), requestId, out);
    std::this_thread::sleep_for(kPollInterval);
  }
  out << "no answer yet: request " << requestId << " waits in " << options.folder
      << "; is a keeper running there that reaches more than half of the others?\n";
  return kPending;
}

void printMachine(const nlohmann::json& machine, std::ostream& out) {
  out << machine.at("machine").get<std::string>() << ": " << machine.at("phase").get<std::string>() << ", by "
      << machine.at("by").get<std::string>();
  if (const auto attempts = machine.at("tries").get<unsigned>(); attempts > 0)
    out << ", " << attempts << " tries given up";
  if (const auto reason = machine.at("why").get<std::string>(); !reason.empty()) out << "; " << reason;
  if (machine.contains("awaits")) out << "; awaits " << machine.at("awaits").get<std::string>();
  out << "\n";
}

// Returns the exit code.
int printPlan(const nlohmann::json& work, std::ostream& out) {
  std::size_t open = 0;
  for (const auto& machine : work.at("machines")) {
    open += machine.at("phase").get<std::string>() != "over";
    printMachine(machine, out);
  }
  out << "plan " << work.at("version").get<std::uint64_t>() << ", " << open << " machines open; this router "
      << (work.at("foreman").get<bool>() ? "carries it on" : "does not carry it on") << ", lease "
      << work.at("lease_ms").get<std::int64_t>() << " ms\n";
  return open > 0 ? kPending : 0;
}

int list(const Options& options, std::ostream& out) {
  try {
    const auto status = nlohmann::json::parse(contentOf(options.file));
    const auto& work = status.at("work");
    if (!options.asJson) return printPlan(work, out);
    out << work.dump(2) << "\n";
    return 0;
  } catch (const nlohmann::json::exception&) {
    throw std::runtime_error("'" + options.file + "' is no status document of a router that knows of work");
  }
}

}  // namespace

void addWork(CLI::App& app, std::ostream& out, std::function<int()>& action) {
  auto* command = app.add_subcommand("work", "Machines that are to be taken out for work, one after another");
  command->require_subcommand(1);
  const auto options = std::make_shared<Options>();
  const auto add = [&](const char* name, const char* description,
                       std::function<maintenance::OperatorRequest()> makeRequest) {
    auto* subcommand = command->add_subcommand(name, description);
    subcommand->add_option("FOLDER", options->folder, "A keeper's work.folder")->required();
    subcommand->add_option("--by", options->requestedBy, "Whose word it is, for the log")->required();
    subcommand->add_option("--wait", options->waitSeconds, "Seconds to wait for the answer");
    subcommand->callback([options, &out, &action, makeRequest = std::move(makeRequest)] {
      action = [options, &out, makeRequest] { return send(*options, makeRequest(), out); };
    });
    return subcommand;
  };
  add("ask", "Asks for work on the machines that a file names",
      [options] {
        // Validated here first: a fault is reported at once, with its key.
        maintenance::OperatorRequest request = maintenance::readOperatorRequest(contentOf(options->file));
        if (request.kind != maintenance::OperatorRequest::Kind::plan)
          throw std::runtime_error("'" + options->file + "' asks for no work");
        request.requestedBy = options->requestedBy;
        return request;
      })
      ->add_option("FILE", options->file, "The machines, as JSON")
      ->required();
  add("stop", "Stops the work on a machine, or on all", [options] {
    return maintenance::OperatorRequest{
        maintenance::OperatorRequest::Kind::stop, options->requestedBy, {}, options->machine};
  })->add_option("MACHINE", options->machine, "Without: all");
  add("done", "Gives back a machine that was told free",
      [options] {
        return maintenance::OperatorRequest{
            maintenance::OperatorRequest::Kind::done, options->requestedBy, {}, options->machine};
      })
      ->add_option("MACHINE", options->machine, "Which")
      ->required();
  auto* listCommand = command->add_subcommand("list", "What is out, what waits for what, and for whom");
  listCommand->add_option("FILE", options->file, "A keeper's status_file")->required();
  listCommand->add_flag("--json", options->asJson, "As JSON");
  listCommand->callback(
      [options, &out, &action] { action = [options, &out] { return list(*options, out); }; });
}

}  // namespace gulltrestle::cli
