#include "lacewingknot/policy/replica_choice.h"

#include <gtest/gtest.h>

#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

class ReplicaChoiceTest : public ::testing::Test {
 protected:
  static ReplicaLoad Idle() {
    return {.expected_latency = milliseconds(20), .slots = 2, .is_local = true};
  }

  std::optional<std::size_t> Choose(const std::vector<ReplicaLoad>& loads) {
    return ChooseReplica(loads, rotation_++, options_);
  }

  ReplicaChoiceOptions options_;
  std::size_t rotation_ = 0;
};

TEST_F(ReplicaChoiceTest, Replicas_Equal_ShareTheRequests) {
  const std::vector<ReplicaLoad> loads{Idle(), Idle()};
  EXPECT_NE(Choose(loads), Choose(loads));
}

TEST_F(ReplicaChoiceTest, Replica_WithOverdueRequest_GetsNoFurtherRequests) {
  ReplicaLoad paused = Idle();
  paused.in_flight = 1;
  paused.oldest_in_flight_age = milliseconds(80);
  EXPECT_TRUE(IsSuspect(paused, options_));
  for (int i = 0; i < 4; ++i) EXPECT_EQ(Choose({paused, Idle()}), 1U);
}

TEST_F(ReplicaChoiceTest, Replica_WithRecentRequests_IsNotSuspect) {
  ReplicaLoad busy = Idle();
  busy.in_flight = 2;
  busy.oldest_in_flight_age = milliseconds(30);
  EXPECT_FALSE(IsSuspect(busy, options_));
}

TEST_F(ReplicaChoiceTest, Replica_ManyTimesSlower_IsAvoided) {
  ReplicaLoad slow = Idle();
  slow.expected_latency = milliseconds(160);
  EXPECT_EQ(Choose({slow, Idle()}), 1U);
}

TEST_F(ReplicaChoiceTest,
       Replica_InAnotherDataCentre_IsChosenOnlyIfItSavesTime) {
  ReplicaLoad remote = Idle();
  remote.is_local = false;
  EXPECT_EQ(Choose({remote, Idle()}), 1U);
  ReplicaLoad overloaded = Idle();
  overloaded.in_flight = 3;
  EXPECT_EQ(Choose({remote, overloaded}), 0U);
}

TEST_F(ReplicaChoiceTest, Replica_FailsHalfOfItsRequests_IsAvoided) {
  ReplicaLoad failing = Idle();
  failing.expected_latency = milliseconds(2);  // It fails fast.
  failing.failure_share = 0.5;
  EXPECT_EQ(Choose({failing, Idle()}), 1U);
}

// Guards against filling a replica that slows down while another has room.
TEST_F(ReplicaChoiceTest, Replica_AtItsLimit_IsUsedOnlyIfNoOtherHasRoom) {
  ReplicaLoad full = Idle();
  full.in_flight = 1;
  full.limit = 1;
  ReplicaLoad slow = Idle();
  slow.expected_latency = milliseconds(160);
  slow.limit = 2;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(Choose({full, slow}), 1U);
  slow.is_backing_off = true;
  EXPECT_EQ(Choose({full, slow}), 0U);
  slow.is_backing_off = false;
  slow.queued = 2;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(Choose({full, slow}), 0U);
}

// Guards against preferring a paused replica because it is below its limit.
TEST_F(ReplicaChoiceTest, Replica_SuspectBelowItsLimit_IsNotPreferred) {
  ReplicaLoad full = Idle();
  full.in_flight = 2;
  full.limit = 2;
  ReplicaLoad paused = Idle();
  paused.in_flight = 1;
  paused.limit = 2;
  paused.oldest_in_flight_age = milliseconds(200);
  EXPECT_EQ(Choose({full, paused}), 0U);
}

TEST_F(ReplicaChoiceTest, Replica_TimeAtNextDepthKnown_ReplacesTheFormula) {
  ReplicaLoad busy = Idle();
  busy.in_flight = 1;
  const Duration without = ExpectedTime(busy, options_);
  EXPECT_EQ(without, milliseconds(28));
  busy.time_at_next_depth = milliseconds(21);
  EXPECT_EQ(ExpectedTime(busy, options_), milliseconds(21));
}

TEST_F(ReplicaChoiceTest, Replicas_AllBackingOff_NoneIsChosen) {
  ReplicaLoad backing_off = Idle();
  backing_off.is_backing_off = true;
  EXPECT_EQ(Choose({backing_off, backing_off}), std::nullopt);
  EXPECT_EQ(Choose({}), std::nullopt);
}

// For relays that may only use the replicas in their own data centre.
TEST(ShouldDeclineTest, Replica_SuspectSlowOrBackingOff_IsDeclined) {
  const Duration mean_latency = milliseconds(20);
  const ReplicaChoiceOptions options;
  const ReplicaLoad healthy{
      .expected_latency = mean_latency, .in_flight = 1, .slots = 2};
  EXPECT_FALSE(ShouldDecline(healthy, mean_latency, options));
  ReplicaLoad busy = healthy;
  busy.in_flight = 2;
  EXPECT_FALSE(ShouldDecline(busy, mean_latency, options));
  ReplicaLoad suspect = healthy;
  suspect.oldest_in_flight_age = milliseconds(90);
  EXPECT_TRUE(ShouldDecline(suspect, mean_latency, options));
  ReplicaLoad slow = healthy;
  slow.expected_latency = mean_latency * 4;
  EXPECT_TRUE(ShouldDecline(slow, mean_latency, options));
  ReplicaLoad backing_off = healthy;
  backing_off.is_backing_off = true;
  EXPECT_TRUE(ShouldDecline(backing_off, mean_latency, options));
}

}  // namespace
}  // namespace lacewingknot
