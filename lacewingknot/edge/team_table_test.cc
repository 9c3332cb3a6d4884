#include "lacewingknot/edge/team_table.h"

#include <gtest/gtest.h>

#include "lacewingknot/edge/team_requests.h"

namespace lacewingknot::edge {
namespace {

TeamTable MakeTable(int keys) {
  std::vector<TeamTable::Entry> entries;
  entries.reserve(static_cast<std::size_t>(keys));
  for (int i = 0; i < keys; ++i) {
    entries.push_back({.team = {.name = "team-" + std::to_string(i)},
                       .keys = {DigestOfKey("key-" + std::to_string(i))}});
  }
  return TeamTable(std::move(entries));
}

TEST(TeamTableTest, Key_Known_FindsItsTeam) {
  for (const int keys : {1, 2, 3, 8, 77}) {
    const TeamTable table = MakeTable(keys);
    for (int i = 0; i < keys; ++i) {
      const auto match = table.Find("key-" + std::to_string(i));
      ASSERT_TRUE(match) << keys;
      EXPECT_EQ(match.team->name, "team-" + std::to_string(i));
    }
  }
}

TEST(TeamTableTest, Key_Unknown_FindsNoTeam) {
  for (const int keys : {0, 1, 2, 77}) {
    const TeamTable table = MakeTable(keys);
    EXPECT_FALSE(table.Find("key-77"));
    EXPECT_FALSE(table.Find(""));
    EXPECT_FALSE(table.Find("KEY-0"));
  }
}

// Guards against look-ups whose duration tells a client whether a key, or a
// part of one, is known.
TEST(TeamTableTest, LookUp_KeyKnownOrNot_DoesSameWork) {
  for (const int keys : {1, 2, 3, 5, 64, 77}) {
    const TeamTable table = MakeTable(keys);
    TeamTable::Work expected;
    table.Find("key-0", &expected);
    EXPECT_EQ(expected.hashes, 1U);
    for (int i = 0; i < 2 * keys; ++i) {
      TeamTable::Work work;
      table.Find("key-" + std::to_string(i), &work);
      EXPECT_EQ(work.hashes, expected.hashes);
      EXPECT_EQ(work.comparisons, expected.comparisons) << keys << " " << i;
    }
  }
}

TEST(TeamTableTest, KeysMissingIn_KeyWithdrawnOrMoved_CountsItForItsTeam) {
  const TeamTable before(
      {{.team = {.name = "a"}, .keys = {DigestOfKey("1"), DigestOfKey("2")}},
       {.team = {.name = "b"}, .keys = {DigestOfKey("3")}}});
  const TeamTable after(
      {{.team = {.name = "a"}, .keys = {DigestOfKey("1"), DigestOfKey("3")}}});
  EXPECT_EQ(before.KeysMissingIn(after),
            (std::map<std::string, std::size_t>{{"a", 1}, {"b", 1}}));
  EXPECT_TRUE(before.KeysMissingIn(before).empty());
}

TEST(TeamTableTest, Digest_OfKnownText_IsSha256) {
  // FIPS 180-2, appendix B.1.
  const KeyDigest digest = DigestOfKey("abc");
  EXPECT_EQ(digest[0], 0xba);
  EXPECT_EQ(digest[1], 0x78);
  EXPECT_EQ(digest[31], 0xad);
}

class TeamRequestsTest : public ::testing::Test {
 protected:
  double CountOf(std::string_view team, TimePoint now) const {
    double sum = 0;
    for (const auto& metric : requests_.Collect(now).metric) {
      for (const auto& label : metric.label) {
        if (label.name == "team" && label.value == team) {
          sum += metric.gauge.value;
        }
      }
    }
    return sum;
  }

  const TimePoint start_ = TimePoint(std::chrono::hours(1));
  TeamRequests requests_;
};

// Guards against one time series for each of many teams.
TEST_F(TeamRequestsTest, Teams_Many_OnlyLargestHaveOwnLabels) {
  constexpr int kTeams = 40;
  for (int team = 0; team < kTeams; ++team) {
    for (int i = 0; i <= team; ++i) {
      requests_.OnRequest("t" + std::to_string(team), "complete", start_);
    }
  }
  const TimePoint later = start_ + TeamRequests::kWindow;
  EXPECT_EQ(requests_.Collect(later).metric.size(),
            TeamRequests::kMaxTeams + 1);
  EXPECT_EQ(CountOf("t39", later), 40);
  EXPECT_EQ(CountOf("t32", later), 33);
  EXPECT_EQ(CountOf("t31", later), 0);
  EXPECT_EQ(CountOf("other", later), 32 * 33 / 2);
}

TEST_F(TeamRequestsTest, Window_Passes_CountsAreOfLastCompleteOne) {
  requests_.OnRequest("a", "complete", start_);
  EXPECT_EQ(CountOf("a", start_), 0);
  requests_.OnRequest("a", "failed", start_ + TeamRequests::kWindow);
  requests_.OnRequest("a", "failed", start_ + TeamRequests::kWindow);
  EXPECT_EQ(CountOf("a", start_ + TeamRequests::kWindow), 1);
  EXPECT_EQ(CountOf("a", start_ + 2 * TeamRequests::kWindow), 2);
  EXPECT_EQ(CountOf("a", start_ + 3 * TeamRequests::kWindow), 0);
}

}  // namespace
}  // namespace lacewingknot::edge
