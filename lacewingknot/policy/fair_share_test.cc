#include "lacewingknot/policy/fair_share.h"

#include <gtest/gtest.h>

#include <string>

namespace lacewingknot {
namespace {

class FairShareTest : public ::testing::Test {
 protected:
  void Demand(const std::string& team, int count) {
    for (int i = 0; i < count; ++i) share_.CountDemand(team);
  }

  FairShare share_;
};

// An equal part for each team would leave what small teams do not need unused.
TEST_F(FairShareTest, Capacity_ShortForLargeTeams_IsDividedMaxMin) {
  Demand("small", 10);
  Demand("middle", 40);
  Demand("large", 60);
  share_.Divide(90);
  EXPECT_NEAR(share_.AllowanceOf("small"), 10, 0.01);
  EXPECT_NEAR(share_.AllowanceOf("middle"), 40, 0.01);
  EXPECT_NEAR(share_.AllowanceOf("large"), 40, 0.01);
  EXPECT_FALSE(share_.ExceedsLevel("small"));
  EXPECT_TRUE(share_.ExceedsLevel("large"));
}

TEST_F(FairShareTest, Capacity_Sufficient_EachGetsItsDemand) {
  Demand("small", 1);
  Demand("large", 50);
  share_.Divide(51);
  EXPECT_DOUBLE_EQ(share_.AllowanceOf("large"), 50);
  EXPECT_DOUBLE_EQ(share_.WeightOf("large"), 1);
}

// A team at 7.5 times its rate would get a seventh of what it asks for.
TEST_F(FairShareTest, Team_HotBesideManyQuietOnes_GetsLeastShare) {
  for (int i = 0; i < 75; ++i) Demand("quiet" + std::to_string(i), 8);
  Demand("hot", 60);
  constexpr double kServed = 0.8;
  share_.Divide(660 * kServed);
  EXPECT_NEAR(share_.AllowanceOf("hot"), 60 * kServed * FairShare::kLeastShare,
              0.01);
  const double quiet = share_.AllowanceOf("quiet0");
  EXPECT_NEAR(75 * quiet + share_.AllowanceOf("hot"), 660 * kServed, 0.1);
  EXPECT_NEAR(share_.WeightOf("hot"), share_.AllowanceOf("hot") / quiet, 0.01);
}

TEST_F(FairShareTest, Teams_GoneForLong_AreForgotten) {
  for (int i = 0; i < 500; ++i) Demand("team" + std::to_string(i), 1);
  for (int i = 0; i < 200; ++i) {
    Demand("present", 1);
    share_.Decay(0.95);
  }
  EXPECT_EQ(share_.team_count(), 1U);
  EXPECT_NEAR(share_.total_demand(), share_.DemandOf("present"), 1e-9);
}

TEST_F(FairShareTest, Teams_MoreThanMax_LargestAreKept) {
  Demand("large", 5);
  for (int i = 0; i < 5'000; ++i) Demand("team" + std::to_string(i), 1);
  EXPECT_EQ(share_.team_count(), FairShare::kMaxTeams);
  EXPECT_DOUBLE_EQ(share_.DemandOf("large"), 5);
  EXPECT_NEAR(share_.total_demand(), 1'023 + 5, 1e-6);
}

}  // namespace
}  // namespace lacewingknot
