// A connection of the server: its stream, and the bytes that are received and not consumed, or not sent yet.
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

// What the connections of a server share.
struct SharedBuffers {
  std::size_t maxBytes = 0;                  // that all connections may buffer
  std::size_t usedBytes = 0;                 // that they do
  std::array<char, 64 * 1024> readBuffer{};  // for one read at a time, of any connection

  bool areFull() const { return usedBytes >= maxBytes; }
};

// Owned by the coroutine that serves it.
class Connection {
 public:
  Connection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor, SharedBuffers& shared)
      : stream(loop, std::move(descriptor)), shared_(shared) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Sends what can be sent at once, and buffers the rest for flush().
  void send(gateway::ByteSlices slices);
  // Sends what is buffered, as far as possible.
  void flush();
  // Reads once. `consume` gets all received bytes that it has not consumed yet, and returns how many it did.
  template <typename Consume>
  void read(Consume consume);
  // Offers again what was received and not consumed.
  template <typename Consume>
  void offerReceived(Consume consume);

  bool hasUnsent() const { return !unsent_.empty(); }
  std::size_t receivedBytes() const { return received_.size(); }
  // Takes what is buffered out of the shared sum; the connection must not be used any more.
  void releaseBuffers() { shared_.usedBytes -= accountedBytes_; }

  event_loop::Stream stream;
  bool isAborted = false;  // to be closed at once; nothing is sent any more
  bool hasEnded = false;   // the other side sends no more
  bool isBroken = false;   // a read or write has failed

 private:
  void account();

  SharedBuffers& shared_;
  std::string received_;  // and not consumed
  std::string unsent_;
  std::size_t accountedBytes_ = 0;  // of received_ and unsent_, in the shared sum
};

// A connection's entry in a table, for as long as its coroutine runs.
template <typename Id, typename ConnectionType>
class ConnectionEntry {
 public:
  using Table = std::map<Id, ConnectionType*>;
  ConnectionEntry(Table& table, Id id, ConnectionType& connection)
      : table_(table), id_(id), connection_(connection) {
    table_[id_] = &connection;
  }
  ConnectionEntry(const ConnectionEntry&) = delete;
  ConnectionEntry& operator=(const ConnectionEntry&) = delete;
  ~ConnectionEntry() {
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
  if (result.status == event_loop::Io::ended) hasEnded = true;
  if (result.status == event_loop::Io::failed) isBroken = true;
  if (result.status != event_loop::Io::some) return;
  std::string_view bytes(shared_.readBuffer.data(), result.size);
  if (!received_.empty()) bytes = received_.append(bytes);
  const std::size_t consumed = consume(bytes);
  if (received_.empty())
    received_ = bytes.substr(consumed);
  else
    received_.erase(0, consumed);
  if (received_.empty()) received_.shrink_to_fit();
  account();
}

template <typename Consume>
void Connection::offerReceived(Consume consume) {
  received_.erase(0, consume(std::string_view(received_)));
  account();
}

}  // namespace gulltrestle::server
