// The inheritable settings of a service: names, kinds, bounds, defaults.
//
// One row per key drives parsing, validation, `lacewingknotctl check`,
// `lacewingknotctl effective` and the reference in docs/operators/settings.md.
//
// Example:
//   const SettingInfo* info = FindSetting("deadline");

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
  kCount,
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
  double min;  // Milliseconds for durations.
  double max;
  std::string_view default_text;
  std::string_view choices;  // Separated by '|'; for kChoice only.
  std::string_view meaning;
};

// Every inheritable setting, ordered by key.
std::span<const SettingInfo> AllSettings();

// Null for an unknown name.
const SettingInfo* FindSetting(std::string_view name);

// The value in force where no node of the tree sets the key.
SettingValue DefaultValue(const SettingInfo& info);

// What the key accepts, for messages: "a duration from 1ms to 60000ms".
std::string AcceptedForm(const SettingInfo& info);

// Parses "150us", "20ms", "3s"; empty for anything else, also for a bare
// number.
std::optional<Duration> ParseDuration(std::string_view text);

// Inverse of ParseDuration, in the largest unit that loses nothing.
std::string FormatDuration(Duration duration);

std::string FormatValue(const SettingValue& value);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_SCHEMA_H_
