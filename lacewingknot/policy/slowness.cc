#include "lacewingknot/policy/slowness.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {

void SlownessEstimator::Add(Duration latency, Duration mean_latency,
                            TimePoint now) {
  if (mean_latency <= Duration::zero()) return;
  const double sample = static_cast<double>(latency.count()) /
                        static_cast<double>(mean_latency.count());
  const bool is_same_burst = now - last_at_ < kBurstGap;
  if (!is_same_burst) before_burst_ = Factor(now);
  burst_min_ = is_same_burst ? std::min(burst_min_, sample) : sample;
  factor_ = before_burst_ +
            kWeight * (std::min(burst_min_, before_burst_ * kMaxSampleFactor) -
                       before_burst_);
  last_at_ = now;
}

double SlownessEstimator::Factor(TimePoint now) const {
  const double idle_seconds =
      std::chrono::duration<double>(now - last_at_).count();
  const double remaining = std::exp2(-idle_seconds / kDecayHalfLifeSeconds);
  return 1 + (factor_ - 1) * remaining;
}

}  // namespace lacewingknot
