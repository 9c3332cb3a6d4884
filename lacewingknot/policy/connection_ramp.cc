#include "lacewingknot/policy/connection_ramp.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Fraction of the share that is allowed at the start.
constexpr double kInitialFraction = 0.25;
// Time until the whole share is allowed: a usual idle timeout of upstreams.
constexpr Duration kRampTime = std::chrono::seconds(4);

}  // namespace

std::int64_t ConnectionRamp::Allowed(TimePoint now) const {
  const double progress =
      std::clamp(std::chrono::duration<double>(now - started_at_) /
                     std::chrono::duration<double>(kRampTime),
                 0.0, 1.0);
  const double fraction = kInitialFraction + (1 - kInitialFraction) * progress;
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(static_cast<double>(limit_) * fraction));
}

}  // namespace lacewingknot
