#include "lacewingknot/policy/change_coalescing.h"

namespace lacewingknot {
namespace {

// Share of `max_apply_delay` that a delay takes; the remainder is for a slow
// store, a lost answer and the next call.
constexpr double kApplyDelayShare = 0.4;
// Delay while a route lacks upstreams: about as long as the shortest latency
// objectives.
constexpr Duration kDelayWhileLacking = std::chrono::milliseconds(50);

}  // namespace

Duration CoalescingDelay(const CoalescingInputs& inputs) {
  if (inputs.has_backlog) return Duration::zero();
  if (inputs.lacks_upstreams) return kDelayWhileLacking;
  return std::chrono::duration_cast<Duration>(inputs.max_apply_delay *
                                              kApplyDelayShare);
}

}  // namespace lacewingknot
