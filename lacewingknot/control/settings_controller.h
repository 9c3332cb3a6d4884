// Puts published settings in force.
//
// Reads documents from the platform and from peers, decides which goes into
// force (policy/settings_order.h) and writes the `settings` section. A document
// with any fault is refused whole and the one in force stays.
//
// Not thread-safe: lives on the control thread.

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

  // Takes a document that `source` held at `at`.
  SettingsDecision OnDocument(std::string_view text, Source source,
                              TimePoint at);

  // The version in force was current at `at`.
  void OnConfirmed(TimePoint at);

  SettingsVersion in_force() const;
  const SettingsPtr& settings() const { return section_.settings; }
  // TimePoint{} if never confirmed.
  TimePoint confirmed_at() const { return section_.confirmed_at; }
  // Documents refused for their faults.
  std::size_t refused() const { return refused_; }

 private:
  void Refuse(const std::vector<SettingsFault>& faults, Source source);

  Blackboard& board_;
  Metrics& metrics_;
  SettingsSection section_;
  std::uint64_t last_refused_hash_ = 0;
  std::size_t refused_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_SETTINGS_CONTROLLER_H_
