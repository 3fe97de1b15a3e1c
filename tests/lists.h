// A fake discovery service whose answers a test prepares one by one, and which counts the list calls.
#pragma once

#include <deque>
#include <sstream>

#include "program.h"

namespace gulltrestle::testing {

// A fake discovery service that serves endpoint lists and a stream of endpoint updates (the watch).
class FakeDiscovery {
 public:
  using Answer = std::function<void(Peer&)>;

  // Signals the events `list` and `watch` when each is requested. Without a prepared answer, a list call gets
  // `fullList`, and a watch stays open and carries what sendUpdate() sends.
  explicit FakeDiscovery(std::string fullList)
      : fullList_(std::move(fullList)), server_([this](Peer& peer) { serve(peer); }) {}

  Events events;
  unsigned short port() const { return server_.port(); }
  void setFullList(const std::string& list) {
    const std::lock_guard lock(mutex_);
    fullList_ = list;
  }
  // Prepares the answer to the next list call or watch that has none yet.
  void nextList(Answer answer) { enqueue(lists_, std::move(answer)); }
  void nextWatch(Answer answer) { enqueue(watches_, std::move(answer)); }
  // Sends bytes on the watch that was opened last, in HTTP chunks of at most `chunkSize` bytes.
  void sendUpdate(const std::string& bytes, std::size_t chunkSize = 1 << 20) {
    const std::lock_guard lock(mutex_);
    for (std::size_t at = 0; at < bytes.size(); at += chunkSize) {
      const auto part = bytes.substr(at, chunkSize);
      std::ostringstream chunk;
      chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
      watch_->send(chunk.str());
    }
    watch_->waitUntilDelivered();
  }
  void resetWatch() {
    const std::lock_guard lock(mutex_);
    watch_->reset();
  }
  // How many list calls were received.
  int listCalls() {
    const std::lock_guard lock(mutex_);
    return listCalls_;
  }

 private:
  void enqueue(std::deque<Answer>& queue, Answer answer) {
    const std::lock_guard lock(mutex_);
    queue.push_back(std::move(answer));
  }
  void serve(Peer& peer) {
    const bool isWatch = pathOf(peer).find("stream") != std::string::npos;
    Answer answer;
    std::string fullList;
    {
      const std::lock_guard lock(mutex_);
      auto& prepared = isWatch ? watches_ : lists_;
      listCalls_ += !isWatch;
      fullList = fullList_;
      if (!prepared.empty()) answer = std::move(prepared.front()), prepared.pop_front();
      if (isWatch && !answer) {
        watch_ = &peer;
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
      }
    }
    if (!answer && !isWatch) peer.send(http(fullList));
    events.signal(isWatch ? "watch" : "list");
    if (answer) return answer(peer);
    while (peer.readMore()) {}
  }

  std::mutex mutex_;
  std::string fullList_;
  std::deque<Answer> lists_, watches_;
  Peer* watch_ = nullptr;
  int listCalls_ = 0;
  FakeServer server_;  // last: its threads use the other members
};

}  // namespace gulltrestle::testing
