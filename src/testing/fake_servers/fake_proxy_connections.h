// The connections of the fake proxy to its processor and to nodes. Included only by fake_proxy.cpp.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/grpc/server_calls.h"
#include "runtime/event_loop/sockets.h"
#include "testing/fake_servers/fake_proxy.h"

namespace gulltrestle::fake_servers {

// A stream to the processor; serves one attempt.
struct FakeProxy::ProcessorStream {
  std::string received;  // bytes that are not consumed yet
  std::deque<ext_proc::Response> responses;
  bool hasEnded = false;
};

// An HTTP/2 connection to the processor, with its open streams.
struct FakeProxy::ProcessorConnection final : http2::Handler {
  ProcessorConnection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)), session(http2::Session::Perspective::client, {}, *this) {}

  void headers(http2::StreamId id, http2::Headers) override { (void)id; }
  void data(http2::StreamId id, std::string_view bytes) override {
    constexpr std::size_t kMaxMessageBytes = 1 << 20;
    const auto found = streams.find(id);
    if (found == streams.end()) return;
    ProcessorStream& processorStream = *found->second;
    processorStream.received += bytes;
    std::string_view remaining = processorStream.received, message;
    while (grpc::takeMessage(remaining, kMaxMessageBytes, message) == grpc::FrameStatus::complete)
      processorStream.responses.push_back(ext_proc::readResponse(message));
    processorStream.received.erase(0, processorStream.received.size() - remaining.size());
  }
  void halfClosed(http2::StreamId) override {}
  void closed(http2::StreamId id, http2::ErrorCode) override {
    const auto found = streams.find(id);
    if (found == streams.end()) return;
    found->second->hasEnded = true;
    streams.erase(found);
  }

  // Opens a stream. If none can be opened, the returned stream has ended already and `id` is 0.
  std::shared_ptr<ProcessorStream> open(http2::StreamId& id) {
    id = session.request({{":method", "POST"},
                          {":scheme", "http"},
                          {":path", std::string(ext_proc::kMethod)},
                          {":authority", "processor"},
                          {"content-type", "application/grpc"},
                          {"te", "trailers"}});
    auto processorStream = std::make_shared<ProcessorStream>();
    if (id == 0) {
      processorStream->hasEnded = true;
    } else {
      streams[id] = processorStream;
    }
    return processorStream;
  }
  void send(http2::StreamId id, const ext_proc::Request& request) {
    session.send(id, grpc::framed(ext_proc::encodeRequest(request)));
    flush();
  }
  void flush() {
    if (!isConnected || hasEnded) return;
    unsent += session.output();
    while (!unsent.empty()) {
      const std::string_view bytes = unsent;
      const auto done = stream.write({&bytes, 1});
      if (done.status == event_loop::IoStatus::failed) hasEnded = true;
      if (done.status != event_loop::IoStatus::ok) break;
      unsent.erase(0, done.size);
    }
  }

  event_loop::Stream stream;
  http2::Session session;
  std::map<http2::StreamId, std::shared_ptr<ProcessorStream>> streams;
  std::string unsent;
  bool isConnected = false, hasEnded = false;
};

// An HTTP/1.1 connection to a node, used for one request at a time.
struct FakeProxy::NodeConnection {
  NodeConnection(event_loop::EventLoop& loop, event_loop::Descriptor descriptor)
      : stream(loop, std::move(descriptor)) {}
  event_loop::Stream stream;
};

}  // namespace gulltrestle::fake_servers
