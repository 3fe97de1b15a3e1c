// A connection of the server: its stream, the received bytes that are not consumed yet, and the unsent bytes.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "gateway/effects.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/event_loop/sockets.h"
#include "runtime/event_loop/stream.h"

namespace gulltrestle::server {

// The memory limit and the read buffer that all connections of a server share. Sizes are in bytes.
struct SharedBuffers {
  std::size_t maxBytes = 0;                  // that all connections together may buffer
  std::size_t usedBytes = 0;                 // that all connections together buffer now
  std::array<char, 64 * 1024> readBuffer{};  // used for one read at a time

  bool areFull() const { return usedBytes >= maxBytes; }
};

// A buffered connection. Owned by the coroutine that serves it.
class Connection {
 public:
  Connection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor, SharedBuffers& shared)
      : stream(loop, std::move(descriptor)), shared_(shared) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Sends as much as possible immediately, and buffers the rest for flush().
  void send(gateway::ByteSlices slices);
  // Sends as much of the buffered data as possible.
  void flush();
  // Reads once. `consume` gets all received bytes not consumed yet, and returns how many it consumed.
  template <typename Consume>
  void read(Consume consume);
  // Passes the received bytes that are not consumed yet to `consume` again.
  template <typename Consume>
  void redeliverReceived(Consume consume);

  bool hasUnsent() const { return !unsent_.empty(); }
  std::size_t receivedBytes() const { return received_.size(); }
  // Subtracts the buffered bytes from the shared total. The connection must not be used afterwards.
  void releaseBuffers() { shared_.usedBytes -= accountedBytes_; }

  event_loop::Stream stream;
  bool isAborted = false;  // the connection is closed immediately; nothing more is sent
  bool hasEnded = false;   // the peer has shut down its sending direction
  bool isBroken = false;   // a read or write has failed

 private:
  // Updates the shared total with the bytes that this connection buffers.
  void updateSharedUsage();

  SharedBuffers& shared_;
  std::string received_;  // received and not consumed yet
  std::string unsent_;
  std::size_t accountedBytes_ = 0;  // sizes of received_ and unsent_ that are included in the shared total
};

// Registers a connection in a table for as long as its coroutine runs, and releases its buffers at the end.
template <typename Id, typename ConnectionType>
class ConnectionRegistration {
 public:
  using Table = std::map<Id, ConnectionType*>;
  ConnectionRegistration(Table& table, Id id, ConnectionType& connection)
      : table_(table), id_(id), connection_(connection) {
    table_[id_] = &connection;
  }
  ConnectionRegistration(const ConnectionRegistration&) = delete;
  ConnectionRegistration& operator=(const ConnectionRegistration&) = delete;
  ~ConnectionRegistration() {
    table_.erase(id_);
    connection_.releaseBuffers();
  }

 private:
  Table& table_;
  Id id_;
  ConnectionType& connection_;
};

template <typename Consume>
void Connection::read(Consume consume) {
  const auto result = stream.read(shared_.readBuffer);
  if (result.status == event_loop::IoStatus::endOfStream) hasEnded = true;
  if (result.status == event_loop::IoStatus::failed) isBroken = true;
  if (result.status != event_loop::IoStatus::ok) return;
  std::string_view bytes(shared_.readBuffer.data(), result.size);
  if (!received_.empty()) bytes = received_.append(bytes);
  const std::size_t consumed = consume(bytes);
  if (received_.empty())
    received_ = bytes.substr(consumed);
  else
    received_.erase(0, consumed);
  if (received_.empty()) received_.shrink_to_fit();
  updateSharedUsage();
}

template <typename Consume>
void Connection::redeliverReceived(Consume consume) {
  received_.erase(0, consume(std::string_view(received_)));
  updateSharedUsage();
}

}  // namespace gulltrestle::server
