// How long a reader of the store gathers changes before its next call.
//
// Load pattern: hundreds of upstreams register one by one. On a calm day, each
// watch answer that returns one entry costs a call on every daemon of the
// fleet, so changes are gathered for as long as they may take effect late.
// After a loss of power or an outage of the store the whole directory comes
// back entry by entry within two seconds. A query that covers too few shards is
// refused, so each entry is needed at once, and gathering for a second turns
// into a second of refusals. While queries are refused for that reason, the
// daemon reads on sooner; in a large fleet less so, which bounds the calls of
// all daemons together. The same holds while upstreams come back cold under
// their former ids: requests meant for the former incarnations may exceed what
// cold ones can handle.
//
// No I/O and no clock.

#ifndef LACEWINGKNOT_POLICY_CHANGE_COALESCING_H_
#define LACEWINGKNOT_POLICY_CHANGE_COALESCING_H_

#include <cstddef>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

struct CoalescingInputs {
  // The last answer was full: the store has more changes ready.
  bool has_backlog = false;
  // Queries have just been refused for lack of upstreams.
  bool lacks_upstreams = false;
  // The last answer held a cold incarnation of an upstream that was known, and
  // the rate of cold upstreams is limited.
  bool has_cold_restarts = false;
  // Other daemons rely on this one to see changes soon.
  bool is_sentinel = false;
  // Daemons that read the store; 1 or less if the others are not known yet.
  std::size_t fleet_size = 0;
  // Longest time from a change in the store until it must be in force.
  Duration max_apply_delay{};
};

// Returns how long to wait after a watch answer before the next call.
Duration CoalescingDelay(const CoalescingInputs& inputs);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_CHANGE_COALESCING_H_
