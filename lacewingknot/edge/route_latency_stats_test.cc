#include <gtest/gtest.h>

#include "lacewingknot/edge/edge_core.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(60);

class RouteLatencyStatsTest : public ::testing::Test {
 protected:
  // Simulates a query of 100 shards. Without a hedge, `slow_shards` shards take
  // 40 ms and the others 12 ms; a hedge answers 10 ms after it is sent. Returns
  // the number of hedged shards.
  int SimulateQuery(int slow_shards) {
    const Duration delay = history_.HedgeDelay(kObjective);
    int hedge_count = 0;
    for (int i = 0; i < 100; ++i) {
      const Duration unhedged_latency =
          i < slow_shards ? milliseconds(40) : milliseconds(12);
      const bool is_hedged = unhedged_latency > delay;
      hedge_count += is_hedged;
      history_.RecordShardLatency(
          is_hedged ? std::min(unhedged_latency, delay + milliseconds(10))
                    : unhedged_latency);
    }
    return hedge_count;
  }

  RouteLatencyStats history_{kObjective};
};

TEST_F(RouteLatencyStatsTest, HedgeDelay_NoSamples_IsHalfOfObjective) {
  EXPECT_EQ(history_.HedgeDelay(kObjective), kObjective / 2);
}

TEST_F(RouteLatencyStatsTest, HedgeDelay_FewSlowShards_HedgesOnlyThose) {
  for (int i = 0; i < 20; ++i) SimulateQuery(8);
  EXPECT_EQ(SimulateQuery(8), 8);
}

// Guards against a hedge delay that falls to the latency of normal shards when
// hedges overtake a tenth of the shards, so that ever more shards are hedged.
TEST_F(RouteLatencyStatsTest,
       HedgeDelay_HedgesOvertakeShards_StaysAboveNormalLatency) {
  for (int i = 0; i < 60; ++i) SimulateQuery(12);
  EXPECT_GT(history_.HedgeDelay(kObjective), milliseconds(12));
  EXPECT_LE(SimulateQuery(12), 12);
}

}  // namespace
}  // namespace lacewingknot::edge
