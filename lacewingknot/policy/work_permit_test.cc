#include "lacewingknot/policy/work_permit.h"

#include <gtest/gtest.h>

#include "lacewingknot/policy/extra_load_token_bucket.h"
#include "lacewingknot/policy/settings_order.h"

namespace lacewingknot {
namespace {

using std::chrono::seconds;

constexpr Duration kLease = seconds(3);

class WorkPermitTest : public ::testing::Test {
 protected:
  WorkPermitTest() {
    permit_.set_has_view(true);
    permit_.OnConfirmed(clock_.now());
    permit_.Renew(kPeers, clock_.now());
  }
  // Exchanges with every peer; the first `answering` of them answer.
  void ExchangeWithPeers(int answering) {
    for (int peer = 0; peer < static_cast<int>(kPeers); ++peer) {
      permit_.OnExchange("vm-" + std::to_string(peer), peer < answering,
                         clock_.now());
    }
  }
  bool MayWork() { return clock_.now() <= permit_.Renew(kPeers, clock_.now()); }

  static constexpr std::size_t kPeers = 8;
  ManualClock clock_;
  WorkPermit permit_{kLease};
};

TEST_F(WorkPermitTest, Platform_ConfirmedOnce_PermitHoldsForOneLease) {
  clock_.Advance(kLease);
  EXPECT_TRUE(MayWork());
  clock_.Advance(seconds(1));
  EXPECT_FALSE(MayWork());
}

TEST_F(WorkPermitTest, PlatformDown_QuorumAnswers_PermitIsExtended) {
  for (int i = 0; i < 100; ++i) {
    clock_.Advance(seconds(1));
    ExchangeWithPeers(4);
    ASSERT_TRUE(MayWork()) << i;
  }
}

TEST_F(WorkPermitTest, PlatformDown_NoQuorum_PermitExpiresWithinTwoLeases) {
  ExchangeWithPeers(8);
  for (int i = 0; i < 6; ++i) {
    clock_.Advance(seconds(1));
    ExchangeWithPeers(2);
    permit_.Renew(kPeers, clock_.now());
  }
  clock_.Advance(std::chrono::milliseconds(1));
  EXPECT_FALSE(MayWork());
}

TEST_F(WorkPermitTest, Paused_LongerThanLease_PermitHasExpiredOnResume) {
  ExchangeWithPeers(8);
  permit_.Renew(kPeers, clock_.now());
  clock_.Advance(seconds(20));
  EXPECT_GT(clock_.now(), permit_.valid_until());
  EXPECT_FALSE(MayWork());
}

TEST_F(WorkPermitTest, NewerView_HeldByPeer_PermitIsNotExtended) {
  permit_.set_peer_has_newer_view(true);
  clock_.Advance(kLease + seconds(1));
  ExchangeWithPeers(8);
  EXPECT_FALSE(MayWork());
}

TEST(SettingsOrderTest, Revision_Lower_IsStale) {
  EXPECT_EQ(DecideSettings({5, 1}, {4, 9}), SettingsDecision::kStale);
}

TEST(SettingsOrderTest, SameRevision_TwoContents_LargerHashWins) {
  const SettingsVersion a{5, 10};
  const SettingsVersion b{5, 20};
  EXPECT_EQ(DecideSettings(a, b), SettingsDecision::kConflictReplace);
  EXPECT_EQ(DecideSettings(b, a), SettingsDecision::kConflictKeep);
}

TEST(ExtraLoadTest, Budget_ManyFailures_NeverExceedsFractionPlusBurst) {
  ExtraLoadTokenBucket budget({.fraction = 0.05, .burst = 20});
  int spent = 0;
  for (int query = 0; query < 1'000; ++query) {
    budget.OnFirstAttempts(20);
    for (int failure = 0; failure < 20; ++failure) {
      if (budget.TrySpend()) ++spent;
    }
  }
  EXPECT_LE(spent, 1'000 * 20 * 0.05 + 20);
}

}  // namespace
}  // namespace lacewingknot
