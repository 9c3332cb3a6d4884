// Tests of single decisions of ContentsSource; fleets: contents_fleet_test.cc.

#include "lacewingknot/policy/contents_source.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ContentsSourceTest : public ::testing::Test {
 protected:
  ContentsSource::State Follower(bool has_contents = true) const {
    return {.has_contents = has_contents,
            .peers = {.is_settled = true, .sources = {"a", "b", "c"}}};
  }
  // The source confirms what is in force.
  void Confirm(Duration age = milliseconds(100)) {
    source_.OnLinkOpened(now_);
    source_.OnMessage(
        {.has_contents = true, .is_in_force = true, .confirmed_at = now_ - age},
        now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  ContentsSource source_{{}};
};

TEST_F(ContentsSourceTest, Sentinel_StoreWorks_CallsStoreWithoutPeer) {
  auto state = Follower();
  state.peers.is_sentinel = true;
  const auto decision = source_.Decide(now_, state);
  EXPECT_TRUE(decision.calls_store);
  EXPECT_EQ(decision.peer, "");
}

// Guards against a sentinel that the store refuses and that learns nothing.
TEST_F(ContentsSourceTest, Sentinel_StoreRefuses_FollowsAndAsksAgain) {
  auto state = Follower();
  state.peers.is_sentinel = true;
  source_.OnStoreFailed(now_, state);
  now_ += seconds(1);
  source_.OnStoreFailed(now_, state);
  const auto decision = source_.Decide(now_, state);
  EXPECT_FALSE(decision.calls_store);
  EXPECT_EQ(decision.peer, "a");
  Confirm();
  now_ += seconds(1);
  EXPECT_TRUE(source_.Decide(now_, state).calls_store);
}

// Guards against followers that all leave a sentinel, because it follows
// another one, when its connection to the store is reset.
TEST_F(ContentsSourceTest, Sentinel_StoreConnectionReset_AsksAgainWithoutPeer) {
  auto state = Follower();
  state.peers.is_sentinel = true;
  source_.OnStoreFailed(now_, state);
  const auto decision = source_.Decide(now_, state);
  EXPECT_EQ(decision.peer, "");
  EXPECT_LE(decision.until, now_ + milliseconds(150));
  now_ = decision.until;
  EXPECT_TRUE(source_.Decide(now_, state).calls_store);
}

// Guards against followers that stay with a source in another data centre, to
// which each change then travels.
TEST_F(ContentsSourceTest, Source_PreferredOneIsBack_IsUsedAfterTenSeconds) {
  source_.Decide(now_, Follower());
  source_.OnLinkLost("lost");
  for (const TimePoint end = now_ + seconds(10); now_ < end;
       now_ += milliseconds(500)) {
    EXPECT_EQ(source_.Decide(now_, Follower()).peer, "b");
    Confirm();
  }
  const auto decision = source_.Decide(now_, Follower());
  EXPECT_EQ(decision.peer, "a");
  EXPECT_FALSE(decision.calls_store);
  EXPECT_EQ(decision.left->reason, "not_preferred");
}

TEST_F(ContentsSourceTest, Source_Confirms_StoreIsNotCalled) {
  for (int i = 0; i < 100; ++i) {
    const auto decision = source_.Decide(now_, Follower());
    EXPECT_FALSE(decision.calls_store);
    EXPECT_EQ(decision.peer, "a");
    Confirm();
    now_ += milliseconds(500);
  }
  EXPECT_TRUE(source_.Decide(now_, Follower()).peer == "a" &&
              source_.is_following());
}

TEST_F(ContentsSourceTest, Source_SilentForOneSecond_NextIsAsked) {
  source_.Decide(now_, Follower());
  Confirm();
  now_ += milliseconds(999);
  EXPECT_EQ(source_.Decide(now_, Follower()).peer, "a");
  now_ += milliseconds(1);
  const auto decision = source_.Decide(now_, Follower());
  EXPECT_EQ(decision.peer, "b");
  ASSERT_TRUE(decision.left);
  EXPECT_EQ(decision.left->reason, "silent");
  EXPECT_FALSE(decision.calls_store);
}

TEST_F(ContentsSourceTest, Source_StaleAndNextStale_StoreIsCalled) {
  source_.Decide(now_, Follower());
  Confirm(milliseconds(3'100));
  auto decision = source_.Decide(now_, Follower());
  EXPECT_EQ(decision.peer, "b");
  EXPECT_FALSE(decision.calls_store);
  Confirm(milliseconds(3'100));
  decision = source_.Decide(now_, Follower());
  EXPECT_EQ(decision.left->reason, "stale");
  EXPECT_TRUE(decision.calls_store);
}

TEST_F(ContentsSourceTest, Source_BehindWhatPeerHasSeen_NextIsAsked) {
  auto state = Follower();
  state.is_behind = true;
  source_.Decide(now_, state);
  Confirm();
  source_.Decide(now_, state);
  now_ += milliseconds(900);
  Confirm();
  const auto decision = source_.Decide(now_, state);
  EXPECT_EQ(decision.peer, "b");
  EXPECT_EQ(decision.left->reason, "behind");
}

// Guards against daemons that call a store that is away although no source is
// better than another.
TEST_F(ContentsSourceTest, Store_Away_StaleSourceIsKeptAndCallsBecomeRare) {
  int calls = 0;
  int left = 0;
  const TimePoint confirmed_at = now_;
  for (const TimePoint end = now_ + seconds(60); now_ < end;
       now_ += milliseconds(100)) {
    const auto decision = source_.Decide(now_, Follower());
    if (!decision.peer.empty()) Confirm(now_ - confirmed_at);
    if (decision.left) ++left;
    if (!decision.calls_store) continue;
    ++calls;
    source_.OnStoreFailed(now_, Follower());
  }
  EXPECT_LE(calls, 20);
  EXPECT_LE(left, 3);
}

TEST_F(ContentsSourceTest,
       Store_RefusesThisDaemonAndSentinels_FreshPeerIsUsed) {
  source_.Decide(now_, Follower());
  Confirm(milliseconds(3'500));
  source_.OnStoreFailed(now_, Follower());
  source_.OnPeerReport("served", now_ - milliseconds(200));
  EXPECT_EQ(source_.Decide(now_, Follower()).peer, "b");
  Confirm(milliseconds(3'500));
  EXPECT_EQ(source_.Decide(now_, Follower()).peer, "served");
}

TEST_F(ContentsSourceTest, Sources_DoNotListen_StoreIsCalled) {
  ContentsSource::State state{.has_contents = true,
                              .peers = {.sources = {"a", "b"}}};
  EXPECT_FALSE(source_.Decide(now_, state).calls_store);
  source_.OnLinkLost("lost");
  EXPECT_EQ(source_.Decide(now_, state).peer, "b");
  source_.OnLinkLost("lost");
  EXPECT_TRUE(source_.Decide(now_, state).calls_store);
}

// Guards against a fleet that serves nothing after a power loss while its
// daemons wait for one another's contents.
TEST_F(ContentsSourceTest, Start_WithoutContents_StoreIsCalledAtOnce) {
  const auto decision =
      source_.Decide(now_, {.peers = {.sources = {"a", "b"}}});
  EXPECT_TRUE(decision.calls_store);
  EXPECT_EQ(decision.peer, "a");
}

TEST_F(ContentsSourceTest, Start_NoPeers_StoreIsCalledAtOnce) {
  EXPECT_TRUE(source_.Decide(now_, {}).calls_store);
}

TEST_F(ContentsSourceTest, Seeds_AnyOrder_RankedAlike) {
  const std::vector<std::string> seeds{"a", "b", "c", "d"};
  const std::vector<std::string> reversed{"d", "c", "b", "a"};
  EXPECT_EQ(RankSeeds("x", seeds), RankSeeds("y", reversed));
  EXPECT_EQ(RankSeeds("a", seeds).size(), 3);
}

}  // namespace
}  // namespace lacewingknot
