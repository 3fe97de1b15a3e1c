// The server's connection to discovery: requests the whole endpoint list, then watches its changes; when that
// ends or fails, it starts anew after a pause.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/router_config.h"
#include "discovery/poll_schedule.h"
#include "gateway/gateway.h"
#include "protocol/json/json.h"
#include "runtime/event_loop/event_loop.h"
#include "runtime/server/connection.h"

namespace gulltrestle::server {

// The entries of a list, as the gateway takes them.
std::vector<gateway::ResolvedEndpoint> resolvedEndpoints(config::EndpointList list);

// One per server.
class DiscoveryClient {
 public:
  // The references must outlive this.
  DiscoveryClient(event_loop::EventLoop& loop, gateway::Gateway& gateway, SharedBuffers& buffers,
                  const config::RouterConfig& config);

  // Follows the list from now on. `listVersion`: of the list that is known already. Call it after moveTo().
  void start(std::uint64_t listVersion);
  // Discovery is at this address (address:port) from now on; its whole list is requested at once.
  void moveTo(const std::string& address);

 private:
  struct Call;
  struct CallResult {
    std::string failure = "is silent";  // in words, until the call succeeds; empty: none
    bool isContentInvalid = false;      // what it sent can't be used: the whole list is needed
  };

  event_loop::Task followEndpointList();
  bool hasTimedOut(Call& call, Duration maxSilence) const;
  void exchange(Call& call, Duration maxSilence);
  std::size_t receive(Call& call, std::string_view bytes);
  void receiveBody(Call& call, std::string_view body);
  void finish(Call& call);
  void applyList(json::Value document, bool isWatchEvent);
  void reportFailure(const config::Address& address, const std::string& failure);

  event_loop::EventLoop& loop_;
  gateway::Gateway& gateway_;
  SharedBuffers& buffers_;
  const config::RouterConfig& config_;
  discovery::PollSchedule schedule_;
  config::Address address_;
  event_loop::Stream* stream_ = nullptr;  // to discovery, while there is one
  std::uint64_t listVersion_ = 0;
  bool isWatching_ = false;  // the next call, or this one, watches changes; else it requests the whole list
  std::string lastFailure_;  // a call that fails as the one before did is not logged again
};

}  // namespace gulltrestle::server
