#include "lacewingknot/policy/relay_choice.h"

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

// Whether `address` is a relay of any group.
bool IsRelay(const RelayRanking& ranking, const std::string& address) {
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    const auto relays = ranking.Relays(group);
    if (std::find(relays.begin(), relays.end(), address) != relays.end()) {
      return true;
    }
  }
  return false;
}

TEST(RelayRankingTest, Daemons_Few_AskDirectly) {
  EXPECT_TRUE(RelayRanking().empty());
  EXPECT_TRUE(RelayRanking(Daemons(RelayRanking::kLeastDaemons - 1)).empty());
}

TEST(RelayRankingTest, Group_EnoughDaemons_HasDifferentRelays) {
  const RelayRanking ranking(Daemons(25));
  ASSERT_FALSE(ranking.empty());
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    const auto relays = ranking.Relays(group);
    ASSERT_EQ(relays.size(), RelayRanking::kRanks);
    EXPECT_NE(relays[0], relays[1]);
  }
}

TEST(RelayRankingTest, Ranking_MembersInAnotherOrder_IsTheSame) {
  auto daemons = Daemons(25);
  const RelayRanking one(daemons);
  std::reverse(daemons.begin(), daemons.end());
  const RelayRanking other(daemons);
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    EXPECT_TRUE(std::ranges::equal(one.Relays(group), other.Relays(group)));
  }
}

RC_GTEST_PROP(RelayRankingProperty, Daemon_Lost_MovesOnlyItsOwnGroups, ()) {
  auto daemons = Daemons(
      *rc::gen::inRange<std::size_t>(RelayRanking::kLeastDaemons + 1, 60));
  const RelayRanking before(daemons);
  const auto lost = *rc::gen::inRange<std::size_t>(0, daemons.size());
  const std::string address = daemons[lost].address;
  daemons.erase(daemons.begin() + static_cast<std::ptrdiff_t>(lost));
  const RelayRanking after(daemons);
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    const auto old = before.Relays(group);
    if (std::find(old.begin(), old.end(), address) != old.end()) continue;
    RC_ASSERT(std::ranges::equal(old, after.Relays(group)));
  }
  RC_ASSERT(!IsRelay(after, address));
}

TEST(RelayRankingTest, Daemon_WithMoreProcessor_IsARelayMoreOften) {
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
    for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
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
  constexpr int kInEach = 100;
  constexpr int kServices = kInEach * static_cast<int>(RelayRanking::kGroups);
  for (int i = 0; i < kServices; ++i) {
    ++count[RelayRanking::GroupOf("service-" + std::to_string(i))];
  }
  ASSERT_EQ(count.size(), RelayRanking::kGroups);
  for (const auto& [group, services] : count) {
    EXPECT_NEAR(services, kInEach, 40);
  }
}

RC_GTEST_PROP(PartOfAllowanceProperty, Parts_OfAllDaemons_KeepToTheAllowance,
              ()) {
  const auto data_centres = *rc::gen::inRange<std::size_t>(1, 7);
  const auto in_each =
      *rc::gen::inRange<std::size_t>(RelayRanking::kLeastDaemons, 100);
  const std::size_t daemons = data_centres * in_each;
  constexpr double kAllowance = 190;
  const auto others = static_cast<double>(in_each - RelayRanking::kRanks);
  double sum =
      others * PartOfAllowance(kAllowance, std::nullopt, daemons, data_centres);
  for (std::size_t rank = 0; rank < RelayRanking::kRanks; ++rank) {
    sum += PartOfAllowance(kAllowance, rank, daemons, data_centres);
  }
  RC_ASSERT(sum * static_cast<double>(data_centres) <= kAllowance * 1.0001);
}

// The daemons that make the attempts have most of what may be spent on them.
TEST(PartOfAllowanceTest, FirstRelay_LargeFleet_HasMostOfTheAllowance) {
  EXPECT_GT(PartOfAllowance(152, 0, 75, 3), 10 * 152.0 / 75);
}

}  // namespace
}  // namespace lacewingknot
