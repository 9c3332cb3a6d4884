#include "lacewingknot/policy/cold_presumption.h"

namespace lacewingknot {

bool ColdPresumption::OnRestartSign(TimePoint now) {
  const bool held = Holds(now);
  is_suspected_ = true;
  connected_at_.reset();
  return !held;
}

void ColdPresumption::OnConnected(TimePoint now) {
  if (is_suspected_ && !connected_at_) connected_at_ = now;
}

void ColdPresumption::OnStated(Duration remaining, TimePoint now) {
  is_suspected_ = false;
  stated_until_ = now + remaining;
}

bool ColdPresumption::Holds(TimePoint now) const {
  if (!is_suspected_) return now < stated_until_;
  return !connected_at_ || now < *connected_at_ + cold_time_;
}

}  // namespace lacewingknot
