// Replays load patterns in virtual time: a query tier over replicas that pause,
// slow down or die, with the decisions of this directory against a simple
// policy (random replica, no hedge, wait for every shard until the deadline).
//
// The replicas are modelled by their slots alone: work starts when a slot is
// free, and stands still while the replica is paused.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lacewingknot/policy/extra_window.h"
#include "lacewingknot/policy/partial_answer.h"
#include "lacewingknot/policy/replica_choice.h"
#include "lacewingknot/policy/slowness.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kShards = 20;
constexpr std::size_t kReplicas = 2;
constexpr std::int64_t kSlots = 2;
constexpr Duration kUsual = milliseconds(20);
constexpr Duration kTarget = milliseconds(150);
constexpr Duration kAnswerBy = milliseconds(135);
constexpr Duration kDeadline = milliseconds(1'485);
constexpr Duration kHedgeDelay = milliseconds(60);
constexpr double kMinShare = 0.89;

struct Pattern {
  std::string name;
  double queries_per_second = 60;
  // Each replica stands still for `pause` once in `pause_every`.
  Duration pause = milliseconds(200);
  Duration pause_every = milliseconds(4'500);
  double slow_share = 0;  // Of the replicas, `slow_times` slower.
  double slow_times = 1;
};

class Replica {
 public:
  Replica(const Pattern& pattern, Duration phase, double speed)
      : pattern_(pattern), phase_(phase), speed_(speed) {}

  // Takes a request at `now`; returns when it is done.
  TimePoint Take(Duration work, TimePoint now) {
    auto slot = std::min_element(free_at_.begin(), free_at_.end());
    const TimePoint start = std::max(now, *slot);
    *slot = Finish(start, std::chrono::duration_cast<Duration>(work * speed_));
    running_.push_back({now, *slot});
    return *slot;
  }

  ReplicaLoad Load(TimePoint now) {
    std::erase_if(running_, [&](const Running& one) {
      if (one.done > now) return false;
      slowness_.Add(one.done - one.sent, kUsual, one.done);
      return true;
    });
    ReplicaLoad load{.expected = std::chrono::duration_cast<Duration>(
                         kUsual * slowness_.Factor(now)),
                     .in_flight = static_cast<std::int64_t>(running_.size()),
                     .slots = kSlots,
                     .local = true};
    for (const Running& one : running_) {
      load.oldest_in_flight = std::max(load.oldest_in_flight, now - one.sent);
    }
    return load;
  }

 private:
  struct Running {
    TimePoint sent;
    TimePoint done;
  };

  TimePoint Finish(TimePoint start, Duration work) const {
    if (pattern_.pause == Duration::zero()) return start + work;
    for (;;) {
      const Duration in_cycle =
          (start.time_since_epoch() + phase_) % pattern_.pause_every;
      if (in_cycle < pattern_.pause) {
        start += pattern_.pause - in_cycle;
        continue;
      }
      const Duration until_pause = pattern_.pause_every - in_cycle;
      if (work <= until_pause) return start + work;
      work -= until_pause;
      start += until_pause;
    }
  }

  const Pattern& pattern_;
  Duration phase_;
  double speed_;
  std::vector<TimePoint> free_at_ = std::vector<TimePoint>(kSlots);
  std::vector<Running> running_;
  Slowness slowness_;
};

struct Totals {
  int queries = 0;
  int in_time = 0;
  int late = 0;
  int failed = 0;
  double credit =
      0;  // Square of the share for answers in time, 0.1 of it late.
  int extra = 0;
};

class Replay {
 public:
  Replay(const Pattern& pattern, bool simple)
      : pattern_(pattern), simple_(simple), budget_(kShards, Budget()) {
    std::uniform_real_distribution<double> any(0, 1);
    for (std::size_t i = 0; i < kShards * kReplicas; ++i) {
      const bool slow = any(random_) < pattern.slow_share;
      replicas_.emplace_back(pattern_,
                             std::chrono::duration_cast<Duration>(
                                 pattern.pause_every * any(random_)),
                             slow ? pattern.slow_times : 1.0);
    }
  }

  Totals Run() {
    std::exponential_distribution<double> gap(pattern_.queries_per_second);
    TimePoint now(std::chrono::hours(1));
    for (const TimePoint end = now + seconds(30); now < end;
         now += std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(gap(arrivals_)))) {
      RunHedges(now);
      Start(now);
    }
    RunHedges(TimePoint::max());
    for (const Query& query : queries_) Judge(query);
    return totals_;
  }

 private:
  struct Query {
    TimePoint start;
    std::vector<TimePoint> done = std::vector<TimePoint>(kShards);
    std::vector<std::size_t> replica = std::vector<std::size_t>(kShards);
  };
  struct Hedge {
    TimePoint at;
    std::size_t query;
    bool operator<(const Hedge& other) const { return at > other.at; }
  };

  static ExtraWindow Budget() {
    return ExtraWindow({.ratio = 0.17, .fixed = 40}, TimePoint());
  }

  Duration Work() {
    std::lognormal_distribution<double> work(std::log(19.0), 0.35);
    std::uniform_real_distribution<double> any(0, 1);
    const double ms = work(random_) * (any(random_) < 0.01 ? 5 : 1);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  std::size_t Choose(std::size_t shard, TimePoint now) {
    std::uniform_int_distribution<std::size_t> any(0, kReplicas - 1);
    if (simple_) return any(random_);
    std::vector<ReplicaLoad> loads;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      loads.push_back(replicas_[shard * kReplicas + i].Load(now));
    }
    return *ChooseReplica(loads, any(random_), {});
  }

  void Start(TimePoint now) {
    Query query{.start = now};
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      budget_[shard].OnFirstAttempt(now);
      query.replica[shard] = Choose(shard, now);
      query.done[shard] =
          replicas_[shard * kReplicas + query.replica[shard]].Take(Work(), now);
    }
    queries_.push_back(std::move(query));
    if (!simple_) hedges_.push({now + kHedgeDelay, queries_.size() - 1});
  }

  void RunHedges(TimePoint until) {
    while (!hedges_.empty() && hedges_.top().at <= until) {
      const Hedge hedge = hedges_.top();
      hedges_.pop();
      Query& query = queries_[hedge.query];
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        if (query.done[shard] <= hedge.at) continue;
        if (!budget_[shard].TrySpend(ExtraNeed::kHedge, hedge.at)) continue;
        ++totals_.extra;
        const std::size_t other =
            (query.replica[shard] + 1) % kReplicas + shard * kReplicas;
        query.done[shard] = std::min(query.done[shard],
                                     replicas_[other].Take(Work(), hedge.at));
      }
    }
  }

  void Judge(const Query& query) {
    ++totals_.queries;
    std::vector<TimePoint> moments = query.done;
    moments.push_back(query.start + kAnswerBy);
    moments.push_back(query.start + kDeadline);
    std::sort(moments.begin(), moments.end());
    for (const TimePoint now : moments) {
      QueryProgress progress{.shards = kShards,
                             .min_share = kMinShare,
                             .answer_by = query.start + kAnswerBy,
                             .deadline = query.start + kDeadline};
      if (simple_) progress.answer_by = progress.deadline;
      for (const TimePoint done : query.done) progress.answered += done <= now;
      const QueryVerdict verdict = JudgeQuery(progress, now);
      if (verdict == QueryVerdict::kWait) continue;
      if (verdict == QueryVerdict::kFail) {
        ++totals_.failed;
        return;
      }
      const double share = static_cast<double>(progress.answered) / kShards;
      const bool in_time = now - query.start <= kTarget;
      ++(in_time ? totals_.in_time : totals_.late);
      totals_.credit += share * share * (in_time ? 1.0 : 0.1);
      return;
    }
  }

  const Pattern& pattern_;
  bool simple_;
  std::mt19937_64 random_{20261204};
  // Of their own, so that both policies get the same queries.
  std::mt19937_64 arrivals_{20261205};
  std::vector<Replica> replicas_;
  std::vector<ExtraWindow> budget_;
  std::vector<Query> queries_;
  std::priority_queue<Hedge> hedges_;
  Totals totals_;
};

class WorstHourTest : public ::testing::TestWithParam<Pattern> {
 protected:
  static Totals Play(const Pattern& pattern, bool simple) {
    Replay replay(pattern, simple);
    const Totals totals = replay.Run();
    std::cout << pattern.name << (simple ? " simple:   " : " decisions:")
              << " queries " << totals.queries << ", in time " << totals.in_time
              << ", late " << totals.late << ", failed " << totals.failed
              << ", credit " << totals.credit / totals.queries
              << ", extra attempts " << totals.extra << "\n";
    return totals;
  }
};

TEST_P(WorstHourTest, Pattern_Replayed_EarnsMoreThanTheSimplePolicy) {
  const Totals simple = Play(GetParam(), true);
  const Totals decisions = Play(GetParam(), false);
  EXPECT_GT(decisions.credit / decisions.queries,
            simple.credit / simple.queries);
  EXPECT_GE(decisions.in_time, simple.in_time);
  // A fifth of the first attempts and the fixed part in each of three windows.
  EXPECT_LE(decisions.extra,
            static_cast<int>(kShards) * (decisions.queries / 5 + 3 * 40));
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, WorstHourTest,
    ::testing::Values(
        Pattern{.name = "calm", .pause = Duration::zero()},
        Pattern{.name = "pauses"},
        Pattern{.name = "burst", .queries_per_second = 105},
        Pattern{.name = "slow_replicas", .slow_share = 0.15, .slow_times = 8},
        Pattern{.name = "slow_replicas_in_a_burst",
                .queries_per_second = 100,
                .slow_share = 0.15,
                .slow_times = 8}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace lacewingknot
