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

// Interval between checks for the answer file.
constexpr auto kPollInterval = std::chrono::milliseconds(50);

struct Options {
  std::string folder, file, machine, requestedBy;
  double waitSeconds = 15;
  bool asJson = false;
};

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw CommandError(path, " cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns a unique id. It lets a router that finds the request again after a crash recognize it.
std::string newRequestId() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-" +
         std::to_string(getpid());
}

// Writes a temporary file and renames it, so that the router never reads an incomplete request.
void writeRequest(const Options& options, const std::string& base,
                  const maintenance::OperatorRequest& request) {
  std::ofstream file(base + ".new", std::ios::binary);
  file << encoded(request) << "\n";
  file.close();
  if (!file || std::rename((base + ".new").c_str(), (base + ".ask.json").c_str()) != 0)
    throw CommandError(options.folder, ": the request cannot be written to this folder");
}

ExitCode printAnswer(const nlohmann::json& answer, const std::string& requestId, std::ostream& out) {
  if (answer.at("done").get<bool>()) {
    out << "done: request " << requestId << "\n";
    return ExitCode::success;
  }
  out << "rejected: " << answer.at("why").get<std::string>() << "\n";
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
  out << "no answer yet: request " << requestId << " is pending in " << options.folder
      << "; check that a voter uses this folder and reaches more than half of the other voters\n";
  return ExitCode::pending;
}

void printMachine(const nlohmann::json& machine, std::ostream& out) {
  out << machine.at("machine").get<std::string>() << ": " << machine.at("phase").get<std::string>() << ", by "
      << machine.at("by").get<std::string>();
  if (const auto attempts = machine.at("tries").get<unsigned>(); attempts > 0)
    out << ", " << attempts << " attempts abandoned";
  if (const auto reason = machine.at("why").get<std::string>(); !reason.empty()) out << "; " << reason;
  if (machine.contains("awaits")) out << "; waiting for " << machine.at("awaits").get<std::string>();
  out << "\n";
}

ExitCode printPlan(const nlohmann::json& plan, std::ostream& out) {
  std::size_t unfinished = 0;
  for (const auto& machine : plan.at("machines")) {
    unfinished += machine.at("phase").get<std::string>() != "over";
    printMachine(machine, out);
  }
  out << "plan " << plan.at("version").get<std::uint64_t>() << ", " << unfinished
      << " machines unfinished; this router "
      << (plan.at("foreman").get<bool>() ? "is the maintenance leader" : "is not the maintenance leader")
      << ", lease " << plan.at("lease_ms").get<std::int64_t>() << " ms\n";
  return unfinished > 0 ? ExitCode::pending : ExitCode::success;
}

ExitCode list(const Options& options, std::ostream& out) {
  try {
    const auto status = nlohmann::json::parse(readFile(options.file));
    const auto& plan = status.at("work");
    if (!options.asJson) return printPlan(plan, out);
    out << plan.dump(2) << "\n";
    return ExitCode::success;
  } catch (const nlohmann::json::exception&) {
    throw CommandError(options.file, " is not a status document with a maintenance plan");
  }
}

// --- Sub-commands

// The parent command, and the state that its sub-commands share.
struct CommandContext {
  CLI::App& work;
  std::shared_ptr<Options> options;
  std::ostream& out;
  Action& action;
};

// Adds a sub-command that writes a request into a voter's maintenance folder.
CLI::App& addRequest(const CommandContext& context, const char* name, const char* description,
                     std::function<maintenance::OperatorRequest()> makeRequest) {
  const auto& options = context.options;
  CLI::App& command = *context.work.add_subcommand(name, description);
  command
      .add_option("FOLDER", options->folder,
                  "The folder of a voter (work.folder of its cluster configuration)")
      ->required();
  command.add_option("--by", options->requestedBy, "Name of the operator, for the log")->required();
  command.add_option("--wait", options->waitSeconds, "Seconds to wait for the answer");
  command.callback(
      [options, &out = context.out, &action = context.action, makeRequest = std::move(makeRequest)] {
        action = [options, &out, makeRequest] { return send(*options, makeRequest(), out); };
      });
  return command;
}

// Reads and validates the request before it is sent, so that an error is reported at once, with its key.
maintenance::OperatorRequest readPlanRequest(const Options& options) {
  maintenance::OperatorRequest request = maintenance::readOperatorRequest(readFile(options.file));
  if (request.kind != maintenance::OperatorRequest::Kind::plan)
    throw CommandError(options.file, " does not request maintenance");
  request.requestedBy = options.requestedBy;
  return request;
}

maintenance::OperatorRequest machineRequest(const Options& options, maintenance::OperatorRequest::Kind kind) {
  return {kind, options.requestedBy, {}, options.machine};
}

void addAskCommand(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "ask", "Request maintenance of the machines that a file lists",
             [options] { return readPlanRequest(*options); })
      .add_option("FILE", options->file, "The machines, as JSON")
      ->required();
}

void addStopCommand(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "stop", "Stop the maintenance of a machine, or of all machines", [options] {
    return machineRequest(*options, maintenance::OperatorRequest::Kind::stop);
  }).add_option("MACHINE", options->machine, "The machine; all machines if omitted");
}

void addDoneCommand(const CommandContext& context) {
  const auto& options = context.options;
  addRequest(context, "done",
             "Report that the work on a released machine is done, so that it returns to service",
             [options] { return machineRequest(*options, maintenance::OperatorRequest::Kind::done); })
      .add_option("MACHINE", options->machine, "Which")
      ->required();
}

void addListCommand(const CommandContext& context) {
  const auto& options = context.options;
  CLI::App& command = *context.work.add_subcommand(
      "list", "List the machines of the plan, what each waits for and who requested it");
  command.add_option("FILE", options->file, "The status_file of a voter")->required();
  command.add_flag("--json", options->asJson, "As JSON");
  command.callback([options, &out = context.out, &action = context.action] {
    action = [options, &out] { return list(*options, out); };
  });
}

}  // namespace

void addWorkCommand(CLI::App& app, std::ostream& out, Action& action) {
  CLI::App& work =
      *app.add_subcommand("work", "Maintenance: take machines out of service, one after another");
  work.require_subcommand(1);
  const CommandContext context{work, std::make_shared<Options>(), out, action};
  addAskCommand(context);
  addStopCommand(context);
  addDoneCommand(context);
  addListCommand(context);
}

}  // namespace gulltrestle::cli
