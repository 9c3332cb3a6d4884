#include "lacewingknot/policy/store_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart(std::chrono::hours(5));

StoreReport MakeReport(StoreState state, Duration read_age,
                       Duration confirmed_age = {}) {
  return {.confirmed_at = kStart - confirmed_age,
          .unbroken_since = kStart - read_age,
          .state = state};
}

TEST(ContentsDigestTest, Contents_PutInAnyOrder_HaveSameDigest) {
  ContentsDigest one;
  one.Put("a", "1");
  one.Put("b", "2");
  ContentsDigest other;
  other.Put("b", "1");
  other.Put("c", "3");
  other.Put("a", "1");
  EXPECT_NE(one.value(), other.value());
  other.Put("b", "2");
  other.Erase("c");
  other.Erase("d");
  EXPECT_EQ(one.value(), other.value());
  other.Clear();
  EXPECT_EQ(other.value(), ContentsDigest().value());
}

// Daemons of different architectures compare their digests.
TEST(ContentsDigestTest, Contents_OnAnyArchitecture_HaveThisDigest) {
  ContentsDigest digest;
  digest.Put("config", "value");
  EXPECT_EQ(digest.value(), 159'103'005U);
}

TEST(CompareReportsTest, Contents_DifferAtSameRevision_OlderReadMayBeOutdated) {
  const StoreState state{.since = 33, .until = 47, .digest = 1};
  const StoreState other{.since = 47, .until = 60, .digest = 2};
  EXPECT_EQ(CompareReports(MakeReport(state, seconds(9)),
                           MakeReport(other, seconds(1)), kStart),
            Comparison::kOwnMayBeOutdated);
  EXPECT_EQ(CompareReports(MakeReport(other, seconds(1)),
                           MakeReport(state, seconds(9)), kStart),
            Comparison::kPeerMayBeOutdated);
}

TEST(CompareReportsTest, Contents_OfOtherRevisionsOrUnknown_AreCompatible) {
  const StoreState state{.since = 33, .until = 47, .digest = 1};
  const StoreState later{.since = 48, .until = 60, .digest = 2};
  const auto own = MakeReport(state, seconds(9));
  EXPECT_EQ(CompareReports(own, MakeReport(later, seconds(1)), kStart),
            Comparison::kCompatible);
  EXPECT_EQ(CompareReports(own, MakeReport({}, seconds(1)), kStart),
            Comparison::kCompatible);
  EXPECT_EQ(CompareReports(MakeReport({}, seconds(9)), own, kStart),
            Comparison::kCompatible);
  StoreState same = state;
  same.since = 40;
  EXPECT_EQ(CompareReports(own, MakeReport(same, seconds(1)), kStart),
            Comparison::kCompatible);
}

// The store never returns to a lower revision in one history.
TEST(CompareReportsTest, Store_AtLowerRevisionInLaterRead_MayBeOutdated) {
  const StoreState state{.since = 212, .until = 212, .digest = 1};
  const StoreState lower{.since = 211, .until = 211, .digest = 2};
  const auto own = MakeReport(state, seconds(9), seconds(4));
  EXPECT_EQ(CompareReports(own, MakeReport(lower, seconds(2)), kStart),
            Comparison::kOwnMayBeOutdated);
  EXPECT_EQ(CompareReports(MakeReport(lower, seconds(2)), own, kStart),
            Comparison::kPeerMayBeOutdated);
  // An earlier read, or one whose report may have been late.
  for (const Duration read_age : {milliseconds(5'000), milliseconds(3'500)}) {
    EXPECT_EQ(CompareReports(own, MakeReport(lower, read_age), kStart),
              Comparison::kCompatible);
  }
}

// Revisions of different epochs say nothing about each other.
TEST(CompareReportsTest, Reports_OfTwoEpochs_LowerOneMayBeOutdated) {
  const StoreState state{.since = 33, .until = 47, .digest = 1};
  auto own = MakeReport(state, seconds(1));
  auto peer = MakeReport(state, seconds(9));
  own.epoch = 4;
  peer.epoch = 5;
  EXPECT_EQ(CompareReports(own, peer, kStart), Comparison::kOwnMayBeOutdated);
  EXPECT_EQ(CompareReports(peer, own, kStart), Comparison::kPeerMayBeOutdated);
  // A daemon of an earlier release reports none.
  peer.epoch = 0;
  EXPECT_EQ(CompareReports(own, peer, kStart), Comparison::kCompatible);
}

// A report does not tell how long ago a full read was, beyond an hour.
TEST(CompareReportsTest, Reads_OfBothLongAgo_EachMayBeOutdated) {
  const StoreState state{.since = 33, .until = 47, .digest = 1};
  const StoreState other{.since = 33, .until = 47, .digest = 2};
  auto peer = MakeReport(other, {});
  peer.unbroken_since = {};
  EXPECT_EQ(
      CompareReports(MakeReport(state, std::chrono::hours(2)), peer, kStart),
      Comparison::kOwnMayBeOutdated);
}

TEST(RereadLimiterTest, Reads_ByPersistentDifference_BecomeRare) {
  RereadLimiter limiter;
  int reads = 0;
  for (Duration t{}; t < std::chrono::minutes(10); t += milliseconds(200)) {
    if (limiter.Allow(kStart + t)) ++reads;
  }
  EXPECT_LE(reads, 12);
  EXPECT_TRUE(limiter.Allow(kStart + std::chrono::minutes(30)));
}

// Daemons that follow a store in virtual time. The store goes back without its
// last changes; only some of the daemons notice.
class VirtualFollowers {
 public:
  VirtualFollowers(std::size_t daemons, std::uint64_t seed) : random_(seed) {
    daemons_.resize(daemons);
    for (Daemon& daemon : daemons_) ReadAll(daemon);
  }

  void Change(const std::string& key) { AddChange(key); }
  // Raises the revision without a change that a watch delivers.
  void Heartbeat() { ++revision_; }
  // Every daemon but the `unaware` first ones reads everything again.
  void GoBack(std::uint64_t changes, std::size_t unaware) {
    now_ += seconds(10);
    for (; changes > 0; --changes) history_.erase(revision_--);
    for (std::size_t i = unaware; i < daemons_.size(); ++i) {
      ReadAll(daemons_[i]);
    }
  }
  void FollowAll() {
    for (Daemon& daemon : daemons_) Follow(daemon);
  }
  // Each daemon follows with a probability of one in four, as if it gathered
  // changes meanwhile.
  void FollowSome() {
    for (Daemon& daemon : daemons_) {
      if (random_() % 4 == 0) Follow(daemon);
    }
  }
  // One second, in which each daemon hears from the first and from one other.
  void Gossip() {
    now_ += seconds(1);
    for (std::size_t i = 1; i < daemons_.size(); ++i) {
      Tell(0, i);
      Tell(i, 0);
      Tell(random_() % daemons_.size(), i);
    }
  }

  std::size_t outdated() const {
    Daemon current;
    ReadInto(current);
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const auto& one) {
          return one.contents.value() != current.contents.value();
        }));
  }
  std::uint64_t revision() const { return revision_; }
  std::size_t rereads() const { return rereads_; }

 private:
  struct Daemon {
    ContentsDigest contents;
    StoreReport report;
    StoreComparison comparison;
    RereadLimiter limiter;
  };

  void AddChange(const std::string& key) {
    history_[++revision_] = {key, std::to_string(random_())};
  }
  void ReadInto(Daemon& daemon) const {
    daemon.contents.Clear();
    for (const auto& [revision, change] : history_) {
      daemon.contents.Put(change.first, change.second);
    }
    daemon.report.state = {.since = revision_,
                           .until = revision_,
                           .digest = daemon.contents.value()};
  }
  void ReadAll(Daemon& daemon) {
    ReadInto(daemon);
    daemon.report.unbroken_since = now_;
    daemon.report.confirmed_at = now_;
    daemon.comparison.OnFullRead(daemon.report);
  }
  void Follow(Daemon& daemon) {
    StoreState& state = daemon.report.state;
    std::vector<StoreState> passed;
    for (auto change = history_.upper_bound(state.until);
         change != history_.end(); ++change) {
      passed.push_back({.since = state.since,
                        .until = change->first - 1,
                        .digest = daemon.contents.value()});
      daemon.contents.Put(change->second.first, change->second.second);
      state.since = change->first;
    }
    state.until = std::max(state.until, revision_);
    state.digest = daemon.contents.value();
    daemon.report.confirmed_at = now_;
    if (daemon.comparison.OnAnswer(passed, daemon.report, now_)) Reread(daemon);
  }
  void Tell(std::size_t from, std::size_t to) {
    Daemon& daemon = daemons_[to];
    if (daemon.comparison.OnPeerReport(daemons_[from].report, now_)) {
      Reread(daemon);
    }
  }
  void Reread(Daemon& daemon) {
    if (!daemon.limiter.Allow(now_)) return;
    ++rereads_;
    ReadAll(daemon);
  }

  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  std::uint64_t revision_ = 1;
  std::map<std::uint64_t, std::pair<std::string, std::string>> history_;
  std::vector<Daemon> daemons_;
  std::size_t rereads_ = 0;
};

class HistoryTest : public ::testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(Sizes, HistoryTest,
                         ::testing::Values(2, 6, 9, 84, 500));

// Guards against daemons that serve by old routes until the next change: the
// store went back and used the revisions that they had seen for other changes.
TEST_P(HistoryTest, Store_WentBackUnnoticed_MissedChangesAreRead) {
  const std::size_t daemons = GetParam();
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const std::size_t unaware :
         {std::size_t{1}, daemons / 2, daemons - 1}) {
      VirtualFollowers fleet(daemons, seed);
      fleet.Change("config");
      fleet.Change("upstream-1");
      fleet.FollowAll();
      const std::uint64_t lost = 1 + seed % 3;
      for (std::uint64_t i = 0; i < lost; ++i) fleet.Change("upstream-2");
      fleet.FollowAll();
      fleet.GoBack(lost, unaware);
      fleet.Change("config");
      // Heartbeats take the store past the revisions that were lost.
      for (std::uint64_t i = 0; i < lost; ++i) fleet.Heartbeat();
      fleet.FollowAll();
      fleet.Gossip();
      fleet.Gossip();
      EXPECT_EQ(fleet.outdated(), 0U) << unaware << " unaware, seed " << seed;
      EXPECT_LE(fleet.rereads(), daemons);
    }
  }
}

// While upstreams restart, no two daemons know the store at the same revision.
TEST_P(HistoryTest, Store_WentBackAndChangesAllTheWhile_MissedChangesAreRead) {
  const std::size_t daemons = GetParam();
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    VirtualFollowers fleet(daemons, seed);
    fleet.Change("config");
    fleet.FollowAll();
    fleet.Change("upstream-2");
    fleet.FollowAll();
    fleet.GoBack(1, daemons / 2);
    fleet.Change("config");
    for (int i = 0; i < 20; ++i) {
      fleet.Change("upstream-" + std::to_string(3 + i % 7));
      fleet.FollowSome();
    }
    for (int second = 0; second < 3; ++second) {
      fleet.Gossip();
      fleet.Change("upstream-3");
      fleet.FollowAll();
    }
    EXPECT_EQ(fleet.outdated(), 0U) << "seed " << seed;
    EXPECT_LE(fleet.rereads(), daemons);
  }
}

TEST_P(HistoryTest, Changes_WhileDaemonsFollowAtDifferentTimes_CauseNoRead) {
  VirtualFollowers fleet(GetParam(), 7);
  for (int i = 0; i < 50; ++i) {
    fleet.Change("upstream-" + std::to_string(i % 7));
    if (i % 2 == 0) fleet.Heartbeat();
    fleet.FollowSome();
    fleet.Gossip();
  }
  EXPECT_EQ(fleet.rereads(), 0U);
}

}  // namespace
}  // namespace lacewingknot
