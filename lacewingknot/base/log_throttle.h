// Limits how often one kind of event is logged, and counts the others.
//
// Not thread-safe; a value type.
//
// Example:
//   LogThrottle throttle{std::chrono::seconds(1)};
//   if (const auto unlogged = throttle.Admit(BootClock::now())) {
//     LogEvent(Event::kAnswerDropped, {{"unlogged", *unlogged}});
//   }

#ifndef LACEWINGKNOT_BASE_LOG_THROTTLE_H_
#define LACEWINGKNOT_BASE_LOG_THROTTLE_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class LogThrottle {
 public:
  // Events are logged at least `interval` apart.
  explicit LogThrottle(Duration interval) : interval_(interval) {}

  // If an event at `now` is to be logged, returns how many were not since the
  // last one that was; otherwise counts it and returns empty.
  std::optional<std::uint64_t> Admit(TimePoint now) {
    if (logged_at_ && now - *logged_at_ < interval_) {
      ++unlogged_;
      return std::nullopt;
    }
    logged_at_ = now;
    return std::exchange(unlogged_, 0);
  }

 private:
  Duration interval_;
  std::optional<TimePoint> logged_at_;
  std::uint64_t unlogged_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_LOG_THROTTLE_H_
