#include "lacewingknot/policy/wait_queue.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <set>
#include <utility>

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

}  // namespace
}  // namespace lacewingknot
