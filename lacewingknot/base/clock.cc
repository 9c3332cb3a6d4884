#include "lacewingknot/base/clock.h"

#include <ctime>

namespace lacewingknot {

TimePoint BootClock::now() noexcept {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return TimePoint(std::chrono::seconds(ts.tv_sec) +
                   std::chrono::nanoseconds(ts.tv_nsec));
}

Clock BootTimeClock() {
  return [] { return BootClock::now(); };
}

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Clock ManualClock::AsClock() {
  return [this] { return now_; };
}

}  // namespace lacewingknot
