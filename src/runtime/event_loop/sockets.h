// System calls on IPv4 sockets, none of which ever blocks, and on signals.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "runtime/event_loop/descriptor.h"

namespace gulltrestle::event_loop {

// A listening socket. Throws std::system_error where the address can't be bound, also after retries
// (runtime/event_loop/retry_system_call.h).
Descriptor listenOn(const std::string& host, unsigned short port);
// A socket whose connection is not established yet; none where this machine has no descriptor, port or memory
// for it now. Throws std::system_error where `host` is no IPv4 address.
Descriptor startConnecting(const std::string& host, unsigned short port);
// Whether the connection was established; to be asked once the socket has become writable.
bool isConnected(int descriptor);

// Status of one system call.
enum class Io {
  some,          // bytes were moved, or a connection was accepted
  wouldBlock,    // nothing can be moved now
  ended,         // the other side sends no more
  failed,        // the descriptor is of no more use
  noDescriptor,  // of accept(): the system has no descriptor or memory for a connection now
  noMemory,      // the system is short of memory for a moment; nothing was moved
};
// Status of a read or write, and the bytes it moved.
struct IoResult {
  Io status;
  std::size_t size = 0;
};
IoResult readInto(int descriptor, std::span<char> buffer);
// May write less than all, also of the first part.
IoResult writeFrom(int descriptor, std::span<const std::string_view> parts);
// The other side reads an end after what was written; it can still send.
void shutDownWriting(int descriptor);
// `accepted`: the new connection, where the result is Io::some.
Io accept(int descriptor, Descriptor& accepted);

// What a signal requests of a process: to end (SIGTERM, SIGINT), or to read its configuration again (SIGHUP).
enum class Signal { terminate, reload };
// From now on these signals stay pending until takeSignal(): one that comes while a process starts must not
// end it.
void blockSignals();
// A descriptor that becomes readable when one of these signals comes, also where the process was started with
// them ignored.
Descriptor signals();
// The next pending signal; none if there is none left.
std::optional<Signal> takeSignal(int descriptor);

}  // namespace gulltrestle::event_loop
