// Test harness for the gateway: runs it on a simulated clock, without sockets. The test supplies the events
// of clients, nodes and the process. Each effect is printed with its time, in milliseconds from the start.
// Client 1 is printed as c1, the connection to a node with the id 1 as l1.
#pragma once

#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway.h"
#include "protocol/postgres/answer.h"
#include "trace.h"

namespace gulltrestle::gateway_test {

using namespace gulltrestle::gateway;
using trace::ms;

// Messages of clients. `timeoutMillis`: the time that the client waits.
std::string queryMessage(std::string_view text);
std::string readQuery(const std::string& id, const std::string& transactionClass = "any",
                      const std::string& moreFields = "", int timeoutMillis = 1000);
std::string writeQuery(const std::string& id, int timeoutMillis = 1000);

// Messages of nodes.
std::string parameterStatus(std::string_view name, std::string_view value);
// The body of a DataRow message with one column.
std::string dataColumn(std::string_view value);
// A complete answer with one row. `parameterStatuses` are inserted before its ReadyForQuery message.
std::string rowAnswer(std::string_view value, std::string_view parameterStatuses = {});
// A complete answer to an empty query.
std::string emptyQueryAnswer();
// A complete answer to a health check, by a node that has applied all commits up to the position.
std::string healthReport(std::int64_t positionMillis, bool isPrimary);

// Limits for cases that do not test a limit.
constexpr GatewayLimits kDefaultLimits{.idleTimeout = Duration::millis(10000),
                                       .connectTimeout = Duration::millis(250),
                                       .maxNodeConnections = 8,
                                       .maxBufferedBytes = 100000};

// What a gateway under test starts with.
struct GatewaySetup {
  GatewayLimits bounds = kDefaultLimits;
  bool hasEndpointList = true;  // starts with a restored list of the primary p and the replica a
  bool onlyDrainingExcludes = false;
  bool healthChecksAllowed = true;
  Duration deadline = Duration::millis(2000);  // of each transaction class
};

// Runs one gateway. Node p is the primary, all others are replicas. "B" is node b at another address. The ids
// of connections to nodes are assigned in order, starting at 1.
class GatewayBench final : private Effects {
 public:
  explicit GatewayBench(GatewaySetup setup = {});

  // Prints a line that explains the step that follows.
  void describe(const std::string& text) { std::cout << "-- " << text << "\n"; }
  bool writesCompletely = true;  // if false, the last byte remains unwritten until finishWrite()
  bool printsHealthChecks = false, printsReads = false;
  std::set<ClientId> clientsWithUnreadBytes;  // bytes of these clients are in their sockets
  // Whether nodes answer the empty queries by which the gateway detects bytes after an answer. If they do,
  // empty queries are not printed.
  bool answersEmptyQueries = true;
  // Enables the trace of transactions and prints its lines.
  void printTrace();

  // --- Events of clients

  // Accepts a client that sends `bytes`, without a startup message before them.
  void acceptClient(ClientId client, const std::string& bytes);
  // Accepts a client that sends its startup message, followed by `bytes`.
  void openClient(ClientId client, const std::string& bytes = "");
  void sendFromClient(ClientId client, const std::string& bytes);
  void halfCloseClient(ClientId client);
  // The client closes its connection, without having terminated the session.
  void disconnectClient(ClientId client);

  // --- Events of connections to nodes

  // The connection is established, and the node accepts the session.
  void connectNode(NodeConnectionId connection);
  // The connection is established, and the node rejects the session.
  void rejectSession(NodeConnectionId connection);
  // The node sends `bytes`. Prints how many of them the gateway leaves unconsumed, if any.
  void answer(NodeConnectionId connection, const std::string& bytes);
  void finishWrite(NodeConnectionId connection);
  void closeConnection(NodeConnectionId connection, ConnectionCloseReason reason);

  // --- Events of the process

  void updateEndpoints(EndpointUpdateKind kind, const std::vector<std::string>& nodes,
                       Health health = Health::live);
  // An endpoint update that names this node as primary in place of p.
  void updatePrimary(const std::string& node);
  // `stalledMillis`: the time for which the process was stopped before it noticed the request.
  void shutDown(std::int64_t stalledMillis = 0);
  void loadConfig(const std::string& discovery, const std::vector<std::string>& keysNeedingRestart = {});
  void rejectConfig(const std::string& fault);
  // Delivers the events of these calls in one turn.
  void inOneTurn(const std::function<void()>& calls);
  // Advances the clock, and runs each turn that becomes due.
  void advance(std::int64_t millis);

  std::int64_t unixMillis() const { return now_.inMicros() / 1000; }
  // Whether the gateway has shut down.
  bool isFinished() const { return gateway_.isFinished(); }
  // Returns false if no client is idle.
  bool closeIdleClients(std::size_t max = 1) { return gateway_.closeIdleClients(max); }
  // The connection that was opened last.
  NodeConnectionId lastConnection() const { return lastConnection_; }
  // The connection to this node that was opened last.
  NodeConnectionId connectionTo(const std::string& node);

 private:
  // Passes all unconsumed bytes of the client to the gateway.
  void offerClientBytes(ClientId client);
  void turn() { next_ = gateway_.endTurn(now_); }
  // Ends the turn, and delivers the events that result from it at the same time.
  void runUntilIdle();
  // Starts a line of output with the time.
  std::ostream& beginLine();

  // Effects.
  void connect(NodeConnectionId connection, const std::string& address) override;
  bool writeNode(NodeConnectionId connection, ByteSlices slices) override;
  void closeNode(NodeConnectionId connection) override;
  void writeClient(ClientId client, ByteSlices slices) override;
  void readClient(ClientId client) override;
  void closeClient(ClientId client) override;
  bool hasUnreadBytes(ClientId client) override { return clientsWithUnreadBytes.contains(client); }
  void stopListening() override;
  void requestEndpointList() override;
  void setDiscoveryAddress(const std::string& address) override;
  void log(std::string text) override;

  static constexpr Instant kStart = Instant::atMicros(1'700'000'000'000'000);
  Instant now_ = kStart, next_;
  bool collectsEvents_ = false;  // until the calls of inOneTurn() have been made
  NodeConnectionId lastConnection_ = 0;
  std::map<std::string, NodeConnectionId> lastConnectionTo_;  // by address
  std::map<ClientId, std::string> unconsumed_;                // bytes sent by each client
  std::vector<ClientId> clientsToRead_;
  std::vector<NodeConnectionId> emptyQueries_;  // connections with an unanswered empty query
  Gateway gateway_;
};

}  // namespace gulltrestle::gateway_test
