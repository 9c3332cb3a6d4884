// A budget for extra attempts (retries and hedges) over a sliding window.
//
// Load pattern: for seconds no request needs a second attempt, and then half of
// the replicas refuse or pause at once. A token bucket with the capacity of the
// base allowance alone is empty after a few requests; a sliding window still
// holds what the first attempts of the quiet seconds have earned.
//
// In any window, extra attempts are at most `ratio` times the first attempts in
// it plus `base_allowance`. A daemon that has just started
// has a quarter of the base allowance and earns the rest over one window: the
// process before it may have spent its own.
//
// The less a kind of extra attempt is needed, the smaller the share of the
// budget that it may use. A retry, without which the shard gets no answer, may
// use all of it, a hedge only a share, and a hedge of a less urgent request a
// smaller share.
//
// Not thread-safe; a value type.
//
// Example:
//   ExtraLoadWindow window(
//       {.ratio = 0.17, .base_allowance = 3, .length = 10s}, now);
//   window.OnFirstAttempt(now);
//   if (window.TrySpend(ExtraAttemptKind::kRetry, now)) Send(...);

#ifndef LACEWINGKNOT_POLICY_EXTRA_LOAD_WINDOW_H_
#define LACEWINGKNOT_POLICY_EXTRA_LOAD_WINDOW_H_

#include <array>
#include <cstdint>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// Kinds of extra attempts, the most needed first.
enum class ExtraAttemptKind {
  kRetry,        // Earlier attempts failed; without it there is no answer.
  kUrgentHedge,  // An earlier attempt is slow and the request is urgent.
  kHedge,        // An earlier attempt is slow.
};

class ExtraLoadWindow {
 public:
  struct Limits {
    double ratio = 0;  // Extra attempts for each first attempt.
    double base_allowance =
        0;  // Extra attempts in each window without first attempts.
    Duration length = std::chrono::seconds(10);
  };

  // `started_at` is when the process started.
  ExtraLoadWindow(Limits limits, TimePoint started_at)
      : limits_(limits), started_at_(started_at) {}

  void set_limits(Limits limits) { limits_ = limits; }

  void OnFirstAttempt(TimePoint now);

  // Returns how many extra attempts retries may still make at `now`.
  double Remaining(TimePoint now) const;

  // Takes one extra attempt from the budget; returns false if the share of
  // `need` is used up.
  bool TrySpend(ExtraAttemptKind need, TimePoint now);

 private:
  // The window is counted in buckets of a twentieth of its length. One more
  // bucket is kept, so that extra attempts are never counted over less than one
  // window.
  static constexpr std::size_t kBucketsPerWindow = 20;
  struct Bucket {
    std::int64_t index = -1;  // Since the epoch of the clock.
    double first_attempts = 0;
    double extra_attempts = 0;
  };

  // Returns the bucket of `now`, emptied if it held counts of an older window.
  Bucket& BucketAt(TimePoint now);
  double Allowance(TimePoint now) const;
  double Spent(TimePoint now) const;
  std::int64_t BucketIndex(TimePoint now) const;

  Limits limits_;
  TimePoint started_at_;
  std::array<Bucket, kBucketsPerWindow + 1> buckets_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_EXTRA_LOAD_WINDOW_H_
