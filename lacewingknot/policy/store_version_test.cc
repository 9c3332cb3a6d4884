#include "lacewingknot/policy/store_version.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Anomaly = EpochTracker::Anomaly;

constexpr TimePoint kStart(std::chrono::hours(5));

// A tracker whose contents were read in `epoch`.
EpochTracker TrackerWithContents(std::optional<std::uint64_t> epoch) {
  EpochTracker epochs;
  epochs.OnReadBegan(kStart);
  epochs.OnAnswer(epoch, kStart);
  epochs.OnReadEnded();
  return epochs;
}

TEST(StoreVersionTest, Versions_OfTwoEpochs_AreOrderedByEpochFirst) {
  const StoreVersion earlier{.epoch = 3, .revision = 900};
  const StoreVersion later{.epoch = 4, .revision = 12};
  EXPECT_LT(earlier, later);
  EXPECT_LT(later, (StoreVersion{.epoch = 4, .revision = 13}));
}

TEST(EpochTrackerTest, Answer_OfFirstEpoch_IsNoRise) {
  EpochTracker epochs;
  epochs.OnReadBegan(kStart);
  EXPECT_EQ(epochs.OnAnswer(7, kStart), Anomaly::kNone);
  EXPECT_FALSE(epochs.must_read());
  EXPECT_FALSE(epochs.OnReadEnded().has_value());
  EXPECT_EQ(epochs.contents(), 7U);
  EXPECT_FALSE(epochs.has_risen());
}

TEST(EpochTrackerTest, Answer_OfHigherEpoch_RequiresFullRead) {
  EpochTracker epochs = TrackerWithContents(7);
  epochs.OnAnswer(8, kStart + seconds(1));
  EXPECT_TRUE(epochs.must_read());
  EXPECT_EQ(epochs.contents(), 7U);
  epochs.OnReadBegan(kStart + seconds(2));
  epochs.OnAnswer(8, kStart + seconds(2));
  const auto rise = epochs.OnReadEnded();
  ASSERT_TRUE(rise.has_value());
  EXPECT_EQ(rise->from, 7U);
  EXPECT_EQ(rise->to, 8U);
  EXPECT_FALSE(epochs.must_read());
  EXPECT_TRUE(epochs.has_risen());
}

// Guards against contents that were read before the store stated its epoch and
// are kept when it returns.
TEST(EpochTrackerTest, Answer_StatesEpochAfterReadWithoutOne_RequiresFullRead) {
  EpochTracker epochs = TrackerWithContents(std::nullopt);
  EXPECT_EQ(epochs.OnAnswer(std::nullopt, kStart), Anomaly::kNone);
  EXPECT_FALSE(epochs.must_read());
  epochs.OnAnswer(1, kStart);
  EXPECT_TRUE(epochs.must_read());
}

TEST(EpochTrackerTest, Answer_WithMissingOrLowerEpoch_IsIgnored) {
  EpochTracker epochs = TrackerWithContents(7);
  EXPECT_EQ(epochs.OnAnswer(std::nullopt, kStart), Anomaly::kMissing);
  EXPECT_EQ(epochs.OnAnswer(6, kStart), Anomaly::kDecreased);
  EXPECT_FALSE(epochs.must_read());
  EXPECT_EQ(epochs.answered(), 7U);
}

TEST(EpochTrackerTest, PeerReport_OfHigherEpoch_RequiresReadOnce) {
  EpochTracker epochs = TrackerWithContents(7);
  EXPECT_FALSE(epochs.OnPeerReport(7, kStart));
  EXPECT_FALSE(epochs.OnPeerReport(0, kStart));
  EXPECT_TRUE(epochs.OnPeerReport(8, kStart));
  EXPECT_FALSE(epochs.OnPeerReport(8, kStart + seconds(1)));
  EXPECT_TRUE(epochs.must_read());
}

// Guards against contents that were answered just before the store's return and
// pass for those of the new epoch.
TEST(EpochTrackerTest, PeerReport_DuringRead_ReadIsRepeated) {
  EpochTracker epochs = TrackerWithContents(7);
  epochs.OnReadBegan(kStart);
  EXPECT_TRUE(epochs.OnPeerReport(8, kStart + milliseconds(5)));
  epochs.OnAnswer(7, kStart);
  EXPECT_FALSE(epochs.OnReadEnded().has_value());
  EXPECT_TRUE(epochs.must_read());
}

// The header may be lost on the way to one daemon.
TEST(EpochTrackerTest, Read_WithoutHeaderAfterPeerReport_IsOfReportedEpoch) {
  EpochTracker epochs = TrackerWithContents(7);
  epochs.OnPeerReport(8, kStart + seconds(1));
  epochs.OnReadBegan(kStart + seconds(2));
  epochs.OnAnswer(std::nullopt, kStart + seconds(2));
  ASSERT_TRUE(epochs.OnReadEnded().has_value());
  EXPECT_EQ(epochs.contents(), 8U);
  EXPECT_FALSE(epochs.must_read());
}

// Guards against a daemon that reads the store without end, or trusts no peer
// any more, because of one damaged datagram.
TEST(EpochTrackerTest, PeerReport_RefutedByLaterAnswer_IsForgotten) {
  EpochTracker epochs = TrackerWithContents(7);
  constexpr std::uint64_t kDamaged = ~0ULL;
  EXPECT_TRUE(epochs.OnPeerReport(kDamaged, kStart + seconds(1)));
  epochs.OnReadBegan(kStart + seconds(1));
  epochs.OnAnswer(7, kStart + seconds(1));
  EXPECT_FALSE(epochs.OnReadEnded().has_value());
  EXPECT_FALSE(epochs.must_read());
  EXPECT_EQ(epochs.contents(), 7U);
  EXPECT_EQ(epochs.refuted(), 1U);
  int reads = 0;
  for (Duration t = seconds(1); t < std::chrono::minutes(2);
       t += milliseconds(200)) {
    if (!epochs.OnPeerReport(kDamaged, kStart + t)) continue;
    ++reads;
    epochs.OnAnswer(7, kStart + t);
  }
  EXPECT_LE(reads, 4);
  // The store's own word counts at any time.
  epochs.OnAnswer(8, kStart + std::chrono::minutes(2));
  EXPECT_TRUE(epochs.must_read());
}

// The same if the answer to the read that it caused lacked its header.
TEST(EpochTrackerTest, PeerReport_AdoptedAndRefuted_StoreIsFollowed) {
  EpochTracker epochs = TrackerWithContents(7);
  epochs.OnPeerReport(~0ULL, kStart + seconds(1));
  epochs.OnReadBegan(kStart + seconds(2));
  epochs.OnAnswer(std::nullopt, kStart + seconds(2));
  epochs.OnReadEnded();
  epochs.OnAnswer(7, kStart + seconds(3));
  EXPECT_EQ(epochs.contents(), 7U);
  epochs.OnAnswer(8, kStart + seconds(4));
  EXPECT_TRUE(epochs.must_read());
}

}  // namespace
}  // namespace lacewingknot
