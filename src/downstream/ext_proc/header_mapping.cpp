#include "downstream/ext_proc/header_mapping.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "transactions/session_id.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::WriteProgress;

namespace {

// Bounds the memory of remembered transactions, each of which stores its id. A UUID has 36 bytes.
constexpr std::size_t kMaxIdBytes = 128;
// Length to which an error message cuts the name of an unknown transaction class.
constexpr std::size_t kMaxNameBytesInError = 64;
// One day: no client waits longer, and sums with this value can't overflow.
constexpr std::uint64_t kMaxMillis = 86'400'000;
// Bounds the attempt count of a proxy that retries endlessly.
constexpr std::uint64_t kMaxAttempts = 1000;
constexpr std::uint64_t kMaxGroup = 9'000'000'000'000'000;  // same limit as in endpoint lists
constexpr std::uint64_t kMaxHttpStatus = 999;

// Returns null if the header is absent or empty.
const std::string* find(const wire::Headers& headers, const std::string& name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](const auto& header) { return header.name == name; });
  return found == headers.end() || found->value.empty() ? nullptr : &found->value;
}

const std::string& require(const wire::Headers& headers, const std::string& name) {
  if (std::count_if(headers.begin(), headers.end(), [&](const auto& header) { return header.name == name; }) >
      1)
    throw InvalidHeader(name, "comes twice");
  const std::string* value = find(headers, name);
  if (!value) throw InvalidHeader(name, "is missing");
  return *value;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > max) return std::nullopt;
  return value;
}

std::uint64_t unsignedOf(const std::string& name, std::string_view text, std::uint64_t max) {
  const auto value = parseUnsigned(text, max);
  if (!value) throw InvalidHeader(name, "is no whole number up to " + std::to_string(max));
  return *value;
}

Duration millisOf(const std::string& name, std::string_view text) {
  return Duration::millis(static_cast<std::int64_t>(unsignedOf(name, text, kMaxMillis)));
}

WriteProgress writeProgressOf(std::string_view value) {
  if (value == "none") return WriteProgress::none;
  return value == "some" || value == "whole" ? WriteProgress::some : WriteProgress::unknown;
}

}  // namespace

HeaderMapping::HeaderMapping(HeaderNames names, const RoutingConfig& config,
                             const std::vector<std::string>& classNames)
    : names_(std::move(names)),
      classes_(config.transactionClasses),
      isSessionAgeProvided_(config.sessionAgeProvided) {
  for (std::size_t index = 0; index < classNames.size(); ++index)
    classIndexes_.emplace(classNames[index], index);
}

HeaderMapping::ParsedRequest HeaderMapping::readRequest(const wire::Headers& headers) const {
  ParsedRequest parsed;
  auto& [transaction, leaseRequest] = parsed;
  leaseRequest.id = require(headers, names_.id);
  if (leaseRequest.id.size() > kMaxIdBytes) throw InvalidHeader(names_.id, "is too long");
  transaction.type = leaseRequest.transactionClass = readTransactionClass(headers);
  transaction.group = unsignedOf(names_.group, require(headers, names_.group), kMaxGroup);
  const Duration remainingTime = millisOf(names_.remainingTime, require(headers, names_.remainingTime));
  transaction.remainingTime = leaseRequest.remainingTime =
      std::min(remainingTime, classes_[transaction.type].deadline);
  readSession(headers, transaction);
  readPriorAttempts(headers, leaseRequest);
  return parsed;
}

std::size_t HeaderMapping::readTransactionClass(const wire::Headers& headers) const {
  const std::string& name = require(headers, names_.transactionClass);
  const auto found = classIndexes_.find(name);
  if (found == classIndexes_.end())
    throw InvalidHeader(names_.transactionClass,
                        "txn type '" + name.substr(0, kMaxNameBytesInError) + "' is not known");
  return found->second;
}

void HeaderMapping::readSession(const wire::Headers& headers, Transaction& transaction) const {
  const ReadLevel level = classes_[transaction.type].level;
  if (level == ReadLevel::write) {
    if (const auto* session = find(headers, names_.session))
      transaction.session = transactions::sessionOf(*session);
  }
  if (level != ReadLevel::session) return;
  transaction.session = transactions::sessionOf(require(headers, names_.session));
  transaction.writeAge = Duration();  // the session has no write that the read must see
  if (!isSessionAgeProvided_) return;
  if (const auto* age = find(headers, names_.writeAge)) {
    const Duration writeAge = millisOf(names_.writeAge, *age);
    if (writeAge > Duration()) transaction.writeAge = writeAge;
  }
}

void HeaderMapping::readPriorAttempts(const wire::Headers& headers,
                                      endpoint_leases::LeaseRequest& request) const {
  if (const auto* attempt = find(headers, names_.attempt))
    request.attempt =
        static_cast<unsigned>(std::max<std::uint64_t>(1, unsignedOf(names_.attempt, *attempt, kMaxAttempts)));
  if (const auto* progress = find(headers, names_.writeProgress))
    request.writeProgress = writeProgressOf(*progress);
  if (const auto* token = find(headers, names_.leaseToken)) request.token = token->substr(0, kMaxIdBytes);
}

endpoint_leases::ProxyReport HeaderMapping::readReport(const wire::Headers& headers) const {
  endpoint_leases::ProxyReport report;
  if (const auto* status = find(headers, ":status"))
    report.httpStatus = static_cast<int>(parseUnsigned(*status, kMaxHttpStatus).value_or(0));
  if (const auto* progress = find(headers, names_.writeProgress))
    report.writeProgress = writeProgressOf(*progress);
  if (const auto* outcome = find(headers, names_.nodeOutcome)) report.nodeOutcome = *outcome;
  if (const auto* address = find(headers, names_.sentToAddress)) report.sentToAddress = *address;
  for (const auto& [name, value] : headers)
    load_report::readField(names_.loadReport, name, value, report.loadReport);
  return report;
}

}  // namespace gulltrestle::downstream::ext_proc
