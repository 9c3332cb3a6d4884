#include "lacewingknot/policy/partial_answer.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

class PartialAnswerTest : public ::testing::Test {
 protected:
  QueryDecision DecideAt(std::size_t answered, std::size_t lost, int ms) const {
    return DecideQuery({.shards = 20,
                        .answered = answered,
                        .failed = lost,
                        .min_coverage = 0.89,
                        .soft_deadline = start_ + milliseconds(140),
                        .deadline = start_ + milliseconds(1'400)},
                       start_ + milliseconds(ms));
  }

  TimePoint start_ = TimePoint(std::chrono::hours(1));
};

TEST_F(PartialAnswerTest, Query_AllShardsAnswered_AnswersAtOnce) {
  EXPECT_EQ(DecideAt(20, 0, 5), QueryDecision::kAnswer);
}

TEST_F(PartialAnswerTest, Query_ShardMissing_WaitsUntilTheObjective) {
  EXPECT_EQ(DecideAt(19, 0, 100), QueryDecision::kWait);
  EXPECT_EQ(DecideAt(19, 0, 140), QueryDecision::kAnswer);
}

TEST_F(PartialAnswerTest, Query_MissingShardsFailed_AnswersAtOnce) {
  EXPECT_EQ(DecideAt(18, 2, 30), QueryDecision::kAnswer);
}

TEST_F(PartialAnswerTest, Query_BelowMinCoverage_WaitsBeyondTheObjective) {
  EXPECT_EQ(DecideAt(17, 0, 200), QueryDecision::kWait);
  EXPECT_EQ(DecideAt(18, 0, 200), QueryDecision::kAnswer);
}

TEST_F(PartialAnswerTest, Query_MinCoverageUnreachable_FailsAtOnce) {
  EXPECT_EQ(DecideAt(10, 3, 1), QueryDecision::kFail);
}

TEST_F(PartialAnswerTest, Query_DeadlineReached_AnswersOrFails) {
  EXPECT_EQ(DecideAt(17, 0, 1'400), QueryDecision::kFail);
  EXPECT_EQ(DecideAt(18, 0, 1'400), QueryDecision::kAnswer);
}

TEST_F(PartialAnswerTest, Coverage_NoPart_IsNeverSufficient) {
  EXPECT_FALSE(HasSufficientCoverage(0, 20, 0));
  EXPECT_FALSE(HasSufficientCoverage(0, 0, 0));
  EXPECT_TRUE(HasSufficientCoverage(1, 20, 0));
}

}  // namespace
}  // namespace lacewingknot
