// Maps HTTP headers to transactions, lease requests and proxy reports. The configuration sets the names of
// the headers. Performs no I/O and reads no clock.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoint_leases/attempt_outcome.h"
#include "endpoint_leases/lease_registry.h"
#include "protocol/ext_proc/messages.h"
#include "protocol/load_report/load_report.h"
#include "routing/router.h"

namespace gulltrestle::downstream::ext_proc {

namespace wire = gulltrestle::ext_proc;

// Names of headers, in lower case.
struct HeaderNames {
  // Request headers, set by the client or the proxy.
  std::string id = "x-txn-id", transactionClass = "x-txn-type", group = "x-txn-group",
              session = "x-txn-session", remainingTime = "x-txn-patience-ms", writeAge = "x-txn-write-age-ms",
              attempt = "x-envoy-attempt-count", writeProgress = "x-txn-written";
  // Headers that a decision sets. The lease token is also read from a later request.
  std::string destination = "x-gateway-destination-endpoint", leaseToken = "x-txn-submission",
              leaseDuration = "x-txn-send-within-ms", outcome = "x-txn-outcome",
              retryAfter = "x-txn-retry-after-ms";
  // Headers of a node's answer, in addition to those of its load report.
  std::string nodeOutcome = "x-node-outcome", sentToAddress = "x-txn-sent-to";
  load_report::Names loadReport;
};

// Thrown if the headers of a request don't describe a valid transaction. The message names the header.
class InvalidHeader : public std::runtime_error {
 public:
  InvalidHeader(const std::string& name, const std::string& what) : std::runtime_error(name + ": " + what) {}
};

// Parses the headers of requests and answers. Immutable after construction.
class HeaderMapping {
 public:
  // `classNames`: names of the transaction classes, in the order of `config`.
  HeaderMapping(HeaderNames names, const RoutingConfig& config, const std::vector<std::string>& classNames);

  struct ParsedRequest {
    Transaction transaction;  // the id and prior attempts are not set
    endpoint_leases::LeaseRequest leaseRequest;
  };
  // Throws InvalidHeader if a required header is missing or duplicated, or if a value is invalid.
  ParsedRequest readRequest(const wire::Headers& headers) const;
  // Never throws. Values that can't be parsed are left out, so that the router learns nothing from them.
  endpoint_leases::ProxyReport readReport(const wire::Headers& headers) const;

  const HeaderNames& names() const { return names_; }

 private:
  std::size_t readTransactionClass(const wire::Headers& headers) const;
  void readSession(const wire::Headers& headers, Transaction& transaction) const;
  void readPriorAttempts(const wire::Headers& headers, endpoint_leases::LeaseRequest& request) const;

  HeaderNames names_;
  std::vector<TransactionClass> classes_;
  std::map<std::string, std::size_t, std::less<>> classIndexes_;  // indexes into classes_, by name
  bool isSessionAgeProvided_;
};

}  // namespace gulltrestle::downstream::ext_proc
