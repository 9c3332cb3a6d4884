#include "lacewingknot/policy/change_coalescing.h"

#include <algorithm>
#include <cstdint>

namespace lacewingknot {
namespace {

// Share of `max_apply_delay` that a delay takes; the remainder is for a slow
// store, a lost answer and the next call.
constexpr double kApplyDelayShare = 0.4;
// Delay for each daemon of the fleet while a route lacks upstreams, which
// bounds the fleet to 140 calls a second; seven daemons read each 50 ms.
constexpr Duration kDelayPerDaemon = std::chrono::microseconds(7'150);
// Fleet size that is assumed before members are known.
constexpr std::size_t kUnknownFleetSize = 40;

}  // namespace

Duration CoalescingDelay(const CoalescingInputs& inputs) {
  if (inputs.has_backlog) return Duration::zero();
  const auto longest = std::chrono::duration_cast<Duration>(
      inputs.max_apply_delay * kApplyDelayShare);
  if (!inputs.lacks_upstreams) return longest;
  const std::size_t daemons =
      inputs.fleet_size == 0 ? kUnknownFleetSize : inputs.fleet_size;
  return std::min(longest,
                  kDelayPerDaemon * static_cast<std::int64_t>(daemons));
}

}  // namespace lacewingknot
