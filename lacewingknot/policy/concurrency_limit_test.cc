// Drives the estimate with simulated upstreams in virtual time.

#include "lacewingknot/policy/concurrency_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kUsual = milliseconds(20);

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

// One upstream, whose requests slow each other down once more than `knee` are
// in flight, and the daemon that sends to it.
struct World {
  std::int64_t slots = 8;
  std::function<double(Duration time)> knee = [](Duration) { return 8.0; };
  std::function<double(Duration time)> slowness = [](Duration) { return 1.0; };
  // Share of requests that are refused at a depth.
  std::function<double(std::int64_t depth)> refused = [](std::int64_t) {
    return 0.0;
  };
  Duration pause_interval{};  // Zero for no pauses.
  Duration pause{};
  double time_spread = 0.2;     // Standard deviation of the logarithm.
  double requests_per_s = 400;  // Enough to fill the slots.
  std::vector<Duration> classes{kUsual};  // Usual times of the requests.
  std::uint64_t seed = 1;
};

class Simulation {
 public:
  explicit Simulation(World world)
      : world_(std::move(world)),
        limit_({.seed = world_.seed}),
        random_(static_cast<std::minstd_rand::result_type>(world_.seed)) {
    limit_.set_slots(world_.slots);
  }

  // Runs until `end`; returns the limit every 100 ms, from the first call on.
  const std::vector<std::int64_t>& RunUntil(Duration end) {
    std::exponential_distribution<double> gap(world_.requests_per_s);
    while (next_arrival_ < end) {
      FinishUntil(next_arrival_);
      Sample(next_arrival_);
      Arrive(next_arrival_);
      next_arrival_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(random_)));
    }
    FinishUntil(end);
    Sample(end);
    return limits_;
  }

  const ConcurrencyLimit& limit() const { return limit_; }

 private:
  struct Request {
    ConcurrencyLimit::Sample sample;
    bool is_refused = false;
  };

  void Sample(Duration now) {
    while (next_sample_ <= now) {
      limits_.push_back(limit_.limit());
      next_sample_ += milliseconds(100);
    }
  }

  void FinishUntil(Duration time) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= time) {
      const auto [end, request] = *in_flight_.begin();
      in_flight_.erase(in_flight_.begin());
      Sample(end);
      if (request.is_refused) {
        limit_.OnRefusal(request.sample, TimePoint() + end);
      } else {
        limit_.OnAnswer(request.sample, TimePoint() + end);
      }
    }
  }

  void Arrive(Duration now) {
    const TimePoint time = TimePoint() + now;
    const auto depth = static_cast<std::int64_t>(in_flight_.size()) + 1;
    // Other replicas get what is over the limit.
    if (depth > limit_.Limit(time)) return;
    limit_.OnSent(depth, time);
    std::uniform_int_distribution<std::size_t> any_class(
        0, world_.classes.size() - 1);
    const Duration usual = world_.classes[any_class(random_)];
    std::lognormal_distribution<double> noise(0, world_.time_spread);
    std::bernoulli_distribution is_refused(world_.refused(depth));
    Request request{.sample = {.depth = depth, .sent_at = time, .usual = usual},
                    .is_refused = is_refused(random_)};
    const double contention =
        std::max(1.0, static_cast<double>(depth) / world_.knee(now));
    const Duration duration =
        request.is_refused
            ? milliseconds(1)
            : Scaled(usual, contention * world_.slowness(now) * noise(random_));
    in_flight_.emplace(WithPauses(now, now + duration), request);
  }

  // Returns when a request ends that would end at `end` without pauses.
  Duration WithPauses(Duration start, Duration end) const {
    if (world_.pause_interval <= Duration::zero()) return end;
    const auto number = start / world_.pause_interval;
    for (auto i = number; i <= number + 3; ++i) {
      const Duration pause_start = world_.pause_interval * (i + 1);
      const Duration previous_start = world_.pause_interval * i;
      if (i == number && i > 0 && start < previous_start + world_.pause) {
        end += previous_start + world_.pause - start;
      }
      if (end <= pause_start) break;
      end += world_.pause;
    }
    return end;
  }

  World world_;
  ConcurrencyLimit limit_;
  std::minstd_rand random_;
  Duration next_arrival_{};
  Duration next_sample_{};
  std::multimap<Duration, Request> in_flight_;
  std::vector<std::int64_t> limits_;
};

// Returns the mean of the samples between two times.
double MeanLimit(const std::vector<std::int64_t>& limits, Duration from,
                 Duration to) {
  const auto first = static_cast<std::size_t>(from / milliseconds(100));
  const auto last =
      std::min(limits.size(), static_cast<std::size_t>(to / milliseconds(100)));
  double sum = 0;
  for (std::size_t i = first; i < last; ++i) {
    sum += static_cast<double>(limits[i]);
  }
  return sum / static_cast<double>(last - first);
}

// Returns the longest time for which `is_counted` held for the limit.
Duration Longest(const std::vector<std::int64_t>& limits,
                 const std::function<bool(double limit)>& is_counted) {
  Duration longest{};
  Duration current{};
  for (const std::int64_t limit : limits) {
    current = is_counted(static_cast<double>(limit))
                  ? current + milliseconds(100)
                  : Duration::zero();
    longest = std::max(longest, current);
  }
  return longest;
}

Duration LongestBelow(const std::vector<std::int64_t>& limits, double least) {
  return Longest(limits, [least](double limit) { return limit < least; });
}

Duration LongestAbove(const std::vector<std::int64_t>& limits, double most) {
  return Longest(limits, [most](double limit) { return limit > most; });
}

std::function<double(Duration)> Constant(double value) {
  return [value](Duration) { return value; };
}

TEST(ConcurrencyLimitTest, Estimate_NoSamples_IsThePrior) {
  ConcurrencyLimit limit({});
  limit.set_slots(4);
  EXPECT_EQ(limit.Limit(TimePoint() + seconds(5)), 4);
  EXPECT_EQ(limit.ExpectedTime(3, kUsual, milliseconds(36), TimePoint()),
            milliseconds(36));
}

// Guards against limits that follow chance where a daemon sees a request every
// two seconds, as most daemons do of most replicas.
TEST(ConcurrencyLimitTest, Limit_FewSamples_StaysAtTheSlots) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    Simulation simulation({.slots = 2,
                           .knee = Constant(2),
                           .time_spread = 1,
                           .requests_per_s = 0.5,
                           .seed = seed});
    EXPECT_EQ(LongestBelow(simulation.RunUntil(seconds(300)), 2),
              Duration::zero());
  }
}

// Guards against taking a slow machine for an overloaded one.
TEST(ConcurrencyLimitTest, Upstreams_TwoSpeeds_DifferInTimeNotInLimit) {
  Simulation fast({.slowness = Constant(0.7)});
  Simulation slow({.slowness = Constant(1.6), .seed = 2});
  EXPECT_EQ(LongestBelow(fast.RunUntil(seconds(30)), 8), Duration::zero());
  EXPECT_EQ(LongestBelow(slow.RunUntil(seconds(30)), 8), Duration::zero());
  const TimePoint now = TimePoint() + seconds(30);
  const auto time_of = [&](const Simulation& simulation) {
    return static_cast<double>(
        simulation.limit().ExpectedTime(4, kUsual, kUsual, now).count());
  };
  EXPECT_NEAR(time_of(slow) / time_of(fast), 1.6 / 0.7, 0.6);
}

TEST(ConcurrencyLimitTest, Upstream_KneeAtHalfOfTheSlots_IsFoundAndKept) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Simulation simulation({.knee = Constant(4), .seed = seed});
    const auto& limits = simulation.RunUntil(seconds(60));
    // Above the knee, the ratio of throughput to time is 4/n of the best, and
    // daemons stop at 0.75 to 0.85 of it: at 4 or 5 requests. The same loss of
    // a quarter below the knee allows 3. Part 6 of hard-load.md asks for a
    // return within seconds, here the 2 s of the longest time between probes.
    // The narrower bounds of the mean, and 6 as the upper bound, do not follow
    // from this; they keep the limit as close as it was measured to be.
    EXPECT_GE(MeanLimit(limits, seconds(10), seconds(60)), 3.8);
    EXPECT_LE(MeanLimit(limits, seconds(10), seconds(60)), 5.2);
    const auto settled = std::vector(limits.begin() + 100, limits.end());
    EXPECT_LE(LongestBelow(settled, 3), seconds(2)) << "seed " << seed;
    EXPECT_LE(LongestAbove(settled, 6), seconds(2)) << "seed " << seed;
  }
}

// Shards have two slots only.
TEST(ConcurrencyLimitTest, Upstream_KneeAtOneOfTwoSlots_IsFound) {
  Simulation simulation(
      {.slots = 2, .knee = Constant(1), .requests_per_s = 100});
  const auto& limits = simulation.RunUntil(seconds(30));
  EXPECT_LE(MeanLimit(limits, seconds(10), seconds(30)), 1.1);
}

// Guards against a limit that stays low after the upstream has recovered.
TEST(ConcurrencyLimitTest, SlowDown_Ends_LimitReturnsWithinSeconds) {
  const auto knee = [](Duration time) {
    return time >= seconds(10) && time < seconds(25) ? 3.0 : 8.0;
  };
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Simulation simulation({.knee = knee, .seed = seed});
    const auto& limits = simulation.RunUntil(seconds(45));
    EXPECT_GE(MeanLimit(limits, seconds(2), seconds(10)), 7.9);
    EXPECT_LE(MeanLimit(limits, seconds(18), seconds(25)), 4.5);
    EXPECT_GE(MeanLimit(limits, seconds(31), seconds(45)), 7.5);
  }
}

// Guards against limits that follow slowdowns of all requests.
TEST(ConcurrencyLimitTest, Noise_ShortAndAtAllDepths_KeepsTheLimit) {
  const auto slowness = [](Duration time) {
    return time % seconds(5) < milliseconds(600) ? 2.5 : 1.0;
  };
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    Simulation simulation(
        {.slowness = slowness, .time_spread = 0.5, .seed = seed});
    const auto& limits = simulation.RunUntil(seconds(60));
    EXPECT_GE(MeanLimit(limits, seconds(0), seconds(60)), 7.6);
    EXPECT_LE(LongestBelow(limits, 7), seconds(2));
  }
}

// Guards against limits that follow pauses. Under light load, only the pauses
// raise the depth, so that all samples of high depths are from pauses.
TEST(ConcurrencyLimitTest, Pauses_AnyLoad_KeepTheLimit) {
  const struct {
    Duration interval, pause, usual;
    std::int64_t slots;
    double requests_per_s;
  } cases[] = {
      {seconds(6), milliseconds(250), milliseconds(28), 2, 20},
      {seconds(6), milliseconds(250), milliseconds(28), 2, 70},
      {seconds(6), milliseconds(250), milliseconds(9), 2, 60},
      {milliseconds(2'400), milliseconds(100), milliseconds(7), 2, 40},
      {milliseconds(2'400), milliseconds(100), milliseconds(7), 2, 250},
      {seconds(6), milliseconds(250), milliseconds(220), 4, 5},
      {seconds(6), milliseconds(250), milliseconds(220), 4, 17},
      {milliseconds(2'400), milliseconds(100), milliseconds(60), 2, 10},
      {seconds(6), milliseconds(250), milliseconds(20), 8, 50},
      {seconds(6), milliseconds(250), milliseconds(20), 8, 400},
  };
  for (const auto& load : cases) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
      Simulation simulation({.slots = load.slots,
                             .knee = Constant(static_cast<double>(load.slots)),
                             .pause_interval = load.interval,
                             .pause = load.pause,
                             .requests_per_s = load.requests_per_s,
                             .classes = {load.usual},
                             .seed = seed});
      const auto& limits = simulation.RunUntil(seconds(120));
      const auto slots = static_cast<double>(load.slots);
      EXPECT_GE(MeanLimit(limits, seconds(0), seconds(120)), 0.95 * slots)
          << ToMillis(load.usual) << " ms, " << load.requests_per_s << "/s";
      EXPECT_LE(LongestBelow(limits, 0.75 * slots), seconds(2))
          << ToMillis(load.usual) << " ms, " << load.requests_per_s << "/s";
    }
  }
}

TEST(ConcurrencyLimitTest, ColdStart_AtAllDepths_KeepsTheLimit) {
  const auto slowness = [](Duration time) {
    return time < seconds(3) ? 1.6 : 1.0;
  };
  Simulation simulation({.slowness = slowness});
  EXPECT_EQ(LongestBelow(simulation.RunUntil(seconds(20)), 8),
            Duration::zero());
}

// Guards against taking requests of a class with more work for slow ones.
TEST(ConcurrencyLimitTest, Classes_WorkDiffersFourfold_KeepTheLimit) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Simulation simulation(
        {.classes = {milliseconds(8), milliseconds(32)}, .seed = seed});
    EXPECT_EQ(LongestBelow(simulation.RunUntil(seconds(60)), 8),
              Duration::zero());
    const Duration expected = simulation.limit().ExpectedTime(
        4, milliseconds(8), milliseconds(8), TimePoint() + seconds(60));
    EXPECT_NEAR(static_cast<double>(expected.count()) / 8e6, 1.15, 0.25);
  }
}

TEST(ConcurrencyLimitTest, Refusals_FromADepthOn_LowerTheLimit) {
  Simulation simulation(
      {.refused = [](std::int64_t depth) { return depth > 4 ? 0.7 : 0.0; }});
  const auto& limits = simulation.RunUntil(seconds(30));
  EXPECT_NEAR(MeanLimit(limits, seconds(8), seconds(30)), 4, 0.6);
}

// Guards against a lower limit where it does not help: the upstream refuses a
// part of its requests, whatever their number.
TEST(ConcurrencyLimitTest, Refusals_AtAllDepths_KeepTheLimit) {
  Simulation simulation(
      {.refused = [](std::int64_t) { return 0.45; }, .requests_per_s = 800});
  const auto& limits = simulation.RunUntil(seconds(30));
  EXPECT_GE(MeanLimit(limits, seconds(0), seconds(30)), 7.2);
}

TEST(ConcurrencyLimitTest, Limit_NoRequestsForLong_ReturnsToTheSlots) {
  Simulation simulation({.knee = Constant(3)});
  simulation.RunUntil(seconds(15));
  ASSERT_LE(simulation.limit().limit(), 4);
  EXPECT_EQ(simulation.limit().Limit(TimePoint() + seconds(60)), 8);
}

TEST(ConcurrencyLimitTest, Slots_Change_LimitFollows) {
  Simulation simulation({.knee = Constant(3)});
  simulation.RunUntil(seconds(15));
  ConcurrencyLimit limit = simulation.limit();
  limit.set_slots(2);
  EXPECT_EQ(limit.Limit(TimePoint() + seconds(15)), 2);
}

// Whatever the upstream does, the limit leaves room for one request and never
// exceeds the slots, and the expected time is positive.
RC_GTEST_PROP(ConcurrencyLimitProperties, Limit_AnyInput_IsWithinTheSlots, ()) {
  ConcurrencyLimit limit({.seed = *rc::gen::arbitrary<std::uint64_t>()});
  const auto slots = *rc::gen::inRange<std::int64_t>(1, 300);
  limit.set_slots(slots);
  TimePoint now{};
  const int steps = *rc::gen::inRange(1, 400);
  std::minstd_rand random(*rc::gen::arbitrary<std::uint32_t>());
  std::uniform_int_distribution<std::int64_t> any_depth(-1, slots * 2);
  std::uniform_int_distribution<int> any_micros(0, 2'000'000);
  for (int step = 0; step < steps; ++step) {
    const std::int64_t depth = any_depth(random);
    const Duration usual = std::chrono::microseconds(any_micros(random) - 9);
    limit.OnSent(depth, now);
    const ConcurrencyLimit::Sample sample{
        .depth = depth, .sent_at = now, .usual = usual};
    now += std::chrono::microseconds(any_micros(random));
    switch (any_micros(random) % 3) {
      case 0:
        limit.OnAnswer(sample, now);
        break;
      case 1:
        limit.OnRefusal(sample, now);
        break;
      default:
        limit.OnLost(sample, now);
    }
    RC_ASSERT(limit.Limit(now) >= 1);
    RC_ASSERT(limit.Limit(now) <= slots);
    RC_ASSERT(limit.ExpectedTime(std::max<std::int64_t>(depth, 1), kUsual,
                                 kUsual, now) > Duration::zero());
  }
}

// 500 daemons whose requests share the knee of one upstream. `has_own_noise`:
// their times differ by chance; otherwise only the spread of probes keeps them
// apart. Checks that, after 15 s, the mean of the limits stays within a tenth
// of the slots, and that no round holds probes of more than a fifth of the
// daemons.
void RunFleet(std::uint32_t seed, bool has_own_noise) {
  constexpr int kDaemons = 500;
  std::mt19937 random(seed);
  const std::int64_t slots =
      std::uniform_int_distribution<std::int64_t>(4, 12)(random);
  const double knee = static_cast<double>(slots) *
                      std::uniform_real_distribution<double>(0.35, 0.8)(random);
  const std::uint64_t first_seed = random();
  struct Daemon {
    ConcurrencyLimit limit;
    std::int64_t depth = 0;
  };
  std::vector<Daemon> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.push_back({ConcurrencyLimit(
        {.seed = first_seed + static_cast<std::uint64_t>(i)})});
    daemons.back().limit.set_slots(slots);
  }
  std::lognormal_distribution<double> noise(0, 0.2);
  std::vector<double> means;    // Of the limits, after each round.
  std::vector<double> probing;  // Share of daemons, in each round.
  constexpr Duration kRound = milliseconds(25);
  for (TimePoint now{}; now < TimePoint() + seconds(40); now += kRound) {
    std::int64_t total = 0;
    int probes = 0;
    for (Daemon& daemon : daemons) {
      daemon.depth = daemon.limit.Limit(now);
      total += daemon.depth;
      if (daemon.depth > daemon.limit.limit()) ++probes;
      for (std::int64_t depth = 1; depth <= daemon.depth; ++depth) {
        daemon.limit.OnSent(depth, now);
      }
    }
    // Requests contend with those of all daemons, and of their own one.
    const double mean_depth = static_cast<double>(total) / kDaemons;
    const double crowding = std::max(1.0, mean_depth / knee);
    // Without noise of their own, only the spread of probes keeps daemons
    // apart.
    std::vector<double> noises;
    for (std::int64_t i = 0; i <= slots; ++i) noises.push_back(noise(random));
    std::int64_t limits = 0;
    for (Daemon& daemon : daemons) {
      for (std::int64_t depth = 1; depth <= daemon.depth; ++depth) {
        const double own = std::max(1.0, static_cast<double>(depth) / knee);
        const double spread = has_own_noise
                                  ? noise(random)
                                  : noises[static_cast<std::size_t>(depth)];
        const Duration time = Scaled(kUsual, crowding * own * spread);
        daemon.limit.OnAnswer({.depth = depth, .sent_at = now, .usual = kUsual},
                              now + time);
      }
      limits += daemon.limit.limit();
    }
    means.push_back(static_cast<double>(limits) / kDaemons);
    probing.push_back(static_cast<double>(probes) / kDaemons);
  }
  const auto settled = static_cast<std::ptrdiff_t>(seconds(15) / kRound);
  const auto [least, most] =
      std::minmax_element(means.begin() + settled, means.end());
  EXPECT_LE(*most - *least, 0.1 * static_cast<double>(slots))
      << slots << " slots, knee at " << knee;
  EXPECT_LE(*std::max_element(probing.begin() + settled, probing.end()), 0.2)
      << slots << " slots, knee at " << knee;
}

// Guards against daemons that lower, raise or probe together because all of
// them see the same upstream: its load would alternate between too much and too
// little. Their requests share its knee.
TEST(ConcurrencyLimitFleetTest, Daemons_FiveHundredAtOneKnee_DoNotOscillate) {
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    RunFleet(seed, /*has_own_noise=*/true);
  }
}

TEST(ConcurrencyLimitFleetTest, Daemons_SeeTheSameTimes_DoNotOscillate) {
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    RunFleet(seed, /*has_own_noise=*/false);
  }
}

}  // namespace
}  // namespace lacewingknot
