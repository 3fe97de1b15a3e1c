#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <ostream>

#include "cli/command.h"
#include "cli/status_command.h"
#include "cli/store_command.h"
#include "cli/work_command.h"

namespace gulltrestle::cli {

namespace {

ExitCode parseAndRun(int argumentCount, const char* const* arguments, std::ostream& out,
                     std::ostream& errors) {
  CLI::App app(
      "gulltrestle: without a command, runs the router with the configuration file that BALANCER_CONFIG "
      "names",
      "gulltrestle");
  app.require_subcommand(1);
  Action action;
  addStoreCommand(app, out, action);
  addStatusCommand(app, out, action);
  addWorkCommand(app, out, action);
  try {
    app.parse(argumentCount, arguments);
    return action ? action() : ExitCode::invalidArguments;
  } catch (const CLI::CallForHelp&) {
    out << app.help();
    return ExitCode::success;
  } catch (const CLI::ParseError& error) {
    errors << "gulltrestle: " << error.what() << "\nSee gulltrestle --help.\n";
    return ExitCode::invalidArguments;
  } catch (const std::exception& error) {
    // The texts of all layers' exceptions are meant for the operator.
    errors << "gulltrestle: " << error.what() << "\n";
    return ExitCode::failure;
  }
}

}  // namespace

int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors) {
  return static_cast<int>(parseAndRun(argumentCount, arguments, out, errors));
}

}  // namespace gulltrestle::cli
