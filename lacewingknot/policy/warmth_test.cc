#include "lacewingknot/policy/warmth.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::seconds;

class WarmthTest : public ::testing::Test {
 protected:
  void Answer(int count, bool owner = true, std::string_view instance = "a") {
    for (int i = 0; i < count; ++i) {
      warmth_.OnCompletion(limits_, instance, owner, clock_.now());
    }
  }
  std::int64_t Allowance(bool owner, bool connected = true) const {
    return warmth_.Allowance(limits_, {.owner = owner, .fleet_size = 9},
                             connected, clock_.now());
  }

  ManualClock clock_;
  Warmth::Limits limits_{
      .cold_concurrency = 1, .warmup_completions = 4, .connections = 25};
  Warmth warmth_;
};

TEST_F(WarmthTest, Unknown_NothingProved_OnlyOwnerMaySendOne) {
  EXPECT_EQ(Allowance(true), 1);
  EXPECT_EQ(Allowance(false), 0);
}

TEST_F(WarmthTest, Warming_EnoughAnswers_LevelDoubles) {
  Answer(4);
  EXPECT_EQ(warmth_.level(), 2);
  Answer(4 * 4);
  EXPECT_EQ(warmth_.level(), 25);
  EXPECT_EQ(Allowance(false), 2);
}

TEST_F(WarmthTest, Warming_AnswersAtNonOwner_LevelStays) {
  Answer(100, /*owner=*/false);
  EXPECT_EQ(warmth_.level(), 1);
}

TEST_F(WarmthTest, Warm_SharesOfAllDaemons_NeverExceedConnections) {
  Answer(4 * 5);
  for (std::int64_t fleet = 1; fleet <= 600; ++fleet) {
    const auto part = [&](bool owner) {
      return warmth_.Allowance(limits_, {.owner = owner, .fleet_size = fleet},
                               true, clock_.now());
    };
    EXPECT_LE(part(true) + (fleet - 1) * part(false), 25) << fleet;
    EXPECT_GE(part(true), 1) << fleet;
  }
}

TEST_F(WarmthTest, Warm_ConnectionsLost_PresumedCold) {
  Answer(4 * 5);
  EXPECT_TRUE(warmth_.OnConnectionsLost(clock_.now()));
  EXPECT_EQ(Allowance(false), 0);
  EXPECT_EQ(Allowance(true), 1);
}

TEST_F(WarmthTest, Warm_OtherInstanceAnswers_StartsCold) {
  Answer(4 * 5);
  Answer(1, true, "b");
  EXPECT_EQ(warmth_.level(), 1);
  EXPECT_EQ(Allowance(false), 0);
}

TEST_F(WarmthTest, Warm_IdleWithoutConnection_EvidenceExpires) {
  Answer(4 * 5);
  clock_.Advance(Warmth::kEvidenceLifetime + seconds(1));
  EXPECT_EQ(Allowance(false, /*connected=*/false), 0);
  EXPECT_EQ(Allowance(false, /*connected=*/true), 2);
}

TEST_F(WarmthTest, Claim_EvidenceFromBeforeTheLoss_IsNotBelieved) {
  Answer(4 * 5);
  const TimePoint before = clock_.now();
  clock_.Advance(seconds(1));
  warmth_.OnConnectionsLost(clock_.now());
  EXPECT_FALSE(warmth_.OnClaim({.instance = "a",
                                .level = 25,
                                .evidence_at = before,
                                .level_at = before}));
  EXPECT_TRUE(warmth_.suspect());
  clock_.Advance(seconds(1));
  EXPECT_TRUE(warmth_.OnClaim({.instance = "a",
                               .level = 25,
                               .evidence_at = clock_.now(),
                               .level_at = before}));
  EXPECT_FALSE(warmth_.suspect());
}

TEST_F(WarmthTest, Claim_LowerLevelSetEarlier_DoesNotLower) {
  Answer(4);
  const TimePoint earlier = clock_.now() - seconds(5);
  clock_.Advance(seconds(1));
  warmth_.OnClaim({.instance = "a",
                   .level = 1,
                   .evidence_at = clock_.now(),
                   .level_at = earlier});
  EXPECT_EQ(warmth_.level(), 2);
}

TEST_F(WarmthTest, Warming_Overload_LevelHalvesButNotBelowCold) {
  Answer(8);
  EXPECT_EQ(warmth_.level(), 4);
  EXPECT_TRUE(warmth_.OnOverload(limits_, clock_.now()));
  EXPECT_EQ(warmth_.level(), 2);
  warmth_.OnOverload(limits_, clock_.now());
  EXPECT_FALSE(warmth_.OnOverload(limits_, clock_.now()));
  EXPECT_EQ(warmth_.level(), 1);
}

}  // namespace
}  // namespace lacewingknot
