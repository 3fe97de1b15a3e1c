// What the sub-commands have in common: how they end, how they fail, and how they are run.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace gulltrestle::cli {

// Of the process. Scripts of operators go by these numbers.
enum class ExitCode {
  success = 0,
  failure = 1,           // or what was inspected is not sound
  invalidArguments = 2,  // also where there is nothing to be run
  pending = 3,           // something is awaited (status, work)
};

// Runs the sub-command that was parsed.
using Action = std::function<ExitCode()>;

// A file or folder that the arguments name is not what the command needs. Another run succeeds only once it
// is: what() tells the operator which it is and its fault.
class CommandError : public std::runtime_error {
 public:
  CommandError(const std::string& path, std::string_view fault)
      : std::runtime_error("'" + path + "'" + std::string(fault)), path_(path) {}
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace gulltrestle::cli
