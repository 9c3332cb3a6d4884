#include "lacewingknot/policy/change_coalescing.h"

#include <algorithm>
#include <cstdint>

namespace lacewingknot {
namespace {

// Share of `max_apply_delay` that a delay takes; the remainder is for a slow
// store, a lost answer and the next call.
constexpr double kApplyDelayShare = 0.4;
// The same for a sentinel (watch_schedule.h), whose peers take another two
// seconds to ask it.
constexpr double kSentinelDelayShare = 0.1;
// While each change is needed at once: the delay for each daemon of the fleet,
// which bounds the fleet to 140 calls a second, and the shortest delay.
constexpr Duration kDelayPerDaemon = std::chrono::microseconds(7'150);
constexpr Duration kMinDelay = std::chrono::milliseconds(50);
// Fleet size that is assumed before members are known.
constexpr std::size_t kUnknownFleetSize = 40;

}  // namespace

Duration CoalescingDelay(const CoalescingInputs& inputs) {
  if (inputs.has_backlog) return Duration::zero();
  const auto longest = std::chrono::duration_cast<Duration>(
      inputs.max_apply_delay *
      (inputs.is_sentinel ? kSentinelDelayShare : kApplyDelayShare));
  if (!inputs.lacks_upstreams && !inputs.has_cold_restarts) return longest;
  const std::size_t daemons =
      inputs.fleet_size <= 1 ? kUnknownFleetSize : inputs.fleet_size;
  const Duration delay = kDelayPerDaemon * static_cast<std::int64_t>(daemons);
  return std::min(longest, std::max(kMinDelay, delay));
}

}  // namespace lacewingknot
