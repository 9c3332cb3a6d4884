#include "lacewingknot/policy/relay_ranking.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace lacewingknot {
namespace {

std::vector<RelayCandidate> Daemons(std::size_t count) {
  std::vector<RelayCandidate> daemons;
  daemons.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    daemons.push_back({.address = "10.1.0." + std::to_string(i) + ":7380"});
  }
  return daemons;
}

// Returns whether `address` is a relay of any group.
bool IsRelay(const RelayRanking& ranking, const std::string& address) {
  for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
    const auto relays = ranking.Relays(group);
    if (std::find(relays.begin(), relays.end(), address) != relays.end()) {
      return true;
    }
  }
  return false;
}

TEST(RelayRankingTest, Daemons_FewerThanMinimum_HaveNoRelays) {
  EXPECT_TRUE(RelayRanking().empty());
  EXPECT_TRUE(RelayRanking(Daemons(RelayRanking::kMinDaemons - 1)).empty());
}

TEST(RelayRankingTest, Group_EnoughDaemons_HasDistinctRelays) {
  const RelayRanking ranking(Daemons(25));
  ASSERT_FALSE(ranking.empty());
  for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
    const auto relays = ranking.Relays(group);
    ASSERT_EQ(relays.size(), RelayRanking::kRelaysPerGroup);
    EXPECT_NE(relays[0], relays[1]);
  }
}

TEST(RelayRankingTest, Ranking_CandidatesInAnotherOrder_IsTheSame) {
  auto daemons = Daemons(25);
  const RelayRanking one(daemons);
  std::reverse(daemons.begin(), daemons.end());
  const RelayRanking other(daemons);
  for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
    EXPECT_TRUE(std::ranges::equal(one.Relays(group), other.Relays(group)));
  }
}

RC_GTEST_PROP(RelayRankingProperty, Daemon_Lost_MovesOnlyItsOwnGroups, ()) {
  auto daemons = Daemons(
      *rc::gen::inRange<std::size_t>(RelayRanking::kMinDaemons + 1, 60));
  const RelayRanking before(daemons);
  const auto lost = *rc::gen::inRange<std::size_t>(0, daemons.size());
  const std::string address = daemons[lost].address;
  daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(lost));
  const RelayRanking after(daemons);
  for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
    const auto old = before.Relays(group);
    if (std::find(old.begin(), old.end(), address) != old.end()) continue;
    RC_ASSERT(std::ranges::equal(old, after.Relays(group)));
  }
  RC_ASSERT(!IsRelay(after, address));
}

TEST(RelayRankingTest, Daemon_WithLargerProcessorShare_IsPrimaryMoreOften) {
  std::size_t large = 0;
  std::size_t small = 0;
  for (int fleet = 0; fleet < 200; ++fleet) {
    constexpr std::size_t kDaemons = 24;
    std::vector<RelayCandidate> daemons;
    daemons.reserve(kDaemons);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      daemons.push_back(
          {.address = std::to_string(fleet) + "." + std::to_string(i) + ":7380",
           .processor_share = i < 12 ? 0.5 : 0.125});
    }
    const RelayRanking ranking(daemons);
    for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
      const std::string& first = ranking.Relays(group).front();
      const auto found = std::find_if(
          daemons.begin(), daemons.end(),
          [&](const RelayCandidate& one) { return one.address == first; });
      ++(found - daemons.begin() < 12 ? large : small);
    }
  }
  EXPECT_NEAR(static_cast<double>(large) / static_cast<double>(small), 4, 1);
}

TEST(RelayRankingTest, Services_Many_AreDividedEvenly) {
  std::map<std::size_t, int> count;
  constexpr int kPerGroup = 100;
  constexpr int kServices =
      kPerGroup * static_cast<int>(RelayRanking::kGroupCount);
  for (int i = 0; i < kServices; ++i) {
    ++count[RelayRanking::GroupOf("service-" + std::to_string(i))];
  }
  ASSERT_EQ(count.size(), RelayRanking::kGroupCount);
  for (const auto& [group, services] : count) {
    EXPECT_NEAR(services, kPerGroup, 40);
  }
}

// Any number of daemons in each data centre, and replicas in some data centres.
RC_GTEST_PROP(ShareOfLimitProperty, Shares_OfAllDaemons_SumToAtMostTheLimit,
              ()) {
  const auto data_centres = *rc::gen::inRange(1, 7);
  RelayCandidates candidates;
  std::vector<std::string> replica_data_centres;
  std::size_t daemons = 0;
  for (int i = 0; i < data_centres; ++i) {
    const std::string name = "dc-" + std::to_string(i);
    const auto count = *rc::gen::inRange<std::size_t>(0, 40);
    for (std::size_t k = 0; k < count; ++k) {
      candidates[name].push_back(
          {.address = "10." + std::to_string(i) + ".0." + std::to_string(k)});
    }
    daemons += count;
    if (i == 0 || *rc::gen::arbitrary<bool>()) {
      replica_data_centres.push_back(name);
    }
  }
  constexpr double kLimit = 190;
  const auto group =
      *rc::gen::inRange<std::size_t>(0, RelayRanking::kGroupCount);
  double sum = 0;
  for (const auto& [name, members] : candidates) {
    for (const RelayCandidate& self : members) {
      const RelayFleet fleet(candidates, name, self.address);
      const auto place = fleet.RoleFor(replica_data_centres, group);
      sum += place ? ShareOfLimit(kLimit, *place, daemons)
                   : kLimit / static_cast<double>(daemons);
    }
  }
  RC_ASSERT(sum <= kLimit * 1.0001);
}

// The daemons that make most attempts must have most of the limit on attempts.
TEST(ShareOfLimitTest, PrimaryRelay_LargeFleet_ExceedsTenEqualShares) {
  EXPECT_GT(ShareOfLimit(152, {.replica_data_centres = 3, .rank = 0}, 75),
            10 * 152.0 / 75);
}

class RelayFleetTest : public ::testing::Test {
 protected:
  static std::vector<RelayCandidate> MakeDaemons(const std::string& prefix,
                                                 int count) {
    std::vector<RelayCandidate> daemons;
    daemons.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      daemons.push_back({.address = prefix + std::to_string(i)});
    }
    return daemons;
  }

  RelayCandidates small_data_centres_{{"a", MakeDaemons("a", 3)},
                                      {"b", MakeDaemons("b", 2)},
                                      {"c", MakeDaemons("c", 2)}};
  std::vector<std::string> all_data_centres_{"a", "b", "c"};
  std::vector<std::string> two_data_centres_{"a", "b"};
};

TEST_F(RelayFleetTest, SmallDataCentres_AllWithReplicas_QueryDirectly) {
  EXPECT_EQ(
      RelayFleet(small_data_centres_, "c", "c0").RoleFor(all_data_centres_, 0),
      std::nullopt);
  EXPECT_TRUE(
      RelayFleet(small_data_centres_, "c", "c0").RankingOf("c").empty());
}

// Guards against relays in data centres of two or three daemons. Their share of
// the extra attempts was too small in a burst: the served fraction on the
// smallest site was 0.77 instead of 0.84.
TEST_F(RelayFleetTest, SmallDataCentres_OneWithoutReplicas_QueryDirectly) {
  const RelayFleet fleet(small_data_centres_, "c", "c0");
  EXPECT_EQ(fleet.RoleFor(two_data_centres_, 0), std::nullopt);
  EXPECT_TRUE(fleet.RankingOf("a").empty());
}

TEST_F(RelayFleetTest, DataCentre_WithoutReplicas_UsesRelaysOfAnother) {
  RelayCandidates candidates = small_data_centres_;
  candidates["a"] = MakeDaemons("a", 20);
  const RelayFleet fleet(candidates, "c", "c0");
  const auto place = fleet.RoleFor(two_data_centres_, 0);
  ASSERT_TRUE(place);
  EXPECT_EQ(place->replica_data_centres, 2U);
  EXPECT_EQ(place->direct_daemons, 0U);
  EXPECT_EQ(fleet.RankingOf("a").Relays(0).size(),
            RelayRanking::kRelaysPerGroup);
  EXPECT_EQ(RelayFleet(candidates, "b", "b0")
                .RoleFor(two_data_centres_, 0)
                ->direct_daemons,
            2U);
}

TEST_F(RelayFleetTest, Daemons_InTwoDataCentres_AgreeOnRelaysOfAThird) {
  RelayCandidates candidates = small_data_centres_;
  candidates["a"] = MakeDaemons("a", 20);
  const RelayFleet one(candidates, "c", "c0");
  const RelayFleet other(candidates, "b", "b1");
  for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
    EXPECT_TRUE(std::ranges::equal(one.RankingOf("a").Relays(group),
                                   other.RankingOf("a").Relays(group)));
  }
}

}  // namespace
}  // namespace lacewingknot
