// Temporary folders of tests: under TMPDIR if it is set, otherwise in memory (/dev/shm) if available. Tests
// simulate power losses and disk failures themselves. A real disk that a compiler keeps busy would only add
// commits of most of a second, which no test case covers.
#pragma once

#include <stdlib.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace gulltrestle {

// The folder in which tests create their temporary folders.
inline std::string scratch() {
  if (const char* configured = std::getenv("TMPDIR"); configured && *configured) return configured;
  return access("/dev/shm", W_OK | X_OK) == 0 ? "/dev/shm" : "/tmp";
}

// Creates a new folder in scratch(), with `name` as a part of its name. Throws if it cannot be created.
inline std::string scratchFolder(const std::string& name) {
  std::string path = scratch() + "/gulltrestle-" + name + "-XXXXXX";
  if (!mkdtemp(path.data())) throw std::runtime_error("cannot create a temporary folder for " + name);
  return path;
}

}  // namespace gulltrestle
