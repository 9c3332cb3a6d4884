#include "lacewingknot/policy/upstream_gate.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamGateTest : public ::testing::Test {
 protected:
  // Attempts a request every 5 ms for `time`; returns how many may be sent.
  int SendFor(Duration time) {
    int sent = 0;
    for (const TimePoint end = now_ + time; now_ < end;
         now_ += milliseconds(5)) {
      if (gate_.Check(now_) != GateDecision::kOpen) continue;
      gate_.OnSent(now_);
      ++sent;
    }
    return sent;
  }

  UpstreamGate gate_{{.random_seed = 1}};
  TimePoint now_{std::chrono::hours(1)};
};

// Guards against sending to an upstream that leaves, because a daemon cannot
// reach the store that would say so.
TEST_F(UpstreamGateTest, Upstream_SaysItLeaves_GetsNothingMore) {
  EXPECT_TRUE(gate_.OnAnswer({.is_leaving = true}, now_).leaving);
  EXPECT_EQ(gate_.Check(now_), GateDecision::kLeaving);
  EXPECT_FALSE(gate_.OnAnswer({.is_leaving = true}, now_).leaving);
  // The answer of a request that was sent earlier may come later.
  gate_.OnAnswer({}, now_);
  EXPECT_EQ(SendFor(seconds(60)), 0);
}

TEST_F(UpstreamGateTest, Upstream_NamesWait_GetsNothingUntilItsEnd) {
  EXPECT_TRUE(gate_.OnAnswer({.wait = seconds(3)}, now_).wait);
  EXPECT_EQ(SendFor(seconds(3)), 0);
  EXPECT_GT(SendFor(seconds(1)), 0);
}

// In-flight attempts may be refused one after the other.
TEST_F(UpstreamGateTest, Waits_Overlapping_LatestEndCounts) {
  EXPECT_TRUE(gate_.OnAnswer({.wait = seconds(3)}, now_).wait);
  now_ += seconds(1);
  EXPECT_FALSE(gate_.OnAnswer({.wait = seconds(1)}, now_).wait);
  EXPECT_EQ(SendFor(seconds(2)), 0);
  EXPECT_GT(SendFor(seconds(1)), 0);
}

TEST_F(UpstreamGateTest, Wait_Ends_AttemptsReturnGradually) {
  gate_.OnAnswer({.wait = seconds(2)}, now_);
  now_ += seconds(2);
  EXPECT_LE(SendFor(seconds(1)), 10);
  EXPECT_EQ(SendFor(seconds(1)), 200);
}

TEST_F(UpstreamGateTest, Wait_MakesNoSense_IsIgnoredOrBounded) {
  gate_.OnAnswer({.wait = seconds(-5)}, now_);
  gate_.OnAnswer({.wait = Duration::zero()}, now_);
  EXPECT_EQ(gate_.Check(now_), GateDecision::kOpen);
  gate_.OnAnswer({.wait = std::chrono::hours(1'000)}, now_);
  now_ += seconds(61);
  EXPECT_EQ(gate_.Check(now_), GateDecision::kOpen);
}

// A refused client is told when to come back.
TEST_F(UpstreamGateTest, OpensAt_AnyStatement_IsWhenAttemptsPass) {
  EXPECT_EQ(gate_.OpensAt(now_), now_);
  gate_.OnAnswer({.wait = seconds(3)}, now_);
  EXPECT_EQ(gate_.OpensAt(now_), now_ + seconds(3));
  now_ += seconds(3);
  EXPECT_EQ(gate_.Check(now_), GateDecision::kOpen);
  gate_.OnSent(now_);
  EXPECT_EQ(gate_.OpensAt(now_), now_ + milliseconds(100));
  now_ += seconds(5);
  gate_.set_rate_share(1);
  gate_.OnAnswer({.rate = 10.0}, now_);
  EXPECT_EQ(gate_.Check(now_), GateDecision::kRateLimited);
  const TimePoint opens_at = gate_.OpensAt(now_);
  EXPECT_GT(opens_at, now_ + milliseconds(50));
  EXPECT_LT(opens_at, now_ + milliseconds(150));
  EXPECT_EQ(gate_.Check(opens_at - milliseconds(2)),
            GateDecision::kRateLimited);
  EXPECT_EQ(gate_.Check(opens_at + milliseconds(2)), GateDecision::kOpen);
  gate_.OnAnswer({.is_leaving = true}, now_);
  EXPECT_EQ(gate_.OpensAt(now_), TimePoint::max());
}

TEST_F(UpstreamGateTest, Values_Malformed_AreReportedOnce) {
  EXPECT_TRUE(gate_.OnAnswer({.malformed = 2}, now_).malformed);
  EXPECT_FALSE(gate_.OnAnswer({.malformed = 1}, now_).any());
}

TEST_F(UpstreamGateTest, Rate_DuringWait_BothHold) {
  gate_.set_rate_share(1);
  EXPECT_TRUE(gate_.OnAnswer({.wait = seconds(1), .rate = 10.0}, now_).rate);
  EXPECT_EQ(SendFor(seconds(1)), 0);
  now_ += seconds(1);
  EXPECT_LE(SendFor(seconds(4)), 1.5 * 10 * 4 + 5);
}

}  // namespace
}  // namespace lacewingknot
