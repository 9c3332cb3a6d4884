// Time as the daemon sees it.
//
// The clock counts while the process is stopped and while the VM is suspended
// (CLOCK_BOOTTIME), so a lease that ran out during a pause is seen as expired
// on the first comparison after waking. It never jumps with the wall clock.
//
// Code that decides takes `now` as an argument; code that must read time takes
// a `Clock` hook, which tests replace by `ManualClock`.
//
// Example:
//   ManualClock clock;
//   Clock now = clock.hook();
//   clock.Advance(std::chrono::seconds(3));

#ifndef LACEWINGKNOT_BASE_CLOCK_H_
#define LACEWINGKNOT_BASE_CLOCK_H_

#include <chrono>
#include <functional>

namespace lacewingknot {

using Duration = std::chrono::nanoseconds;

// Chrono clock over CLOCK_BOOTTIME. Thread-safe.
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

// Returns a hook that reads BootClock.
Clock SystemClock();

// Converts to milliseconds for wire formats and logs, rounding down.
std::int64_t ToMillis(Duration duration);

// The same in microseconds.
std::int64_t ToMicros(Duration duration);

// A clock moved by hand. Not thread-safe.
class ManualClock {
 public:
  TimePoint now() const { return now_; }
  void Advance(Duration by) { now_ += by; }
  // The hook refers to this object, which must outlive it.
  Clock hook();

 private:
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_CLOCK_H_
