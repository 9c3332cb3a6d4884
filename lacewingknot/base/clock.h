// Monotonic time and the injectable clock of the daemon.
//
// BootClock reads CLOCK_BOOTTIME, which keeps counting while the process is
// stopped and while the VM is suspended. A lease that expired during such a
// pause is therefore found expired by the first comparison after it. Changes of
// the wall clock do not affect BootClock.
//
// Decision logic takes the current time as a `now` argument. Code that has to
// read the time itself takes a `Clock`, a function that returns the current
// time; tests pass the one of a `ManualClock`.
//
// Example:
//   ManualClock clock;
//   Clock now = clock.AsClock();
//   clock.Advance(std::chrono::seconds(3));
//   TimePoint three_seconds_later = now();

#ifndef LACEWINGKNOT_BASE_CLOCK_H_
#define LACEWINGKNOT_BASE_CLOCK_H_

#include <chrono>
#include <functional>

namespace lacewingknot {

using Duration = std::chrono::nanoseconds;

// Meets the Clock requirements of <chrono>. Thread-safe.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady =
      true;  // NOLINT(readability-identifier-naming)
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Clock = std::function<TimePoint()>;

// Returns a function that reads BootClock.
Clock BootTimeClock();

// Converts to whole milliseconds for wire formats and logs, truncating towards
// zero.
std::int64_t ToMillis(Duration duration);

// Converts to whole microseconds, truncating towards zero.
std::int64_t ToMicros(Duration duration);

// A clock for tests that only Advance() moves. Not thread-safe.
class ManualClock {
 public:
  TimePoint now() const { return now_; }
  void Advance(Duration by) { now_ += by; }
  // Returns a function that reads this clock, which must outlive the function.
  Clock AsClock();

 private:
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_CLOCK_H_
