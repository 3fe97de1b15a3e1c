// Sockets of IPv4, none of which ever blocks.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "runtime/event_loop/descriptor.h"

namespace gulltrestle::event_loop {

// Throws std::system_error where the address can't be had, also after a while
// (runtime/event_loop/retry_system_call.h).
Descriptor listenOn(const std::string& host, unsigned short port);
// Not up yet when it returns; none where this machine has no descriptor, port or memory for it now. Throws
// where the address is none.
Descriptor startConnecting(const std::string& host, unsigned short port);
bool isConnected(int descriptor);  // after it has become writable: it came up

// noMemory: the system is short of it for a moment, and nothing was read or written.
enum class Io { some, wouldBlock, ended, failed, noDescriptor, noMemory };
// Outcome of one system call and the bytes it moved.
struct IoResult {
  Io how;
  std::size_t size = 0;
};
IoResult readInto(int descriptor, std::span<char> buffer);
IoResult writeFrom(int descriptor, std::span<const std::string_view> parts);
void endSending(int descriptor);  // the other side reads an end; it can still send
Io accept(int descriptor, Descriptor& taken);

// What a signal asks of a process: to end, or to read its configuration anew.
enum class Signal { terminate, reload };
// From now on these signals wait, for signals() to take them: one that comes while a process starts must not
// end it.
void blockSignals();
// Becomes readable when one of these signals comes, also where the process was started with them ignored.
Descriptor signals();
std::optional<Signal> takeSignal(int descriptor);  // none if there is none left

}  // namespace gulltrestle::event_loop
