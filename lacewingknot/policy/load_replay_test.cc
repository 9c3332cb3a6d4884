// Replays load patterns in virtual time: a query tier over replicas that pause
// or slow down. Compares the policies of this directory with a baseline policy
// that selects a random replica, sends no hedges, and waits for every shard
// until the deadline.
//
// A replica is modelled only by its slots: a request starts when a slot is
// free, and makes no progress while the replica is paused.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lacewingknot/policy/extra_load_window.h"
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
constexpr Duration kMeanLatency = milliseconds(20);
constexpr Duration kLatencyTarget = milliseconds(150);
constexpr Duration kSoftDeadline = milliseconds(135);
constexpr Duration kDeadline = milliseconds(1'485);
constexpr Duration kHedgeDelay = milliseconds(60);
constexpr double kMinCoverage = 0.89;

struct Pattern {
  std::string name;
  double queries_per_second = 60;
  // Each replica pauses for `pause` once in every `pause_every`.
  Duration pause = milliseconds(200);
  Duration pause_every = milliseconds(4'500);
  double slow_fraction = 0;  // Fraction of the replicas that are slow.
  double slow_factor = 1;    // Multiple of the normal duration on slow ones.
};

class Replica {
 public:
  Replica(const Pattern& pattern, Duration phase, double slow_factor)
      : pattern_(pattern), phase_(phase), slow_factor_(slow_factor) {}

  // Submits a request at `now`. Returns the time at which it completes.
  TimePoint Submit(Duration service_time, TimePoint now) {
    auto slot = std::min_element(free_at_.begin(), free_at_.end());
    const TimePoint start = std::max(now, *slot);
    *slot = Finish(start, std::chrono::duration_cast<Duration>(service_time *
                                                               slow_factor_));
    running_.push_back({now, *slot});
    return *slot;
  }

  ReplicaLoad Load(TimePoint now) {
    std::erase_if(running_, [&](const RunningRequest& request) {
      if (request.done > now) return false;
      slowness_.Add(request.done - request.sent, kMeanLatency, request.done);
      return true;
    });
    ReplicaLoad load{.expected_latency = std::chrono::duration_cast<Duration>(
                         kMeanLatency * slowness_.Factor(now)),
                     .in_flight = static_cast<std::int64_t>(running_.size()),
                     .slots = kSlots,
                     .is_local = true};
    for (const RunningRequest& request : running_) {
      load.oldest_in_flight_age =
          std::max(load.oldest_in_flight_age, now - request.sent);
    }
    return load;
  }

 private:
  struct RunningRequest {
    TimePoint sent;
    TimePoint done;
  };

  TimePoint Finish(TimePoint start, Duration service_time) const {
    if (pattern_.pause == Duration::zero()) return start + service_time;
    for (;;) {
      const Duration cycle_position =
          (start.time_since_epoch() + phase_) % pattern_.pause_every;
      if (cycle_position < pattern_.pause) {
        start += pattern_.pause - cycle_position;
        continue;
      }
      const Duration until_pause = pattern_.pause_every - cycle_position;
      if (service_time <= until_pause) return start + service_time;
      service_time -= until_pause;
      start += until_pause;
    }
  }

  const Pattern& pattern_;
  Duration phase_;
  double slow_factor_;
  std::vector<TimePoint> free_at_ = std::vector<TimePoint>(kSlots);
  std::vector<RunningRequest> running_;
  SlownessEstimator slowness_;
};

struct Totals {
  int queries = 0;
  int in_time = 0;
  int late = 0;
  int failed = 0;
  // Sum of the squared coverage of the answers. A late answer counts for a
  // tenth of that.
  double credit = 0;
  int extra = 0;
};

class Replay {
 public:
  Replay(const Pattern& pattern, bool is_baseline)
      : pattern_(pattern),
        is_baseline_(is_baseline),
        budget_(kShards, Budget()) {
    std::uniform_real_distribution<double> any(0, 1);
    for (std::size_t i = 0; i < kShards * kReplicas; ++i) {
      const bool slow = any(random_) < pattern.slow_fraction;
      replicas_.emplace_back(pattern_,
                             std::chrono::duration_cast<Duration>(
                                 pattern.pause_every * any(random_)),
                             slow ? pattern.slow_factor : 1.0);
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
    for (const Query& query : queries_) ScoreQuery(query);
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

  static ExtraLoadWindow Budget() {
    return ExtraLoadWindow({.ratio = 0.17, .base_allowance = 40}, TimePoint());
  }

  Duration RandomServiceTime() {
    std::lognormal_distribution<double> service_ms(std::log(19.0), 0.35);
    std::uniform_real_distribution<double> any(0, 1);
    const double ms = service_ms(random_) * (any(random_) < 0.01 ? 5 : 1);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  std::size_t Choose(std::size_t shard, TimePoint now) {
    std::uniform_int_distribution<std::size_t> any(0, kReplicas - 1);
    if (is_baseline_) return any(random_);
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
          replicas_[shard * kReplicas + query.replica[shard]].Submit(
              RandomServiceTime(), now);
    }
    queries_.push_back(std::move(query));
    if (!is_baseline_) hedges_.push({now + kHedgeDelay, queries_.size() - 1});
  }

  void RunHedges(TimePoint until) {
    while (!hedges_.empty() && hedges_.top().at <= until) {
      const Hedge hedge = hedges_.top();
      hedges_.pop();
      Query& query = queries_[hedge.query];
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        if (query.done[shard] <= hedge.at) continue;
        if (!budget_[shard].TrySpend(ExtraAttemptKind::kHedge, hedge.at)) {
          continue;
        }
        ++totals_.extra;
        const std::size_t other =
            (query.replica[shard] + 1) % kReplicas + shard * kReplicas;
        query.done[shard] =
            std::min(query.done[shard],
                     replicas_[other].Submit(RandomServiceTime(), hedge.at));
      }
    }
  }

  void ScoreQuery(const Query& query) {
    ++totals_.queries;
    std::vector<TimePoint> moments = query.done;
    moments.push_back(query.start + kSoftDeadline);
    moments.push_back(query.start + kDeadline);
    std::sort(moments.begin(), moments.end());
    for (const TimePoint now : moments) {
      QueryProgress progress{.shards = kShards,
                             .min_coverage = kMinCoverage,
                             .soft_deadline = query.start + kSoftDeadline,
                             .deadline = query.start + kDeadline};
      if (is_baseline_) progress.soft_deadline = progress.deadline;
      for (const TimePoint done : query.done) progress.answered += done <= now;
      const QueryDecision verdict = DecideQuery(progress, now);
      if (verdict == QueryDecision::kWait) continue;
      if (verdict == QueryDecision::kFail) {
        ++totals_.failed;
        return;
      }
      const double coverage = static_cast<double>(progress.answered) / kShards;
      const bool in_time = now - query.start <= kLatencyTarget;
      ++(in_time ? totals_.in_time : totals_.late);
      totals_.credit += coverage * coverage * (in_time ? 1.0 : 0.1);
      return;
    }
  }

  const Pattern& pattern_;
  bool is_baseline_;
  std::mt19937_64 random_{20261204};
  // A separate generator, so that both policies get the same arrivals.
  std::mt19937_64 arrivals_{20261205};
  std::vector<Replica> replicas_;
  std::vector<ExtraLoadWindow> budget_;
  std::vector<Query> queries_;
  std::priority_queue<Hedge> hedges_;
  Totals totals_;
};

class LoadReplayTest : public ::testing::TestWithParam<Pattern> {
 protected:
  static Totals RunReplay(const Pattern& pattern, bool is_baseline) {
    Replay replay(pattern, is_baseline);
    const Totals totals = replay.Run();
    std::cout << pattern.name << (is_baseline ? " baseline:" : " policies:")
              << " queries " << totals.queries << ", in time " << totals.in_time
              << ", late " << totals.late << ", failed " << totals.failed
              << ", credit " << totals.credit / totals.queries
              << ", extra attempts " << totals.extra << "\n";
    return totals;
  }
};

TEST_P(LoadReplayTest, Pattern_Replayed_ScoresAboveTheBaseline) {
  const Totals baseline = RunReplay(GetParam(), true);
  const Totals policies = RunReplay(GetParam(), false);
  EXPECT_GT(policies.credit / policies.queries,
            baseline.credit / baseline.queries);
  EXPECT_GE(policies.in_time, baseline.in_time);
  // A fifth of the first attempts, plus the base allowance of each of three
  // windows.
  EXPECT_LE(policies.extra,
            static_cast<int>(kShards) * (policies.queries / 5 + 3 * 40));
}

INSTANTIATE_TEST_SUITE_P(
    Patterns, LoadReplayTest,
    ::testing::Values(Pattern{.name = "calm", .pause = Duration::zero()},
                      Pattern{.name = "pauses"},
                      Pattern{.name = "burst", .queries_per_second = 105},
                      Pattern{.name = "slow_replicas",
                              .slow_fraction = 0.15,
                              .slow_factor = 8},
                      Pattern{.name = "slow_replicas_in_a_burst",
                              .queries_per_second = 100,
                              .slow_fraction = 0.15,
                              .slow_factor = 8}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace lacewingknot
