#include "deployment/routing_config.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::deployment {

namespace {

template <typename T>
T parse(std::string_view field, std::string_view text, const char* wanted) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty())
    throw InvalidField(field, std::string("'") + std::string(text) + "' is not " + wanted);
  return value;
}

constexpr std::array<std::string_view, 3> kEffects{"idempotent", "deduplicated", "at_most_once"};
constexpr std::array<std::string_view, 5> kLevels{"loose", "recent", "own_writes", "latest", "update"};

// The settings stay below this: a year, which leaves room to add times up.
Duration micros(std::string_view field, std::uint64_t n) {
  if (n > 31'536'000'000'000) throw InvalidField(field, "is longer than a year");
  return Duration::micros(static_cast<std::int64_t>(n));
}

Duration span(const SettingsSource& settings, const std::string& name) {
  return micros(name, settings.whole(name));
}
Duration span(const SettingsSource& settings, const std::string& name, std::uint64_t otherwise) {
  return micros(name, settings.whole(name, otherwise));
}

TransactionClass readType(const SettingsSource& settings, std::size_t row,
                          const std::vector<std::string_view>& levels,
                          const std::vector<std::string_view>& bounds) {
  const std::string prefix = "lanes." + std::to_string(row) + ".";
  TransactionClass type;
  type.effect = choice<Effect>(prefix + "effect", settings.text(prefix + "effect"), kEffects);
  if (row >= levels.size()) throw InvalidField("specifics.readLevel", "has too few values");
  type.level = choice<ReadLevel>("specifics.readLevel", levels[row], kLevels);
  if (row < bounds.size())
    type.maxStaleness = micros("specifics.lagAllowed", toWhole("specifics.lagAllowed", bounds[row]));
  type.latencyTarget = span(settings, prefix + "objective");
  type.latencyTargetPerWork = settings.number(prefix + "aimStretch", 0);
  type.deadline = span(settings, prefix + "deadline");
  type.priorityWeight = settings.number(prefix + "worth", 1);
  type.lateValueFraction = settings.number(prefix + "lateShare", 0);
  const auto group = settings.find(prefix + "group").value_or("all");
  type.deduplicatesAcrossGroups = group == "all";
  type.deduplicationWindow = span(settings, prefix + "window", 0);
  // Named before anything is served: a repeat that is nowhere known to be dropped is none. A window of no
  // time is one that no repeat can be sent in.
  if (type.effect == Effect::deduplicated) {
    if (group != "all" && group != "cell")
      throw InvalidField(prefix + "group", "'" + std::string(group) + "' is not known");
    if (!settings.find(prefix + "window"))
      throw InvalidField(prefix + "window", "is missing for a referenced type");
  }
  if (type.latencyTarget == Duration()) throw InvalidField(prefix + "objective", "is 0");
  return type;
}

}  // namespace

std::uint64_t toWhole(std::string_view field, std::string_view text) {
  return parse<std::uint64_t>(field, text, "a whole number");
}

double toNumber(std::string_view field, std::string_view text) {
  const double value = parse<double>(field, text, "a number");
  if (!std::isfinite(value)) throw InvalidField(field, "is not finite");
  return value;
}

bool toBool(std::string_view field, std::string_view text) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw InvalidField(field, "'" + std::string(text) + "' is neither true nor false");
}

GroupId toGroup(std::string_view field, std::string_view text) {
  const double n = toNumber(field, text);
  if (n < 0 || n != std::floor(n) || n > 9e15) throw InvalidField(field, "is not a group");
  return static_cast<GroupId>(n);
}

std::vector<std::string_view> split(std::string_view text, char at) {
  std::vector<std::string_view> parts;
  for (std::size_t from = 0; from <= text.size();) {
    const auto to = std::min(text.find(at, from), text.size());
    parts.push_back(text.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

std::string_view SettingsSource::text(std::string_view name) const {
  const auto value = find(name);
  if (!value || value->empty()) throw InvalidField(name, "is missing");
  return *value;
}

std::uint64_t SettingsSource::whole(std::string_view name) const { return toWhole(name, text(name)); }

std::uint64_t SettingsSource::whole(std::string_view name, std::uint64_t otherwise) const {
  const auto value = find(name);
  return value ? toWhole(name, *value) : otherwise;
}

double SettingsSource::number(std::string_view name, double otherwise) const {
  const auto value = find(name);
  return value ? toNumber(name, *value) : otherwise;
}

bool SettingsSource::flag(std::string_view name) const {
  const auto value = find(name);
  return value && toBool(name, *value);
}

DeploymentSettings read(const SettingsSource& settings) {
  DeploymentSettings told;
  RoutingConfig& terms = told.routing;
  const auto levels = split(settings.text("specifics.readLevel"), ',');
  const auto bounds = split(settings.find("specifics.lagAllowed").value_or("0"), ',');
  const auto count = settings.whole("lanes.count");
  if (count == 0) throw InvalidField("lanes.count", "is 0");
  for (std::size_t row = 0; row < count; ++row) {
    terms.transactionClasses.push_back(readType(settings, row, levels, bounds));
    told.typeNames.emplace_back(settings.text("lanes." + std::to_string(row) + ".name"));
  }
  terms.roundInterval = span(settings, "round");
  terms.routerCount = static_cast<unsigned>(settings.whole("balancers", 1));
  if (terms.routerCount == 0) throw InvalidField("balancers", "is 0");
  terms.slowStartFraction = settings.number("rules.coldFrom", 1);
  terms.slowStartWindow = span(settings, "rules.cold", 0);
  terms.onlyDrainingExcludes = settings.flag("rules.softRemoval");
  terms.healthChecksAllowed = settings.flag("limits.probes");
  terms.hedgingAllowed = settings.flag("limits.secondCopies");
  terms.cancelAllowed = settings.flag("limits.cancel");
  terms.retryAfterAllowed = settings.flag("limits.retryAfter");
  terms.maxRetryAfter = span(settings, "limits.maxRetryAfter", 0);
  terms.maxAttempts = static_cast<unsigned>(settings.whole("limits.maxAttempts", 1));
  terms.crossZoneCost = settings.number("penalties.crossZone", 0);
  terms.nodesRejectStaleReads = settings.find("specifics.guards").value_or("off") != "off";
  terms.sessionAgeProvided = settings.find("specifics.sessionMarks").value_or("client") == "client";
  terms.endpointListIsPolled = settings.find("discovery").value_or("pushed") == "on_request";
  told.zone = settings.find("zone").value_or("");
  told.idleLimit = span(settings, "limits.connIdle", 15'000'000);
  told.connectLimit = span(settings, "limits.connectTimeout", 250'000);
  told.drainGrace = span(settings, "rules.drainGrace", 1'000'000);
  told.notifiedWithin = span(settings, "rules.askWithin", 0);
  return told;
}

}  // namespace gulltrestle::deployment
