// Plays removals and outages of the store in virtual time.

#include "lacewingknot/policy/removal_hold.h"

#include <gtest/gtest.h>

#include "lacewingknot/policy/change_coalescing.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr RemovalBudget kBudget;

Duration ReaderPause() {
  return CoalescingDelay({.max_apply_delay = milliseconds(3'000)});
}

// Guards against links that fit the time one by one but not together: a pause
// of 1.2 s and a hold of 2.5 s let requests through for 3.7 s.
TEST(RemovalHoldTest, Links_WorstCaseOfEach_AddUpToWithinDrain) {
  ASSERT_GT(ReaderPause(), seconds(1));
  ASSERT_LE(ReaderPause(), LongestPause(kBudget));
  for (Duration pause{}; pause <= LongestPause(kBudget);
       pause += milliseconds(50)) {
    const TimePoint confirmed = kNow - pause - kBudget.delivery;
    for (const bool is_storm : {false, true}) {
      const TimePoint at =
          RemovalTime({.is_storm = is_storm, .pause = pause}, kBudget, kNow);
      EXPECT_LE(at + kBudget.sending, confirmed + kBudget.drain);
    }
  }
}

// The same for a removal that was confirmed after this daemon's outage.
TEST(RemovalHoldTest, Removal_ConfirmedAfterOutage_IsInForceInTime) {
  for (Duration since{}; since <= seconds(4); since += milliseconds(50)) {
    const TimePoint ended = kNow - since;
    const Duration pause = std::min(since, ReaderPause());
    const TimePoint at = RemovalTime(
        {.outage_ended_at = ended, .is_storm = true, .pause = pause}, kBudget,
        kNow);
    const TimePoint confirmed = kNow - pause - kBudget.delivery;
    EXPECT_LE(at + kBudget.sending,
              std::max(confirmed + kBudget.drain,
                       ended + kReregistrationTime + kBudget.sending));
  }
}

TEST(RemovalHoldTest, Budget_PauseTakesAll_NothingIsHeld) {
  const RemovalBudget budget{.drain = milliseconds(2'000)};
  EXPECT_LT(LongestPause(budget), ReaderPause());
  EXPECT_EQ(
      RemovalTime({.is_storm = true, .pause = ReaderPause()}, budget, kNow),
      kNow);
}

TEST(RemovalHoldTest, Removal_WithoutEvidence_TakesEffectAtOnce) {
  EXPECT_EQ(RemovalTime({}, kBudget, kNow), kNow);
  EXPECT_EQ(RemovalTime({.outage_ended_at = kNow - seconds(3)}, kBudget, kNow),
            kNow);
}

TEST(RemovalHoldTest, Removal_OfDrainingUpstream_IsNeverHeld) {
  EXPECT_EQ(
      RemovalTime(
          {.was_draining = true, .outage_ended_at = kNow, .is_storm = true},
          kBudget, kNow),
      kNow);
}

// Guards against dropping live upstreams whose entries expired in an outage.
TEST(RemovalHoldTest, Removal_ReadAfterOutage_IsHeldForReregistration) {
  EXPECT_EQ(RemovalTime({.outage_ended_at = kNow, .pause = seconds(5)}, kBudget,
                        kNow),
            kNow + kHoldAfterOutage);
  EXPECT_GT(RemovalTime({.is_storm = true}, kBudget, kNow),
            kNow + milliseconds(1'500));
}

class OutageEvidenceTest : public ::testing::Test {
 protected:
  void SetUp() override { outage_.OnLost(kNow); }
  OutageEvidence outage_;
};

TEST_F(OutageEvidenceTest, Outage_NoPeerServed_EndsWithOwnReturn) {
  outage_.OnPeerReport(kNow - seconds(9), kNow - milliseconds(10));
  EXPECT_EQ(outage_.OnRegained(kNow + seconds(5)), kNow + seconds(5));
}

// Guards against counting a hold from when this daemon noticed the return, a
// second after others.
TEST_F(OutageEvidenceTest, Outage_PeerRegainedEarlier_EndsThen) {
  outage_.OnPeerReport(kNow + seconds(4), kNow + milliseconds(4'500));
  EXPECT_EQ(outage_.OnRegained(kNow + milliseconds(5'500)), kNow + seconds(4));
}

TEST_F(OutageEvidenceTest, Outage_PeerNeverLostStore_EndsWithItsFirstAnswer) {
  for (int i = 1; i <= 8; ++i) {
    outage_.OnPeerReport(kNow - seconds(60), kNow + seconds(i));
  }
  EXPECT_EQ(outage_.OnRegained(kNow + seconds(9)), kNow + seconds(1));
}

TEST_F(OutageEvidenceTest, Outage_PeerLostStoreAgain_EndsWithItsLaterReturn) {
  outage_.OnPeerReport(kNow + seconds(2), kNow + seconds(2));
  outage_.OnPeerReport(kNow + seconds(6), kNow + seconds(6));
  EXPECT_EQ(outage_.OnRegained(kNow + seconds(7)), kNow + seconds(6));
}

}  // namespace
}  // namespace lacewingknot
