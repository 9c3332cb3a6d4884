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

void OutageEvidence::OnLost(TimePoint now) {
  if (lost_at_) return;
  lost_at_ = now;
  peer_served_at_.reset();
}

void OutageEvidence::OnPeerReport(TimePoint unbroken_since,
                                  TimePoint confirmed_at) {
  if (!lost_at_ || confirmed_at < *lost_at_ + kReportTolerance) return;
  const TimePoint served_at =
      unbroken_since > *lost_at_ ? unbroken_since : confirmed_at;
  // A peer that the store failed after it had served another shows that the
  // outage went on.
  if (!peer_served_at_ || unbroken_since > *peer_served_at_) {
    peer_served_at_ = served_at;
  }
}

TimePoint OutageEvidence::OnRegained(TimePoint now) {
  lost_at_.reset();
  return std::min(now, peer_served_at_.value_or(now));
}

}  // namespace lacewingknot
