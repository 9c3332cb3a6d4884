#include "lacewingknot/policy/statement_table.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>
#include <set>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class StatementTableTest : public ::testing::Test {
 protected:
  bool Merge(const StatementReport& report,
             StatementSource source = StatementSource::kPeer) {
    return table_.Merge(report, source, now_);
  }
  std::optional<StatementTable::Known> Find(std::int64_t incarnation = 1) {
    return table_.Find("u", incarnation, now_);
  }

  StatementTable table_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_F(StatementTableTest, Report_ReceivedAgain_IsNewsOnce) {
  const StatementReport leaving{
      .upstream = "u", .incarnation = 1, .is_leaving = true};
  EXPECT_TRUE(Merge(leaving));
  EXPECT_FALSE(Merge(leaving));
  EXPECT_TRUE(Find()->report.is_leaving);
  EXPECT_FALSE(Merge({.upstream = "v", .incarnation = 1}));
  EXPECT_EQ(table_.size(), 1U);
}

// An upstream that has started anew is another one, whatever late reports say.
TEST_F(StatementTableTest, Report_OfEarlierIncarnation_IsIgnored) {
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 7, .rate = 20}));
  EXPECT_FALSE(Merge({.upstream = "u", .incarnation = 6, .is_leaving = true}));
  EXPECT_FALSE(Find(7)->report.is_leaving);
  EXPECT_EQ(Find(6), std::nullopt);
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 8, .wait = seconds(1)}));
  EXPECT_EQ(Find(8)->report.rate, std::nullopt);
}

TEST_F(StatementTableTest, Report_OlderThanKnown_DoesNotChangeRate) {
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .rate = 20}));
  EXPECT_FALSE(Merge(
      {.upstream = "u", .incarnation = 1, .rate = 90, .age = seconds(2)}));
  EXPECT_EQ(Find()->report.rate, 20);
  now_ += seconds(3);
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .age = seconds(1)}));
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(StatementTableTest, Rate_ChangesSlightly_IsNoNews) {
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .rate = 20}));
  now_ += seconds(1);
  EXPECT_FALSE(Merge({.upstream = "u", .incarnation = 1, .rate = 21}));
  now_ += seconds(1);
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .rate = 30}));
}

TEST_F(StatementTableTest, Wait_NamedToThisDaemon_IsKeptAsOwn) {
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .wait = seconds(2)}));
  EXPECT_FALSE(Find()->is_own_wait);
  EXPECT_TRUE(Merge({.upstream = "u", .incarnation = 1, .wait = seconds(5)},
                    StatementSource::kOwnAnswer));
  EXPECT_TRUE(Find()->is_own_wait);
  now_ += seconds(4);
  EXPECT_EQ(Find()->report.wait, seconds(1));
  now_ += seconds(1);
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(StatementTableTest, Statements_Expire_LeavingLast) {
  Merge({.upstream = "u", .incarnation = 1, .is_leaving = true, .rate = 5});
  EXPECT_EQ(Find()->report.rate, 5);
  now_ += minutes(1);
  EXPECT_EQ(Find()->report.rate, std::nullopt);
  EXPECT_TRUE(Find()->report.is_leaving);
  now_ += minutes(10);
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(StatementTableTest, Latest_ManyUpstreams_AreTheYoungestThatHold) {
  for (int i = 0; i < 10; ++i) {
    now_ += seconds(1);
    Merge({.upstream = std::to_string(i),
           .incarnation = 1,
           .is_leaving = i % 2 == 0,
           .wait = milliseconds(i % 2 == 0 ? 0 : 10)});
  }
  now_ += seconds(1);
  const auto latest = table_.Latest(3, now_);
  ASSERT_EQ(latest.size(), 3U);
  EXPECT_EQ(latest[0].upstream, "8");
  EXPECT_EQ(latest[2].upstream, "4");
}

TEST_F(StatementTableTest, Upstreams_TooMany_OldestAreForgotten) {
  for (std::size_t i = 0; i < StatementTable::kMaxUpstreams + 10; ++i) {
    now_ += milliseconds(1);
    Merge(
        {.upstream = std::to_string(i), .incarnation = 1, .is_leaving = true});
  }
  EXPECT_EQ(table_.size(), StatementTable::kMaxUpstreams);
  EXPECT_EQ(table_.Find("0", 1, now_), std::nullopt);
  EXPECT_TRUE(table_.Find("10", 1, now_).has_value());
}

// Replays the spread of one statement in a fleet: each daemon to which it is
// news tells four others, with the delays of edge/peer_gossip.h.
class StatementSpreadTest : public ::testing::TestWithParam<int> {};

INSTANTIATE_TEST_SUITE_P(Sizes, StatementSpreadTest,
                         ::testing::Values(2, 7, 84, 195, 500));

TEST_P(StatementSpreadTest, Statement_OneDaemonLearnsIt_AlmostAllKnowSoon) {
  constexpr std::size_t kFanout = 4;
  constexpr double kLoss = 0.01;
  const auto daemons = static_cast<std::size_t>(GetParam());
  std::vector<StatementTable> tables(daemons);
  struct Arrival {
    TimePoint at;
    std::size_t daemon;
    bool operator>(const Arrival& other) const { return at > other.at; }
  };
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals;
  std::mt19937 random(3);
  const TimePoint start(std::chrono::hours(1));
  const StatementReport report{
      .upstream = "u", .incarnation = 1, .is_leaving = true};
  arrivals.push({start, 0});
  std::size_t messages = 0;
  std::size_t known = 0;
  TimePoint last_learnt = start;
  while (!arrivals.empty()) {
    const Arrival arrival = arrivals.top();
    arrivals.pop();
    if (!tables[arrival.daemon].Merge(report, StatementSource::kPeer,
                                      arrival.at)) {
      continue;
    }
    ++known;
    last_learnt = arrival.at;
    std::set<std::size_t> others;
    while (others.size() < std::min(kFanout, daemons - 1)) {
      const std::size_t other = random() % daemons;
      if (other != arrival.daemon) others.insert(other);
    }
    for (const std::size_t other : others) {
      ++messages;
      if (std::bernoulli_distribution(kLoss)(random)) continue;
      const auto delay = milliseconds(30 + 1 + random() % 40);
      arrivals.push({arrival.at + delay, other});
    }
  }
  EXPECT_GE(known, daemons * 95 / 100);
  EXPECT_LE(last_learnt - start, milliseconds(700));
  EXPECT_LE(messages, kFanout * daemons);
}

}  // namespace
}  // namespace lacewingknot
