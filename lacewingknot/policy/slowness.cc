#include "lacewingknot/policy/slowness.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {

void Slowness::Add(Duration latency, Duration usual, TimePoint now) {
  if (usual <= Duration::zero()) return;
  const double sample =
      static_cast<double>(latency.count()) / static_cast<double>(usual.count());
  const bool same_burst = now - last_at_ < kBurst;
  if (!same_burst) before_ = Factor(now);
  least_ = same_burst ? std::min(least_, sample) : sample;
  factor_ =
      before_ + kWeight * (std::min(least_, before_ * kMostRise) - before_);
  last_at_ = now;
}

double Slowness::Factor(TimePoint now) const {
  const double idle = std::chrono::duration<double>(now - last_at_).count();
  const double kept = std::exp2(-idle / kForgetHalfLifeSeconds);
  return 1 + (factor_ - 1) * kept;
}

}  // namespace lacewingknot
