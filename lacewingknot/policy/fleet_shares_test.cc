// Tests of how daemons divide limits and requests that belong to the whole
// fleet.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "lacewingknot/policy/cold_rate_limiter.h"
#include "lacewingknot/policy/weighted_round_robin.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ColdRateLimiterTest, Gate_ShareOfTwo_AllowsTwoInOneSecond) {
  ColdRateLimiter gate;
  TimePoint now(std::chrono::hours(1));
  int allowed = 0;
  for (int ms = 0; ms < 1'000; ms += 10) {
    if (!gate.Allows(2, 0, now + milliseconds(ms))) continue;
    gate.OnSent(false, now + milliseconds(ms));
    ++allowed;
  }
  EXPECT_EQ(allowed, 2);
  EXPECT_TRUE(gate.Allows(2, 0, now + milliseconds(1'010)));
}

TEST(ColdRateLimiterTest, Gate_ShareBelowOne_AllowsOneInSeveralSeconds) {
  ColdRateLimiter gate;
  const TimePoint now(std::chrono::hours(1));
  ASSERT_TRUE(gate.Allows(0.25, 0, now));
  gate.OnSent(false, now);
  EXPECT_FALSE(gate.Allows(0.25, 0, now + seconds(3)));
  EXPECT_TRUE(gate.Allows(0.25, 0, now + seconds(4)));
}

// A daemon may notice the restart only after it has sent a full share.
TEST(ColdRateLimiterTest, Gate_SentAsWarm_CountsForOneSecond) {
  ColdRateLimiter gate;
  const TimePoint now(std::chrono::hours(1));
  gate.OnSent(true, now);
  EXPECT_FALSE(gate.Allows(0.25, 0, now + milliseconds(999)));
  EXPECT_TRUE(gate.Allows(0.25, 0, now + seconds(1)));
  gate.OnSent(true, now);
  gate.OnSent(true, now);
  EXPECT_FALSE(gate.Allows(2, 0, now + milliseconds(999)));
}

// Guards against a burst of requests that are allowed while a connection opens.
TEST(ColdRateLimiterTest, Gate_AllowedOnesWaiting_CountLikeSentOnes) {
  ColdRateLimiter gate;
  const TimePoint now(std::chrono::hours(1));
  EXPECT_TRUE(gate.Allows(2, 1, now));
  EXPECT_FALSE(gate.Allows(2, 2, now));
  gate.OnSent(false, now);
  EXPECT_FALSE(gate.Allows(2, 1, now));
}

TEST(ColdRateLimiterTest, Gate_NoShare_AllowsNothing) {
  EXPECT_FALSE(ColdRateLimiter().Allows(0, 0, TimePoint(seconds(1))));
}

RC_GTEST_PROP(WeightedRoundRobinProperty,
              Targets_AnyWeights_GetTheirShareOfRequests, ()) {
  const auto weights = *rc::gen::container<std::vector<double>>(
      3, rc::gen::map(rc::gen::inRange(1, 100),
                      [](int weight) { return weight / 10.0; }));
  const double phase = *rc::gen::inRange(0, 100) / 100.0;
  WeightedRoundRobin selector(weights, phase);
  constexpr int kRequests = 400;
  std::vector<int> counts(weights.size(), 0);
  for (int i = 0; i < kRequests; ++i) ++counts[selector.Next()];
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    RC_ASSERT(std::abs(counts[i] - kRequests * weights[i] / total) <= 3.0);
  }
}

}  // namespace
}  // namespace lacewingknot
