#include "lacewingknot/policy/warmup_state.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::seconds;

class WarmupStateTest : public ::testing::Test {
 protected:
  void Answer(int count, bool is_owner = true,
              std::string_view instance = "a") {
    for (int i = 0; i < count; ++i) {
      state_.OnCompletion(limits_, instance, is_owner, clock_.now());
    }
  }
  std::int64_t Allowance(bool is_owner, bool connected = true) const {
    return state_.Allowance(limits_, {.is_owner = is_owner, .fleet_size = 9},
                            connected, clock_.now());
  }

  ManualClock clock_;
  WarmupState::Limits limits_{
      .cold_concurrency = 1, .warmup_completions = 4, .connections = 25};
  WarmupState state_;
};

TEST_F(WarmupStateTest, Upstream_NothingProved_OnlyOwnerMaySendOne) {
  EXPECT_EQ(Allowance(true), 1);
  EXPECT_EQ(Allowance(false), 0);
}

TEST_F(WarmupStateTest, Warming_EnoughAnswers_LevelDoubles) {
  Answer(4);
  EXPECT_EQ(state_.level(), 2);
  Answer(4 * 4);
  EXPECT_EQ(state_.level(), 25);
  EXPECT_EQ(Allowance(false), 2);
}

TEST_F(WarmupStateTest, Warming_AnswersAtNonOwner_LevelStays) {
  Answer(100, /*is_owner=*/false);
  EXPECT_EQ(state_.level(), 1);
}

TEST_F(WarmupStateTest, Warm_AllowancesOfAllDaemons_NeverExceedConnections) {
  Answer(4 * 5);
  for (std::int64_t fleet = 1; fleet <= 600; ++fleet) {
    const auto allowance = [&](bool is_owner) {
      return state_.Allowance(limits_,
                              {.is_owner = is_owner, .fleet_size = fleet}, true,
                              clock_.now());
    };
    EXPECT_LE(allowance(true) + (fleet - 1) * allowance(false), 25) << fleet;
    EXPECT_GE(allowance(true), 1) << fleet;
  }
}

TEST_F(WarmupStateTest, Warm_ConnectionsLost_IsPresumedCold) {
  Answer(4 * 5);
  EXPECT_TRUE(state_.OnConnectionsLost(clock_.now()));
  EXPECT_EQ(Allowance(false), 0);
  EXPECT_EQ(Allowance(true), 1);
}

TEST_F(WarmupStateTest, Warm_OtherInstanceAnswers_StartsCold) {
  Answer(4 * 5);
  Answer(1, true, "b");
  EXPECT_EQ(state_.level(), 1);
  EXPECT_EQ(Allowance(false), 0);
}

TEST_F(WarmupStateTest, Warm_NoConnectionAndLastAnswerOld_IsTreatedAsCold) {
  Answer(4 * 5);
  clock_.Advance(WarmupState::kMaxAnswerAge + seconds(1));
  EXPECT_EQ(Allowance(false, /*connected=*/false), 0);
  EXPECT_EQ(Allowance(false, /*connected=*/true), 2);
}

TEST_F(WarmupStateTest, PeerReport_AnswerFromBeforeTheLoss_IsIgnored) {
  Answer(4 * 5);
  const TimePoint before = clock_.now();
  clock_.Advance(seconds(1));
  state_.OnConnectionsLost(clock_.now());
  EXPECT_FALSE(state_.OnPeerReport({.instance = "a",
                                    .level = 25,
                                    .last_answer_at = before,
                                    .level_changed_at = before}));
  EXPECT_TRUE(state_.presumed_cold());
  clock_.Advance(seconds(1));
  EXPECT_TRUE(state_.OnPeerReport({.instance = "a",
                                   .level = 25,
                                   .last_answer_at = clock_.now(),
                                   .level_changed_at = before}));
  EXPECT_FALSE(state_.presumed_cold());
}

TEST_F(WarmupStateTest, PeerReport_LowerLevelSetEarlier_LevelStays) {
  Answer(4);
  const TimePoint earlier = clock_.now() - seconds(5);
  clock_.Advance(seconds(1));
  state_.OnPeerReport({.instance = "a",
                       .level = 1,
                       .last_answer_at = clock_.now(),
                       .level_changed_at = earlier});
  EXPECT_EQ(state_.level(), 2);
}

TEST_F(WarmupStateTest, Warming_Overload_LevelHalvesDownToColdConcurrency) {
  Answer(8);
  EXPECT_EQ(state_.level(), 4);
  EXPECT_TRUE(state_.OnOverload(limits_, clock_.now()));
  EXPECT_EQ(state_.level(), 2);
  state_.OnOverload(limits_, clock_.now());
  EXPECT_FALSE(state_.OnOverload(limits_, clock_.now()));
  EXPECT_EQ(state_.level(), 1);
}

}  // namespace
}  // namespace lacewingknot
