#include "downstream/ext_proc/header_mapping.h"

#include <algorithm>
#include <charconv>

#include "transactions/session_id.h"

namespace gulltrestle::downstream::ext_proc {

using endpoint_leases::WriteProgress;

namespace {

// An id is kept for as long as its txn is remembered; a UUID has 36.
constexpr std::size_t kLongestId = 128;
// Milliseconds beyond a day are nobody's patience, and can't overflow what is added to them.
constexpr std::uint64_t kMostMs = 86'400'000;
// The count of tries of a proxy that goes on without an end.
constexpr std::uint64_t kMostTries = 1000;
constexpr std::uint64_t kMostGroup = 9'000'000'000'000'000;  // as in lists

const std::string* find(const wire::Headers& headers, const std::string& name) {
  const auto at = std::find_if(headers.begin(), headers.end(), [&](auto& h) { return h.name == name; });
  return at == headers.end() || at->value.empty() ? nullptr : &at->value;
}

const std::string& need(const wire::Headers& headers, const std::string& name) {
  if (std::count_if(headers.begin(), headers.end(), [&](auto& h) { return h.name == name; }) > 1)
    throw InvalidHeader(name, "comes twice");
  const std::string* value = find(headers, name);
  if (!value) throw InvalidHeader(name, "is missing");
  return *value;
}

std::optional<std::uint64_t> whole(std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > most) return std::nullopt;
  return value;
}

std::uint64_t number(const std::string& name, std::string_view text, std::uint64_t most) {
  const auto value = whole(text, most);
  if (!value) throw InvalidHeader(name, "is no whole number up to " + std::to_string(most));
  return *value;
}

WriteProgress writeProgressOf(std::string_view value) {
  if (value == "none") return WriteProgress::none;
  return value == "some" || value == "whole" ? WriteProgress::some : WriteProgress::unknown;
}

}  // namespace

HeaderMapping::HeaderMapping(HeaderNames names, const RoutingConfig& terms,
                             const std::vector<std::string>& typeNames)
    : names_(std::move(names)), types_(terms.transactionClasses), carried_(terms.sessionAgeProvided) {
  for (std::size_t row = 0; row < typeNames.size(); ++row) rows_.emplace(typeNames[row], row);
}

HeaderMapping::ParsedRequest HeaderMapping::read(const wire::Headers& headers) const {
  ParsedRequest asked;
  asked.ask.id = need(headers, names_.id);
  if (asked.ask.id.size() > kLongestId) throw InvalidHeader(names_.id, "is too long");
  const auto& typeName = need(headers, names_.type);
  const auto row = rows_.find(typeName);
  if (row == rows_.end())
    throw InvalidHeader(names_.type, "txn type '" + typeName.substr(0, 64) + "' is not known");
  const TransactionClass& type = types_[row->second];
  asked.txn.type = asked.ask.transactionClass = row->second;
  asked.txn.group = number(names_.group, need(headers, names_.group), kMostGroup);
  const auto patience = number(names_.patience, need(headers, names_.patience), kMostMs);
  asked.txn.remainingTime = asked.ask.remainingTime =
      std::min(Duration::millis(static_cast<std::int64_t>(patience)), type.deadline);
  if (type.level == ReadLevel::session) {
    asked.txn.session = transactions::sessionOf(need(headers, names_.session));
    asked.txn.writeAge = Duration();  // it owes nothing
    if (const auto* age = find(headers, names_.writeAge); age && carried_) {
      const auto millis = number(names_.writeAge, *age, kMostMs);
      if (millis > 0) asked.txn.writeAge = Duration::millis(static_cast<std::int64_t>(millis));
    }
  } else if (type.level == ReadLevel::write) {
    if (const auto* session = find(headers, names_.session))
      asked.txn.session = transactions::sessionOf(*session);
  }
  if (const auto* attempt = find(headers, names_.attempt))
    asked.ask.attempt =
        static_cast<unsigned>(std::max<std::uint64_t>(1, number(names_.attempt, *attempt, kMostTries)));
  if (const auto* written = find(headers, names_.written))
    asked.ask.writeProgress = writeProgressOf(*written);
  if (const auto* token = find(headers, names_.token)) asked.ask.token = token->substr(0, kLongestId);
  return asked;
}

endpoint_leases::ProxyReport HeaderMapping::report(const wire::Headers& headers) const {
  endpoint_leases::ProxyReport report;
  if (const auto* status = find(headers, ":status"))
    report.httpStatus = static_cast<int>(whole(*status, 999).value_or(0));
  if (const auto* written = find(headers, names_.written)) report.writeProgress = writeProgressOf(*written);
  if (const auto* outcome = find(headers, names_.nodeOutcome)) report.nodeOutcome = *outcome;
  if (const auto* sentTo = find(headers, names_.sentTo)) report.sentToAddress = *sentTo;
  for (const auto& [name, value] : headers)
    load_report::readField(names_.node, name, value, report.loadReport);
  return report;
}

}  // namespace gulltrestle::downstream::ext_proc
