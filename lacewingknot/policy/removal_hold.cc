#include "lacewingknot/policy/removal_hold.h"

#include <algorithm>

namespace lacewingknot {

Duration LongestPause(const RemovalBudget& budget) {
  return LongestHold(budget, Duration::zero());
}

Duration LongestHold(const RemovalBudget& budget, Duration pause) {
  return std::max(Duration::zero(),
                  budget.drain - pause - budget.delivery - budget.sending);
}

TimePoint RemovalTime(const RemovalEvidence& evidence,
                      const RemovalBudget& budget, TimePoint now) {
  if (evidence.was_draining) return now;
  const TimePoint latest = now + LongestHold(budget, evidence.pause);
  TimePoint at = now;
  if (evidence.outage_ended_at) {
    at = *evidence.outage_ended_at + kHoldAfterOutage;
    const bool confirmed_since =
        now - evidence.pause >= *evidence.outage_ended_at;
    if (confirmed_since) {
      at = std::min(
          at,
          std::max(*evidence.outage_ended_at + kReregistrationTime, latest));
    }
  }
  if (evidence.is_storm) {
    at = std::max(at, std::min(now + kHoldAfterOutage, latest));
  }
  return std::max(at, now);
}

}  // namespace lacewingknot
