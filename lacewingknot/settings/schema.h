// Schema of the inheritable settings of a service: names, kinds, bounds and
// defaults.
//
// The schema is a table with one row per key. Parsing, validation,
// `lacewingknotctl check` and `lacewingknotctl effective` use it, and a test
// compares the reference in docs/operators/settings.md with it. All functions
// are thread-safe.
//
// Example:
//   const SettingInfo* info = FindSetting("deadline");
//   std::string accepted = AcceptedForm(*info);

#ifndef LACEWINGKNOT_SETTINGS_SCHEMA_H_
#define LACEWINGKNOT_SETTINGS_SCHEMA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

enum class SettingKey : std::size_t {
  kDeadline,
  kPartialAfter,
  kAttemptTimeout,
  kHedging,
  kHedgeQuantile,
  kExtraLoad,
  kExtraLoadBurst,
  kReplicaChoice,
  kWarmup,
  kColdConcurrency,
  kWarmupCompletions,
  kConnections,
  kSlots,
  kMaxQueue,
  kCount,  // Number of keys; not a key.
};

inline constexpr std::size_t kSettingCount =
    static_cast<std::size_t>(SettingKey::kCount);

enum class SettingKind { kDuration, kFraction, kInteger, kBoolean, kChoice };

using SettingValue =
    std::variant<Duration, double, std::int64_t, bool, std::string>;

struct SettingInfo {
  SettingKey key;
  std::string_view name;
  SettingKind kind;
  double min;  // Smallest accepted value; milliseconds for durations.
  double max;  // Largest accepted value, in the same unit.
  std::string_view default_text;  // As written in a settings document.
  std::string_view choices;       // Separated by '|'; for kChoice only.
  std::string_view description;
};

// Returns every inheritable setting, ordered by key.
std::span<const SettingInfo> AllSettings();

// Returns the setting called `name`, or null if there is none.
const SettingInfo* FindSetting(std::string_view name);

// Returns the value in force if neither a service nor an ancestor sets the key.
SettingValue DefaultValue(const SettingInfo& info);

// Describes the accepted values in error messages, for example "a number from 0
// to 1".
std::string AcceptedForm(const SettingInfo& info);

// Parses a duration such as "150us", "20ms" or "3s". Returns nullopt for
// anything else, also for a number without a unit.
std::optional<Duration> ParseDuration(std::string_view text);

// Inverse of ParseDuration. Uses the largest unit that represents the duration
// as a whole number, and truncates to microseconds.
std::string FormatDuration(Duration duration);

// Formats a value as it is written in a settings document, but choices without
// quotes.
std::string FormatValue(const SettingValue& value);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_SCHEMA_H_
