// Decides whether a published settings document replaces the one in force.
//
// Revisions only rise. Two documents with the same revision are an error of the
// publisher; every daemon then keeps the one with the larger content hash, so
// that all daemons end with the same contents, whatever order they received the
// documents in.
//
// Pure: no clock, no I/O. Thread-safe.
//
// Example:
//   if (DecideSettings(in_force, offered) == SettingsDecision::kAccept) ...

#ifndef LACEWINGKNOT_POLICY_SETTINGS_ORDER_H_
#define LACEWINGKNOT_POLICY_SETTINGS_ORDER_H_

#include <cstdint>

namespace lacewingknot {

// Identifies a settings document.
struct SettingsVersion {
  std::uint64_t revision = 0;
  std::uint64_t content_hash = 0;
};

enum class SettingsDecision {
  kAccept,           // Newer: puts the offered document in force.
  kSame,             // The offered document is in force already.
  kStale,            // Older than the document in force.
  kConflictKeep,     // Same revision, other contents: keeps the one in force.
  kConflictReplace,  // Same revision, other contents: takes the offered one.
};

// Decides whether `offered` replaces `in_force`.
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
