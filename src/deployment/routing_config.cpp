#include "deployment/routing_config.h"

#include <charconv>
#include <cmath>

namespace gulltrestle::deployment {

namespace {

// One year, so that durations can be added without overflow.
constexpr std::uint64_t kMaxMicros = 31'536'000'000'000;
// Integers up to this value are exact in a double.
constexpr double kMaxGroup = 9e15;

constexpr Duration kDefaultIdleTimeout = Duration::seconds(15);
constexpr Duration kDefaultConnectTimeout = Duration::millis(250);
constexpr Duration kDefaultDrainGrace = Duration::seconds(1);

// The names in the settings, in the order of the enumerators of Effect and ReadLevel.
constexpr std::array<std::string_view, 3> kEffects{"idempotent", "deduplicated", "at_most_once"};
constexpr std::array<std::string_view, 5> kReadLevels{"loose", "recent", "own_writes", "latest", "update"};

template <typename T>
T parse(std::string_view field, std::string_view text, const char* expected) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty())
    throw InvalidField(field, std::string("'") + std::string(text) + "' is not " + expected);
  return value;
}

Duration toDuration(std::string_view field, std::uint64_t micros) {
  if (micros > kMaxMicros) throw InvalidField(field, "is longer than a year");
  return Duration::micros(static_cast<std::int64_t>(micros));
}

// Reads a duration, which settings give in whole microseconds.
Duration readDuration(const SettingsSource& settings, const std::string& name) {
  return toDuration(name, settings.unsignedInteger(name));
}
Duration readDuration(const SettingsSource& settings, const std::string& name, Duration fallback) {
  return toDuration(name, settings.unsignedInteger(name, static_cast<std::uint64_t>(fallback.inMicros())));
}

// Checks the settings that deduplicated classes require, so that a router without knowledge of where retries
// are deduplicated never starts. A window of 0 allows no retries.
void checkDeduplication(const SettingsSource& settings, const std::string& prefix, std::string_view scope) {
  if (scope != "all" && scope != "cell")
    throw InvalidField(prefix + "group", "'" + std::string(scope) + "' is not a known value");
  if (!settings.find(prefix + "window"))
    throw InvalidField(prefix + "window", "is missing, but required for a deduplicated type");
}

// `levels` and `stalenessBounds` have one item per class; `stalenessBounds` may have fewer.
TransactionClass readTransactionClass(const SettingsSource& settings, std::size_t row,
                                      const std::vector<std::string_view>& levels,
                                      const std::vector<std::string_view>& stalenessBounds) {
  const std::string prefix = "lanes." + std::to_string(row) + ".";
  TransactionClass transactionClass;
  transactionClass.effect =
      toEnumerator<Effect>(prefix + "effect", settings.text(prefix + "effect"), kEffects);
  if (row >= levels.size())
    throw InvalidField("specifics.readLevel", "has fewer values than there are types");
  transactionClass.level = toEnumerator<ReadLevel>("specifics.readLevel", levels[row], kReadLevels);
  if (row < stalenessBounds.size())
    transactionClass.maxStaleness =
        toDuration("specifics.lagAllowed", toUnsigned("specifics.lagAllowed", stalenessBounds[row]));
  transactionClass.latencyTarget = readDuration(settings, prefix + "objective");
  transactionClass.latencyTargetPerServiceTime = settings.number(prefix + "aimStretch", 0);
  transactionClass.deadline = readDuration(settings, prefix + "deadline");
  transactionClass.priorityWeight = settings.number(prefix + "worth", 1);
  transactionClass.lateValueFraction = settings.number(prefix + "lateShare", 0);
  const std::string_view scope = settings.find(prefix + "group").value_or("all");
  transactionClass.deduplicatesAcrossGroups = scope == "all";
  transactionClass.deduplicationWindow = readDuration(settings, prefix + "window", Duration());
  if (transactionClass.effect == Effect::deduplicated) checkDeduplication(settings, prefix, scope);
  if (transactionClass.latencyTarget == Duration())
    throw InvalidField(prefix + "objective", "is 0, must be positive");
  return transactionClass;
}

void readTransactionClasses(const SettingsSource& settings, DeploymentSettings& deployment) {
  const auto levels = split(settings.text("specifics.readLevel"), ',');
  const auto stalenessBounds = split(settings.find("specifics.lagAllowed").value_or("0"), ',');
  const std::uint64_t count = settings.unsignedInteger("lanes.count");
  if (count == 0) throw InvalidField("lanes.count", "is 0, must be positive");
  for (std::size_t row = 0; row < count; ++row) {
    deployment.routing.transactionClasses.push_back(
        readTransactionClass(settings, row, levels, stalenessBounds));
    deployment.classNames.emplace_back(settings.text("lanes." + std::to_string(row) + ".name"));
  }
}

void readRouting(const SettingsSource& settings, RoutingConfig& routing) {
  routing.roundInterval = readDuration(settings, "round");
  routing.routerCount = static_cast<unsigned>(settings.unsignedInteger("balancers", 1));
  if (routing.routerCount == 0) throw InvalidField("balancers", "is 0, must be positive");
  routing.slowStartFraction = settings.number("rules.coldFrom", 1);
  routing.slowStartWindow = readDuration(settings, "rules.cold", Duration());
  routing.onlyDrainingExcludes = settings.flag("rules.softRemoval");
  routing.healthChecksAllowed = settings.flag("limits.probes");
  routing.hedgingAllowed = settings.flag("limits.secondCopies");
  routing.cancelAllowed = settings.flag("limits.cancel");
  routing.retryAfterAllowed = settings.flag("limits.retryAfter");
  routing.maxRetryAfter = readDuration(settings, "limits.maxRetryAfter", Duration());
  routing.maxAttempts = static_cast<unsigned>(settings.unsignedInteger("limits.maxAttempts", 1));
  routing.crossZoneCost = settings.number("penalties.crossZone", 0);
  routing.nodesRejectStaleReads = settings.find("specifics.guards").value_or("off") != "off";
  routing.sessionAgeProvided = settings.find("specifics.sessionMarks").value_or("client") == "client";
  routing.endpointListIsPolled = settings.find("discovery").value_or("pushed") == "on_request";
}

}  // namespace

std::uint64_t toUnsigned(std::string_view field, std::string_view text) {
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
  const double number = toNumber(field, text);
  if (number < 0 || number != std::floor(number) || number > kMaxGroup)
    throw InvalidField(field, "is not a group id");
  return static_cast<GroupId>(number);
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (std::size_t begin = 0; begin <= text.size();) {
    const auto end = std::min(text.find(separator, begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

std::string_view SettingsSource::text(std::string_view name) const {
  const auto value = find(name);
  if (!value || value->empty()) throw InvalidField(name, "is missing");
  return *value;
}

std::uint64_t SettingsSource::unsignedInteger(std::string_view name) const {
  return toUnsigned(name, text(name));
}

std::uint64_t SettingsSource::unsignedInteger(std::string_view name, std::uint64_t fallback) const {
  const auto value = find(name);
  return value ? toUnsigned(name, *value) : fallback;
}

double SettingsSource::number(std::string_view name, double fallback) const {
  const auto value = find(name);
  return value ? toNumber(name, *value) : fallback;
}

bool SettingsSource::flag(std::string_view name) const {
  const auto value = find(name);
  return value && toBool(name, *value);
}

DeploymentSettings read(const SettingsSource& settings) {
  DeploymentSettings deployment;
  readTransactionClasses(settings, deployment);
  readRouting(settings, deployment.routing);
  deployment.zone = settings.find("zone").value_or("");
  deployment.idleTimeout = readDuration(settings, "limits.connIdle", kDefaultIdleTimeout);
  deployment.connectTimeout = readDuration(settings, "limits.connectTimeout", kDefaultConnectTimeout);
  deployment.drainGrace = readDuration(settings, "rules.drainGrace", kDefaultDrainGrace);
  deployment.notificationBound = readDuration(settings, "rules.askWithin", Duration());
  return deployment;
}

}  // namespace gulltrestle::deployment
