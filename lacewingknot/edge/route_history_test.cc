#include <gtest/gtest.h>

#include "lacewingknot/edge/edge_core.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(60);

class RouteHistoryTest : public ::testing::Test {
 protected:
  // `slow` of 100 shards would take 40 ms, the others 12 ms; a hedge answers
  // 10 ms after it was placed. Returns how many were hedged.
  int AskShards(int slow) {
    const Duration delay = history_.HedgeDelay(kObjective);
    int hedged = 0;
    for (int i = 0; i < 100; ++i) {
      const Duration alone = i < slow ? milliseconds(40) : milliseconds(12);
      const bool hedge = alone > delay;
      hedged += hedge;
      history_.OnShard(hedge ? std::min(alone, delay + milliseconds(10))
                             : alone);
    }
    return hedged;
  }

  RouteHistory history_{kObjective};
};

TEST_F(RouteHistoryTest, HedgeDelay_NothingKnown_IsHalfOfTheObjective) {
  EXPECT_EQ(history_.HedgeDelay(kObjective), kObjective / 2);
}

TEST_F(RouteHistoryTest, HedgeDelay_FewSlowShards_HedgesThoseOnly) {
  for (int i = 0; i < 20; ++i) AskShards(8);
  EXPECT_EQ(AskShards(8), 8);
}

// With a tenth overtaken by hedges, the delay must not sink among the others.
TEST_F(RouteHistoryTest, HedgeDelay_ShardsOvertakenByHedges_StaysAboveTheRest) {
  for (int i = 0; i < 60; ++i) AskShards(12);
  EXPECT_GT(history_.HedgeDelay(kObjective), milliseconds(12));
  EXPECT_LE(AskShards(12), 12);
}

}  // namespace
}  // namespace lacewingknot::edge
