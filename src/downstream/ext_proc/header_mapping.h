// Maps HTTP headers to transactions, lease requests and proxies' reports. The names of the headers are from
// the configuration. No I/O, no clock.
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
  // Of a request, set by its client or the proxy.
  std::string id = "x-txn-id", transactionClass = "x-txn-type", group = "x-txn-group",
              session = "x-txn-session", remainingTime = "x-txn-patience-ms", writeAge = "x-txn-write-age-ms",
              attempt = "x-envoy-attempt-count", writeProgress = "x-txn-written";
  // Of a decision; the lease's token is also read from a later request.
  std::string destination = "x-gateway-destination-endpoint", leaseToken = "x-txn-submission",
              leaseDuration = "x-txn-send-within-ms", outcome = "x-txn-outcome",
              retryAfter = "x-txn-retry-after-ms";
  // Of a node's answer, in addition to those of its load report.
  std::string nodeOutcome = "x-node-outcome", sentToAddress = "x-txn-sent-to";
  load_report::Names loadReport;
};

// The headers of a request are not those of a transaction; the message names the header.
class InvalidHeader : public std::runtime_error {
 public:
  InvalidHeader(const std::string& name, const std::string& what) : std::runtime_error(name + ": " + what) {}
};

// Immutable.
class HeaderMapping {
 public:
  // `classNames`: of the transaction classes, in the same order.
  HeaderMapping(HeaderNames names, const RoutingConfig& config, const std::vector<std::string>& classNames);

  struct ParsedRequest {
    Transaction transaction;  // without an id and prior attempts
    endpoint_leases::LeaseRequest leaseRequest;
  };
  // Throws InvalidHeader.
  ParsedRequest readRequest(const wire::Headers& headers) const;
  // Never throws: what can't be read is left out, so that nothing is learnt from it.
  endpoint_leases::ProxyReport readReport(const wire::Headers& headers) const;

  const HeaderNames& names() const { return names_; }

 private:
  std::size_t readTransactionClass(const wire::Headers& headers) const;
  void readSession(const wire::Headers& headers, Transaction& transaction) const;
  void readPriorAttempts(const wire::Headers& headers, endpoint_leases::LeaseRequest& request) const;

  HeaderNames names_;
  std::vector<TransactionClass> classes_;
  std::map<std::string, std::size_t, std::less<>> classRows_;  // rows of classes_, by name
  bool isSessionAgeProvided_;
};

}  // namespace gulltrestle::downstream::ext_proc
