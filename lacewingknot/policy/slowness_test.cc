#include "lacewingknot/policy/slowness.h"

#include <gtest/gtest.h>

#include "lacewingknot/policy/replica_choice.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLong = milliseconds(20);
constexpr Duration kShort = milliseconds(7);

class SlownessTest : public ::testing::Test {
 protected:
  // A request that is answered now; `interval` passes before it.
  void Answer(Duration latency, Duration usual, Duration interval) {
    now_ += interval;
    slowness_.Add(latency, usual, now_);
  }

  // Whether a local replica believed so slow loses work to a remote one.
  bool LosesWork(Duration usual) const {
    const ReplicaLoad local{.expected = std::chrono::duration_cast<Duration>(
                                usual * slowness_.Factor(now_)),
                            .slots = 2,
                            .local = true};
    const ReplicaLoad remote{.expected = usual, .slots = 2};
    const std::array replicas{local, remote};
    return ChooseReplica(replicas, 0, {}) != 0;
  }

  Slowness slowness_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_F(SlownessTest, Replica_NothingKnown_IsAsFastAsUsual) {
  EXPECT_DOUBLE_EQ(slowness_.Factor(now_), 1);
}

TEST_F(SlownessTest, Kinds_OfDifferentWork_DoNotMix) {
  for (int i = 0; i < 50; ++i) {
    Answer(kLong, kLong, milliseconds(40));
    Answer(kShort, kShort, milliseconds(40));
  }
  EXPECT_NEAR(slowness_.Factor(now_), 1, 0.01);
}

// A replica stops for 200 ms; what was held up is answered at once.
TEST_F(SlownessTest, Replica_StoppedForAMoment_KeepsItsWork) {
  for (int i = 0; i < 20; ++i) Answer(kLong, kLong, milliseconds(75));
  Answer(milliseconds(210), kLong, milliseconds(200));
  Answer(milliseconds(140), kLong, milliseconds(1));
  Answer(milliseconds(60), kLong, milliseconds(1));
  EXPECT_FALSE(LosesWork(kLong)) << slowness_.Factor(now_);
}

TEST_F(SlownessTest, Replica_OneSlowAnswerInAHundred_KeepsItsWork) {
  for (int i = 0; i < 20; ++i) Answer(kLong, kLong, milliseconds(75));
  Answer(milliseconds(100), kLong, milliseconds(75));
  Answer(kLong, kLong, milliseconds(75));
  EXPECT_FALSE(LosesWork(kLong)) << slowness_.Factor(now_);
}

TEST_F(SlownessTest, Replica_TurnsSlow_LosesItsWorkAfterThreeAnswers) {
  for (int i = 0; i < 20; ++i) Answer(kLong, kLong, milliseconds(75));
  for (int i = 0; i < 3; ++i) Answer(kLong * 7, kLong, milliseconds(75));
  EXPECT_TRUE(LosesWork(kLong)) << slowness_.Factor(now_);
}

TEST_F(SlownessTest, Replica_UnusedAfterSlowness_IsTriedAgainInSeconds) {
  for (int i = 0; i < 5; ++i) Answer(kLong * 7, kLong, milliseconds(75));
  ASSERT_TRUE(LosesWork(kLong));
  now_ += seconds(12);
  EXPECT_FALSE(LosesWork(kLong));
}

}  // namespace
}  // namespace lacewingknot
