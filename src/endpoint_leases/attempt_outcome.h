// How a granted attempt ended, by what the proxy that sent it tells: the one place where that becomes the
// module's End. No I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "routing/router.h"

namespace gulltrestle::endpoint_leases {

// What is known to have been written to a node.
enum class Written { unknown, nothing, something };

// What a proxy tells of an attempt once its answer's headers are there.
struct ProxyReport {
  int status = 0;  // of HTTP
  Written written = Written::unknown;
  std::optional<std::string> said;    // by the node itself: `committed`, `miss`, `turned-away` or `error`
  std::optional<std::string> sentTo;  // where the proxy sent it, as address:port
  LoadReport standing;                // what the node said of itself
};

// A node is known to have spoken if it said something of itself or of the outcome; else the answer may be the
// proxy's own.
bool fromNode(const ProxyReport& report);

// `told`: where the grant sent it. An answer of another node than that is nobody's: it may have run there,
// and may be from data that is too old.
AttemptOutcome outcomeOf(const ProxyReport& report, const std::string& told);

// Without any report: the exchange was broken off by the proxy or its connection, or ended without a word; or
// (`waitedOut`) nothing came for as long as the attempt may take.
AttemptOutcome outcomeWithoutReport(bool waitedOut);

// The Standing that may be learnt of the node that was told: none if another answered.
LoadReport learnt(const ProxyReport& report, const std::string& told);

}  // namespace gulltrestle::endpoint_leases
