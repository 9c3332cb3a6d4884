#include "lacewingknot/policy/change_coalescing.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxApplyDelay = milliseconds(3'000);

TEST(CoalescingDelayTest, Answer_WithBacklog_IsFollowedAtOnce) {
  EXPECT_EQ(
      CoalescingDelay({.has_backlog = true, .max_apply_delay = kMaxApplyDelay}),
      Duration::zero());
}

TEST(CoalescingDelayTest, Delay_AnyBound_LeavesHalfOfItForNextCall) {
  EXPECT_LT(CoalescingDelay({.max_apply_delay = kMaxApplyDelay}),
            kMaxApplyDelay / 2);
  EXPECT_GT(CoalescingDelay({.max_apply_delay = kMaxApplyDelay}),
            kMaxApplyDelay / 3);
}

// Replays the return of a directory in virtual time: 40 upstreams register at
// even distances within two seconds, and a route needs 36 of them. Counts the
// time for which the route is refused although the store had enough entries,
// and the calls.
TEST(CoalescingDelayTest, Directory_ReturnsEntryByEntry_IsReadWithoutDelay) {
  constexpr int kUpstreams = 40;
  constexpr int kNeeded = 36;
  constexpr Duration kInterval = milliseconds(50);
  constexpr Duration kCall = milliseconds(4);
  Duration now{};
  int known = 0;
  int calls = 0;
  Duration served_from{};
  while (known < kUpstreams) {
    now += kCall;
    ++calls;
    // A watch waits for at least one new entry.
    now = std::max(now, kInterval * (known + 1));
    known = std::min(kUpstreams, static_cast<int>(now / kInterval));
    if (known >= kNeeded && served_from == Duration::zero()) served_from = now;
    now += CoalescingDelay({.lacks_upstreams = known < kNeeded,
                            .fleet_size = 7,
                            .max_apply_delay = kMaxApplyDelay});
  }
  EXPECT_LE(served_from - kInterval * kNeeded, milliseconds(60));
  EXPECT_LE(calls, kUpstreams);
}

// Guards against thousands of calls when a large fleet starts: each of 84
// daemons called the store for nearly every entry of a directory of 270.
TEST(CoalescingDelayTest, Fleet_AnySize_CallsTheStoreAtBoundedRate) {
  constexpr double kMaxCallsPerSecond = 150;
  for (const std::size_t daemons : {7, 84, 195, 500}) {
    const Duration delay =
        CoalescingDelay({.lacks_upstreams = true,
                         .fleet_size = daemons,
                         .max_apply_delay = milliseconds(5'000)});
    const double calls = static_cast<double>(daemons) /
                         std::chrono::duration<double>(delay).count();
    // The usual delay of 2 s binds in the largest fleets.
    EXPECT_LE(calls,
              std::max(kMaxCallsPerSecond, static_cast<double>(daemons) / 2));
  }
  EXPECT_GE(CoalescingDelay({.lacks_upstreams = true,
                             .max_apply_delay = milliseconds(5'000)}),
            milliseconds(250));
}

}  // namespace
}  // namespace lacewingknot
