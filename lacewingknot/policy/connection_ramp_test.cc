#include "lacewingknot/policy/connection_ramp.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST(ConnectionRampTest, Allowance_FromStart_GrowsToTheShare) {
  ConnectionRamp ramp(kStart);
  ramp.set_limit(16);
  EXPECT_EQ(ramp.Allowed(kStart), 4);
  EXPECT_EQ(ramp.Allowed(kStart + seconds(2)), 10);
  EXPECT_EQ(ramp.Allowed(kStart + seconds(4)), 16);
  EXPECT_EQ(ramp.Allowed(kStart + seconds(60)), 16);
}

TEST(ConnectionRampTest, Allowance_SmallShare_IsAtLeastOne) {
  ConnectionRamp ramp(kStart);
  ramp.set_limit(1);
  EXPECT_EQ(ramp.Allowed(kStart), 1);
}

// Replays the return of seven daemons in virtual time. The upstream accepts 26
// connections and still counts 14 of the dead processes, which it closes one by
// one between the first and the fourth second. Every daemon opens as many as it
// may at once.
TEST(ConnectionRampTest, Fleet_ReturnsAfterPowerLoss_StaysWithinTheLimit) {
  constexpr std::int64_t kLimit = 26;
  constexpr std::int64_t kDead = 14;
  const std::vector<std::int64_t> shares{4, 4, 4, 4, 4, 1, 1};
  std::int64_t rejected = 0;
  std::int64_t rejected_without_ramp = 0;
  for (Duration since{}; since < seconds(5); since += milliseconds(50)) {
    const double closed =
        std::clamp(std::chrono::duration<double>(since - seconds(1)) /
                       std::chrono::duration<double>(seconds(3)),
                   0.0, 1.0);
    const auto dead = static_cast<std::int64_t>(kDead * (1 - closed));
    std::int64_t open = 0;
    std::int64_t open_without_ramp = 0;
    for (const std::int64_t share : shares) {
      ConnectionRamp ramp(kStart);
      ramp.set_limit(share);
      open += ramp.Allowed(kStart + since);
      open_without_ramp += share;
    }
    rejected += std::max<std::int64_t>(0, dead + open - kLimit);
    rejected_without_ramp +=
        std::max<std::int64_t>(0, dead + open_without_ramp - kLimit);
  }
  EXPECT_EQ(rejected, 0);
  EXPECT_GT(rejected_without_ramp, 0);
}

}  // namespace
}  // namespace lacewingknot
