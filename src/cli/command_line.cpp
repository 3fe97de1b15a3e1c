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
  CLI::App app("gulltrestle: without a command it serves, as the file that BALANCER_CONFIG names says",
               "gulltrestle");
  app.require_subcommand(1);
  Action action;
  addStore(app, out, action);
  addStatus(app, out, action);
  addWork(app, out, action);
  try {
    app.parse(argumentCount, arguments);
    return action ? action() : ExitCode::invalidArguments;
  } catch (const CLI::CallForHelp&) {
    out << app.help();
    return ExitCode::success;
  } catch (const CLI::ParseError& bad) {
    errors << "gulltrestle: " << bad.what() << "\nSee gulltrestle --help.\n";
    return ExitCode::invalidArguments;
  } catch (const std::exception& bad) {
    // Whichever layer it comes from, its text is for the operator.
    errors << "gulltrestle: " << bad.what() << "\n";
    return ExitCode::failure;
  }
}

}  // namespace

int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors) {
  return static_cast<int>(parseAndRun(argumentCount, arguments, out, errors));
}

}  // namespace gulltrestle::cli
