// Runs the program as a child process with given environment variables, and reads its standard output and
// error line by line.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <iostream>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "runtime/event_loop/descriptor.h"

namespace gulltrestle::testing {

// Starts the program in a child process, which is killed when its parent exits. Its standard output goes to
// `output`, and its standard error too if `includesErrors`. Returns the process id.
inline pid_t startProgram(const std::string& program, std::vector<std::string> variables, int output,
                          bool includesErrors) {
  std::string name = program;
  std::vector<char*> environment;
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  char* const arguments[] = {name.data(), nullptr};
  const pid_t id = fork();
  if (id != 0) return id;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(output, 1);
  if (includesErrors) dup2(output, 2);
  execve(arguments[0], arguments, environment.data());
  _exit(127);
}

// A child process that runs the program. The destructor kills it if it still runs.
class Child {
 public:
  // Far longer than any step of these tests takes. A read that exceeds it prints a line and fails.
  static constexpr int kReadTimeoutMs = 60'000;

  explicit Child(std::vector<std::string> variables, bool includesErrors = true) {
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    log_ = event_loop::Descriptor(pipeEnds[0]);
    const event_loop::Descriptor writeEnd(pipeEnds[1]);
    id_ = startProgram(GULLTRESTLE_PROGRAM, std::move(variables), writeEnd.number(), includesErrors);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    if (id_ <= 0) return;
    signal(SIGKILL);
    wait();
  }

  pid_t id() const { return id_; }
  void signal(int number) const { kill(id_, number); }
  // Stops the process with SIGSTOP; all its threads are stopped when this returns.
  void suspend() const {
    signal(SIGSTOP);
    int status = 0;
    waitpid(id_, &status, WUNTRACED);
  }
  // Reads lines up to the first that contains `text`. Returns false if the output ends or stalls before.
  bool waitForLine(const std::string& text) {
    while (readLine())
      if (lines_.back().find(text) != std::string::npos) return true;
    return false;
  }
  // Whether the end of the output was reached.
  bool ended() const { return ended_; }
  // All lines read so far.
  const std::vector<std::string>& lines() const { return lines_; }
  std::string lastLine() const { return lines_.empty() ? "" : lines_.back(); }
  // Waits for the process to exit. Returns its exit code, or 1000 plus the number of the signal that killed
  // it.
  int wait() {
    int status = 0;
    waitpid(std::exchange(id_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }

 private:
  bool readLine() {
    for (;;) {
      if (const auto end = unread_.find('\n'); end != std::string::npos) {
        lines_.push_back(unread_.substr(0, end));
        unread_.erase(0, end + 1);
        return true;
      }
      pollfd readable{log_.number(), POLLIN, 0};
      if (poll(&readable, 1, kReadTimeoutMs) <= 0) {
        std::cout << "no further output from the program before the timeout\n";
        return false;
      }
      char bytes[4096];
      const auto size = ::read(log_.number(), bytes, sizeof bytes);
      ended_ = size <= 0;
      if (ended_) return false;
      unread_.append(bytes, static_cast<std::size_t>(size));
    }
  }

  pid_t id_ = 0;
  event_loop::Descriptor log_;
  std::string unread_;
  std::vector<std::string> lines_;
  bool ended_ = false;
};

}  // namespace gulltrestle::testing
