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

struct Options {
  std::string folder, file, machine, requestedBy;
  double waitSeconds = 15;
  bool asJson = false;
};

std::string contentOf(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw CommandError(path, " can't be read");
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
    throw CommandError(options.folder, ": the request can't be put there");
}

ExitCode printAnswer(const nlohmann::json& answer, const std::string& requestId, std::ostream& out) {
  if (answer.at("done").get<bool>()) {
    out << "done: request " << requestId << "\n";
    return ExitCode::success;
  }
  out << "refused: " << answer.at("why").get<std::string>() << "\n";
  return ExitCode::failure;
}

ExitCode send(const Options& options, const maintenance::OperatorRequest& request, std::ostream& out) {
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
  return ExitCode::pending;
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

ExitCode printPlan(const nlohmann::json& work, std::ostream& out) {
  std::size_t open = 0;
  for (const auto& machine : work.at("machines")) {
    open += machine.at("phase").get<std::string>() != "over";
    printMachine(machine, out);
  }
  out << "plan " << work.at("version").get<std::uint64_t>() << ", " << open << " machines open; this router "
      << (work.at("foreman").get<bool>() ? "carries it on" : "does not carry it on") << ", lease "
      << work.at("lease_ms").get<std::int64_t>() << " ms\n";
  return open > 0 ? ExitCode::pending : ExitCode::success;
}

ExitCode list(const Options& options, std::ostream& out) {
  try {
    const auto status = nlohmann::json::parse(contentOf(options.file));
    const auto& work = status.at("work");
    if (!options.asJson) return printPlan(work, out);
    out << work.dump(2) << "\n";
    return ExitCode::success;
  } catch (const nlohmann::json::exception&) {
    throw CommandError(options.file, " is no status document of a router that knows of work");
  }
}

// --- Sub-commands

// What they are added to.
struct CommandContext {
  CLI::App& work;
  std::shared_ptr<Options> options;
  std::ostream& out;
  Action& action;
};

// A sub-command that puts a request into a keeper's folder.
CLI::App& addRequest(const CommandContext& context, const char* name, const char* description,
                     std::function<maintenance::OperatorRequest()> makeRequest) {
  const auto& options = context.options;
  CLI::App& command = *context.work.add_subcommand(name, description);
  command.add_option("FOLDER", options->folder, "A keeper's work.folder")->required();
  command.add_option("--by", options->requestedBy, "Whose word it is, for the log")->required();
  command.add_option("--wait", options->waitSeconds, "Seconds to wait for the answer");
  command.callback(
      [options, &out = context.out, &action = context.action, makeRequest = std::move(makeRequest)] {
        action = [options, &out, makeRequest] { return send(*options, makeRequest(), out); };
      });
  return command;
}

// Validated here first: a fault is reported at once, with its key.
maintenance::OperatorRequest readPlanRequest(const Options& options) {
  maintenance::OperatorRequest request = maintenance::readOperatorRequest(contentOf(options.file));
  if (request.kind != maintenance::OperatorRequest::Kind::plan)
    throw CommandError(options.file, " asks for no work");
  request.requestedBy = options.requestedBy;
  return request;
}

maintenance::OperatorRequest requestOn(const Options& options, maintenance::OperatorRequest::Kind kind) {
  return {kind, options.requestedBy, {}, options.machine};
}

void addAsk(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "ask", "Asks for work on the machines that a file names",
             [options] { return readPlanRequest(*options); })
      .add_option("FILE", options->file, "The machines, as JSON")
      ->required();
}

void addStop(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "stop", "Stops the work on a machine, or on all", [options] {
    return requestOn(*options, maintenance::OperatorRequest::Kind::stop);
  }).add_option("MACHINE", options->machine, "Without: all");
}

void addDone(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "done", "Gives back a machine that was told free",
             [options] { return requestOn(*options, maintenance::OperatorRequest::Kind::done); })
      .add_option("MACHINE", options->machine, "Which")
      ->required();
}

void addList(const CommandContext& context) {
  const auto& options = context.options;
  CLI::App& command = *context.work.add_subcommand("list", "What is out, what waits for what, and for whom");
  command.add_option("FILE", options->file, "A keeper's status_file")->required();
  command.add_flag("--json", options->asJson, "As JSON");
  command.callback([options, &out = context.out, &action = context.action] {
    action = [options, &out] { return list(*options, out); };
  });
}

}  // namespace

void addWork(CLI::App& app, std::ostream& out, Action& action) {
  CLI::App& work =
      *app.add_subcommand("work", "Machines that are to be taken out for work, one after another");
  work.require_subcommand(1);
  const CommandContext context{work, std::make_shared<Options>(), out, action};
  addAsk(context);
  addStop(context);
  addDone(context);
  addList(context);
}

}  // namespace gulltrestle::cli
