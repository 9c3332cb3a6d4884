#include "lacewingknot/policy/demand_shares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingknot/policy/stated_rate_limiter.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Member> MakeMembers(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({.address = "10.0.0." + std::to_string(i) + ":7380"});
  }
  return members;
}

// A fleet in virtual time that sends to one upstream, reports its demand to the
// keeper and uses the sums that come back.
class VirtualFleet {
 public:
  // `demand` holds the attempts per second of each daemon.
  VirtualFleet(std::vector<double> demand, double stated)
      : demand_(std::move(demand)),
        equal_share_(1.0 / static_cast<double>(
                               std::max<std::size_t>(8, demand_.size()))),
        daemons_(demand_.size(), StatedRateLimiter({.random_seed = 0})),
        waiting_(demand_.size()) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) Restart(i);
    State(stated);
  }

  void State(double stated) {
    stated_ = stated;
    for (StatedRateLimiter& daemon : daemons_) daemon.OnStated(stated, now_);
  }
  // The daemon loses all it knows, but for the statement: its first answer
  // brings it.
  void Restart(std::size_t index) {
    StatedRateLimiter& daemon = daemons_[index];
    daemon = StatedRateLimiter({.random_seed = ++seed_});
    daemon.set_share(equal_share_);
    if (stated_ > 0) daemon.OnStated(stated_, now_);
  }
  void RestartKeeper() { keeper_ = DemandKeeper(); }
  void SetKeeperSilent(bool is_silent) { keeper_is_silent_ = is_silent; }
  void RotateDemand() {
    std::rotate(
        demand_.begin(),
        demand_.begin() + static_cast<std::ptrdiff_t>(demand_.size() / 2),
        demand_.end());
  }
  void ScaleDemand(double factor) {
    for (double& rate : demand_) rate *= factor;
  }

  void Run(Duration time) {
    constexpr Duration kStep = milliseconds(10);
    constexpr double kStepSeconds = 0.01;
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      allowed_.emplace_back(now_, 1.5 * stated_ * kStepSeconds);
      while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
        const auto deliver = std::move(in_transit_.begin()->second);
        in_transit_.erase(in_transit_.begin());
        deliver();
      }
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        std::poisson_distribution<int> attempts(demand_[i] * kStepSeconds);
        for (int left = attempts(random_); left > 0; --left) {
          daemons_[i].CountDemand();
          waiting_[i].push_back(now_);
        }
        Send(i);
        Report(i);
      }
      CheckWindow();
    }
  }

  // Most requests in a window beyond what the upstream tolerates there.
  double worst_excess() const { return worst_excess_; }
  std::size_t TakeSent() { return std::exchange(sent_, 0); }
  double most_reports_per_second() const {
    return static_cast<double>(most_reports_);
  }

 private:
  // Requests wait for a short time, as those of the edge do.
  void Send(std::size_t index) {
    StatedRateLimiter& limiter = daemons_[index];
    while (!waiting_[index].empty()) {
      const bool is_new = waiting_[index].front() == now_;
      if (now_ - waiting_[index].front() > kLongestWait) {
        waiting_[index].pop_front();
        continue;
      }
      if (!is_new && limiter.OpensAt(now_) > now_) return;
      if (!limiter.Allows(now_)) return;
      limiter.OnSent(now_);
      ++sent_;
      recent_.push_back(now_);
      waiting_[index].pop_front();
    }
  }

  static constexpr Duration kLongestWait = milliseconds(300);

  Duration Delay() { return milliseconds(1 + random_() % 40); }

  void Report(std::size_t index) {
    const auto demand = daemons_[index].TakeDueDemand(now_);
    if (!demand) return;
    const DemandReport report{.upstream = "u",
                              .per_second = demand->per_second,
                              .interval = demand->interval};
    in_transit_.emplace(now_ + Delay(), [this, index, report] {
      if (keeper_is_silent_) return;
      while (!reports_.empty() && now_ - reports_.front() >= seconds(1)) {
        reports_.pop_front();
      }
      reports_.push_back(now_);
      most_reports_ = std::max(most_reports_, reports_.size());
      const auto sum = keeper_.OnReport(std::to_string(index), report, now_);
      if (!sum) return;
      in_transit_.emplace(now_ + Delay(), [this, index, sum] {
        daemons_[index].OnDemandSum(sum->per_second, now_);
      });
    });
  }

  // Requests in the last 4 s, against what was tolerated in that time.
  void CheckWindow() {
    constexpr Duration kWindow = seconds(4);
    while (!recent_.empty() && now_ - recent_.front() >= kWindow) {
      recent_.pop_front();
    }
    while (now_ - allowed_.front().first >= kWindow) {
      allowed_sum_ -= allowed_.front().second;
      allowed_.pop_front();
    }
    allowed_sum_ += allowed_.back().second;
    constexpr double kAllowedExtra = 5;
    worst_excess_ =
        std::max(worst_excess_, static_cast<double>(recent_.size()) -
                                    allowed_sum_ - kAllowedExtra);
  }

  std::mt19937_64 random_{17};
  std::uint64_t seed_ = 0;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<double> demand_;
  double equal_share_;
  double stated_ = 0;
  std::vector<StatedRateLimiter> daemons_;
  std::vector<std::deque<TimePoint>> waiting_;  // Requests of each daemon.
  DemandKeeper keeper_;
  bool keeper_is_silent_ = false;
  std::multimap<TimePoint, std::function<void()>> in_transit_;
  std::deque<TimePoint> recent_;
  std::deque<TimePoint> reports_;
  std::size_t most_reports_ = 0;
  std::deque<std::pair<TimePoint, double>> allowed_;
  double allowed_sum_ = 0;
  double worst_excess_ = -1e9;
  std::size_t sent_ = 0;
};

// Number of daemons and stated rate.
class DemandSharesFleetTest
    : public ::testing::TestWithParam<std::tuple<int, double>> {
 protected:
  std::size_t daemons() const {
    return static_cast<std::size_t>(std::get<0>(GetParam()));
  }
  double stated() const { return std::get<1>(GetParam()); }
  // Demand of the whole fleet, as a multiple of the stated rate, of which few
  // daemons have nine tenths.
  std::vector<double> UnevenDemand(double factor) const {
    const std::size_t heavy =
        std::max<std::size_t>(1, std::min<std::size_t>(daemons() / 6, 4));
    std::vector<double> demand(daemons());
    for (std::size_t i = 0; i < demand.size(); ++i) {
      const bool is_heavy = i < heavy;
      const double group = static_cast<double>(
          is_heavy ? heavy : std::max<std::size_t>(1, daemons() - heavy));
      demand[i] = factor * stated() * (is_heavy ? 0.9 : 0.1) / group;
    }
    return demand;
  }
  Duration interval() const {
    return ReportInterval(
        1.0 / static_cast<double>(std::max<std::size_t>(8, daemons())));
  }
};

INSTANTIATE_TEST_SUITE_P(
    Sizes, DemandSharesFleetTest,
    ::testing::Combine(::testing::Values(1, 6, 9, 84, 195, 500),
                       ::testing::Values(6.4, 21.5, 80.0)));

// Guards against an upstream that gets far less than it takes, because the
// daemons with the requests have only their equal shares.
TEST_P(DemandSharesFleetTest, Demand_AtFewDaemons_FourFifthsOfRateAreUsed) {
  for (const double factor : {1.5, 4.0}) {
    VirtualFleet fleet(UnevenDemand(factor), stated());
    fleet.Run(3 * interval() + seconds(5));
    fleet.TakeSent();
    fleet.Run(seconds(40));
    EXPECT_GE(static_cast<double>(fleet.TakeSent()), 0.8 * stated() * 40)
        << "demand " << factor;
    EXPECT_LE(fleet.worst_excess(), 0) << "demand " << factor;
  }
}

TEST_P(DemandSharesFleetTest, Demand_MovesAndSurges_StaysWithinTolerance) {
  VirtualFleet fleet(UnevenDemand(3), stated());
  for (int round = 0; round < 3; ++round) {
    fleet.Run(seconds(12));
    fleet.RotateDemand();
    fleet.Run(seconds(6));
    fleet.ScaleDemand(2.5);
    fleet.Run(seconds(6));
    fleet.ScaleDemand(0.4);
  }
  EXPECT_LE(fleet.worst_excess(), 0);
}

TEST_P(DemandSharesFleetTest, Daemons_RestartAndKeeperFails_ToleranceHolds) {
  VirtualFleet fleet(UnevenDemand(3), stated());
  for (std::size_t round = 0; round < 3; ++round) {
    fleet.Run(seconds(10));
    for (std::size_t i = round; i < daemons(); i += 3) fleet.Restart(i);
    fleet.Run(seconds(4));
    fleet.SetKeeperSilent(true);
    fleet.Run(seconds(8));
    fleet.RestartKeeper();
    fleet.SetKeeperSilent(false);
  }
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.worst_excess(), 0);
}

TEST_P(DemandSharesFleetTest, Rate_Changes_ToleranceHolds) {
  VirtualFleet fleet(UnevenDemand(3), stated());
  for (const double factor : {0.6, 1.3, 0.5, 1.0}) {
    fleet.Run(seconds(10));
    fleet.State(stated() * factor);
  }
  fleet.Run(seconds(10));
  EXPECT_LE(fleet.worst_excess(), 0);
}

TEST_P(DemandSharesFleetTest, Reports_AnyFleet_StayBelowTheirLimit) {
  VirtualFleet fleet(std::vector<double>(daemons(), 2.0), stated());
  fleet.Run(seconds(45));
  // Reports of all daemons may begin in the same interval.
  EXPECT_LE(
      fleet.most_reports_per_second(),
      std::max<double>(2 * kReportsPerSecond, static_cast<double>(daemons())));
}

TEST(DemandKeeperTest, Sum_BeforeAllReported_IsWithheld) {
  DemandKeeper keeper;
  const TimePoint now(std::chrono::hours(1));
  const DemandReport report{
      .upstream = "u", .per_second = 10, .interval = seconds(1)};
  EXPECT_EQ(keeper.OnReport("a", report, now), std::nullopt);
  EXPECT_EQ(keeper.OnReport("b", report, now + milliseconds(900)),
            std::nullopt);
  const auto sum = keeper.OnReport("a", report, now + milliseconds(1'300));
  ASSERT_TRUE(sum.has_value());
  EXPECT_EQ(sum->per_second, 20);
}

TEST(DemandKeeperTest, Daemon_StopsReporting_DropsOutOfSum) {
  DemandKeeper keeper;
  TimePoint now(std::chrono::hours(1));
  const DemandReport report{
      .upstream = "u", .per_second = 10, .interval = seconds(1)};
  keeper.OnReport("b", report, now);
  for (int i = 0; i < 4; ++i) {
    keeper.OnReport("a", report, now);
    now += seconds(1);
  }
  EXPECT_EQ(keeper.OnReport("a", report, now)->per_second, 10);
}

TEST(DemandKeeperTest, Upstream_StartsAnew_OldReportsDoNotCount) {
  DemandKeeper keeper;
  TimePoint now(std::chrono::hours(1));
  DemandReport report{
      .upstream = "u", .per_second = 10, .interval = seconds(1)};
  keeper.OnReport("a", report, now);
  report.incarnation = 2;
  keeper.OnReport("b", report, now += seconds(1));
  report.incarnation = 0;
  EXPECT_EQ(keeper.OnReport("a", report, now += seconds(2)), std::nullopt);
  report.incarnation = 2;
  EXPECT_EQ(keeper.OnReport("b", report, now)->per_second, 10);
}

TEST(DemandKeeperTest, Upstreams_TooMany_OthersGetNoSum) {
  DemandKeeper keeper;
  const TimePoint now(std::chrono::hours(1));
  for (std::size_t i = 0; i < DemandKeeper::kMaxUpstreams + 5; ++i) {
    keeper.OnReport(
        "a", {.upstream = std::to_string(i), .interval = seconds(5)}, now);
  }
  EXPECT_EQ(keeper.OnReport(
                "a",
                {.upstream = std::to_string(DemandKeeper::kMaxUpstreams + 1),
                 .interval = seconds(5)},
                now + seconds(7)),
            std::nullopt);
}

TEST(DemandSharesTest, Keeper_SameMembers_IsAgreedOnAndSpread) {
  const auto members = MakeMembers(50);
  std::map<std::string, int> upstreams;
  for (int i = 0; i < 500; ++i) {
    const std::string keeper = KeeperOf(std::to_string(i), members);
    EXPECT_EQ(KeeperOf(std::to_string(i), members), keeper);
    ++upstreams[keeper];
  }
  EXPECT_GT(upstreams.size(), 45U);
  EXPECT_EQ(KeeperOf("u", {}), "");
}

TEST(DemandSharesTest, Shares_AnyDemand_AddUpToOne) {
  const std::vector<double> demand{0, 0.5, 3, 40};
  const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
  double shares = 0;
  for (const double own : demand) shares += ShareByDemand(0.25, own / sum);
  EXPECT_NEAR(shares, 1, 1e-9);
  EXPECT_EQ(ShareByDemand(0.25, std::nullopt), 0.25);
}

}  // namespace
}  // namespace lacewingknot
