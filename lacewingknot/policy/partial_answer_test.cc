#include "lacewingknot/policy/partial_answer.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

class PartialAnswerTest : public ::testing::Test {
 protected:
  QueryVerdict At(std::size_t answered, std::size_t lost, int ms) const {
    return JudgeQuery({.shards = 20,
                       .answered = answered,
                       .lost = lost,
                       .min_share = 0.89,
                       .answer_by = start_ + milliseconds(140),
                       .deadline = start_ + milliseconds(1'400)},
                      start_ + milliseconds(ms));
  }

  TimePoint start_ = TimePoint(std::chrono::hours(1));
};

TEST_F(PartialAnswerTest, Query_AllShardsAnswered_IsAnsweredAtOnce) {
  EXPECT_EQ(At(20, 0, 5), QueryVerdict::kAnswer);
}

TEST_F(PartialAnswerTest, Query_ShardStillOut_WaitsUntilTheObjective) {
  EXPECT_EQ(At(19, 0, 100), QueryVerdict::kWait);
  EXPECT_EQ(At(19, 0, 140), QueryVerdict::kAnswer);
}

TEST_F(PartialAnswerTest, Query_TheRestIsLost_DoesNotWait) {
  EXPECT_EQ(At(18, 2, 30), QueryVerdict::kAnswer);
}

TEST_F(PartialAnswerTest, Query_BelowTheLeastShare_WaitsBeyondTheObjective) {
  EXPECT_EQ(At(17, 0, 200), QueryVerdict::kWait);
  EXPECT_EQ(At(18, 0, 200), QueryVerdict::kAnswer);
}

TEST_F(PartialAnswerTest, Query_LeastShareOutOfReach_FailsAtOnce) {
  EXPECT_EQ(At(10, 3, 1), QueryVerdict::kFail);
}

TEST_F(PartialAnswerTest, Query_DeadlineReached_EndsEitherWay) {
  EXPECT_EQ(At(17, 0, 1'400), QueryVerdict::kFail);
  EXPECT_EQ(At(18, 0, 1'400), QueryVerdict::kAnswer);
}

TEST_F(PartialAnswerTest, Share_NoPart_IsNeverASuccess) {
  EXPECT_FALSE(IsSuccess(0, 20, 0));
  EXPECT_FALSE(IsSuccess(0, 0, 0));
  EXPECT_TRUE(IsSuccess(1, 20, 0));
}

}  // namespace
}  // namespace lacewingknot
