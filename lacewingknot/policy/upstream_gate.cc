#include "lacewingknot/policy/upstream_gate.h"

#include <algorithm>
#include <utility>

namespace lacewingknot {
namespace {

// Longest wait that is respected: a longer one would take an upstream out of
// use that the store still lists as serving.
constexpr Duration kMaxWait = std::chrono::seconds(60);
// Longest time for which other replicas are preferred because the upstream has
// asked another daemon to wait.
constexpr Duration kMaxAvoidance = std::chrono::milliseconds(1'000);
// Time after a wait in which attempts keep a distance from each other.
constexpr Duration kReturnTime = std::chrono::milliseconds(1'000);
constexpr Duration kReturnInterval = std::chrono::milliseconds(100);
constexpr double kReturnRate =
    1 / std::chrono::duration<double>(kReturnInterval).count();
// Stands for no bound.
constexpr double kMaxPassRate = 1e6;

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
  changes.leaving = statement.is_leaving && !std::exchange(is_leaving_, true);
  if (statement.wait && *statement.wait > Duration::zero()) {
    changes.wait = wait_until_ <= now;
    wait_until_ =
        std::max(wait_until_, now + std::min(*statement.wait, kMaxWait));
  }
  answered_at_ = now;
  changes.rate = rate_limiter_.OnStated(statement.rate, now);
  if (statement.malformed > 0) {
    changes.malformed = !std::exchange(was_malformed_, true);
  }
  return changes;
}

UpstreamGate::Changes UpstreamGate::OnReport(const UpstreamStatement& statement,
                                             TimePoint stated_at,
                                             TimePoint now) {
  Changes changes;
  changes.leaving = statement.is_leaving && !std::exchange(is_leaving_, true);
  if (statement.wait && *statement.wait > Duration::zero()) {
    changes.wait = avoided_until_ <= now;
    avoided_until_ = std::max(avoided_until_,
                              now + std::min(*statement.wait, kMaxAvoidance));
  }
  if (stated_at > answered_at_) {
    changes.rate = rate_limiter_.OnStated(statement.rate, now);
  }
  return changes;
}

void UpstreamGate::OnSent(TimePoint now) {
  last_sent_at_ = now;
  rate_limiter_.OnSent(now);
}

bool UpstreamGate::IsReturning(TimePoint time) const {
  return time < wait_until_ + kReturnTime;
}

GateDecision UpstreamGate::Check(TimePoint now) {
  if (is_leaving_) return GateDecision::kLeaving;
  const bool is_spaced =
      IsReturning(now) && now - last_sent_at_ < kReturnInterval;
  if (now < wait_until_ || is_spaced) return GateDecision::kWaiting;
  if (!rate_limiter_.Allows(now)) return GateDecision::kRateLimited;
  return GateDecision::kOpen;
}

TimePoint UpstreamGate::OpensAt(TimePoint now) const {
  if (is_leaving_) return TimePoint::max();
  TimePoint opens_at = std::max(now, wait_until_);
  if (IsReturning(opens_at)) {
    opens_at = std::max(opens_at, last_sent_at_ + kReturnInterval);
  }
  return std::max(opens_at, rate_limiter_.OpensAt(now));
}

double UpstreamGate::PassRate(TimePoint time) const {
  if (is_leaving_) return 0;
  const double rate =
      rate_limiter_.stated() ? rate_limiter_.OwnRate() : kMaxPassRate;
  return IsReturning(time) ? std::min(rate, kReturnRate) : rate;
}

}  // namespace lacewingknot
