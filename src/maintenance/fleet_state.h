// What the keeper that carries the plan on knows of the fleet, as its own reducer gathers it. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace gulltrestle::maintenance {

// A node that said nothing for so long does not serve; where there is work in its group it is asked that
// often.
constexpr Span kHeard = Span::millis(5000), kAsk = Span::millis(1000);

struct NodeFact {
  std::uint64_t group = 0;
  std::string zone;
  bool live = false;     // the list says so
  bool serves = false;   // and it answered within kHeard
  bool primary = false;  // by its own word, or by the list while it says nothing
  Span behind;           // of the newest position that its group is known to have reached
};
struct RouterFact {
  bool lives = false;   // more than half of the keepers hear it
  bool silent = false;  // more than half do not: it has no lease
  bool left = false;    // an operator took it off the list: its process has ended
  bool keeper = false;
  std::uint64_t start = 0;  // by which it speaks
  // By its own word: the version of the plan that it keeps to; and that by which nothing of it is out at
  // nodes that leave.
  std::uint64_t known = 0, clear = 0;
};
struct Facts {
  std::map<std::string, NodeFact> nodes;
  std::map<std::string, RouterFact> routers;  // all that belong, and those that left
  bool strained = false;                      // service is reduced, or has not returned yet
};

// From when a router lost its lease until nothing of it can be out: the longest deadline of a txn type, and
// how old what is heard of it may be. Reports come each second, and a stream that answers no beat ends after
// three.
constexpr Span fenceOf(Span longestDeadline) { return longestDeadline + Span::millis(5'000); }

struct Bounds {
  unsigned outOfGroup = 1;                // nodes of a group that may be away at a time, whatever the reason
  unsigned atOnce = 2;                    // machines in work at a time, all in one zone
  unsigned routersOut = 1;                // routers that may be away at a time, whatever the reason
  Span announce = Span::millis(60'000);   // next: for each router to know; then another try
  Span leave = Span::millis(120'000);     // leaves: until no router can send there
  Span comeBack = Span::millis(300'000);  // returns: until what stands on it serves
  Span warm = Span::millis(10'000);       // that a node that came back serves before the next one goes
  Span caughtUp = Span::millis(1000);     // behind its group, at most
  bool discoveryIsTold = false;           // what is out: no machine is free before the list says so, too
  unsigned tries = 3;                     // that are given up before the whole is
  Span rest = Span::millis(30'000);       // after one that was given up
  Span fence = fenceOf(Span::millis(5'000));
};

}  // namespace gulltrestle::maintenance
