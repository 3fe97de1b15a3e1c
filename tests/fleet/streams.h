// Buffered reads and writes on the streams of the test fleet.
#pragma once

#include <string>
#include <string_view>

#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"

namespace gulltrestle::fleet {

constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

// Appends what can be read to `received`, until it holds `maxBytes`. False: the peer has closed the
// connection, or it failed.
inline bool readAll(event_loop::Stream& from, std::string& received,
                    std::size_t maxBytes = kMaxBufferedBytes) {
  while (from.canRead() && received.size() < maxBytes) {
    char bytes[16384];
    const auto result = from.read(bytes);
    if (result.status == event_loop::IoStatus::ok) received.append(bytes, result.size);
    if (result.status == event_loop::IoStatus::endOfStream || result.status == event_loop::IoStatus::failed)
      return false;
  }
  return true;
}
// Writes as much of `unsent` as the stream takes now and removes it from there. False: the connection failed.
inline bool write(event_loop::Stream& to, std::string& unsent) {
  while (!unsent.empty()) {
    const std::string_view all = unsent;
    const auto result = to.write({&all, 1});
    if (result.status != event_loop::IoStatus::ok) return result.status == event_loop::IoStatus::wouldBlock;
    unsent.erase(0, result.size);
  }
  return true;
}

}  // namespace gulltrestle::fleet
