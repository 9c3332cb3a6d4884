// A keeper dies while its team stays within the quota.

#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

#include "testing/virtual_quota_fleet.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::VirtualQuotaFleet;

constexpr TeamQuota kModest{9, 9};
constexpr TeamQuota kLarge{120, 60};

class TeamQuotaTakeoverTest
    : public ::testing::TestWithParam<std::tuple<std::size_t, TeamQuota>> {
 protected:
  struct Counts {
    std::size_t refused = 0;
    std::size_t all = 0;
  };

  // Kills the keeper in several fleets and counts the requests of the next 4 s.
  // Requests that conform to the quota enter at `load` times the rate, and
  // `burst` of them at once after the keeper's death.
  static Counts CountAfterDeath(double load, std::size_t burst) {
    const auto& [size, quota] = GetParam();
    Counts counts;
    for (std::uint64_t seed = 1; seed <= (size > 100 ? 4 : 8); ++seed) {
      VirtualQuotaFleet fleet(size, quota, seed);
      // The shortest wait for a token, and the wait for an answer
      // (client_connection.cc).
      fleet.set_patience(milliseconds(150), milliseconds(25));
      fleet.set_conforms(true);
      fleet.Run(seconds(6), burst > 0 ? 0 : load * quota.rate_per_second);
      fleet.TakeRefused();
      fleet.TakeAllowed();
      fleet.Kill(fleet.Keeper());
      fleet.SpreadView(seconds(2), seconds(5));
      fleet.Burst(burst);
      fleet.Run(seconds(4), load * quota.rate_per_second);
      const std::size_t refused = fleet.TakeRefused();
      counts.refused += refused;
      counts.all += refused + fleet.TakeAllowed();
      EXPECT_LE(fleet.WorstExcess(quota), 0) << "seed " << seed;
    }
    ::testing::Test::RecordProperty("refused",
                                    static_cast<int>(counts.refused));
    ::testing::Test::RecordProperty("requests", static_cast<int>(counts.all));
    return counts;
  }
};

INSTANTIATE_TEST_SUITE_P(
    Sizes, TeamQuotaTakeoverTest,
    ::testing::Combine(::testing::Values<std::size_t>(9, 67, 500),
                       ::testing::Values(kModest, kLarge)));

// Guards against requests within the quota that are refused because each daemon
// finds out for itself that the keeper is dead: 176 of 214 were at 67 daemons.
TEST_P(TeamQuotaTakeoverTest, LowDemand_KeeperDies_NothingIsRefused) {
  EXPECT_EQ(CountAfterDeath(0.3, 0).refused, 0U);
}

TEST_P(TeamQuotaTakeoverTest, DemandNearQuota_KeeperDies_NothingIsRefused) {
  EXPECT_EQ(CountAfterDeath(0.9, 0).refused, 0U);
}

// What the bounds leave for a takeover holds the burst of a modest team.
TEST_P(TeamQuotaTakeoverTest, WholeBurst_KeeperDies_FewOfModestTeamAreRefused) {
  const TeamQuota quota = std::get<1>(GetParam());
  const Counts counts =
      CountAfterDeath(1, static_cast<std::size_t>(quota.burst));
  if (quota == kModest) {
    EXPECT_LE(counts.refused * 100, counts.all * 2);
  } else {
    EXPECT_LE(counts.refused * 100, counts.all * 15);
  }
}

// A keeper that is only cut off, with a full bucket, grants on for kLifetime to
// the daemons of its data centre while another one takes over.
TEST_P(TeamQuotaTakeoverTest,
       DataCentreCutOff_AllOverloaded_StaysWithinBounds) {
  const auto& [size, quota] = GetParam();
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    VirtualQuotaFleet fleet(size, quota, seed);
    const std::size_t data_centre = fleet.Keeper() % 3;
    for (std::size_t i = data_centre; i < size; i += 3) fleet.SetGroup(i, 1);
    fleet.Run(seconds(4), 8 * quota.rate_per_second);
    for (std::size_t i = 0; i < size; ++i) fleet.ApplyOwnGroupView(i);
    fleet.Run(seconds(3), 8 * quota.rate_per_second);
    EXPECT_LE(fleet.WorstExcess(quota), 0) << "seed " << seed;
  }
}

// Each takeover within one window may cost a burst: only the first one may.
TEST_P(TeamQuotaTakeoverTest,
       KeepersKilledInQuickSuccession_StaysWithinBounds) {
  const auto& [size, quota] = GetParam();
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    VirtualQuotaFleet fleet(size, quota, seed);
    for (int round = 0; round < 3; ++round) {
      fleet.Kill(fleet.Keeper());
      fleet.SpreadView(milliseconds(300), milliseconds(600));
      fleet.Run(milliseconds(1'200), 8 * quota.rate_per_second);
    }
    fleet.Run(seconds(3), 8 * quota.rate_per_second);
    EXPECT_LE(fleet.WorstExcess(quota), 0) << "seed " << seed;
  }
}

TEST(TakeoverLevelTest, OfExample_IsTheBurst) {
  EXPECT_DOUBLE_EQ(TakeoverLevel(kModest, QuotaBounds()), kModest.burst);
}

// Bounds without tolerance leave nothing: the bucket first pays for what the
// predecessor may still grant.
TEST(TakeoverLevelTest, BoundsWithoutTolerance_IsNegative) {
  EXPECT_LT(TakeoverLevel(kModest, {.overshoot = 0, .slack = 0}), 0);
}

// One daemon that stands in for the keeper of a team.
class TeamQuotaStandInTest : public ::testing::Test {
 protected:
  TeamQuotaStandInTest() {
    keeper_.SetQuotas({{"a", kModest}}, now_);
    keeper_.SetMembers(members_, true, now_);
    now_ += seconds(60);
  }
  // Asks until the stand-in has taken over from daemons that do not answer.
  // Returns the tokens that it grants.
  std::uint32_t TakeOver() {
    const QuotaMessage ask{
        .team = "a", .number = ++number_, .tokens = 9, .is_stand_in = true};
    keeper_.OnMessage("asker", ask, now_);
    now_ += TeamQuotaKeeper::kClaimTimeout;
    for (const auto& sent : keeper_.OnMessage("asker", ask, now_)) {
      if (sent.message.kind == QuotaMessageKind::kGrant) {
        return sent.message.tokens;
      }
    }
    ADD_FAILURE() << "no grant";
    return 0;
  }

  TimePoint now_{std::chrono::hours(1)};
  const std::vector<Member> members_{
      {.address = "x"}, {.address = "y"}, {.address = "z"}};
  const std::vector<std::string> ranking_ = RankKeepers("a", members_, 3);
  std::uint64_t number_ = 0;
  TeamQuotaKeeper keeper_{{.self = ranking_[1]}, now_};
};

// Guards against a burst for each of several takeovers in one window.
TEST_F(TeamQuotaStandInTest, SecondTakeoverInWindow_GrantsNothingAtFirst) {
  EXPECT_EQ(TakeOver(), 9U);
  // The keeper was only slow.
  now_ += milliseconds(200);
  keeper_.OnMessage(
      ranking_[0], {.kind = QuotaMessageKind::kRefuseClaim, .team = "a"}, now_);
  ASSERT_EQ(keeper_.bucket_count(), 0U);
  now_ += milliseconds(200);
  EXPECT_EQ(TakeOver(), 0U);
}

TEST_F(TeamQuotaStandInTest, TwoDaemonsSilent_GrantsNothingAtFirst) {
  keeper_ = TeamQuotaKeeper({.self = ranking_[2]}, now_);
  keeper_.SetQuotas({{"a", kModest}}, now_);
  keeper_.SetMembers(members_, true, now_);
  EXPECT_EQ(TakeOver(), 0U);
}

TEST_F(TeamQuotaStandInTest, MemberLostInWindow_GrantsNothingAtFirst) {
  auto more = members_;
  more.push_back({.address = "w"});
  keeper_.SetMembers(more, true, now_);
  keeper_.SetMembers(members_, true, now_);
  EXPECT_EQ(TakeOver(), 0U);
}

}  // namespace
}  // namespace lacewingknot
