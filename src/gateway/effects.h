// What the reducer asks for. The server carries it out on sockets; a test prints it.
#pragma once

#include <string>

#include "carriers/pg/links.h"
#include "fronts/pg/clients.h"

namespace gulltrestle::gateway {

using carriers::pg::LinkId;
using core::ConnectionEnd;
using core::Parts;
using fronts::pg::ClientId;

class Effects : public fronts::pg::Effects, public carriers::pg::Effects {
 public:
  virtual void stopListening() = 0;
  virtual void askForList() = 0;
  // Discovery is there from now on: its whole list is wanted at once.
  virtual void followDiscovery(const std::string& address) = 0;
};

}  // namespace gulltrestle::gateway
