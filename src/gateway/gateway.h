// The reducer: owns all state of a router on sockets (clients, txns, submissions, node connections, the
// list), takes one event at a time, changes that state and asks for effects. It reads no socket and no clock.
// What concerns the decision module is gathered, and handed to it once a turn.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "gateway/connection_end.h"
#include "gateway/effects.h"
#include "pg/answer.h"
#include "pg/messages.h"
#include "pg/statement.h"
#include "routing/router.h"

namespace gulltrestle::gateway {

// What the settings and the limits leave for connections.
struct Bounds {
  Span idleLimit;              // nodes close connections that were idle for this long
  Span connectLimit;           // what is not up by then does not come up; a probe waits no longer either
  std::size_t mostLinks = 0;   // connections to nodes that may be open at one time
  std::size_t mostBytes = 0;   // of statements that are held
  std::size_t mostAsking = 0;  // connections that clients keep for txns; 0: any number
};

struct Addressed {
  ListEntry entry;
  std::string address;
};

class Gateway final : private Feed, private Writer {
 public:
  Gateway(Terms terms, std::vector<std::string> typeNames, std::uint64_t seed, Bounds bounds,
          Effects& effects);

  // Events. Each tells when it was seen.
  void clientOpened(Instant now, ClientId client);
  // Returns how much was taken; the rest is offered again, with more behind it, after readClient().
  std::size_t clientSent(Instant now, ClientId client, std::string_view bytes);
  void clientSendsNoMore(Instant now, ClientId client);
  void clientEnded(Instant now, ClientId client, ConnectionEnd how);
  void linkUp(Instant now, LinkId link);
  void linkWritten(Instant now, LinkId link);
  std::size_t linkSent(Instant now, LinkId link, std::string_view bytes);
  void linkEnded(Instant now, LinkId link, ConnectionEnd how);
  void listed(Instant now, ListKind kind, const std::vector<Addressed>& list);
  void listFailed(Instant now);
  // The configuration was read, at the start or anew. `kept`: keys that differ and wait for a restart.
  void configured(Instant now, const std::string& discovery, const std::vector<std::string>& kept);
  // It can't be used: all goes on as it was.
  void misconfigured(Instant now, std::string_view fault);
  void shutDown(Instant now);

  // The end of a turn: what has come due happens, and the decision module has its round if anything came in
  // or its wake is due. Returns when the next turn is needed at the latest; never: none is.
  Instant endTurn(Instant now);

  // All is answered after shutDown().
  bool finished() const { return stopped_ && clients_.empty(); }
  // Closes the clients that have been idle longest, some at most; false if none is idle.
  bool closeIdleClients(std::size_t most = 1) { return closeIdle(most, false); }
  void refuse(Instant now, ClientId client);  // there is no room for what it sends
  bool isWaiting(ClientId client) const;      // for an answer

 private:
  enum class Stage { opening, ready, refusing };
  struct Client {
    Stage stage = Stage::opening;
    TxnId txn = 0;              // that it waits for
    bool waitsForList = false;  // with an empty query
    bool sendsNoMore = false;
    bool asked = false;   // had a txn here
    bool toRead = false;  // what it has sent meanwhile is not looked at yet
    Instant idleSince;
    Instant due;  // when a message that has begun, or its greeting, must be whole; never: nothing is awaited
  };
  struct Submission {
    LinkId link = 0;  // 0: waits for a connection
    NodeId node;
    Instant sentAt, sendBy, cutAt;
    bool over = false;
  };
  struct Live {           // a txn that is owed its answer, or has submissions out
    ClientId client = 0;  // 0: it has its final answer
    std::string statement;
    std::size_t waitAt = 0, waitSize = 0;  // where the digits of `d` stand
    std::string_view id;                   // within the statement
    std::vector<Submission> submissions;
  };
  // Clearing: its answer has come; whether more than that comes is not known yet.
  enum class LinkStage { connecting, starting, idle, busy, clearing };
  struct Job {      // what a link carries
    TxnId txn = 0;  // 0: a probe
    unsigned submission = 0;
  };
  struct Link {
    NodeId node;
    LinkStage stage = LinkStage::connecting;
    Job job;
    bool written = false;
    bool answering = false;  // a part of the answer is there
    Instant due;             // when its connecting, its job or its idling ends
  };
  struct Node {
    std::string address;
    Health health = Health::live;
    std::vector<LinkId> idle;  // the last used is taken first
    std::deque<Job> waiting;   // for a connection
    std::size_t opening = 0;   // connections that are not up yet
    std::size_t clearing = 0;  // and that have just answered
    bool reached = true;       // the last connection that was opened came up
    Instant spoiltAt;          // when it was last logged that it sent what can't be read
    std::size_t spoilt = 0;    // and how often it did so since
  };
  // Feed and Writer.
  void deliver(Router& router) override;
  void submit(TxnId txn, const NodeId& node, Instant sendBy, Instant cutAt) override;
  void callOff(TxnId txn, unsigned submission) override;
  void decline(TxnId txn, Span comeBackAfter) override;
  void rollBack(TxnId txn) override;
  void probe(const NodeId& node) override;
  void wakeAfter(Span after) override;
  void followList() override;
  void forget(const NodeId& node) override;

  using Arrival = std::function<void(Router&)>;
  void arrived(Arrival call) { arrivals_.push_back(std::move(call)); }

  bool takeOpening(ClientId id, Client& client, std::string_view& bytes);
  bool takeMessage(ClientId id, Client& client, std::string_view& bytes);
  void takeStatement(ClientId id, Client& client, std::string_view text);
  void answerEmpty(ClientId id, Client& client);
  void answerError(ClientId id, std::string_view code, std::string_view text, std::string_view detail = {});
  void fatal(ClientId id, std::string_view code, std::string_view text);
  void finishTxn(TxnId txn, Parts answer);
  void nextOf(ClientId id);
  bool closing(ClientId id);
  void dropClient(ClientId id);
  bool closeIdle(std::size_t most, bool onlyAsked);
  void makeRoomToAsk();
  void awaitMessage(ClientId id, Client& client, Instant due);
  bool isFresh(const Client& client, Span limit) const;

  void dispatch(const NodeId& id, Node& node, Job job);
  void openFor(const NodeId& id, Node& node);
  void write(LinkId id, Link& link, Job job);
  void release(LinkId id, Link& link);
  void clear(LinkId id, Link& link, bool more);
  void logSpoilt(const NodeId& id, std::string_view what);
  void endLink(LinkId id, ConnectionEnd how);
  void endJob(Job job, const NodeId& node, End how, const Standing& answer, const Standing& report);
  void takeAnswer(LinkId id, Link& link, const pg::Answer& answer, bool more);
  void setDue(LinkId id, Link& link, Instant due);
  Submission* submissionOf(Job job);
  Live* owed(TxnId txn);
  void forget(TxnId txn);
  bool leaving(const Node& node) const;
  void endWaiting(const NodeId& id, Node& node, ConnectionEnd how);

  Router router_;
  std::map<std::string, std::size_t, std::less<>> types_;
  std::vector<ReadLevel> levels_;
  Bounds bounds_;
  bool goneBinds_;
  Effects& effects_;

  Instant now_, wakeAt_, stopAt_;
  std::string discovery_;                                        // its address
  bool listKnown_ = false, stopping_ = false, stopped_ = false;  // stopped: takes nothing new
  std::map<ClientId, Client> clients_;
  std::map<TxnId, Live> live_;
  std::map<LinkId, Link> links_;
  std::map<NodeId, Node> nodes_;
  std::set<std::pair<Instant, LinkId>> due_;
  std::set<std::pair<Instant, ClientId>> clientsDue_;
  std::unordered_set<std::string_view> openIds_;  // of the txns in live_
  std::vector<Arrival> arrivals_;
  std::size_t asking_ = 0;     // clients that had a txn
  std::size_t heldBytes_ = 0;  // of the statements in live_
  TxnId lastTxn_ = 0;
  LinkId lastLink_ = 0;
};

}  // namespace gulltrestle::gateway
