// The server's connection to discovery: requests the whole endpoint list, then watches its changes. When a
// request or watch ends or fails, it tries again after a pause.
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

// Converts the entries of an endpoint list to the gateway's type.
std::vector<gateway::ResolvedEndpoint> resolvedEndpoints(config::EndpointList list);

// Follows the endpoint list of a discovery service. One per server.
class DiscoveryClient {
 public:
  // The references must outlive this object.
  DiscoveryClient(event_loop::EventLoop& loop, gateway::Gateway& gateway, SharedBuffers& buffers,
                  const config::RouterConfig& config);

  // Follows the list from now on. `listVersion`: the version of the list that is already known. To be called
  // after setAddress().
  void start(std::uint64_t listVersion);
  // Changes the address of discovery (as address:port). The whole list is requested from it immediately.
  void setAddress(const std::string& address);

 private:
  struct Call;
  struct CallResult {
    std::string failure = "no data was received in time";  // for the log; empty if the call succeeded
    bool isContentInvalid = false;  // the response can't be used: the whole list is requested next
  };

  event_loop::Task subscribeToEndpointList();
  bool hasTimedOut(Call& call, Duration idleTimeout) const;
  void sendAndReceive(Call& call, Duration idleTimeout);
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
  event_loop::Stream* stream_ = nullptr;  // of the current call; null if there is none
  std::uint64_t listVersion_ = 0;
  bool isWatching_ = false;  // whether the current or next call is a watch, not a request for the whole list
  std::string lastFailure_;  // the same failure is logged only once in a row
};

}  // namespace gulltrestle::server
