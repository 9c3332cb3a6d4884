// Decides which published settings document is in force.
//
// Documents come from the platform and from peers. The order of revisions
// (policy/settings_order.h) decides which goes into force, and the controller
// writes it to the `settings` section of the blackboard.
//
// Errors: a document with any fault is refused as a whole and the one in force
// stays. Its faults are logged, but not again at an immediate repetition.
//
// Not thread-safe: used on the control thread only.
//
// Example:
//   SettingsController settings(board, metrics);
//   settings.OnDocument(text, DocumentSource::kPlatform, now);
//   if (settings.settings() != nullptr) Use(*settings.settings());

#ifndef LACEWINGKNOT_CONTROL_SETTINGS_CONTROLLER_H_
#define LACEWINGKNOT_CONTROL_SETTINGS_CONTROLLER_H_

#include <string_view>

#include "lacewingknot/blackboard/blackboard.h"
#include "lacewingknot/policy/settings_order.h"
#include "lacewingknot/traffic/metrics.h"

namespace lacewingknot {

class SettingsController {
 public:
  SettingsController(Blackboard& board, Metrics& metrics)
      : board_(board), metrics_(metrics) {}

  // Parses a document that `source` held at `at` and puts it in force if its
  // version requires it. A refused document yields kStale.
  SettingsDecision OnDocument(std::string_view text, DocumentSource source,
                              TimePoint at);

  // Records that the version in force was current at `at`.
  void OnConfirmed(TimePoint at);

  // Version of the settings in force; revision 0 if there are none.
  SettingsVersion in_force() const;
  // Null until a document is in force.
  const SettingsPtr& settings() const { return section_.settings; }
  // Latest time at which the settings in force were confirmed as current;
  // TimePoint{} if never.
  TimePoint confirmed_at() const { return section_.confirmed_at; }
  // Number of documents refused for their faults; immediate repetitions of a
  // document count once.
  std::size_t refused_count() const { return refused_count_; }

 private:
  void Refuse(const std::vector<SettingsFault>& faults, DocumentSource source);

  Blackboard& board_;
  Metrics& metrics_;
  SettingsSection section_;
  std::uint64_t last_refused_hash_ = 0;
  std::size_t refused_count_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_SETTINGS_CONTROLLER_H_
