// Reading and writing of the rig's parts on their streams.
#pragma once

#include <string>
#include <string_view>

#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fleet {

constexpr std::size_t kLongest = 256 * 1024;

// False: the other side has ended.
inline bool readAll(event_loop::Stream& from, std::string& kept, std::size_t most = kLongest) {
  while (from.canRead() && kept.size() < most) {
    char bytes[16384];
    const auto got = from.read(bytes);
    if (got.status == event_loop::Io::some) kept.append(bytes, got.size);
    if (got.status == event_loop::Io::ended || got.status == event_loop::Io::failed) return false;
  }
  return true;
}
// False: it can't be written any more. What is left stays in `unsent`.
inline bool write(event_loop::Stream& to, std::string& unsent) {
  while (!unsent.empty()) {
    const std::string_view all = unsent;
    const auto done = to.write({&all, 1});
    if (done.status != event_loop::Io::some) return done.status == event_loop::Io::wouldBlock;
    unsent.erase(0, done.size);
  }
  return true;
}

}  // namespace gulltrestle::fleet
