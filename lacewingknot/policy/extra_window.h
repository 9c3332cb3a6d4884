// A budget for extra attempts (hedges and retries) over a sliding window.
//
// Load pattern: for seconds nothing needs a second attempt, and then half of
// the replicas refuse or stop at once. A token bucket that holds the fixed part
// only is empty after a few requests; a sliding window keeps what the quiet
// seconds earned.
//
// In any window, extra attempts are at most `ratio` of the first attempts in it
// plus `fixed`. A daemon that has just started has a quarter of the fixed part
// and earns the rest over one window: the process before it may have spent its
// own. When little is left it
// goes to those who need it most: a request whose shard would be lost may use
// all of it, a hedge only a part, and one of a less urgent request a smaller
// part.
//
// Not thread-safe; a value type.
//
// Example:
//   ExtraWindow window({.ratio = 0.17, .fixed = 3, .length = 10s}, now);
//   window.OnFirstAttempt(now);
//   if (window.TrySpend(ExtraNeed::kRetry, now)) Send(...);

#ifndef LACEWINGKNOT_POLICY_EXTRA_WINDOW_H_
#define LACEWINGKNOT_POLICY_EXTRA_WINDOW_H_

#include <array>
#include <cstdint>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// Why an extra attempt is wanted, most needed first.
enum class ExtraNeed {
  kRetry,        // Without it there is no answer.
  kUrgentHedge,  // The first attempt is slow; the request is urgent.
  kHedge,        // The first attempt is slow.
};

class ExtraWindow {
 public:
  struct Limits {
    double ratio = 0;
    double fixed = 0;
    Duration length = std::chrono::seconds(10);
  };

  ExtraWindow(Limits limits, TimePoint started)
      : limits_(limits), started_(started) {}

  void set_limits(Limits limits) { limits_ = limits; }

  void OnFirstAttempt(TimePoint now);

  // What retries may still spend.
  double Left(TimePoint now) const;

  // Takes one extra attempt; false if `need` may not have it.
  bool TrySpend(ExtraNeed need, TimePoint now);

 private:
  // The window moves in steps of a twentieth; one step more is kept, so that a
  // window is never counted too short.
  static constexpr std::size_t kSteps = 20;
  struct Step {
    std::int64_t number = -1;
    double first = 0;
    double extra = 0;
  };

  Step& StepAt(TimePoint now);
  double Allowed(TimePoint now) const;
  double Spent(TimePoint now) const;
  std::int64_t NumberOf(TimePoint now) const;

  Limits limits_;
  TimePoint started_;
  std::array<Step, kSteps + 1> steps_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_EXTRA_WINDOW_H_
