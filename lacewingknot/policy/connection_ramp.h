// How many connections to each upstream a process may hold that has just
// started.
//
// Load pattern: all daemons lose power and start again. The upstreams still
// count the connections of the dead processes, which sent no sign of their end,
// until these have been idle for some seconds. The first queries of every
// daemon need a connection to every replica at once. If each daemon opens as
// many as its share of an upstream's limit allows, dead and new connections
// together exceed the limit and the upstream resets the new ones, with the
// requests on them.
//
// The allowance therefore starts at a fraction of the share and grows to the
// whole share within the time that idle connections last.
//
// No clock; a value type.
//
// Example:
//   ConnectionRamp ramp(now);
//   ramp.set_limit(4);
//   if (open_connections < ramp.Allowed(now)) OpenConnection();

#ifndef LACEWINGKNOT_POLICY_CONNECTION_RAMP_H_
#define LACEWINGKNOT_POLICY_CONNECTION_RAMP_H_

#include <cstdint>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class ConnectionRamp {
 public:
  // `started_at` is when this process started.
  explicit ConnectionRamp(TimePoint started_at) : started_at_(started_at) {}

  // Sets this daemon's share of the upstream's limit, at least 1.
  void set_limit(std::int64_t limit) { limit_ = limit; }

  // Returns how many connections may be open at `now`, from 1 to the share.
  std::int64_t Allowed(TimePoint now) const;

 private:
  TimePoint started_at_;
  std::int64_t limit_ = 1;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_CONNECTION_RAMP_H_
