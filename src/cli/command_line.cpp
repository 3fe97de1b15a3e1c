#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <ostream>

#include "cli/status_command.h"
#include "cli/store_command.h"
#include "cli/work_command.h"

namespace gulltrestle::cli {

int run(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& errors) {
  CLI::App app("gulltrestle: without a command it serves, as the file that BALANCER_CONFIG names says",
               "gulltrestle");
  app.require_subcommand(1);
  std::function<int()> action;
  addStore(app, out, action);
  addStatus(app, out, action);
  addWork(app, out, action);
  try {
    app.parse(argumentCount, arguments);
    return action ? action() : 2;
  } catch (const CLI::CallForHelp&) {
    out << app.help();
    return 0;
  } catch (const CLI::ParseError& bad) {
    errors << "gulltrestle: " << bad.what() << "\nSee gulltrestle --help.\n";
    return 2;
  } catch (const std::exception& bad) {
    errors << "gulltrestle: " << bad.what() << "\n";
    return 1;
  }
}

}  // namespace gulltrestle::cli
