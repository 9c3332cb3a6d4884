#include "lacewingknot/policy/query_admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

class QueryAdmissionTest : public ::testing::Test {
 protected:
  // Lets `count` queries arrive, one each 10 ms, and end at once.
  void Play(int count, QueryOutcome outcome) {
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(10);
      if (!admission_.Admit(now_)) {
        ++refused_;
        continue;
      }
      admission_.OnEnded(outcome, now_);
    }
  }

  QueryAdmission admission_;
  TimePoint now_ = kStart;
  int refused_ = 0;
};

TEST_F(QueryAdmissionTest, Queries_AllServed_AreAllAdmitted) {
  Play(1'000, QueryOutcome::kServed);
  EXPECT_EQ(refused_, 0);
}

TEST_F(QueryAdmissionTest, Queries_FewFail_AreAllAdmitted) {
  for (int i = 0; i < 100; ++i) {
    Play(9, QueryOutcome::kServed);
    Play(1, QueryOutcome::kOverloaded);
  }
  EXPECT_EQ(refused_, 0);
}

TEST_F(QueryAdmissionTest, Queries_AllFail_AreAdmittedInPart) {
  Play(1'000, QueryOutcome::kOverloaded);
  EXPECT_GT(refused_, 650);
  EXPECT_LT(refused_, 760);
}

TEST_F(QueryAdmissionTest, Overload_Ends_AllAreAdmittedWithinSeconds) {
  Play(500, QueryOutcome::kOverloaded);
  Play(1'000, QueryOutcome::kServed);
  refused_ = 0;
  Play(100, QueryOutcome::kServed);
  EXPECT_EQ(refused_, 0);
}

TEST_F(QueryAdmissionTest, Queries_TooFew_AreAdmitted) {
  for (int i = 0; i < 50; ++i) {
    now_ += seconds(3);
    EXPECT_TRUE(admission_.Admit(now_));
    admission_.OnEnded(QueryOutcome::kOverloaded, now_);
  }
}

// Replays a burst in virtual time at the busiest shard: four slots, 20 ms a
// request, so 200 queries/s at most; 320 queries/s arrive for six seconds. A
// query fails if its request has not ended within 375 ms; a request that has
// begun keeps its slot until it ends.
class BurstReplay {
 public:
  struct Totals {
    int in_time = 0;  // Within the objective of 150 ms.
    int late = 0;
    int failed = 0;
    int refused = 0;
  };

  static Totals Run(bool has_admission) {
    constexpr Duration kServiceTime = milliseconds(20);
    constexpr Duration kObjective = milliseconds(150);
    constexpr Duration kAttemptDeadline = milliseconds(375);
    constexpr Duration kInterval = std::chrono::microseconds(3'125);
    QueryAdmission admission;
    std::vector<TimePoint> slots(4, kStart);
    std::multimap<TimePoint, QueryOutcome> endings;
    Totals totals;
    for (TimePoint now = kStart; now < kStart + seconds(6); now += kInterval) {
      while (!endings.empty() && endings.begin()->first <= now) {
        const auto [at, outcome] = *endings.begin();
        endings.erase(endings.begin());
        admission.OnEnded(outcome, at);
      }
      if (has_admission && !admission.Admit(now)) {
        ++totals.refused;
        continue;
      }
      auto slot = std::min_element(slots.begin(), slots.end());
      const TimePoint begins = std::max(now, *slot);
      const TimePoint ends = begins + kServiceTime;
      if (ends - now > kAttemptDeadline) {
        // It leaves the queue at its deadline, or is cut off while it runs.
        if (begins - now <= kAttemptDeadline) *slot = ends;
        endings.emplace(now + kAttemptDeadline, QueryOutcome::kOverloaded);
        ++totals.failed;
        continue;
      }
      *slot = ends;
      endings.emplace(ends, QueryOutcome::kServed);
      ++(ends - now <= kObjective ? totals.in_time : totals.late);
    }
    return totals;
  }
};

TEST(QueryAdmissionReplayTest, Burst_WithAdmission_FailsFewerAndServesAsMany) {
  const BurstReplay::Totals before = BurstReplay::Run(false);
  const BurstReplay::Totals after = BurstReplay::Run(true);
  EXPECT_LT(after.failed, before.failed / 2);
  EXPECT_GE(after.in_time + after.late,
            (before.in_time + before.late) * 9 / 10);
  EXPECT_GT(after.refused, 0);
}

// Replays 60 s of 75 quiet teams and one at 7.5 times their rate, `per_second`
// each; `served` queries a second are served, the others fail by overload.
struct TeamAdmissionReplay {
  TeamAdmissionReplay(double per_second, double served, bool has_teams) {
    std::mt19937 random(3);
    std::uniform_real_distribution<double> uniform(0, 1);
    QueryAdmission admission;
    double left = 0;
    for (TimePoint now = kStart; now < kStart + seconds(60);
         now += milliseconds(1)) {
      left = std::min(left + served / 1'000, 3.0);
      for (int team = 0; team <= 75; ++team) {
        const bool is_hot = team == 75;
        if (uniform(random) >= per_second * (is_hot ? 7.5 : 1) / 1'000) {
          continue;
        }
        ++(is_hot ? hot : quiet);
        if (!admission.Admit(now, has_teams ? std::to_string(team) : "")) {
          ++(is_hot ? hot_refused : quiet_refused);
          continue;
        }
        const bool is_served = left >= 1;
        if (is_served) left -= 1;
        admission.OnEnded(
            is_served ? QueryOutcome::kServed : QueryOutcome::kOverloaded, now);
      }
    }
  }

  double hot = 0;
  double quiet = 0;
  double hot_refused = 0;
  double quiet_refused = 0;
};

// Refusals by arrival alone would fall on the quiet teams for the most part.
TEST(QueryAdmissionReplayTest, HotTeam_MildOverload_IsRefusedFirst) {
  for (const double per_second : {0.5, 2.0}) {
    const double served = 82.5 * per_second * 0.63;
    const TeamAdmissionReplay before(per_second, served, false);
    const TeamAdmissionReplay after(per_second, served, true);
    EXPECT_NEAR(after.hot_refused + after.quiet_refused,
                before.hot_refused + before.quiet_refused,
                0.1 * (before.hot_refused + before.quiet_refused) + 8);
    const double all_refused = after.hot_refused + after.quiet_refused;
    EXPECT_GT(after.hot_refused, 2 * before.hot_refused);
    EXPECT_LT(after.quiet_refused, before.quiet_refused * 0.6);
    EXPECT_GE(after.hot - after.hot_refused,
              0.25 * after.hot * (1 - all_refused / (after.hot + after.quiet)));
  }
}

TEST(QueryAdmissionReplayTest, HotTeam_HeavyOverload_NoTeamIsStarved) {
  const TeamAdmissionReplay before(2, 50, false);
  const TeamAdmissionReplay after(2, 50, true);
  const double refused = after.hot_refused + after.quiet_refused;
  EXPECT_NEAR(refused, before.hot_refused + before.quiet_refused,
              0.1 * refused);
  const double admitted = 1 - refused / (after.hot + after.quiet);
  EXPECT_GE(1 - after.hot_refused / after.hot, 0.25 * admitted);
  EXPECT_GT(1 - after.quiet_refused / after.quiet, admitted);
}

}  // namespace
}  // namespace lacewingknot
