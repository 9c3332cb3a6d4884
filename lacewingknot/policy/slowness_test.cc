#include "lacewingknot/policy/slowness.h"

#include <gtest/gtest.h>

#include "lacewingknot/policy/replica_choice.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongRequest = milliseconds(20);
constexpr Duration kShortRequest = milliseconds(7);

class SlownessEstimatorTest : public ::testing::Test {
 protected:
  // Advances time by `interval`, then adds a response.
  void AddResponse(Duration latency, Duration mean_latency, Duration interval) {
    now_ += interval;
    slowness_.Add(latency, mean_latency, now_);
  }

  // Returns whether a local replica with this estimate loses requests to a
  // remote replica without one.
  bool LosesRequests(Duration mean_latency) const {
    const ReplicaLoad local{
        .expected_latency = std::chrono::duration_cast<Duration>(
            mean_latency * slowness_.Factor(now_)),
        .slots = 2,
        .is_local = true};
    const ReplicaLoad remote{.expected_latency = mean_latency, .slots = 2};
    const std::array replicas{local, remote};
    return ChooseReplica(replicas, 0, {}) != 0;
  }

  SlownessEstimator slowness_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_F(SlownessEstimatorTest, Replica_WithoutSamples_HasFactorOne) {
  EXPECT_DOUBLE_EQ(slowness_.Factor(now_), 1);
}

TEST_F(SlownessEstimatorTest, Kinds_OfDifferentCost_DoNotMix) {
  for (int i = 0; i < 50; ++i) {
    AddResponse(kLongRequest, kLongRequest, milliseconds(40));
    AddResponse(kShortRequest, kShortRequest, milliseconds(40));
  }
  EXPECT_NEAR(slowness_.Factor(now_), 1, 0.01);
}

// A replica pauses for 200 ms and then answers all delayed requests at once.
TEST_F(SlownessEstimatorTest, Replica_PausedBriefly_KeepsItsRequests) {
  for (int i = 0; i < 20; ++i) {
    AddResponse(kLongRequest, kLongRequest, milliseconds(75));
  }
  AddResponse(milliseconds(210), kLongRequest, milliseconds(200));
  AddResponse(milliseconds(140), kLongRequest, milliseconds(1));
  AddResponse(milliseconds(60), kLongRequest, milliseconds(1));
  EXPECT_FALSE(LosesRequests(kLongRequest)) << slowness_.Factor(now_);
}

TEST_F(SlownessEstimatorTest, Replica_WithOneSlowResponse_KeepsItsRequests) {
  for (int i = 0; i < 20; ++i) {
    AddResponse(kLongRequest, kLongRequest, milliseconds(75));
  }
  AddResponse(milliseconds(100), kLongRequest, milliseconds(75));
  AddResponse(kLongRequest, kLongRequest, milliseconds(75));
  EXPECT_FALSE(LosesRequests(kLongRequest)) << slowness_.Factor(now_);
}

TEST_F(SlownessEstimatorTest,
       Replica_BecomesSlow_LosesItsRequestsAfterThreeResponses) {
  for (int i = 0; i < 20; ++i) {
    AddResponse(kLongRequest, kLongRequest, milliseconds(75));
  }
  for (int i = 0; i < 3; ++i) {
    AddResponse(kLongRequest * 7, kLongRequest, milliseconds(75));
  }
  EXPECT_TRUE(LosesRequests(kLongRequest)) << slowness_.Factor(now_);
}

TEST_F(SlownessEstimatorTest,
       Replica_UnusedAfterSlowness_IsUsedAgainInSeconds) {
  for (int i = 0; i < 5; ++i) {
    AddResponse(kLongRequest * 7, kLongRequest, milliseconds(75));
  }
  ASSERT_TRUE(LosesRequests(kLongRequest));
  now_ += seconds(12);
  EXPECT_FALSE(LosesRequests(kLongRequest));
}

}  // namespace
}  // namespace lacewingknot
