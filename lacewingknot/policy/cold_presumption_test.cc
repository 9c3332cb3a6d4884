// Replays the restart of a cold upstream that some daemons are not told of.

#include "lacewingknot/policy/cold_presumption.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

#include "lacewingknot/policy/cold_rate_limiter.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kColdTime = seconds(3);
constexpr TimePoint kStart{seconds(1'000)};

TEST(ColdPresumptionTest, Upstream_NoSign_IsNotPresumedCold) {
  ColdPresumption presumption;
  presumption.set_cold_time(kColdTime);
  presumption.OnConnected(kStart);
  EXPECT_FALSE(presumption.Holds(kStart));
}

TEST(ColdPresumptionTest, Sign_NoConnectionSince_HoldsWithoutEnd) {
  ColdPresumption presumption;
  presumption.set_cold_time(kColdTime);
  EXPECT_TRUE(presumption.OnRestartSign(kStart));
  EXPECT_FALSE(presumption.OnRestartSign(kStart + milliseconds(1)));
  EXPECT_TRUE(presumption.Holds(kStart + std::chrono::hours(1)));
}

TEST(ColdPresumptionTest, Sign_ConnectedSince_HoldsForColdTime) {
  ColdPresumption presumption;
  presumption.set_cold_time(kColdTime);
  presumption.OnRestartSign(kStart);
  presumption.OnConnected(kStart + seconds(1));
  // Further connections do not extend it.
  presumption.OnConnected(kStart + seconds(2));
  EXPECT_TRUE(presumption.Holds(kStart + milliseconds(3'999)));
  EXPECT_FALSE(presumption.Holds(kStart + seconds(4)));
}

TEST(ColdPresumptionTest, Statement_AfterSign_ReplacesPresumption) {
  ColdPresumption presumption;
  presumption.set_cold_time(kColdTime);
  presumption.OnRestartSign(kStart);
  EXPECT_TRUE(presumption.IsUnverified(kStart));
  presumption.OnStated(seconds(8), kStart);
  EXPECT_FALSE(presumption.IsUnverified(kStart));
  EXPECT_TRUE(presumption.Holds(kStart + milliseconds(7'999)));
  EXPECT_FALSE(presumption.Holds(kStart + seconds(8)));
  presumption.OnStated(Duration::zero(), kStart);
  EXPECT_FALSE(presumption.Holds(kStart));
}

// Six daemons send to an upstream at full load. It is down for half a second,
// comes back cold, and no daemon learns that from its record.
TEST(ColdPresumptionTest, Fleet_UpstreamBackColdUnannounced_KeepsToColdRate) {
  constexpr std::size_t kDaemons = 6;
  constexpr double kColdPerSecond = 5;
  constexpr double kShare = kColdPerSecond / kDaemons;
  constexpr Duration kInterval =
      milliseconds(18);  // Of each daemon's requests.
  const TimePoint down_at = kStart + seconds(2);
  const TimePoint up_at = down_at + milliseconds(500);
  std::vector<ColdPresumption> presumptions(kDaemons);
  std::vector<ColdRateLimiter> limiters(kDaemons);
  for (auto& presumption : presumptions) presumption.set_cold_time(kColdTime);
  std::deque<TimePoint> arrivals;  // Of the last second.
  std::size_t most = 0;
  std::size_t warm_arrivals = 0;
  for (TimePoint now = kStart; now < up_at + seconds(6); now += kInterval) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (now >= down_at && now - kInterval < down_at) {
        presumptions[i].OnRestartSign(now);
      }
      if (presumptions[i].Holds(now)) {
        if (!limiters[i].Allows(kShare, 0, now)) continue;
        limiters[i].OnSent(false, now);
      }
      if (now < down_at) continue;
      if (now < up_at) {
        presumptions[i].OnRestartSign(now);
        continue;
      }
      presumptions[i].OnConnected(now);
      if (now >= up_at + kColdTime) {
        ++warm_arrivals;
        continue;
      }
      arrivals.push_back(now);
      while (now - arrivals.front() >= seconds(1)) arrivals.pop_front();
      most = std::max(most, arrivals.size());
    }
  }
  // Each daemon alone may send one request at any time.
  EXPECT_LE(most, kDaemons + static_cast<std::size_t>(kColdPerSecond));
  EXPECT_GT(most, 0U);
  EXPECT_GT(warm_arrivals, 500U);
}

}  // namespace
}  // namespace lacewingknot
