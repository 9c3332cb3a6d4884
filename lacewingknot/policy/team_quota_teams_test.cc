// Several teams at once, demand that moves, and a team far over its quota.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "testing/virtual_quota_fleet.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::VirtualQuotaFleet;

std::vector<std::size_t> DaemonsOf(std::size_t data_centre,
                                   std::size_t data_centres, std::size_t size) {
  std::vector<std::size_t> daemons;
  for (std::size_t i = data_centre; i < size; i += data_centres) {
    daemons.push_back(i);
  }
  return daemons;
}

// Number of daemons.
class TeamQuotaTeamsTest : public ::testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(Sizes, TeamQuotaTeamsTest,
                         ::testing::Values<std::size_t>(1, 9, 67, 500));

// Guards against buckets and tokens of one team that count for another one.
TEST_P(TeamQuotaTeamsTest, Teams_SomeOverQuota_EachHasItsOwnBound) {
  const QuotaTable quotas{{"idle", {20, 5}},
                          {"large", {120, 60}},
                          {"modest", {9, 9}},
                          {"over", {30, 10}},
                          {"small", {0.5, 2}}};
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    VirtualQuotaFleet fleet(GetParam(), quotas, 3, seed);
    for (const std::string_view team : {"large", "modest", "small"}) {
      fleet.set_conforms(true, team);
      fleet.set_demand(0.8 * quotas.find(team)->second.rate_per_second, team);
    }
    fleet.set_demand(6 * 30, "over");
    fleet.Run(seconds(12));
    for (const std::string_view team : {"large", "modest", "small"}) {
      EXPECT_EQ(fleet.TakeRefused(team), 0U) << team << ", seed " << seed;
    }
    EXPECT_GT(fleet.TakeRefused("over"), 0U);
    EXPECT_GE(fleet.TakeAllowed("over"), 0.9 * 12 * 30);
    for (const auto& [team, quota] : quotas) {
      EXPECT_LE(fleet.WorstExcess(quota, {}, team), 0)
          << team << ", seed " << seed;
    }
  }
}

TEST_P(TeamQuotaTeamsTest, Demand_MovesBetweenDataCentres_NothingIsRefused) {
  constexpr std::size_t kDataCentres = 6;
  const std::size_t size = GetParam();
  const QuotaTable quotas{{"a", {9, 9}}, {"b", {120, 60}}};
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    VirtualQuotaFleet fleet(size, quotas, kDataCentres, seed);
    for (std::size_t move = 0; move < 2 * kDataCentres; ++move) {
      for (const auto& [team, quota] : quotas) {
        // After the first round, the team is over its quota.
        const bool conforms = move < kDataCentres;
        fleet.set_conforms(conforms, team);
        fleet.set_demand((conforms ? 0.9 : 5) * quota.rate_per_second, team);
        fleet.set_entries(DaemonsOf(move % kDataCentres, kDataCentres, size),
                          team);
      }
      fleet.Run(milliseconds(1'500));
      if (move >= kDataCentres) continue;
      for (const auto& [team, quota] : quotas) {
        EXPECT_EQ(fleet.TakeRefused(team), 0U)
            << team << ", move " << move << ", seed " << seed;
      }
    }
    for (const auto& [team, quota] : quotas) {
      EXPECT_LE(fleet.WorstExcess(quota, {}, team), 0)
          << team << ", seed " << seed;
    }
  }
}

// 76 teams at 67 daemons; one sends 7.5 times its rate for 8 s.
TEST(TeamQuotaHotTeamTest, HotTeam_BesideQuietTeams_QuietOnesLoseNothing) {
  constexpr int kTeams = 76;
  const TeamQuota quota{9, 9};
  QuotaTable quotas;
  for (int i = 0; i < kTeams; ++i) quotas["team-" + std::to_string(i)] = quota;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    VirtualQuotaFleet fleet(67, quotas, 3, seed);
    for (const auto& [team, unused] : quotas) {
      fleet.set_conforms(true, team);
      fleet.set_demand(0.6 * quota.rate_per_second, team);
    }
    fleet.Run(seconds(4));
    fleet.set_conforms(false, "team-0");
    fleet.set_demand(7.5 * quota.rate_per_second, "team-0");
    fleet.TakeAllowed("team-0");
    fleet.Run(seconds(8));
    EXPECT_GE(fleet.TakeAllowed("team-0"), 0.9 * 8 * quota.rate_per_second);
    for (const auto& [team, unused] : quotas) {
      EXPECT_LE(fleet.WorstExcess(quota, {}, team), 0) << team;
      if (team != "team-0") {
        EXPECT_EQ(fleet.TakeRefused(team), 0U) << team;
      }
    }
  }
}

// Contact probes at the planned size: 27 datagrams a second, sent or answered,
// of 110 bytes would be half of what quotas may cause.
TEST(FleetContactTrafficTest, IdleFleet_InSixDataCentres_SendsFewProbes) {
  VirtualQuotaFleet fleet(500, {{"a", {9, 9}}}, 6, 1);
  fleet.TakeMeanProbes();
  fleet.Run(seconds(10));
  EXPECT_LE(fleet.TakeMeanProbes() / 10, 14);
}

}  // namespace
}  // namespace lacewingknot
