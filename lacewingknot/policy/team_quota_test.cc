#include "lacewingknot/policy/team_quota.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "testing/virtual_quota_fleet.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using VirtualFleet = testing::VirtualQuotaFleet;

// Number of daemons, and the quota.
class TeamQuotaFleetTest
    : public ::testing::TestWithParam<std::tuple<std::size_t, TeamQuota>> {
 protected:
  std::size_t size() const { return std::get<0>(GetParam()); }
  TeamQuota quota() const { return std::get<1>(GetParam()); }
  VirtualFleet MakeFleet(std::uint64_t seed = 11) const {
    return {size(), quota(), seed};
  }
  double overload() const { return 5 * quota().rate_per_second; }
  std::vector<std::size_t> DaemonsOf(std::size_t data_centre) const {
    std::vector<std::size_t> daemons;
    for (std::size_t i = data_centre; i < size(); i += 3) daemons.push_back(i);
    return daemons;
  }
};

INSTANTIATE_TEST_SUITE_P(
    Sizes, TeamQuotaFleetTest,
    ::testing::Combine(::testing::Values<std::size_t>(1, 9, 67, 500),
                       ::testing::Values(TeamQuota{9, 9}, TeamQuota{120, 60})));

// Guards against requests over the quota that run because they enter at many
// daemons, or because tokens were saved up while the team was idle.
TEST_P(TeamQuotaFleetTest, Overload_AnyEntry_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(8), overload());
  fleet.set_entries({0});
  fleet.Run(seconds(6), overload());
  fleet.Run(seconds(10), 0);
  fleet.set_entries({});
  fleet.Burst(static_cast<std::size_t>(4 * overload()));
  fleet.Run(seconds(6), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// Guards against an overloaded team that gets less than its quota.
TEST_P(TeamQuotaFleetTest, Overload_OfLongDuration_QuotaIsUsed) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(5), overload());
  fleet.TakeAllowed();
  fleet.Run(seconds(20), overload());
  EXPECT_GE(static_cast<double>(fleet.TakeAllowed()),
            0.9 * 20 * quota().rate_per_second);
}

TEST_P(TeamQuotaFleetTest, Datagrams_Lost_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_loss(0.2);
  fleet.Run(seconds(15), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Keepers_KilledInTurn_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(3), overload());
  for (int round = 0; round < 3 && size() > 1; ++round) {
    const std::size_t keeper = fleet.Keeper();
    fleet.Kill(keeper);
    fleet.SpreadView(seconds(2), seconds(5));
    fleet.Run(seconds(6), overload());
    fleet.Start(keeper);
    fleet.SpreadView(milliseconds(500), seconds(3));
    fleet.Run(seconds(4), overload());
  }
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// The keeper is cut off; it and the others declare each other gone.
TEST_P(TeamQuotaFleetTest, Daemons_CutOff_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(2), overload());
  const std::size_t keeper = fleet.Keeper();
  const std::size_t data_centre = keeper % 3;
  fleet.SetGroup(keeper, 1);
  fleet.Run(seconds(4), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.ApplyOwnGroupView(i);
  fleet.Run(seconds(8), overload());
  // The rest of its data centre, too.
  for (std::size_t i = data_centre; i < size(); i += 3) fleet.SetGroup(i, 1);
  fleet.Run(seconds(4), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.ApplyOwnGroupView(i);
  fleet.Run(seconds(8), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.SetGroup(i, 0);
  fleet.SpreadView(milliseconds(200), seconds(4));
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Daemons_AllKilledAndBack_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(3), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.Kill(i);
  fleet.Run(milliseconds(300), 0);
  for (std::size_t i = 0; i < size(); ++i) fleet.Start(i);
  fleet.SpreadView(seconds(1), seconds(3));
  fleet.TakeAllowed();
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
  EXPECT_GE(static_cast<double>(fleet.TakeAllowed()),
            0.6 * 8 * quota().rate_per_second);
}

TEST_P(TeamQuotaFleetTest, Daemons_Added_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  std::vector<std::size_t> added;
  for (std::size_t i = 5; i < size(); i += 2) added.push_back(i);
  added.push_back(fleet.Keeper());
  for (const std::size_t i : added) fleet.Kill(i);
  fleet.SpreadView(seconds(0), seconds(1));
  fleet.Run(seconds(20), overload());
  for (const std::size_t i : added) {
    fleet.Start(i);
    fleet.SpreadView(milliseconds(300), seconds(3));
    fleet.Run(milliseconds(added.size() > 20 ? 40 : 1'000), overload());
  }
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Limit_Lowered_BindsAfterOneWindow) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(6), overload());
  const TeamQuota lower{quota().rate_per_second / 3, quota().burst / 3};
  fleet.ChangeQuota(lower, seconds(2));
  fleet.Run(seconds(2), overload());
  const TimePoint in_force = fleet.now();
  fleet.Run(seconds(12), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
  EXPECT_LE(fleet.WorstExcess(lower, in_force + seconds(5)), 0);
}

// A daemon is wrongly declared gone by half of the daemons.
TEST_P(TeamQuotaFleetTest, Views_OfMembersDiffer_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  fleet.Run(seconds(2), overload());
  auto view = fleet.AliveMembers();
  const auto complete = view;
  view.erase(view.begin() + static_cast<std::ptrdiff_t>(fleet.Keeper()));
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < size(); i += 2) fleet.ApplyView(i, view);
    fleet.Run(seconds(5), overload());
    for (std::size_t i = 0; i < size(); i += 2) fleet.ApplyView(i, complete);
    fleet.Run(seconds(3), overload());
  }
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// Guards against refusals because a share is held by another daemon.
TEST_P(TeamQuotaFleetTest, Demand_WithinQuota_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_conforms(true);
  for (const double load : {0.3, 0.9, 2.0}) {
    fleet.set_entries({});
    fleet.Run(seconds(10), load * quota().rate_per_second);
    EXPECT_EQ(fleet.TakeRefused(), 0U) << "at all daemons, load " << load;
    fleet.set_entries({0});
    fleet.Run(seconds(10), load * quota().rate_per_second);
    EXPECT_EQ(fleet.TakeRefused(), 0U) << "at one daemon, load " << load;
    for (std::size_t data_centre = 0; data_centre < 3 && size() >= 3;
         ++data_centre) {
      fleet.set_entries(DaemonsOf(data_centre));
      fleet.Run(seconds(4), load * quota().rate_per_second);
      EXPECT_EQ(fleet.TakeRefused(), 0U)
          << "at data centre " << data_centre << ", load " << load;
    }
  }
}

TEST_P(TeamQuotaFleetTest, Demand_WithinQuotaInBursts_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_conforms(true);
  for (int round = 0; round < 6; ++round) {
    fleet.set_entries(round % 2 == 0 ? std::vector<std::size_t>{0}
                                     : std::vector<std::size_t>{});
    fleet.Burst(static_cast<std::size_t>(quota().burst));
    fleet.Run(seconds(3), quota().rate_per_second);
  }
  EXPECT_EQ(fleet.TakeRefused(), 0U);
}

// Members that join make other daemons keepers of idle teams.
TEST_P(TeamQuotaFleetTest, Demand_AfterMemberChange_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  const std::size_t keeper = fleet.Keeper();
  fleet.Kill(keeper);
  fleet.SpreadView(seconds(0), seconds(1));
  fleet.Run(seconds(30), 0);
  fleet.Start(keeper);
  fleet.SpreadView(milliseconds(300), seconds(3));
  fleet.Run(seconds(4), 0);
  fleet.set_conforms(true);
  fleet.Run(seconds(4), 0.9 * quota().rate_per_second);
  EXPECT_EQ(fleet.TakeRefused(), 0U);
}

TEST(TeamQuotaTest, Bounds_OfExample_AreThoseOfThePage) {
  const QuotaBounds bounds;
  EXPECT_DOUBLE_EQ(bounds.Limit({9, 9}), 54 * 1.25 + 20);
}

class TeamQuotaClientTest : public ::testing::Test {
 protected:
  TeamQuotaClientTest() {
    const QuotaTable quotas{{"a", {.rate_per_second = 2, .burst = 3}}};
    client_.SetQuotas(quotas);
    client_.SetMembers({{.address = "self"}}, true);
    keeper_.SetQuotas(quotas, now_);
    keeper_.SetMembers(std::vector<Member>{{.address = "self"}}, true, now_);
    now_ += seconds(60);
  }

  TeamQuotaClient::Outcome Acquire() {
    auto outcome =
        client_.Acquire("a", ++request_, now_ + milliseconds(1), now_);
    Exchange();
    for (const auto& later : client_.TakeOutcomes()) outcome = later;
    return outcome;
  }
  void Exchange() {
    for (const auto& ask : client_.TakeMessages()) {
      for (const auto& answer : keeper_.OnMessage("self", ask.message, now_)) {
        client_.OnMessage("self", answer.message, now_);
      }
    }
  }
  std::size_t AcquireAll() {
    std::size_t allowed = 0;
    while (Acquire().kind == TeamQuotaClient::Outcome::Kind::kAllowed) {
      ++allowed;
    }
    return allowed;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t request_ = 0;
  QuotaBounds bounds_{.slack = 0};
  TeamQuotaClient client_{{.self = "self", .bounds = bounds_}};
  TeamQuotaKeeper keeper_{{.self = "self", .bounds = bounds_}, now_};
};

// A client that returns at the stated time must be served.
TEST_F(TeamQuotaClientTest, Refusal_RetriedAtStatedTime_IsAllowed) {
  AcquireAll();
  now_ += milliseconds(100);
  const auto refused = Acquire();
  ASSERT_EQ(refused.kind, TeamQuotaClient::Outcome::Kind::kRefused);
  EXPECT_LT(refused.retry_after, milliseconds(1'000));
  now_ += refused.retry_after;
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
}

TEST_F(TeamQuotaClientTest, Token_GivenBack_IsUsedByNextRequest) {
  AcquireAll();
  now_ += milliseconds(600);
  ASSERT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  client_.GiveBack("a", now_);
  EXPECT_EQ(client_.HeldTokens("a", now_), 1U);
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kRefused);
}

TEST_F(TeamQuotaClientTest, Token_GivenBackAndUnused_ReturnsToKeeper) {
  const std::size_t depth = AcquireAll();
  now_ += seconds(60);
  ASSERT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  client_.GiveBack("a", now_);
  now_ += milliseconds(1'100);
  client_.Tick(now_);
  Exchange();
  EXPECT_EQ(AcquireAll(), depth);
}

TEST_F(TeamQuotaClientTest, Keeper_Silent_RequestWaitsNoLongerThanAllowed) {
  const TimePoint latest = now_ + milliseconds(30);
  ASSERT_EQ(client_.Acquire("a", 1, latest, now_).kind,
            TeamQuotaClient::Outcome::Kind::kWaits);
  std::size_t asks = 0;
  while (client_.NextTick() && *client_.NextTick() <= latest) {
    asks += client_.TakeMessages().size();
    now_ = *client_.NextTick();
    client_.Tick(now_);
  }
  EXPECT_LE(now_, latest);
  EXPECT_EQ(client_.TakeOutcomes().size(), 1U);
  EXPECT_EQ(asks, 2U);  // At once, and after 20 ms.
}

// Guards against a bucket that is filled by a datagram that arrives twice.
TEST_F(TeamQuotaClientTest, Ask_Repeated_GetsSameAnswerOnce) {
  const QuotaMessage ask{.kind = QuotaMessageKind::kAsk,
                         .team = "a",
                         .number = 7,
                         .tokens = 2,
                         .given_back = 3};
  const auto first = keeper_.OnMessage("other", ask, now_);
  const auto second = keeper_.OnMessage("other", ask, now_);
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(first.front().message, second.front().message);
}

TEST_F(TeamQuotaClientTest, Team_WithoutQuota_IsAllowed) {
  EXPECT_EQ(client_.Acquire("b", 1, now_, now_).kind,
            TeamQuotaClient::Outcome::Kind::kAllowed);
}

TEST(FleetContactTest, Partition_OfOneInThree_OnlyLargerSideHasMajority) {
  TimePoint now{std::chrono::hours(1)};
  constexpr int kMembers = 12;
  std::vector<Member> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back({.address = std::to_string(i),
                       .data_centre = "dc-" + std::to_string(i % 3)});
  }
  FleetContact smaller("dc-0");
  FleetContact larger("dc-1");
  smaller.SetMembers(members, now);
  larger.SetMembers(members, now);
  EXPECT_TRUE(smaller.HasMajority(now));
  now += seconds(2);
  smaller.OnHeard("dc-0", now);
  larger.OnHeard("dc-1", now);
  larger.OnHeard("dc-2", now);
  EXPECT_FALSE(smaller.HasMajority(now));
  EXPECT_TRUE(larger.HasMajority(now));
  // The others are declared gone.
  std::erase_if(members, [](const Member& member) {
    return member.data_centre != "dc-0";
  });
  smaller.SetMembers(members, now);
  EXPECT_FALSE(smaller.HasMajority(now));
}

}  // namespace
}  // namespace lacewingknot
