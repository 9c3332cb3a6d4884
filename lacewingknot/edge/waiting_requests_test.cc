#include "lacewingknot/edge/waiting_requests.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

class WaitingRequestsTest : public ::testing::Test {
 protected:
  bool Add(const std::string& team) {
    return waiting_
        .Add({.team = team,
              .latest_start = now_ + std::chrono::seconds(1),
              .start =
                  [this, team](TimePoint) {
                    started_.push_back(team);
                    return true;
                  },
              .on_too_late = [] {}},
             now_)
        .has_value();
  }

  const TimePoint now_ = BootClock::now();
  bool is_withheld_ = true;
  boost::asio::io_context io_;
  TimerQueue timers_{io_};
  std::vector<std::string> started_;
  std::vector<std::string> refused_;
  WaitingRequests waiting_{
      {.timers = &timers_,
       .withheld_until = [this](TimePoint) -> std::optional<TimePoint> {
         if (!is_withheld_) return std::nullopt;
         return now_ + milliseconds(100);
       },
       .pass_rate = [](TimePoint) { return 20.0; },
       .on_fairness_refusal =
           [this](std::string_view team) { refused_.emplace_back(team); }}};
};

// The backlog of a team that sends too much must not refuse or delay another.
TEST_F(WaitingRequestsTest, Team_WithManyTurns_IsRefusedAndOvertaken) {
  Add("quiet");
  for (const char* team : {"a", "b", "c", "hot", "hot", "hot", "hot", "hot"}) {
    while (Add(team)) continue;
    is_withheld_ = false;
    waiting_.StartThoseReady(now_);
    is_withheld_ = true;
  }
  refused_.clear();
  started_.clear();
  int queued = 0;
  while (Add("hot")) ++queued;
  EXPECT_LT(queued, 14);
  ASSERT_TRUE(Add("quiet"));
  EXPECT_EQ(refused_, std::vector<std::string>{"hot"});
  is_withheld_ = false;
  waiting_.StartThoseReady(now_);
  ASSERT_FALSE(started_.empty());
  EXPECT_EQ(started_.front(), "quiet");
}

TEST_F(WaitingRequestsTest, Requests_WithoutTeam_AreNeverRefusedForFairness) {
  while (Add("")) continue;
  EXPECT_TRUE(refused_.empty());
}

}  // namespace
}  // namespace lacewingknot::edge
