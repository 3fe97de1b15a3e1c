// What the reducer asks for. The server carries it out on sockets; a test prints it.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "gateway/connection_end.h"

namespace gulltrestle::gateway {

using ClientId = std::uint64_t;
using LinkId = std::uint64_t;  // a connection to a node
using Parts = std::initializer_list<std::string_view>;

class Effects {
 public:
  virtual ~Effects() = default;
  // Opens a connection to a node; linkUp() or linkEnded() tells what became of it.
  virtual void connect(LinkId link, const std::string& address) = 0;
  // The parts are valid during the call only. True: the last byte is written; else linkWritten() tells of it.
  virtual bool writeNode(LinkId link, Parts parts) = 0;
  virtual void closeNode(LinkId link) = 0;
  virtual void writeClient(ClientId client, Parts parts) = 0;
  // Hands over what the client has sent meanwhile, and all that follows.
  virtual void readClient(ClientId client) = 0;
  // Closes once all is written.
  virtual void closeClient(ClientId client) = 0;
  virtual void stopListening() = 0;
  virtual void askForList() = 0;
  // Discovery is there from now on: its whole list is wanted at once.
  virtual void followDiscovery(const std::string& address) = 0;
  virtual void log(std::string line) = 0;
};

}  // namespace gulltrestle::gateway
