#include "lacewingknot/policy/wait_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WaitQueueTest : public ::testing::Test {
 protected:
  // Lets the request whose turn it is start; returns its ID.
  WaitQueue::Id StartNext() {
    const auto next = queue_.Next();
    EXPECT_TRUE(next.has_value());
    queue_.OnStarted(next.value_or(0));
    return next.value_or(0);
  }

  WaitQueue queue_;
  const TimePoint now_{std::chrono::hours(1)};
};

TEST_F(WaitQueueTest, Requests_UrgentAndOthers_UrgentOnesGoFirst) {
  const auto late = queue_.Add(2);
  const auto urgent = queue_.Add(0);
  const auto urgent_too = queue_.Add(0);
  EXPECT_EQ(StartNext(), urgent);
  EXPECT_EQ(StartNext(), urgent_too);
  EXPECT_EQ(StartNext(), late);
  EXPECT_EQ(queue_.Next(), std::nullopt);
}

TEST_F(WaitQueueTest, Request_Removed_HasNoTurn) {
  const auto first = queue_.Add(0);
  const auto second = queue_.Add(0);
  queue_.Remove(first);
  EXPECT_EQ(StartNext(), second);
  EXPECT_TRUE(queue_.empty());
}

// Urgent requests alone would use every turn.
TEST_F(WaitQueueTest, UrgentRequests_KeepComing_OthersAreNotStarved) {
  std::set<WaitQueue::Id> others;
  for (int i = 0; i < 20; ++i) others.insert(queue_.Add(2));
  for (int turn = 0; turn < 40; ++turn) {
    queue_.Add(0);
    others.erase(StartNext());
  }
  EXPECT_EQ(others.size(), 10U);
}

TEST_F(WaitQueueTest, ExpectedStart_ManyAhead_FollowsFromTheirRate) {
  EXPECT_EQ(queue_.ExpectedStart(1, now_, 10), now_);
  for (int i = 0; i < 6; ++i) queue_.Add(1);
  EXPECT_GE(queue_.ExpectedStart(1, now_, 10), now_ + milliseconds(600));
  EXPECT_LE(queue_.ExpectedStart(1, now_, 10), now_ + milliseconds(900));
  EXPECT_EQ(queue_.ExpectedStart(0, now_ + seconds(1), 10), now_ + seconds(1));
}

// Replays a service whose replicas take 20 requests a second while 60 of three
// priorities arrive, and each is of use for 300 ms only.
TEST_F(WaitQueueTest, Overload_Sustained_StartedRequestsAreInTime) {
  constexpr double kRate = 20;
  constexpr Duration kUsefulFor = milliseconds(300);
  std::mt19937 random(5);
  std::map<WaitQueue::Id, std::pair<std::int64_t, TimePoint>> waiting;
  std::array<int, 3> arrived{};
  std::array<int, 3> started{};
  int late = 0;
  TimePoint opens_at = now_;
  const TimePoint end = now_ + seconds(30);
  for (TimePoint now = now_; now < end; now += milliseconds(1)) {
    if (std::uniform_real_distribution<double>(0, 1)(random) < 0.06) {
      const auto priority = static_cast<std::int64_t>(random() % 3);
      ++arrived[static_cast<std::size_t>(priority)];
      const TimePoint start =
          queue_.ExpectedStart(priority, std::max(now, opens_at), kRate);
      if (start <= now + kUsefulFor) {
        waiting[queue_.Add(priority)] = {priority, now};
      }
    }
    std::erase_if(waiting, [&](const auto& entry) {
      if (now - entry.second.second <= kUsefulFor) return false;
      queue_.Remove(entry.first);
      ++late;
      return true;
    });
    if (now < opens_at || queue_.empty()) continue;
    const auto id = StartNext();
    ++started[static_cast<std::size_t>(waiting.at(id).first)];
    waiting.erase(id);
    opens_at = now + milliseconds(50);
  }
  // Nearly all of the rate is used, by urgent requests most of all.
  EXPECT_GE(started[0] + started[1] + started[2], 0.95 * kRate * 30);
  EXPECT_GT(started[0], 0.6 * arrived[0]);
  EXPECT_GT(started[0], started[2]);
  // No kind is served less than a quarter as often as all.
  const double all = static_cast<double>(started[0] + started[1] + started[2]) /
                     (arrived[0] + arrived[1] + arrived[2]);
  EXPECT_GE(started[2], all / 4 * arrived[2]);
  // Few requests wait in vain.
  EXPECT_LE(late, 0.1 * (arrived[0] + arrived[1] + arrived[2]));
}

// Without teams, the order is that of the releases before teams: the oldest of
// the most urgent requests, and in each fourth turn the oldest of the others.
TEST_F(WaitQueueTest, Order_WithoutTeams_IsThatOfPriorityAndArrival) {
  std::mt19937 random(7);
  std::map<WaitQueue::Id, std::int64_t> waiting;
  int turns = 0;
  for (int i = 0; i < 5'000; ++i) {
    if (random() % 2 == 0) {
      const auto priority = static_cast<std::int64_t>(random() % 4);
      waiting[queue_.Add(priority)] = priority;
    } else if (!waiting.empty()) {
      const auto urgent = std::min_element(
          waiting.begin(), waiting.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      const auto other = std::find_if(
          waiting.begin(), waiting.end(),
          [&](const auto& entry) { return entry.second > urgent->second; });
      const bool is_others = turns++ % 4 == 3 && other != waiting.end();
      const auto expected = is_others ? other->first : urgent->first;
      ASSERT_EQ(StartNext(), expected);
      waiting.erase(expected);
    }
  }
}

// In the order of arrival, a team's backlog would delay all others.
TEST_F(WaitQueueTest, Teams_OneWithBacklog_TakeTurnsByArrivalWithinTeam) {
  std::vector<WaitQueue::Id> hot;
  hot.reserve(100);
  for (int i = 0; i < 100; ++i) hot.push_back(queue_.Add(0, "hot"));
  for (int i = 0; i < 30; ++i) EXPECT_EQ(StartNext(), hot[i]);
  EXPECT_LE(queue_.ExpectedStart(0, now_, 10, "quiet"), now_ + seconds(3));
  EXPECT_GE(queue_.ExpectedStart(0, now_, 10, "hot"), now_ + seconds(7));
  const auto quiet = queue_.Add(0, "quiet");
  EXPECT_EQ(StartNext(), quiet);
  EXPECT_EQ(StartNext(), hot[30]);
}

TEST_F(WaitQueueTest, Teams_LessUrgentWithFewTurns_DoNotPrecedeUrgentOnes) {
  queue_.Add(1, "quiet");
  const auto urgent = queue_.Add(0, "hot");
  const auto urgent_too = queue_.Add(0, "hot");
  EXPECT_EQ(StartNext(), urgent);
  EXPECT_EQ(StartNext(), urgent_too);
}

TEST_F(WaitQueueTest, Teams_SeveralHundredComeAndGo_AreForgotten) {
  for (int i = 0; i < 20'000; ++i) {
    queue_.OnRefused(0, "refused" + std::to_string(i));
    queue_.Add(i % 100, "team" + std::to_string(i));
    StartNext();
  }
  EXPECT_LE(queue_.remembered_teams(), 100 * FairShare::kMaxTeams);
  for (int i = 0; i < 5'000; ++i) {
    queue_.Add(0, "present");
    StartNext();
  }
  EXPECT_LE(queue_.remembered_teams(), 20U);
}

// Replays 60 s of 75 quiet teams at 1/s each and one at 7.5 times that rate,
// while the upstreams take `rate` a second and an answer is of use for 300 ms.
struct TeamReplay {
  static constexpr std::size_t kTeams = 76;  // The last one is the hot one.

  TeamReplay(double rate, bool has_teams, unsigned seed,
             double hot_per_second = 7.5) {
    constexpr Duration kUsefulFor = milliseconds(300);
    const auto name = [&](std::size_t team) {
      return has_teams ? "team" + std::to_string(team) : std::string();
    };
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    WaitQueue queue;
    std::map<WaitQueue::Id, std::pair<std::size_t, TimePoint>> waiting;
    std::array<double, kTeams> arrived{};
    std::array<double, kTeams> started{};
    TimePoint opens_at{};
    for (TimePoint now{}; now < TimePoint(seconds(60));
         now += milliseconds(1)) {
      for (std::size_t team = 0; team < kTeams; ++team) {
        if (uniform(random) >=
            (team + 1 == kTeams ? hot_per_second / 1'000 : 0.001)) {
          continue;
        }
        ++arrived[team];
        if (queue.ExpectedStart(0, std::max(now, opens_at), rate, name(team)) >
            now + kUsefulFor) {
          queue.OnRefused(0, name(team));
          continue;
        }
        waiting[queue.Add(0, name(team))] = {team, now};
      }
      std::erase_if(waiting, [&](const auto& entry) {
        if (now - entry.second.second <= kUsefulFor) return false;
        queue.Remove(entry.first);
        ++late;
        return true;
      });
      if (now < opens_at || queue.empty()) continue;
      const auto id = *queue.Next();
      queue.OnStarted(id);
      ++started[waiting.at(id).first];
      waiting.erase(id);
      opens_at = std::max(opens_at, now - milliseconds(1)) +
                 std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(1 / rate));
    }
    all_arrived = std::accumulate(arrived.begin(), arrived.end(), 0.0);
    all_started = std::accumulate(started.begin(), started.end(), 0.0);
    hot = started.back() / arrived.back();
    quiet = (all_started - started.back()) / (all_arrived - arrived.back());
    std::vector<double> shares;
    for (std::size_t i = 0; i < kTeams; ++i) {
      shares.push_back(started[i] / arrived[i]);
    }
    std::sort(shares.begin(), shares.end());
    worst_tenth = std::accumulate(shares.begin(), shares.begin() + 8, 0.0) / 8;
  }

  // Shares of the requests that started.
  double hot = 0;
  double quiet = 0;
  double worst_tenth = 0;
  double all_arrived = 0;
  double all_started = 0;
  double late = 0;
};

// The quiet teams fare nearly as if the hot one sent as usual.
TEST(WaitQueueReplayTest, HotTeam_CapacitySufficesForOthers_LosesAlone) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const TeamReplay usual(78, false, seed, 1);
    const TeamReplay by_arrival(78, false, seed);
    const TeamReplay replay(78, true, seed);
    EXPECT_GE(replay.quiet, (usual.quiet + by_arrival.quiet) / 2);
    EXPECT_LT(replay.hot, replay.quiet * 2 / 3);
    EXPECT_GE(replay.hot, 0.25 * replay.all_started / replay.all_arrived);
    EXPECT_LE(replay.late, 0.01 * replay.all_arrived);
    EXPECT_GE(replay.all_started, usual.all_started);
  }
}

TEST(WaitQueueReplayTest, HotTeam_AllTeamsAreShort_NoneIsStarved) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    const TeamReplay replay(50, true, seed);
    const double all = replay.all_started / replay.all_arrived;
    EXPECT_GE(replay.hot, 0.25 * all);
    EXPECT_LT(replay.hot, replay.quiet * 3 / 4);
    EXPECT_GT(replay.quiet, all);
    EXPECT_GE(replay.worst_tenth, 0.25 * all);
    EXPECT_LE(replay.late, 0.01 * replay.all_arrived);
    EXPECT_GE(replay.all_started, 0.95 * 50 * 60);
  }
}

}  // namespace
}  // namespace lacewingknot
