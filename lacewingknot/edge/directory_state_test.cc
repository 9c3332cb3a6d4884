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

// The source returns from a copy, in a new epoch.
class DirectoryEpochTest : public DirectoryStateTest {
 protected:
  // Applies a full listing of `records`, the first one of an epoch.
  void ListFirst(const std::vector<UpstreamRecord>& records,
                 const std::set<std::string>& evacuated = {}) {
    List(records, evacuated, now_);
  }
  void List(const std::vector<UpstreamRecord>& records,
            const std::set<std::string>& evacuated,
            std::optional<TimePoint> epoch_read_at) {
    std::set<std::string> ids;
    for (const UpstreamRecord& record : records) ids.insert(record.id);
    state_.OnSourceAnswered(1, now_);
    state_.BeginListing(epoch_read_at);
    state_.RemoveUnlisted(ids, 1, now_);
    state_.EndUnlistedEvacuations(evacuated);
    for (const UpstreamRecord& record : records) state_.Put(record, 1);
    for (const std::string& name : evacuated) state_.Evacuate(name, 1);
  }
  static std::vector<UpstreamRecord> RecordsBut(int missing) {
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < 10; ++i) {
      if (i != missing) records.push_back(Record("up-" + std::to_string(i)));
    }
    return records;
  }
  // Lets `length` pass, in which the source answers.
  void Pass(Duration length) {
    now_ += length;
    state_.OnSourceAnswered(1, now_);
  }
  bool IsUsed(const std::string& id) {
    state_.ApplyDueRemovals(now_);
    const auto upstreams = state_.Snapshot().upstreams;
    const auto found = upstreams.find(id);
    return found != upstreams.end() && !found->second.draining;
  }
  bool IsEvacuated(const std::string& name) {
    state_.ApplyDueRemovals(now_);
    return state_.Snapshot().evacuated.count(name) == 1;
  }
};

TEST_F(DirectoryEpochTest, Entry_MissingInNewEpoch_IsKeptForTime) {
  ListFirst(RecordsBut(3));
  EXPECT_EQ(state_.epoch_holds().kept_upstreams, 1U);
  Pass(milliseconds(2'499));
  EXPECT_TRUE(IsUsed("up-3"));
  // A further listing of the epoch does not change the time.
  List(RecordsBut(3), {}, std::nullopt);
  EXPECT_TRUE(IsUsed("up-3"));
  Pass(milliseconds(1));
  EXPECT_FALSE(IsUsed("up-3"));
  EXPECT_EQ(state_.TakeEndedHolds().removed_upstreams,
            std::vector<std::string>{"up-3"});
}

TEST_F(DirectoryEpochTest, Entry_MissingInNewEpochRegistersAgain_Stays) {
  ListFirst(RecordsBut(3));
  Pass(milliseconds(1'900));
  state_.Put(Record("up-3"), 2);
  Pass(seconds(10));
  EXPECT_TRUE(IsUsed("up-3"));
  EXPECT_TRUE(state_.TakeEndedHolds().empty());
}

// Guards against sending into a data centre that is out of service, because the
// store has lost that it is evacuated.
TEST_F(DirectoryEpochTest, Evacuation_MissingInNewEpoch_IsKeptForTime) {
  state_.Evacuate("z", ++revision_);
  ListFirst(RecordsBut(-1));
  Pass(milliseconds(2'000));
  List(RecordsBut(-1), {}, std::nullopt);
  Pass(milliseconds(2'999));
  EXPECT_TRUE(IsEvacuated("z"));
  ASSERT_TRUE(state_.NextRemovalTime().has_value());
  Pass(milliseconds(1));
  EXPECT_FALSE(IsEvacuated("z"));
  EXPECT_FALSE(state_.NextRemovalTime().has_value());
}

TEST_F(DirectoryEpochTest, Evacuation_RepeatedInNewEpoch_HoldsUntilItsEnd) {
  state_.Evacuate("z", ++revision_);
  ListFirst(RecordsBut(-1));
  state_.Evacuate("z", 2);
  Pass(seconds(60));
  EXPECT_TRUE(IsEvacuated("z"));
  state_.EndEvacuation("z", 3);
  EXPECT_FALSE(IsEvacuated("z"));
}

TEST_F(DirectoryEpochTest, Evacuation_EndedWhileKept_EndsAtOnce) {
  state_.Evacuate("z", ++revision_);
  ListFirst(RecordsBut(-1));
  EXPECT_TRUE(IsEvacuated("z"));
  state_.EndEvacuation("z", 2);
  EXPECT_FALSE(IsEvacuated("z"));
}

// Guards against requests to an upstream that has ended: the copy lists it as
// it was before its removal.
TEST_F(DirectoryEpochTest, Entry_RemovedBeforeNewEpochAndBack_IsDoubted) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  EXPECT_EQ(state_.epoch_holds().doubted_upstreams, 1U);
  Pass(milliseconds(3'599));
  EXPECT_FALSE(IsUsed("up-3"));
  EXPECT_TRUE(IsUsed("up-4"));
  Pass(milliseconds(1));
  EXPECT_TRUE(IsUsed("up-3"));
  EXPECT_EQ(state_.TakeEndedHolds().trusted_upstreams,
            std::vector<std::string>{"up-3"});
}

TEST_F(DirectoryEpochTest, Entry_DrainingBeforeNewEpochAndReady_IsDoubted) {
  UpstreamRecord draining = Record("up-3");
  draining.draining = true;
  state_.Put(draining, ++revision_);
  ListFirst(RecordsBut(-1));
  Pass(milliseconds(3'599));
  EXPECT_FALSE(IsUsed("up-3"));
  // Known, so that requests under way are not cut off.
  EXPECT_TRUE(Contains("up-3"));
  Pass(milliseconds(1));
  EXPECT_TRUE(IsUsed("up-3"));
}

TEST_F(DirectoryEpochTest, Entry_DoubtedAndExpired_IsNeverUsed) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  Pass(milliseconds(3'000));
  state_.Remove("up-3", 2, now_);
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(IsUsed("up-3"));
    Pass(milliseconds(100));
  }
}

// Guards against trust in an entry that expired while the source was away.
TEST_F(DirectoryEpochTest, Entry_DoubtedWhileSourceIsAway_IsNotUsed) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  state_.OnSourceLost(now_);
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(100);
    EXPECT_FALSE(IsUsed("up-3"));
    // The reader sleeps until then; it must not be in the past.
    EXPECT_GT(*state_.NextRemovalTime(), now_);
  }
  Pass(milliseconds(300));
  EXPECT_TRUE(IsUsed("up-3"));
}

TEST_F(DirectoryEpochTest, Entry_RemovedAndBackAsNewIncarnation_IsUsedAtOnce) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  UpstreamRecord restarted = Record("up-3");
  restarted.incarnation = 7;
  state_.Put(restarted, 2);
  EXPECT_TRUE(IsUsed("up-3"));
}

// Guards against doubts in upstreams that were in use: their entries had
// expired in an outage and were held.
TEST_F(DirectoryEpochTest, Entry_RemovalHeldAndBackInNewEpoch_IsUsed) {
  SimulateOutage(seconds(5));
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_TRUE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  EXPECT_TRUE(IsUsed("up-3"));
  Pass(seconds(10));
  EXPECT_TRUE(IsUsed("up-3"));
}

// Guards against doubts that outlive their reason.
TEST_F(DirectoryEpochTest, Entry_DrainsAndIsReadyInNewEpoch_IsUsedAtOnce) {
  UpstreamRecord draining = Record("up-3");
  draining.draining = true;
  state_.Put(draining, ++revision_);
  ListFirst(RecordsBut(-1));
  state_.Put(draining, 2);
  EXPECT_FALSE(IsUsed("up-3"));
  state_.Put(Record("up-3"), 3);
  EXPECT_TRUE(IsUsed("up-3"));
}

TEST_F(DirectoryEpochTest, NewEpoch_WithinDoubt_DoubtContinues) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(-1));
  Pass(milliseconds(3'000));
  ListFirst(RecordsBut(3));
  EXPECT_FALSE(IsUsed("up-3"));
  Pass(milliseconds(100));
  state_.Put(Record("up-3"), 2);
  Pass(milliseconds(1'000));
  EXPECT_FALSE(IsUsed("up-3"));
}

// Guards against a doubt that counts from the return instead of from when the
// upstream is back.
TEST_F(DirectoryEpochTest, Entry_BackLongAfterNewEpoch_IsDoubtedFromThen) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  ListFirst(RecordsBut(3));
  Pass(seconds(20));
  state_.Put(Record("up-3"), 2);
  Pass(milliseconds(3'500));
  EXPECT_FALSE(IsUsed("up-3"));
  Pass(milliseconds(100));
  EXPECT_TRUE(IsUsed("up-3"));
}

// Guards against memory that grows with each upstream that ever left.
TEST_F(DirectoryEpochTest, Entry_RemovedLongBeforeNewEpoch_IsNotDoubted) {
  state_.Remove("up-3", ++revision_, now_);
  ASSERT_FALSE(IsUsed("up-3"));
  Pass(std::chrono::minutes(11));
  ListFirst(RecordsBut(-1));
  EXPECT_TRUE(IsUsed("up-3"));
}

}  // namespace
}  // namespace lacewingknot::edge
