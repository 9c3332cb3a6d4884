// Decisions by which daemons share what is one for the whole fleet.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

#include "lacewingknot/policy/cold_gate.h"
#include "lacewingknot/policy/membership.h"
#include "lacewingknot/policy/weighted_turns.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ColdGateTest, Gate_ShareOfTwo_LetsTwoPassInAnySecond) {
  ColdGate gate;
  TimePoint now(std::chrono::hours(1));
  int passed = 0;
  for (int ms = 0; ms < 1'000; ms += 10) {
    if (!gate.Allows(2, now + milliseconds(ms))) continue;
    gate.OnSent(now + milliseconds(ms));
    ++passed;
  }
  EXPECT_EQ(passed, 2);
  EXPECT_TRUE(gate.Allows(2, now + milliseconds(1'010)));
}

TEST(ColdGateTest, Gate_ShareBelowOne_LetsOnePassInSeveralSeconds) {
  ColdGate gate;
  const TimePoint now(std::chrono::hours(1));
  ASSERT_TRUE(gate.Allows(0.25, now));
  gate.OnSent(now);
  EXPECT_FALSE(gate.Allows(0.25, now + seconds(3)));
  EXPECT_TRUE(gate.Allows(0.25, now + seconds(4)));
}

TEST(ColdGateTest, Gate_NoShare_LetsNothingPass) {
  EXPECT_FALSE(ColdGate().Allows(0, TimePoint(seconds(1))));
}

class MembershipTest : public ::testing::Test {
 protected:
  static Member Peer(int number, std::uint64_t heartbeat) {
    return {.address = "10.0.0." + std::to_string(number) + ":7380",
            .incarnation = 1,
            .heartbeat = heartbeat};
  }

  TimePoint now_{std::chrono::hours(1)};
  Membership members_{{.address = "10.0.0.1:7380", .incarnation = 5}};
  std::mt19937_64 random_{7};
};

TEST_F(MembershipTest, Fleet_Alone_IsOne) {
  EXPECT_EQ(members_.Size(now_), 1U);
  EXPECT_EQ(members_.PickPeer(random_), std::nullopt);
}

TEST_F(MembershipTest, Fleet_MembersHeardOf_AreCounted) {
  const std::vector<Member> heard{Peer(2, 1), Peer(3, 1)};
  members_.Merge(heard, now_);
  EXPECT_EQ(members_.Size(now_), 3U);
  EXPECT_NE(members_.PickPeer(random_), std::nullopt);
}

TEST_F(MembershipTest, Fleet_CutOff_KeepsItsSizeForAWhile) {
  const std::vector<Member> heard{Peer(2, 1), Peer(3, 1)};
  members_.Merge(heard, now_);
  EXPECT_EQ(members_.Size(now_ + seconds(20)), 3U);
  EXPECT_EQ(members_.Size(now_ + seconds(31)), 1U);
}

TEST_F(MembershipTest, Member_OldHeartbeatComesAgain_IsNotKeptAlive) {
  const std::vector<Member> heard{Peer(2, 4)};
  members_.Merge(heard, now_);
  members_.Merge(heard, now_ + seconds(25));
  EXPECT_EQ(members_.Size(now_ + seconds(31)), 1U);
}

TEST_F(MembershipTest, Daemon_JustStarted_TakesAPeersCount) {
  members_.OnPeerSize(75, now_);
  EXPECT_EQ(members_.Size(now_), 75U);
  // A claim is not passed on, or it would never end.
  EXPECT_EQ(members_.Known(now_), 1U);
  EXPECT_EQ(members_.Size(now_ + seconds(31)), 1U);
}

TEST_F(MembershipTest, Fleet_Gossips_EveryMemberLearnsOfAll) {
  constexpr int kDaemons = 40;
  std::vector<Membership> fleet;
  for (int i = 0; i < kDaemons; ++i) {
    fleet.emplace_back(
        Membership::Options{.address = Peer(i, 0).address, .incarnation = 1});
    const std::vector<Member> seed{Peer(0, 1)};
    if (i > 0) fleet.back().Merge(seed, now_);
  }
  std::map<std::string, Membership*, std::less<>> by_address;
  for (int i = 0; i < kDaemons; ++i) by_address[Peer(i, 0).address] = &fleet[i];
  for (int round = 0; round < 30; ++round) {
    now_ += seconds(1);
    for (Membership& daemon : fleet) {
      const auto peer = daemon.PickPeer(random_);
      if (!peer) continue;
      const auto sample = daemon.Sample(12, random_);
      Membership& receiver = *by_address.find(*peer)->second;
      receiver.Merge(sample, now_);
      receiver.OnPeerSize(daemon.Known(now_), now_);
    }
  }
  for (Membership& daemon : fleet) {
    EXPECT_EQ(daemon.Size(now_), static_cast<std::size_t>(kDaemons));
  }
}

RC_GTEST_PROP(WeightedTurnsProperty, Turns_AnyWeights_StayWithinTheirShare,
              ()) {
  const auto weights = *rc::gen::container<std::vector<double>>(
      3, rc::gen::map(rc::gen::inRange(1, 100),
                      [](int weight) { return weight / 10.0; }));
  const double phase = *rc::gen::inRange(0, 100) / 100.0;
  WeightedTurns turns(weights, phase);
  constexpr int kRequests = 400;
  std::vector<int> counts(weights.size(), 0);
  for (int i = 0; i < kRequests; ++i) ++counts[turns.Next()];
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    RC_ASSERT(std::abs(counts[i] - kRequests * weights[i] / total) <= 3.0);
  }
}

}  // namespace
}  // namespace lacewingknot
