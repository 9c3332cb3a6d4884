#include "lacewingknot/policy/watch_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMaxStaleness = milliseconds(4'000);
constexpr Duration kMaxApplyDelay = milliseconds(3'000);
constexpr Duration kCallTimeout = milliseconds(800);

std::vector<Member> MakeFleet(int daemons) {
  std::vector<Member> fleet;
  fleet.reserve(static_cast<std::size_t>(daemons));
  for (int i = 0; i < daemons; ++i) {
    fleet.push_back({.address = "10.0.0." + std::to_string(i),
                     .data_centre = "dc-" + std::to_string(i % 3),
                     .processor_share = i % 2 == 0 ? 0.25 : 0.12});
  }
  return fleet;
}

// Daemons that watch one store in virtual time.
class VirtualWatchers {
 public:
  explicit VirtualWatchers(int daemons) {
    const auto fleet = MakeFleet(daemons);
    const auto sentinels = SelectSentinels(fleet);
    std::uniform_int_distribution<int> within_second(0, 999);
    for (const Member& member : fleet) {
      Daemon daemon;
      daemon.is_sentinel = std::find(sentinels.begin(), sentinels.end(),
                                     member.address) != sentinels.end();
      for (const auto& address : RankSentinels(member, fleet, sentinels)) {
        daemon.asks.push_back(std::stoul(address.substr(7)));
      }
      daemon.next_ask = now_ + milliseconds(within_second(random_));
      daemon.next_call = now_ + milliseconds(within_second(random_));
      daemons_.push_back(std::move(daemon));
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (Daemon& daemon : daemons_) Step(daemon);
    }
  }
  void Change() { ++revision_; }
  // The store receives calls but never answers them.
  void SetSilent(bool silent) {
    is_silent_ = silent;
    for (Daemon& daemon : daemons_) daemon.is_swallowed |= silent;
  }
  // Open connections to the store go silent for good; new ones work. Calls on
  // the former get no answer.
  void SeverConnections(double share) {
    std::bernoulli_distribution is_chosen(share);
    for (Daemon& daemon : daemons_) {
      if (!is_chosen(random_)) continue;
      daemon.is_severed = true;
      if (!daemon.next_call) daemon.is_swallowed = true;
    }
  }
  // The share of datagrams between daemons that are lost from now on.
  void SetDatagramLoss(double share) { datagram_loss_ = share; }
  // The calls of the sentinels, or of the others, are never answered.
  void CutOff(bool sentinels) {
    for (Daemon& daemon : daemons_) {
      if (daemon.is_sentinel != sentinels) continue;
      daemon.is_cut_off = true;
      daemon.is_swallowed = true;
    }
  }

  // Number of daemons that have missed the latest change.
  std::size_t Behind() const {
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const Daemon& one) {
          return !one.is_cut_off && one.revision < revision_;
        }));
  }
  std::size_t calls() const { return calls_; }

 private:
  static constexpr Duration kStep = milliseconds(20);

  struct Daemon {
    WatchSchedule schedule{
        {.max_staleness = kMaxStaleness, .call_timeout = kCallTimeout}};
    bool is_sentinel = false;
    std::vector<std::size_t> asks;
    TimePoint next_ask{};
    std::uint64_t revision = 0;
    std::uint64_t peer_revision = 0;
    TimePoint confirmed_at{};
    TimePoint peer_confirmed_at{};
    std::optional<TimePoint> peer_ahead_since;
    // The call in progress, if next_call is empty.
    std::optional<TimePoint> next_call;
    TimePoint started{};
    Duration wait{};
    bool is_swallowed = false;
    bool is_lost = false;
    bool is_cut_off = false;
    bool is_severed = false;  // The open connection.
    Duration retry_delay = milliseconds(150);
  };

  void Ask(Daemon& daemon) {
    daemon.next_ask = now_ + seconds(1);
    const bool is_overdue = now_ - daemon.peer_confirmed_at > seconds(2);
    for (std::size_t i = 0; i < daemon.asks.size() && i < (is_overdue ? 2 : 1);
         ++i) {
      if (std::bernoulli_distribution(datagram_loss_)(random_)) continue;
      const Daemon& sentinel = daemons_[daemon.asks[i]];
      daemon.schedule.OnPeerReport({.revision = sentinel.revision,
                                    .confirmed_at = sentinel.confirmed_at},
                                   {.revision = daemon.revision});
      daemon.peer_revision = std::max(daemon.peer_revision, sentinel.revision);
      daemon.peer_confirmed_at =
          std::max(daemon.peer_confirmed_at, sentinel.confirmed_at);
    }
  }

  void Step(Daemon& daemon) {
    if (!daemon.is_sentinel && now_ >= daemon.next_ask) Ask(daemon);
    if (daemon.next_call) {
      if (now_ >= *daemon.next_call) StartCall(daemon);
      return;
    }
    if (!daemon.is_swallowed &&
        (daemon.revision < revision_ || now_ - daemon.started >= daemon.wait)) {
      OnAnswer(daemon);
      return;
    }
    if (daemon.peer_revision <= daemon.revision) {
      daemon.peer_ahead_since.reset();
    } else if (!daemon.peer_ahead_since) {
      daemon.peer_ahead_since = now_;
    }
    const bool lags = !daemon.is_lost && daemon.peer_ahead_since &&
                      now_ - *daemon.peer_ahead_since >= milliseconds(600);
    if (now_ - daemon.started >= daemon.wait + kCallTimeout) {
      daemon.is_lost = true;
      daemon.is_severed = false;
      daemon.next_call = now_ + daemon.retry_delay;
      daemon.retry_delay =
          std::min<Duration>(2 * daemon.retry_delay, milliseconds(900));
    } else if (lags) {
      daemon.is_severed = false;
      daemon.peer_ahead_since.reset();
      daemon.next_call = now_;
    } else if (now_ >=
               daemon.schedule.GiveUpTime(daemon.started, daemon.wait)) {
      daemon.schedule.OnAbandoned();
      daemon.is_severed = false;
      daemon.next_call = now_;
    }
  }

  void StartCall(Daemon& daemon) {
    ++calls_;
    daemon.next_call.reset();
    daemon.started = now_;
    daemon.is_swallowed = is_silent_ || daemon.is_cut_off || daemon.is_severed;
    daemon.wait = daemon.schedule.Wait(now_, {.is_sentinel = daemon.is_sentinel,
                                              .is_store_lost = daemon.is_lost});
  }

  void OnAnswer(Daemon& daemon) {
    const bool changed = daemon.revision < revision_;
    daemon.revision = revision_;
    daemon.confirmed_at = now_;
    daemon.is_lost = false;
    daemon.retry_delay = milliseconds(150);
    daemon.schedule.OnConfirmed(now_);
    const Duration delay =
        daemon.is_sentinel ? kMaxApplyDelay / 10 : kMaxApplyDelay * 4 / 10;
    daemon.next_call = changed ? now_ + delay : now_;
  }

  std::mt19937_64 random_{7};
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Daemon> daemons_;
  std::uint64_t revision_ = 1;
  bool is_silent_ = false;
  double datagram_loss_ = 0;
  std::size_t calls_ = 0;
};

class WatchScheduleFleetTest : public ::testing::TestWithParam<int> {};

INSTANTIATE_TEST_SUITE_P(Sizes, WatchScheduleFleetTest,
                         ::testing::Values(1, 2, 7, 84, 195, 500));

// Guards against a watch that the store received while it was silent, and that
// nobody answered for 15 s: no peer was ahead, since all had such a watch.
TEST_P(WatchScheduleFleetTest, Store_SilentForAnyTime_ChangeIsInForceInTime) {
  for (const int silent_ms : {300, 800, 2'000, 4'500}) {
    // A change before the outage makes every daemon begin a watch in it.
    for (const int change_before_ms : {1'300, 500}) {
      for (const int change_after_ms : {100, 1'500, 3'000}) {
        VirtualWatchers watchers(GetParam());
        watchers.Run(seconds(8));
        watchers.Change();
        watchers.Run(milliseconds(change_before_ms));
        watchers.SetSilent(true);
        watchers.Run(milliseconds(silent_ms));
        watchers.SetSilent(false);
        watchers.Run(milliseconds(change_after_ms));
        watchers.Change();
        watchers.Run(std::max(kMaxApplyDelay,
                              kMaxStaleness - milliseconds(change_after_ms)));
        EXPECT_EQ(watchers.Behind(), 0U)
            << silent_ms << " ms silent, change after " << change_after_ms;
      }
    }
  }
}

TEST_P(WatchScheduleFleetTest, Sentinels_CutOff_OthersSeeChangeInTime) {
  VirtualWatchers watchers(GetParam());
  watchers.Run(seconds(8));
  watchers.CutOff(/*sentinels=*/true);
  watchers.SetSilent(true);
  watchers.Run(milliseconds(500));
  watchers.SetSilent(false);
  watchers.Run(seconds(1));
  watchers.Change();
  watchers.Run(kMaxApplyDelay);
  EXPECT_EQ(watchers.Behind(), 0U);
}

// Guards against serving by old routes because the connection to the store went
// silent for good: only the reader's own time-outs and its peers show it. All
// sentinels may be concerned too, and their datagrams be lost.
TEST_P(WatchScheduleFleetTest,
       Connections_SilentForGood_ChangeIsInForceInTime) {
  for (const double share : {0.3, 0.7, 1.0}) {
    for (const double datagram_loss : {0.0, 0.3}) {
      for (const int change_before_ms : {300, 1'300, 4'000}) {
        for (const int change_after_ms : {0, 400, 1'000, 2'500, 4'500}) {
          VirtualWatchers watchers(GetParam());
          watchers.SetDatagramLoss(datagram_loss);
          watchers.Run(seconds(8));
          watchers.Change();
          watchers.Run(milliseconds(change_before_ms));
          watchers.SeverConnections(share);
          watchers.Run(milliseconds(change_after_ms));
          watchers.Change();
          watchers.Run(std::max(kMaxApplyDelay,
                                kMaxStaleness - milliseconds(change_after_ms)));
          EXPECT_EQ(watchers.Behind(), 0U)
              << share << " severed, " << datagram_loss << " lost, change "
              << change_after_ms << " ms after";
        }
      }
    }
  }
}

// A watch of 15 s on every daemon, the cost of the design without sentinels.
TEST_P(WatchScheduleFleetTest,
       Store_NoChanges_CallsAreNoMoreThanOfLongWatches) {
  VirtualWatchers watchers(GetParam());
  watchers.Run(seconds(60));
  const std::size_t before = watchers.calls();
  watchers.Run(seconds(60));
  const double per_second =
      static_cast<double>(watchers.calls() - before) / 60.0;
  constexpr double kSentinelCalls = 0.7;  // A second, of each sentinel.
  EXPECT_LE(per_second, GetParam() / 15.0 + 2 * kSentinelCalls);
}

TEST(WatchScheduleTest, Reports_OfLaterRevision_DoNotExtendWatch) {
  const TimePoint now(std::chrono::hours(1));
  WatchSchedule schedule({.max_staleness = kMaxStaleness});
  schedule.OnConfirmed(now);
  schedule.OnPeerReport({.revision = 5, .confirmed_at = now}, {.revision = 5});
  const Duration wait = schedule.Wait(now, {});
  ASSERT_GT(wait, seconds(15));
  const TimePoint before = schedule.GiveUpTime(now, wait);
  EXPECT_LE(before - now, kMaxStaleness);
  schedule.OnPeerReport({.revision = 6, .confirmed_at = now + seconds(2)},
                        {.revision = 5});
  EXPECT_EQ(schedule.GiveUpTime(now, wait), before);
  schedule.OnPeerReport({.revision = 5, .confirmed_at = now + seconds(2)},
                        {.revision = 5});
  EXPECT_EQ(schedule.GiveUpTime(now, wait), before + seconds(2));
}

// Guards against a long watch that hangs from before an outage of the store and
// is confirmed by a peer's state after it, in which the store has used the same
// revision for another change.
TEST(WatchScheduleTest, Reports_OfDaemonThatLostStoreSince_DoNotExtendWatch) {
  WatchSchedule schedule({.max_staleness = kMaxStaleness});
  const TimePoint start(seconds(1'000));
  schedule.OnConfirmed(start);
  schedule.OnPeerReport({.revision = 7,
                         .confirmed_at = start + milliseconds(100),
                         .unbroken_since = start - seconds(9)},
                        {.revision = 7});
  const Duration wait =
      schedule.Wait(start + milliseconds(100), {.is_sentinel = false});
  const TimePoint give_up = schedule.GiveUpTime(start, wait);
  ASSERT_LT(give_up, start + wait);
  const TimePoint later = start + seconds(2);
  schedule.OnPeerReport({.revision = 7,
                         .confirmed_at = later,
                         .unbroken_since = start + seconds(1)},
                        {.revision = 7});
  EXPECT_EQ(schedule.GiveUpTime(start, wait), give_up);
  // The store has answered this daemon since.
  schedule.OnConfirmed(later);
  schedule.OnPeerReport({.revision = 7,
                         .confirmed_at = later + seconds(1),
                         .unbroken_since = start + seconds(1)},
                        {.revision = 7});
  EXPECT_GT(schedule.GiveUpTime(later, wait), give_up + seconds(2));
}

// Guards against a watch that hangs since before the store's return and is
// confirmed by a peer that has not noticed the return, or cannot.
TEST(WatchScheduleTest, Reports_OfOtherEpoch_DoNotExtendWatch) {
  const TimePoint now(std::chrono::hours(1));
  WatchSchedule schedule({.max_staleness = kMaxStaleness});
  schedule.OnConfirmed(now);
  const StoreVersion own{.epoch = 4, .revision = 9};
  const auto report = [&](std::uint64_t epoch, Duration after) {
    schedule.OnPeerReport(
        {.epoch = epoch, .revision = 9, .confirmed_at = now + after}, own);
  };
  report(4, milliseconds(10));
  const Duration wait = schedule.Wait(now, {});
  const TimePoint before = schedule.GiveUpTime(now, wait);
  report(3, seconds(1));
  report(5, seconds(1));
  EXPECT_EQ(schedule.GiveUpTime(now, wait), before);
  // A daemon of an earlier release.
  report(0, seconds(1));
  EXPECT_GT(schedule.GiveUpTime(now, wait), before);
  schedule.OnEpochRose();
  EXPECT_LT(schedule.GiveUpTime(now, wait), before);
  report(0, seconds(2));
  EXPECT_LT(schedule.GiveUpTime(now, wait), before);
  report(4, seconds(2));
  EXPECT_GT(schedule.GiveUpTime(now, wait), before);
}

TEST(WatchScheduleTest, Sentinels_ManyDataCentres_AreSpreadAndAgreedOn) {
  for (const int daemons : {2, 6, 84, 195, 499}) {
    auto fleet = MakeFleet(daemons);
    const auto sentinels = SelectSentinels(fleet);
    EXPECT_EQ(sentinels.size(),
              std::max<std::size_t>(
                  2, (static_cast<std::size_t>(daemons) + 23) / 24));
    std::reverse(fleet.begin(), fleet.end());
    EXPECT_EQ(SelectSentinels(fleet), sentinels);
    std::set<std::string> data_centres;
    for (const Member& member : fleet) {
      if (std::find(sentinels.begin(), sentinels.end(), member.address) !=
          sentinels.end()) {
        data_centres.insert(member.data_centre);
      }
    }
    EXPECT_EQ(data_centres.size(),
              std::min<std::size_t>(
                  {3, sentinels.size(), static_cast<std::size_t>(daemons)}));
  }
}

}  // namespace
}  // namespace lacewingknot
