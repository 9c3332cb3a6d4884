// A rate limiter for the requests that one daemon sends to a cold upstream.
//
// Load pattern: a data centre returns to service and all of its upstreams start
// cold at once. Each can handle a few requests a second, from all daemons
// together, and fails at rates well above that. Every daemon uses a fixed share
// of this rate, so that the sum stays within it without messages between the
// daemons. A share below one request a second is used as one request every few
// seconds.
//
// A daemon may notice late that an upstream has restarted, so requests that it
// sent while it took the upstream for warm are counted for a second too.
// Requests that wait to be sent are counted by the caller; a request that is
// never sent takes nothing of the share.
//
// Not thread-safe; a value type.
//
// Example:
//   ColdRateLimiter gate;
//   if (gate.Allows(requests_per_second, queue.size(), now)) {
//     queue.push(request);
//   }
//   ...
//   gate.OnSent(/*as_warm=*/false, now);
//   Send(queue.front());

#ifndef LACEWINGKNOT_POLICY_COLD_RATE_LIMITER_H_
#define LACEWINGKNOT_POLICY_COLD_RATE_LIMITER_H_

#include <algorithm>
#include <cmath>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class ColdRateLimiter {
 public:
  // Returns whether one more request at `now`, beside `waiting` that have been
  // allowed but not sent, keeps the rate within `per_second` requests a second.
  bool Allows(double per_second, std::size_t waiting, TimePoint now) const {
    if (per_second <= 0) return false;
    const double window_limit = std::max(1.0, std::floor(per_second));
    const auto window =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            window_limit / std::min(per_second, window_limit)));
    const auto sent_in_window =
        std::count_if(sent_.begin(), sent_.end(), [&](const Sent& sent) {
          return now - sent.at <
                 (sent.as_warm ? std::min(window, kWarmWindow) : window);
        });
    return static_cast<double>(sent_in_window) + static_cast<double>(waiting) <
           window_limit;
  }

  // Whether it counts no request that may still matter at `now`.
  bool IsUnused(TimePoint now) const {
    return sent_.empty() || now - sent_.back().at > kRetention;
  }

  // Counts a request sent at `now`, `as_warm` if the upstream was taken for
  // warm.
  void OnSent(bool as_warm, TimePoint now) {
    sent_.push_back({.at = now, .as_warm = as_warm});
    if (sent_.size() > kMaxSendTimes) sent_.erase(sent_.begin());
  }

 private:
  struct Sent {
    TimePoint at{};
    bool as_warm = false;
  };

  // Exceeds the requests a second in any share of a cold upstream's rate.
  static constexpr std::size_t kMaxSendTimes = 256;
  // A share of one request in this time, or more, is used evenly.
  static constexpr Duration kRetention = std::chrono::minutes(2);
  // The rate is stated per second. Beyond that, requests to the warm upstream
  // must not use up the share of one that has restarted.
  static constexpr Duration kWarmWindow = std::chrono::seconds(1);

  std::vector<Sent> sent_;  // Oldest first.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_COLD_RATE_LIMITER_H_
