#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <ostream>

#include "cli/status_command.h"
#include "cli/store_command.h"
#include "cli/work_command.h"

namespace gulltrestle::cli {

int run(int count, const char* const* words, std::ostream& out, std::ostream& complaints) {
  CLI::App app("gulltrestle: without a command it serves, as the file that BALANCER_CONFIG names says",
               "gulltrestle");
  app.require_subcommand(1);
  std::function<int()> todo;
  addStore(app, out, todo);
  addStatus(app, out, todo);
  addWork(app, out, todo);
  try {
    app.parse(count, words);
    return todo ? todo() : 2;
  } catch (const CLI::CallForHelp&) {
    out << app.help();
    return 0;
  } catch (const CLI::ParseError& bad) {
    complaints << "gulltrestle: " << bad.what() << "\nSee gulltrestle --help.\n";
    return 2;
  } catch (const std::exception& bad) {
    complaints << "gulltrestle: " << bad.what() << "\n";
    return 1;
  }
}

}  // namespace gulltrestle::cli
