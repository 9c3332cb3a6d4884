// Replays ten seconds in which one or two of the three replicas of every shard
// refuse nearly half of their requests, against the decisions that place first
// attempts and pay for retries.

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <vector>

#include "lacewingknot/policy/extra_load_window.h"
#include "lacewingknot/policy/failure_share.h"
#include "lacewingknot/policy/partial_answer.h"
#include "lacewingknot/policy/relay_ranking.h"
#include "lacewingknot/policy/replica_choice.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Queries over 90 shards with one replica in each of three data centres. The
// queries of a data centre go to its own replicas first. Every second replica
// refuses 45 of 100 requests.
class SheddingReplicasTest : public ::testing::Test {
 protected:
  static constexpr int kShards = 90;
  static constexpr int kReplicas = 3;
  static constexpr double kRefusedShare = 0.45;
  static constexpr double kExtraRatio = 0.2;
  static constexpr int kMaxRefusals = 3;
  static constexpr double kMinCoverage = 0.95;

  struct Replica {
    bool sheds = false;
    FailureShare failures;
  };
  struct Shard {
    std::array<Replica, kReplicas> replicas;
    // Of the primary relay in each data centre.
    std::vector<ExtraLoadWindow> budgets{
        kReplicas,
        ExtraLoadWindow(
            {.ratio = 0.85 * kExtraRatio,
             .base_allowance = ShareOfLimit(
                 0.8 * 326, {.replica_data_centres = kReplicas, .rank = 0},
                 131),
             .length = seconds(10)},
            TimePoint() - seconds(60))};
  };

  SheddingReplicasTest() : shards_(kShards) {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      for (std::size_t k = 0; k < kReplicas; ++k) {
        shards_[i].replicas[k].sheds = (i * kReplicas + k) % 2 == 0;
      }
    }
  }

  // Sends an attempt; returns whether the replica takes it.
  bool Send(Replica& replica, TimePoint now) {
    std::bernoulli_distribution refuses(replica.sheds ? kRefusedShare : 0);
    const bool refused = refuses(random_);
    if (refused) {
      replica.failures.OnFailure(now);
    } else {
      replica.failures.OnSuccess();
    }
    return !refused;
  }

  // Returns whether the shard answers a query that enters at `data_centre`.
  bool Query(Shard& shard, std::size_t data_centre, TimePoint now) {
    std::vector<std::size_t> order;
    std::vector<std::size_t> declined;
    for (std::size_t step = 0; step < kReplicas; ++step) {
      const std::size_t k = (data_centre + step) % kReplicas;
      const ReplicaLoad load{.failure_share =
                                 shard.replicas[k].failures.Value(now)};
      const bool is_last = declined.size() + 1 == kReplicas;
      if (order.empty() && !is_last && FailsTooOften(load, options_)) {
        declined.push_back(k);
      } else {
        order.push_back(k);
      }
    }
    order.insert(order.end(), declined.begin(), declined.end());
    shard.budgets[order.front()].OnFirstAttempt(now);
    for (int attempt = 0; attempt <= kMaxRefusals; ++attempt) {
      const std::size_t k =
          order[static_cast<std::size_t>(attempt) % kReplicas];
      if (attempt > 0 &&
          !shard.budgets[k].TrySpend(ExtraAttemptKind::kRetry, now)) {
        continue;
      }
      if (Send(shard.replicas[k], now)) return true;
    }
    return false;
  }

  // Returns the share of queries that reach their coverage, at 43 queries a
  // second from second 5 to second 10.
  double ServedShare() {
    int served = 0;
    int queries = 0;
    std::size_t data_centre = 0;
    for (TimePoint now{}; now < TimePoint() + seconds(10);
         now += milliseconds(23)) {
      data_centre = (data_centre + 1) % kReplicas;
      std::size_t answered = 0;
      for (Shard& shard : shards_) {
        if (Query(shard, data_centre, now)) ++answered;
      }
      if (now < TimePoint() + seconds(5)) continue;
      ++queries;
      if (HasSufficientCoverage(answered, kShards, kMinCoverage)) ++served;
    }
    return static_cast<double>(served) / queries;
  }

  std::vector<Shard> shards_;
  ReplicaChoiceOptions options_{.max_failure_share = kExtraRatio};
  std::mt19937 random_{7};
};

// Guards against queries that fail because their first attempts keep going to
// replicas that are known to refuse them, until the retries have used up the
// budget for extra attempts.
TEST_F(SheddingReplicasTest, FirstAttempts_AvoidThem_QueriesReachCoverage) {
  EXPECT_GE(ServedShare(), 0.99);
}

TEST_F(SheddingReplicasTest, FirstAttempts_IgnoreThem_BudgetRunsOut) {
  options_.max_failure_share = 1;
  EXPECT_LT(ServedShare(), 0.9);
}

TEST(FailureShareTest, Upstream_Avoided_IsTriedAgainWithinSeconds) {
  FailureShare share;
  const TimePoint start{};
  for (int i = 0; i < 20; ++i) share.OnFailure(start);
  EXPECT_GT(share.Value(start), 0.9);
  EXPECT_LT(share.Value(start + seconds(8)), 0.2);
}

TEST(FailureShareTest, Upstream_OneFailure_IsNotAvoided) {
  FailureShare share;
  share.OnFailure(TimePoint());
  EXPECT_FALSE(FailsTooOften({.failure_share = share.Value(TimePoint())},
                             {.max_failure_share = 0.2}));
}

}  // namespace
}  // namespace lacewingknot
