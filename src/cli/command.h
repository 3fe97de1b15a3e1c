// Types shared by the sub-commands: exit codes, actions and errors.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::cli {

// Exit codes of the process. Operators' scripts depend on these numbers.
enum class ExitCode {
  success = 0,
  failure = 1,           // also: the inspected file or folder is damaged
  invalidArguments = 2,  // also: no sub-command to run
  pending = 3,           // still waiting for something (status, work)
};

// Runs the parsed sub-command.
using Action = std::function<ExitCode()>;

// Reports that a file or folder named by the arguments is unusable. A retry succeeds only after the operator
// has corrected it: what() returns its path and the error.
class CommandError : public std::runtime_error {
 public:
  CommandError(const std::string& path, std::string_view fault)
      : std::runtime_error("'" + path + "'" + std::string(fault)), path_(path) {}
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace gulltrestle::cli
