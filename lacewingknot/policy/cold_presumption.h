// Whether an upstream must be presumed cold although its record says that it is
// warm.
//
// Load pattern: upstreams crash under load and come back within a second, cold,
// under their former ids and addresses. Their new records reach the daemons
// later than the first requests can be sent: a daemon gathers changes before it
// reads on, and one that the store turns away does not read at all. Every
// daemon that had connections to such an upstream has seen them break off, or
// connections refused.
//
// After such a sign the upstream is presumed cold until it states otherwise, or
// for the cold time of its service from the first connection on: it has started
// before that. Connections may also break off without a restart, so callers ask
// the upstream (IsUnverified()).
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   ColdPresumption presumption;
//   presumption.OnRestartSign(now);           // A connection was refused.
//   presumption.OnConnected(now);             // A later one opened.
//   if (presumption.Holds(now)) Limit();
//   presumption.OnStated(Duration::zero(), now);  // "I am warm."

#ifndef LACEWINGKNOT_POLICY_COLD_PRESUMPTION_H_
#define LACEWINGKNOT_POLICY_COLD_PRESUMPTION_H_

#include <optional>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class ColdPresumption {
 public:
  // Sets how long upstreams of the service are cold after their start.
  void set_cold_time(Duration cold_time) { cold_time_ = cold_time; }

  // A connection could not be opened, or the upstream broke off the last open
  // one. Returns whether the upstream was not presumed cold before.
  bool OnRestartSign(TimePoint now);
  // A connection opened.
  void OnConnected(TimePoint now);
  // The upstream states how much longer it is cold; zero if it is warm.
  void OnStated(Duration remaining, TimePoint now);

  bool Holds(TimePoint now) const;
  // Whether the presumption holds and the upstream has not stated anything
  // since the last sign.
  bool IsUnverified(TimePoint now) const { return is_suspected_ && Holds(now); }

 private:
  Duration cold_time_{};
  bool is_suspected_ = false;
  // When the first connection after the last sign opened.
  std::optional<TimePoint> connected_at_;
  TimePoint stated_until_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_COLD_PRESUMPTION_H_
