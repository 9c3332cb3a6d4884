#include "lacewingknot/policy/extra_load_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <functional>
#include <iostream>
#include <random>
#include <vector>

#include "lacewingknot/policy/extra_load_token_bucket.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ExtraLoadWindowTest : public ::testing::Test {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  ExtraLoadWindow window_{{.ratio = 0.2, .base_allowance = 3},
                          now_ - seconds(20)};
};

TEST_F(ExtraLoadWindowTest, Retries_AfterQuietSeconds_MaySpendWhatTheseEarned) {
  for (int i = 0; i < 150; ++i) {
    window_.OnFirstAttempt(now_ += milliseconds(60));
  }
  int spent = 0;
  while (window_.TrySpend(ExtraAttemptKind::kRetry, now_)) ++spent;
  EXPECT_EQ(spent, 33);
}

TEST_F(ExtraLoadWindowTest, Retry_HedgesSpentTheirShare_StillHasBudget) {
  for (int i = 0; i < 100; ++i) window_.OnFirstAttempt(now_);
  while (window_.TrySpend(ExtraAttemptKind::kHedge, now_)) continue;
  EXPECT_TRUE(window_.TrySpend(ExtraAttemptKind::kUrgentHedge, now_));
  while (window_.TrySpend(ExtraAttemptKind::kUrgentHedge, now_)) continue;
  EXPECT_TRUE(window_.TrySpend(ExtraAttemptKind::kRetry, now_));
}

TEST_F(ExtraLoadWindowTest, Spent_OneWindowAgo_IsAvailableAgain) {
  while (window_.TrySpend(ExtraAttemptKind::kRetry, now_)) continue;
  EXPECT_FALSE(window_.TrySpend(ExtraAttemptKind::kRetry, now_ + seconds(9)));
  EXPECT_TRUE(
      window_.TrySpend(ExtraAttemptKind::kRetry, now_ + milliseconds(10'600)));
}

// Many processes are killed at once, after each has spent its base allowance:
// their successors must not spend as much again at once.
TEST(ExtraLoadWindowStartTest,
     BaseAllowance_ProcessJustStarted_IsEarnedOverOneWindow) {
  const TimePoint start(std::chrono::hours(1));
  ExtraLoadWindow window({.ratio = 0.2, .base_allowance = 4}, start);
  EXPECT_TRUE(window.TrySpend(ExtraAttemptKind::kRetry, start));
  EXPECT_FALSE(window.TrySpend(ExtraAttemptKind::kRetry, start));
  EXPECT_FALSE(window.TrySpend(ExtraAttemptKind::kRetry, start + seconds(3)));
  EXPECT_TRUE(window.TrySpend(ExtraAttemptKind::kRetry, start + seconds(5)));
  EXPECT_FALSE(window.TrySpend(ExtraAttemptKind::kRetry, start + seconds(5)));
}

// For any traffic, extra attempts stay within the limit in every window.
RC_GTEST_PROP(ExtraLoadWindowProperty,
              Spent_AnyTraffic_IsWithinTheLimitInEveryWindow, ()) {
  TimePoint now(std::chrono::hours(1));
  ExtraLoadWindow window({.ratio = 0.2, .base_allowance = 2},
                         now - seconds(20));
  std::deque<TimePoint> extra;
  std::vector<TimePoint> first;
  const auto gaps =
      *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 120));
  for (const int gap : gaps) {
    now += milliseconds(gap);
    window.OnFirstAttempt(now);
    first.push_back(now);
    while (window.TrySpend(ExtraAttemptKind::kRetry, now)) extra.push_back(now);
    const TimePoint begin = now - seconds(10);
    while (!extra.empty() && extra.front() < begin) extra.pop_front();
    const auto recent = std::count_if(first.begin(), first.end(),
                                      [&](TimePoint at) { return at > begin; });
    RC_ASSERT(static_cast<double>(extra.size()) <=
              0.2 * static_cast<double>(recent) + 2.0);
  }
}

// After eight seconds without failures, half of the replicas of a shard refuse
// 60% of their requests for two seconds. Counts the queries whose shard fails
// because the budget for retries is spent.
TEST(ExtraBudgetReplayTest, Replicas_RefuseAtOnce_FewerShardsFailWithWindow) {
  struct Outcome {
    int failed = 0;
    int extra = 0;
  };
  const auto replay = [](const std::function<void(TimePoint)>& on_first,
                         const std::function<bool(TimePoint)>& try_spend) {
    Outcome outcome;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> chance(0, 1);
    TimePoint now(std::chrono::hours(1));
    constexpr Duration kGap = milliseconds(66);  // 15 queries a second.
    for (const TimePoint end = now + seconds(10); now < end; now += kGap) {
      on_first(now);
      const bool is_failing = end - now < seconds(2);
      // A query goes to one of two replicas; only one of them refuses.
      const bool refused =
          is_failing && chance(random) < 0.5 && chance(random) < 0.6;
      if (!refused) continue;
      if (try_spend(now)) {
        ++outcome.extra;
      } else {
        ++outcome.failed;
      }
    }
    return outcome;
  };
  ExtraLoadTokenBucket bucket({.fraction = 0.17, .burst = 3.25});
  const Outcome with_bucket =
      replay([&](TimePoint) { bucket.OnFirstAttempts(1); },
             [&](TimePoint) { return bucket.TrySpend(); });
  ExtraLoadWindow window({.ratio = 0.17, .base_allowance = 3.25}, TimePoint());
  const Outcome with_window =
      replay([&](TimePoint now) { window.OnFirstAttempt(now); },
             [&](TimePoint now) {
               return window.TrySpend(ExtraAttemptKind::kRetry, now);
             });
  std::cout << "token bucket: failed " << with_bucket.failed << ", extra "
            << with_bucket.extra << "; sliding window: failed "
            << with_window.failed << ", extra " << with_window.extra << "\n";
  EXPECT_GT(with_bucket.failed, 0);
  EXPECT_EQ(with_window.failed, 0);
}

}  // namespace
}  // namespace lacewingknot
