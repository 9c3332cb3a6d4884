#include "lacewingknot/policy/upstream_gate.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Longest wait that is respected: a longer one would take an upstream out of
// use that the store still lists as serving.
constexpr Duration kMaxWait = std::chrono::seconds(60);
// Time after a wait in which attempts keep a distance from each other.
constexpr Duration kReturnTime = std::chrono::milliseconds(1'000);
constexpr Duration kReturnInterval = std::chrono::milliseconds(100);

}  // namespace

std::string_view GateDecisionName(GateDecision decision) {
  switch (decision) {
    case GateDecision::kOpen:
      return "open";
    case GateDecision::kLeaving:
      return "leaving";
    case GateDecision::kWaiting:
      return "waiting";
    case GateDecision::kRateLimited:
      return "rate_limited";
  }
  return "unknown";
}

UpstreamGate::Changes UpstreamGate::OnAnswer(const UpstreamStatement& statement,
                                             TimePoint now) {
  Changes changes;
  if (statement.is_leaving) {
    changes.leaving = !is_leaving_;
    is_leaving_ = true;
  }
  if (statement.wait && *statement.wait > Duration::zero()) {
    changes.wait = wait_until_ <= now;
    wait_until_ =
        std::max(wait_until_, now + std::min(*statement.wait, kMaxWait));
  }
  changes.rate = rate_limiter_.OnStated(statement.rate, now);
  return changes;
}

void UpstreamGate::OnSent(TimePoint now) {
  last_sent_at_ = now;
  rate_limiter_.OnSent(now);
}

GateDecision UpstreamGate::Check(TimePoint now) {
  if (is_leaving_) return GateDecision::kLeaving;
  const bool is_returning =
      now < wait_until_ + kReturnTime && now - last_sent_at_ < kReturnInterval;
  if (now < wait_until_ || is_returning) return GateDecision::kWaiting;
  if (!rate_limiter_.Allows(now)) return GateDecision::kRateLimited;
  return GateDecision::kOpen;
}

}  // namespace lacewingknot
