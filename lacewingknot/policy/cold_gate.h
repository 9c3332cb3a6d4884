// Bounds what one daemon sends to a cold upstream in any second.
//
// Load pattern: a data centre returns and all of its upstreams start cold at
// once. Each bears a few requests a second, from all daemons together, and
// fails at well above that. Every daemon spends a fixed share, so that the sum
// holds without an exchange between them; a share below one request a second
// is spent as one request every few seconds.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_COLD_GATE_H_
#define LACEWINGKNOT_POLICY_COLD_GATE_H_

#include <algorithm>
#include <cmath>
#include <deque>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class ColdGate {
 public:
  // Whether one more request keeps to `per_second`.
  bool Allows(double per_second, TimePoint now) const {
    if (per_second <= 0) return false;
    const double whole = std::max(1.0, std::floor(per_second));
    const auto window = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(whole / std::min(per_second, whole)));
    const auto recent =
        std::count_if(sent_.begin(), sent_.end(),
                      [&](TimePoint at) { return now - at < window; });
    return static_cast<double>(recent) < whole;
  }

  void OnSent(TimePoint now) {
    sent_.push_back(now);
    if (sent_.size() > kRemembered) sent_.pop_front();
  }

 private:
  // More than any share of a cold upstream's rate.
  static constexpr std::size_t kRemembered = 256;

  std::deque<TimePoint> sent_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_COLD_GATE_H_
