#include "lacewingknot/edge/directory_state.h"

#include <gtest/gtest.h>

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DirectoryStateTest : public ::testing::Test {
 protected:
  static UpstreamRecord Record(const std::string& id) {
    return {.id = id, .service = "s", .address = "10.0.0.1:1"};
  }

  void SetUp() override {
    for (int i = 0; i < 10; ++i) {
      state_.Put(Record("up-" + std::to_string(i)), ++revision_);
    }
    state_.OnSourceAnswered(revision_, now_);
    state_.ApplyDueRemovals(now_);
  }

  bool Contains(const std::string& id) {
    state_.ApplyDueRemovals(now_);
    return state_.Snapshot().upstreams.count(id) == 1;
  }

  void SimulateOutage(Duration length) {
    state_.OnSourceLost(now_);
    now_ += length;
    state_.OnSourceAnswered(revision_, now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t revision_ = 0;
  DirectoryState state_;
};

TEST_F(DirectoryStateTest, Entry_RemovedWithoutOutage_IsRemovedImmediately) {
  state_.Remove("up-3", ++revision_, now_);
  EXPECT_FALSE(Contains("up-3"));
}

TEST_F(DirectoryStateTest, Entry_ExpiredInOutage_IsKeptUntilRegisteredAgain) {
  SimulateOutage(seconds(5));
  state_.Remove("up-3", ++revision_, now_);
  EXPECT_TRUE(Contains("up-3"));
  now_ += milliseconds(1'800);
  state_.Put(Record("up-3"), ++revision_);
  now_ += seconds(10);
  EXPECT_TRUE(Contains("up-3"));
}

TEST_F(DirectoryStateTest, Entry_NotRegisteredAfterOutage_IsRemoved) {
  SimulateOutage(seconds(5));
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_TRUE(state_.NextRemovalTime().has_value());
  now_ = *state_.NextRemovalTime();
  EXPECT_FALSE(Contains("up-3"));
}

// Guards against treating a brief connection loss as an outage: the removal was
// then deferred, and the upstream was used after it had stopped serving.
TEST_F(DirectoryStateTest, Entry_RemovedAfterBriefLoss_IsRemovedImmediately) {
  SimulateOutage(milliseconds(200));
  state_.Remove("up-3", ++revision_, now_);
  EXPECT_FALSE(Contains("up-3"));
}

TEST_F(DirectoryStateTest, Entries_ManyRemovedTogether_AreKeptForHoldTime) {
  for (int i = 0; i < 8; ++i) {
    state_.Remove("up-" + std::to_string(i), ++revision_, now_);
  }
  EXPECT_TRUE(Contains("up-7"));
  now_ += DirectoryState::kRemovalDelayAfterOutage;
  EXPECT_FALSE(Contains("up-7"));
}

// Guards against requests to an upstream that has left: removals of planned
// work, of entries that had said `draining`, were taken for an outage and held
// back the removals of others.
TEST_F(DirectoryStateTest, Entries_DrainingOnesRemoved_HoldBackNoOther) {
  for (int i = 0; i < 6; ++i) {
    UpstreamRecord record = Record("up-" + std::to_string(i));
    record.draining = true;
    state_.Put(record, ++revision_);
  }
  for (int i = 0; i < 7; ++i) {
    state_.Remove("up-" + std::to_string(i), ++revision_, now_);
  }
  EXPECT_FALSE(Contains("up-5"));
  EXPECT_FALSE(Contains("up-6"));
}

// Guards against requests to an upstream that has left: the entries of others
// expired with its own, and the hold was added to a long pause of the reader.
TEST_F(DirectoryStateTest, Entries_ManyRemovedAfterPause_AreGoneWithinDrain) {
  const TimePoint confirmed = now_;
  now_ += milliseconds(1'200);
  state_.OnSourceAsked(now_);
  state_.OnSourceAnswered(revision_, now_);
  for (int i = 0; i < 8; ++i) {
    state_.Remove("up-" + std::to_string(i), ++revision_, now_);
  }
  EXPECT_TRUE(Contains("up-7"));
  now_ = confirmed + milliseconds(2'100);
  EXPECT_FALSE(Contains("up-7"));
}

// Guards against a hold that counts from when this daemon regained a store that
// had served others all along, or sooner.
TEST_F(DirectoryStateTest, Entry_RemovedWhilePeersHadStore_IsGoneInTime) {
  state_.OnSourceLost(now_);
  now_ += seconds(5);
  state_.OnPeerReport(now_ - seconds(2), now_ - seconds(1));
  state_.OnSourceAnswered(revision_, now_);
  state_.Remove("up-3", ++revision_, now_);
  EXPECT_TRUE(Contains("up-3"));
  now_ += milliseconds(600);
  EXPECT_FALSE(Contains("up-3"));
}

TEST_F(DirectoryStateTest, Change_OlderThanKnownRevision_IsIgnored) {
  state_.Remove("up-3", 100, now_);
  ASSERT_FALSE(Contains("up-3"));
  state_.Put(Record("up-3"), 99);
  EXPECT_FALSE(Contains("up-3"));
  state_.Put(Record("up-3"), 101);
  EXPECT_TRUE(Contains("up-3"));
  state_.Remove("up-3", 100, now_);
  EXPECT_TRUE(Contains("up-3"));
}

TEST_F(DirectoryStateTest, FullListing_LacksEntry_RemovesIt) {
  state_.RemoveUnlisted(
      {"up-0", "up-1", "up-2", "up-4", "up-5", "up-6", "up-7", "up-8", "up-9"},
      revision_, now_);
  EXPECT_FALSE(Contains("up-3"));
  EXPECT_TRUE(Contains("up-4"));
}

// A source that returned without its last changes lists earlier revisions.
TEST_F(DirectoryStateTest, FullListing_WithEarlierRevisions_ReplacesAll) {
  state_.Remove("up-3", 100, now_);
  state_.Put(Record("up-new"), 101);
  state_.Evacuate("regina", 102);
  ASSERT_FALSE(Contains("up-3"));
  state_.BeginListing();
  std::set<std::string> listed;
  for (int i = 0; i < 10; ++i) listed.insert("up-" + std::to_string(i));
  state_.RemoveUnlisted(listed, 50, now_);
  state_.EndUnlistedEvacuations({});
  for (const std::string& id : listed) state_.Put(Record(id), 40);
  EXPECT_TRUE(Contains("up-3"));
  EXPECT_FALSE(Contains("up-new"));
  EXPECT_TRUE(state_.Snapshot().evacuated.empty());
  state_.Evacuate("regina", 51);
  EXPECT_EQ(state_.Snapshot().evacuated.count("regina"), 1U);
}

// Guards against full load on an upstream that restarted cold: the listing
// shows the warm incarnation before it until the upstream registers again.
TEST_F(DirectoryStateTest, FullListing_WithEarlierIncarnation_KeepsTheLater) {
  UpstreamRecord record = Record("up-3");
  record.incarnation = 7;
  state_.Put(record, 100);
  state_.BeginListing();
  record.incarnation = 6;
  state_.Put(record, 40);
  EXPECT_EQ(state_.Find("up-3")->incarnation, 7);
  record.incarnation = 8;
  state_.Put(record, 41);
  EXPECT_EQ(state_.Find("up-3")->incarnation, 8);
}

TEST_F(DirectoryStateTest, Evacuation_OlderChangeAfterEnd_IsIgnored) {
  state_.Evacuate("regina", 50);
  EXPECT_EQ(state_.Snapshot().evacuated.count("regina"), 1U);
  state_.EndEvacuation("regina", 60);
  state_.Evacuate("regina", 50);
  EXPECT_TRUE(state_.Snapshot().evacuated.empty());
}

TEST_F(DirectoryStateTest, Record_SameContent_IsNoChange) {
  state_.Put(Record("up-3"), ++revision_);
  EXPECT_FALSE(state_.ApplyDueRemovals(now_));
  UpstreamRecord draining = Record("up-3");
  draining.draining = true;
  state_.Put(draining, ++revision_);
  EXPECT_TRUE(state_.ApplyDueRemovals(now_));
}

}  // namespace
}  // namespace lacewingknot::edge
