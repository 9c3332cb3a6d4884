#include "lacewingknot/settings/schema.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace lacewingknot {
namespace {

using Kind = SettingKind;
using Key = SettingKey;

constexpr std::array<SettingInfo, kSettingCount> kSettings{{
    {Key::kDeadline, "deadline", Kind::kDuration, 1, 60'000, "500ms", "",
     "Deadline of a request that does not state one."},
    {Key::kPartialAfter, "partial_after", Kind::kDuration, 0, 60'000, "0ms", "",
     "Time after which a query is answered with the parts that have arrived; "
     "0ms waits for the deadline."},
    {Key::kAttemptTimeout, "attempt_timeout", Kind::kDuration, 1, 60'000,
     "150ms", "", "Timeout of one attempt at an upstream."},
    {Key::kHedging, "hedging", Kind::kBoolean, 0, 1, "true", "",
     "Send a second attempt to another replica when the first is slow."},
    {Key::kHedgeQuantile, "hedge_quantile", Kind::kFraction, 0.5, 0.999, "0.95",
     "", "Quantile of recent attempt latency after which a hedge is sent."},
    {Key::kExtraLoad, "extra_load", Kind::kFraction, 0, 1, "0.05", "",
     "Maximum of retries and hedges together, as a fraction of first "
     "attempts."},
    {Key::kExtraLoadBurst, "extra_load_burst", Kind::kInteger, 0, 10'000, "20",
     "",
     "Largest number of saved retries and hedges that may be sent at once."},
    {Key::kReplicaChoice, "replica_choice", Kind::kChoice, 0, 0,
     "least_outstanding", "least_outstanding|random",
     "Policy that chooses among the usable replicas of a shard."},
    {Key::kWarmup, "warmup", Kind::kBoolean, 0, 1, "true", "",
     "Limit the load on an upstream until it is known to be warm."},
    {Key::kColdConcurrency, "cold_concurrency", Kind::kInteger, 1, 1'000, "1",
     "",
     "Attempts in flight, from all daemons together, that a cold upstream can "
     "handle."},
    {Key::kWarmupCompletions, "warmup_completions", Kind::kInteger, 1, 100'000,
     "32", "", "Answers after which the warm-up level of an upstream doubles."},
    {Key::kConnections, "connections", Kind::kInteger, 1, 100'000, "25", "",
     "Connections an upstream accepts, from all daemons together."},
    {Key::kSlots, "slots", Kind::kInteger, 1, 10'000, "2", "",
     "Requests that an upstream serves concurrently."},
    {Key::kMaxQueue, "max_queue", Kind::kInteger, 0, 100'000, "64", "",
     "Attempts that may wait in this daemon for a connection to one "
     "upstream."},
}};

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%g", value);
  return text;
}

}  // namespace

std::span<const SettingInfo> AllSettings() { return kSettings; }

const SettingInfo* FindSetting(std::string_view name) {
  for (const SettingInfo& info : kSettings) {
    if (info.name == name) return &info;
  }
  return nullptr;
}

SettingValue DefaultValue(const SettingInfo& info) {
  const std::string_view text = info.default_text;
  switch (info.kind) {
    case Kind::kDuration:
      return ParseDuration(text).value_or(Duration::zero());
    case Kind::kFraction:
      return ParseNumber<double>(text).value_or(0);
    case Kind::kInteger:
      return ParseNumber<std::int64_t>(text).value_or(0);
    case Kind::kBoolean:
      return text == "true";
    case Kind::kChoice:
      return std::string(text);
  }
  return std::string();
}

std::string AcceptedForm(const SettingInfo& info) {
  const std::string range =
      FormatNumber(info.min) + " to " + FormatNumber(info.max);
  switch (info.kind) {
    case Kind::kDuration:
      return "a duration with a unit (us, ms, s), from " +
             FormatNumber(info.min) + "ms to " + FormatNumber(info.max) + "ms";
    case Kind::kFraction:
      return "a number from " + range;
    case Kind::kInteger:
      return "a whole number from " + range;
    case Kind::kBoolean:
      return "true or false";
    case Kind::kChoice:
      return "one of " + std::string(info.choices);
  }
  return "";
}

std::optional<Duration> ParseDuration(std::string_view text) {
  struct Unit {
    std::string_view suffix;
    Duration length;
  };
  constexpr std::array<Unit, 3> kUnits{{{"us", std::chrono::microseconds(1)},
                                        {"ms", std::chrono::milliseconds(1)},
                                        {"s", std::chrono::seconds(1)}}};
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    const auto number = ParseNumber<std::int64_t>(
        text.substr(0, text.size() - unit.suffix.size()));
    // Prevents an overflow of Duration.
    constexpr std::int64_t kMaxCount = 1'000'000'000;
    if (number && *number >= 0 && *number <= kMaxCount) {
      return *number * unit.length;
    }
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  const std::int64_t micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  if (micros % 1'000 != 0) return std::to_string(micros) + "us";
  if (micros % 1'000'000 != 0 || micros == 0) {
    return std::to_string(micros / 1'000) + "ms";
  }
  return std::to_string(micros / 1'000'000) + "s";
}

std::string FormatValue(const SettingValue& value) {
  if (const auto* duration = std::get_if<Duration>(&value)) {
    return FormatDuration(*duration);
  }
  if (const auto* fraction = std::get_if<double>(&value)) {
    return FormatNumber(*fraction);
  }
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    return std::to_string(*integer);
  }
  if (const auto* boolean = std::get_if<bool>(&value)) {
    return *boolean ? "true" : "false";
  }
  return std::get<std::string>(value);
}

}  // namespace lacewingknot
