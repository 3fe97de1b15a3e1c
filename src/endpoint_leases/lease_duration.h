// What a grant is worth: how long whoever got it may still send to the node that it names, and how long a
// question may be held before its asker's own time is up. No I/O, no clock.
//
// A grant can't be taken back: what is decided once it is told is decided for as long as it may be used. So
// it is short enough that a drain which is told the moment after still finds nothing sent past its grace.
#pragma once

#include "base/time.h"

namespace gulltrestle::endpoint_leases {

// What binds a grant, from the deployment's settings.
struct DrainRule {
  Duration grace =
      Duration::millis(1000);  // nothing new to a node later than this after its drain was told here
  // What a list has to say counts as told so long after it was due, whether it came or not; zero: only what
  // came counts.
  Duration toldWithin;
};

// How old the word of the list is: `heardAt` is when it last said anything, an empty line included; a list
// that is followed says something every `pulse`.
struct ListAge {
  Instant heardAt;
  Duration pulse = Duration::millis(2000);
};

// How long from `now` the grant may be used; zero or less: it is worth nothing and must not be given.
// `sendBy`: by when the module wants it sent.
Duration sendWithin(Instant now, Instant sendBy, const DrainRule& rule, const ListAge& list);

// A question that is held. A proxy waits `timeout` for an answer, and may be asked, once, to wait `most` from
// then on (zero: it may not).
struct MessageTime {
  Duration timeout = Duration::millis(200);
  Duration most;
};
struct HoldDeadlines {
  Instant askAt;     // when more time is asked for, unless it has its answer; never: it is not
  Duration ask;      // and how much
  Instant answerBy;  // when it gets an answer in any case
};
HoldDeadlines holdDeadlines(Instant now, Duration patience, const MessageTime& time);

}  // namespace gulltrestle::endpoint_leases
