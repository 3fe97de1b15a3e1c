// The external processor on sockets: listens for proxies, carries their gRPC streams to the front and its
// answers back.
#pragma once

#include <map>
#include <string>

#include "carriers/http/probes.h"
#include "fronts/ext_proc/streams.h"
#include "gateway/gateway.h"
#include "listener/listener.h"
#include "loop/loop.h"
#include "processor/setup.h"

namespace gulltrestle::processor {

// Descriptors that probes over HTTP may take.
constexpr std::size_t kMostProbes = 32;

class Processor final : public gateway::Part,
                        private listener::Receiver,
                        private fronts::ext_proc::Effects,
                        private carriers::http::Effects {
 public:
  // Throws where the address to listen on can't be had. `start`: no other start of the program has the same.
  Processor(loop::Loop& loop, core::Ledger& ledger, const terms::Told& told, const Setup& setup,
            const std::string& start);
  ~Processor() override;

  void listHeard() override { streams_.listHeard(); }
  void endTurn() override;
  void flush() override { listener_.flush(); }
  Instant nextDue() const override;
  void stop() override;
  bool empty() const override { return streams_.empty() && listener_.empty(); }

 private:
  void seen(Instant now) override { ledger_.see(now); }
  void opened(listener::CallKey call) override { streams_.opened(call); }
  void message(listener::CallKey call, std::string_view bytes) override { streams_.message(call, bytes); }
  void halfClosed(listener::CallKey call) override { streams_.halfClosed(call); }
  void ended(listener::CallKey call) override { streams_.ended(call); }

  void send(fronts::ext_proc::StreamKey stream, std::string_view message) override;
  void close(fronts::ext_proc::StreamKey stream, fronts::ext_proc::Close how, std::string_view why) override;
  void log(std::string_view event, const std::string& fields) override;

  void askNode(carriers::http::ProbeId probe, const std::string& address) override;
  void drop(carriers::http::ProbeId probe) override;

  loop::Task probe(carriers::http::ProbeId id, std::string address);

  loop::Loop& loop_;
  core::Ledger& ledger_;
  Setup setup_;
  listener::Listener listener_;
  fronts::ext_proc::Streams streams_;
  carriers::http::Probes probes_;
  std::map<carriers::http::ProbeId, loop::Stream*> asking_;  // probes that are out, and their connections
  Instant saidAt_;
  fronts::ext_proc::Streams::Counts said_;
};

}  // namespace gulltrestle::processor
