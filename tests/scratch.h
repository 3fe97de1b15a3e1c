// Where tests put folders of their own: TMPDIR where it is set, else in memory where the system has such a
// place. Losses of power and failing disks are the tests' own doing; a machine's disk that a compiler keeps
// busy would only add commits of most of a second, which no case is about.
#pragma once

#include <stdlib.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace gulltrestle {

inline std::string scratch() {
  if (const char* named = std::getenv("TMPDIR"); named && *named) return named;
  return access("/dev/shm", W_OK | X_OK) == 0 ? "/dev/shm" : "/tmp";
}

// A new folder there.
inline std::string scratchFolder(const std::string& what) {
  std::string made = scratch() + "/gulltrestle-" + what + "-XXXXXX";
  if (!mkdtemp(made.data())) throw std::runtime_error("no folder for " + what);
  return made;
}

}  // namespace gulltrestle
