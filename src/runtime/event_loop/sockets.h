// Non-blocking system calls on IPv4 sockets, and signal handling.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "runtime/event_loop/descriptor.h"

namespace gulltrestle::event_loop {

// Returns a listening socket. Throws std::system_error if the address can't be bound, even after retries
// (runtime/event_loop/retry_system_call.h).
Descriptor listenOn(const std::string& host, unsigned short port);
// Starts a connection and returns its socket; the connection is not established yet. Returns an empty
// descriptor if this machine has no descriptor, port or memory for it now. Throws std::system_error if `host`
// is not an IPv4 address.
Descriptor startConnecting(const std::string& host, unsigned short port);
// Returns whether the connection is established and was not reset; also while one end has sent the end of
// stream. To be called once the socket has become writable.
bool isConnected(int descriptor);

// Status of one system call on a socket.
enum class IoStatus {
  ok,            // bytes were transferred, or a connection was accepted
  wouldBlock,    // nothing can be transferred now
  endOfStream,   // the peer sends no more data
  failed,        // the descriptor is no longer usable
  noDescriptor,  // accept() only: the system has no descriptor or memory for a connection now
  noMemory,      // the system is short of memory temporarily; nothing was transferred
};
// Status of a read or write, and the number of bytes transferred.
struct IoResult {
  IoStatus status;
  std::size_t size = 0;
};
// Reads at most `buffer.size()` bytes.
IoResult readInto(int descriptor, std::span<char> buffer);
// Writes the parts in order. May write less than all of them, even less than the first part.
IoResult writeFrom(int descriptor, std::span<const std::string_view> parts);
// Returns how many received bytes are in the kernel, not read yet; 0 if that is unknown.
std::size_t unreadBytes(int descriptor);
// Returns how many written bytes the peer's system has not acknowledged; 0 if that is unknown. An end of
// stream that was sent counts as one.
std::size_t undeliveredBytes(int descriptor);
// Shuts down the sending direction: the peer reads an end of stream after the data that was written, and can
// still send.
void shutDownWriting(int descriptor);
// Accepts one connection and stores it in `accepted` if the result is IoStatus::ok.
IoStatus accept(int descriptor, Descriptor& accepted);

// The request that a signal stands for: graceful shutdown (SIGTERM, SIGINT) or configuration reload (SIGHUP).
enum class Signal { terminate, reload };
// Blocks these signals: they stay pending until readSignal(), so that a signal that arrives during startup
// doesn't kill the process.
void blockSignals();
// Returns a descriptor that becomes readable when one of these signals arrives, even if the process was
// started with them ignored. Blocks the signals, and ignores SIGPIPE.
Descriptor openSignalDescriptor();
// Removes the next pending signal and returns it; nullopt if none is pending.
std::optional<Signal> readSignal(int descriptor);

}  // namespace gulltrestle::event_loop
