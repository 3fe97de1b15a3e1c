// Kind the keeper that carries the plan on knows of the fleet, as its own reducer gathers it. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace gulltrestle::maintenance {

// A node that said nothing for so long does not serve; where there is work in its group it is asked that
// often.
constexpr Duration kServingTimeout = Duration::millis(5000), kReportInterval = Duration::millis(1000);

struct NodeState {
  std::uint64_t group = 0;
  std::string zone;
  bool live = false;     // the list says so
  bool serves = false;   // and it answered within kHeard
  bool primary = false;  // by its own word, or by the list while it says nothing
  Duration behind;       // of the newest position that its group is known to have reached
};
struct RouterState {
  bool isAlive = false;     // more than half of the keepers hear it
  bool isSilent = false;    // more than half do not: it has no lease
  bool wasRemoved = false;  // an operator took it off the list: its process has ended
  bool isVoter = false;
  std::uint64_t start = 0;  // by which it speaks
  // By its own word: the version of the plan that it keeps to; and that by which nothing of it is out at
  // nodes that leave.
  std::uint64_t planVersion = 0, drainedVersion = 0;
};
struct FleetState {
  std::map<std::string, NodeState> nodes;
  std::map<std::string, RouterState> routers;  // all that belong, and those that left
  bool isStrained = false;                     // service is reduced, or has not returned yet
};

// From when a router lost its lease until nothing of it can be out: the longest deadline of a txn type, and
// how old what is heard of it may be. Reports come each second, and a stream that answers no beat ends after
// three.
constexpr Duration fenceOf(Duration longestDeadline) { return longestDeadline + Duration::millis(5'000); }

struct Bounds {
  unsigned outOfGroup = 1;  // nodes of a group that may be away at a time, whatever the reason
  unsigned atOnce = 2;      // machines in work at a time, all in one zone
  unsigned routersOut = 1;  // routers that may be away at a time, whatever the reason
  Duration announce = Duration::millis(60'000);   // next: for each router to know; then another try
  Duration leave = Duration::millis(120'000);     // leaves: until no router can send there
  Duration comeBack = Duration::millis(300'000);  // returns: until what stands on it serves
  Duration warm = Duration::millis(10'000);    // that a node that came back serves before the next one goes
  Duration caughtUp = Duration::millis(1000);  // behind its group, at most
  bool discoveryIsTold = false;                // what is out: no machine is free before the list says so, too
  unsigned tries = 3;                          // that are given up before the whole is
  Duration rest = Duration::millis(30'000);    // after one that was given up
  Duration fence = fenceOf(Duration::millis(5'000));
};

}  // namespace gulltrestle::maintenance
