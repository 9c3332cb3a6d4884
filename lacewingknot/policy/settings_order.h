// Which published settings document goes into force.
//
// Revisions only rise. Two documents with one revision are a fault of the
// publisher; every daemon then keeps the one with the larger content hash, so
// that all end on the same contents whatever order they saw them in.

#ifndef LACEWINGKNOT_POLICY_SETTINGS_ORDER_H_
#define LACEWINGKNOT_POLICY_SETTINGS_ORDER_H_

#include <cstdint>

namespace lacewingknot {

struct SettingsVersion {
  std::uint64_t revision = 0;
  std::uint64_t content_hash = 0;
};

enum class SettingsDecision {
  kAccept,
  kSame,
  kStale,
  kConflictKeep,
  kConflictReplace
};

// Decides on `offered` while `in_force` is in force.
constexpr SettingsDecision DecideSettings(const SettingsVersion& in_force,
                                          const SettingsVersion& offered) {
  if (offered.revision < in_force.revision) return SettingsDecision::kStale;
  if (offered.revision > in_force.revision) return SettingsDecision::kAccept;
  if (offered.content_hash == in_force.content_hash) {
    return SettingsDecision::kSame;
  }
  return offered.content_hash > in_force.content_hash
             ? SettingsDecision::kConflictReplace
             : SettingsDecision::kConflictKeep;
}

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_SETTINGS_ORDER_H_
