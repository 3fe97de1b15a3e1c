// A gateway on a clock of its own, between clients and nodes that a test plays. Each effect is printed with
// its time, in milliseconds from the start.
#pragma once

#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway.h"
#include "protocol/postgres/answer.h"
#include "trace.h"

namespace gulltrestle::gateway_test {

using namespace gulltrestle::gateway;
using trace::ms;

// Messages of clients. Each statement's time limit is 1000 ms.
std::string queryMessage(std::string_view text);
std::string readQuery(const std::string& id, const std::string& transactionClass = "any",
                      const std::string& moreFields = "");
std::string writeQuery(const std::string& id);

// Messages of nodes.
std::string parameterStatus(std::string_view name, std::string_view value);
// The body of a row with one column.
std::string dataColumn(std::string_view value);
// A whole answer of one row; `report`: parameter statuses that stand before its end.
std::string rowAnswer(std::string_view value, std::string_view report = {});
std::string emptyQueryAnswer();

// Where there is no other limit to be tested.
constexpr Bounds kUsualBounds{.idleLimit = Duration::millis(10000),
                              .connectLimit = Duration::millis(250),
                              .maxNodeConnections = 8,
                              .maxBufferedBytes = 100000};

struct GatewaySetup {
  Bounds bounds = kUsualBounds;
  bool knowsEndpoints = true;  // that there are a primary p and a replica a
  bool onlyDrainingExcludes = false;
};

// Node p is the primary, all others are replicas; B is node b at another address. Connections to nodes are
// counted from 1 on.
class GatewayBench final : private Effects {
 public:
  explicit GatewayBench(GatewaySetup setup = {});

  void say(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool writesCompletely = true;  // else the last byte stays unwritten until finishWrite()
  bool printsHealthChecks = false, printsReads = false;
  bool answersEmptyQueries = true;  // which ask whether more than an answer comes; they are not printed then
  void printTrace();

  // --- Events of clients

  void acceptClient(ClientId client, const std::string& bytes);
  // Accepts a client that sends its startup message, and `bytes` behind it.
  void openClient(ClientId client, const std::string& bytes = "");
  void sendFromClient(ClientId client, const std::string& bytes);
  void halfCloseClient(ClientId client);
  void closeClientSide(ClientId client);

  // --- Events of connections to nodes

  // The connection is established, and the node greets.
  void connectNode(NodeConnectionId connection);
  void rejectSession(NodeConnectionId connection);
  void answer(NodeConnectionId connection, const std::string& bytes);
  void finishWrite(NodeConnectionId connection);
  void closeConnection(NodeConnectionId connection, ConnectionCloseReason reason);

  // --- Events of the process

  void updateEndpoints(EndpointUpdateKind kind, const std::vector<std::string>& nodes,
                       Health health = Health::live);
  void shutDown();
  void loadConfig(const std::string& discovery, const std::vector<std::string>& keysNeedingRestart = {});
  void rejectConfig(const std::string& fault);
  // Advances the clock, with each turn that was requested on the way.
  void advance(std::int64_t millis);

  std::int64_t unixMillis() const { return now_.inMicros() / 1000; }
  bool finished() const { return gateway_.finished(); }
  bool closeIdleClients(std::size_t max = 1) { return gateway_.closeIdleClients(max); }
  // The connection that was opened last, of all or to a node.
  NodeConnectionId lastConnection() const { return lastConnection_; }
  NodeConnectionId connectionTo(const std::string& node);

 private:
  void offerClientBytes(ClientId client);
  void turn() { next_ = gateway_.endTurn(now_); }
  // Ends the turn, and plays what it brings about at once.
  void settle();
  std::ostream& line();

  // Effects.
  void connect(NodeConnectionId connection, const std::string& address) override;
  bool writeNode(NodeConnectionId connection, ByteSlices slices) override;
  void closeNode(NodeConnectionId connection) override;
  void writeClient(ClientId client, ByteSlices slices) override;
  void readClient(ClientId client) override;
  void closeClient(ClientId client) override;
  void stopListening() override;
  void requestEndpointList() override;
  void followDiscovery(const std::string& address) override;
  void log(std::string text) override;

  static constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);
  Instant now_ = kStart, next_;
  NodeConnectionId lastConnection_ = 0;
  std::map<std::string, NodeConnectionId> lastConnectionTo_;  // by address
  std::map<ClientId, std::string> unconsumed_;                // of what each client has sent
  std::vector<ClientId> clientsToRead_;
  std::vector<NodeConnectionId> emptyQueries_;  // connections on which one was written
  Gateway gateway_;
};

}  // namespace gulltrestle::gateway_test
