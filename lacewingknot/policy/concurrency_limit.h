// The number of requests in flight that one upstream handles well, and the time
// to expect at a given depth.
//
// The depth of a request is the number of requests that this daemon has in
// flight at the upstream when it sends it, itself included. The estimate is
//
//   log(time / usual time) = speed + slowdown(depth)
//
// fitted by stochastic gradient descent with clamped residuals; the slow-downs
// are then made to rise with the depth by isotonic regression. The speed of
// the upstream follows the samples quickly, the slow-down of a depth slowly:
// what delays requests of all depths (noise, a cold start, a
// slow machine) goes into the speed and leaves the limit alone. Normalising by
// the usual time of such a request keeps classes of different work apart.
//
// The limit is the depth from which more requests in flight no longer improve
// the ratio of throughput to time. It stays at the stated slots until enough
// samples at several depths show otherwise. A lowered limit is probed from time
// to time by one request above it; successful probes follow each other quickly.
// An upstream that is always busy and slower than usual gets a few requests at
// half of its limit from time to time, which show whether its depth is the
// cause.
//
// Daemons that see the same times would probe, lower and raise together. The
// time before each probe, and for each daemon the evidence and the time that a
// new limit takes, are therefore spread by a hash of the seed.
//
// Requests that waited for an upstream that answered nothing at all for several
// times the usual time say nothing about its depth: during a pause the depth
// grows because of the pause.
//
// No I/O and no clock. Not thread-safe; a value type.
//
// Example:
//   ConcurrencyLimit limit({.seed = seed});
//   limit.set_slots(record.slots);
//   limit.OnSent(in_flight + 1, now);
//   limit.OnAnswer({.depth = 2, .sent_at = sent_at, .usual = usual}, now);
//   if (in_flight < limit.Limit(now)) Send();

#ifndef LACEWINGKNOT_POLICY_CONCURRENCY_LIMIT_H_
#define LACEWINGKNOT_POLICY_CONCURRENCY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class ConcurrencyLimit {
 public:
  struct Options {
    // Spreads probes and new limits of daemons that see the same signal.
    std::uint64_t seed = 0;
  };
  // A request that has ended.
  struct Sample {
    std::int64_t depth = 1;
    TimePoint sent_at{};
    Duration usual{};  // Mean time of such a request.
  };

  explicit ConcurrencyLimit(Options options);

  // Sets the requests that the upstream states to execute in parallel, the
  // upper bound of the limit. Another number than before resets the estimate.
  void set_slots(std::int64_t slots);

  // Records that a request was sent at `depth`.
  void OnSent(std::int64_t depth, TimePoint now);
  // Records an answer.
  void OnAnswer(const Sample& sample, TimePoint now);
  // Records an exchange that was lost after some time.
  void OnLost(const Sample& sample, TimePoint now);
  // Records that the upstream refused a request.
  void OnRefusal(const Sample& sample, TimePoint now);

  // The number of requests to have in flight, from 1 to the slots. One above
  // limit() while a probe is due, half of it while a dip is due.
  std::int64_t Limit(TimePoint now) const;
  // The same without probes and dips.
  std::int64_t limit() const { return limit_; }

  // Returns the expected time of a request at `depth`: `prior`, the expectation
  // without this estimate, with few samples.
  Duration ExpectedTime(std::int64_t depth, Duration usual, Duration prior,
                        TimePoint now) const;

 private:
  // Depths with an estimate of their own; more slots share these.
  static constexpr std::int64_t kMaxLevels = 32;

  struct Level {
    double slowdown = 0;       // Logarithm of the time against the speed.
    double refused_share = 0;  // 0 to 1.
    double samples = 0;        // Recent ones, at `last_at`.
    TimePoint last_at{};
  };

  // Returns to the prior.
  void Reset();
  std::size_t LevelOf(std::int64_t depth) const;
  // The highest depth of a level.
  std::int64_t DepthOf(std::size_t level) const;
  bool IsAboveLimit(std::size_t level) const;
  double SpeedAt(TimePoint now) const;
  double SamplesAt(const Level& level, TimePoint now) const;
  // Counts a sample of `level`.
  void Count(Level& level, TimePoint now);
  // Records a sign of life; updates `pause_ended_at_`.
  void OnHeard(const Sample& sample, TimePoint now);
  // Changes the slow-down of a level by `delta`.
  void Adjust(std::size_t level, double delta);
  void AdjustSpeed(double delta, TimePoint now);
  // Returns a number from 0 to 1 that differs by daemon and `salt`.
  double Fraction(std::uint64_t salt) const;
  // Time between dips, and between probes that do not improve.
  Duration ProbeInterval() const;
  // Time from the latest probe to the next one.
  Duration NextProbeInterval() const;
  // The depth of dips.
  std::int64_t LowDepth() const;
  // Whether samples of low depths are needed.
  bool IsDipDue(TimePoint now) const;
  // Whether the slow-down of a level follows from samples.
  bool IsKnown(std::size_t level, TimePoint now) const;
  // Returns the logarithms of the times of the levels against the lowest known
  // one. They do not fall with the depth.
  std::vector<double> FitSlowdowns(TimePoint now) const;
  // Returns the share of the best ratio of throughput to time that a depth must
  // reach to be within the limit.
  double LeastShare(bool is_above_limit) const;
  // Returns the limit that the estimate suggests now.
  std::int64_t Candidate(TimePoint now) const;
  void UpdateLimit(TimePoint now);

  Options options_;
  std::int64_t slots_ = 1;
  std::int64_t limit_ = 1;
  std::vector<Level> levels_;
  double speed_ = 0;  // Logarithm; at `speed_at_`.
  TimePoint speed_at_{};
  TimePoint last_heard_{};      // Latest end of an exchange.
  TimePoint busy_since_{};      // Latest request that was sent at depth 1.
  TimePoint pause_ended_at_{};  // Samples sent before are not of the depth.
  TimePoint sent_above_limit_at_{};
  TimePoint raised_at_{};
  std::uint64_t probes_ = 0;
  int failed_probes_ = 0;    // Since one that was faster than expected.
  TimePoint sent_low_at_{};  // Last sample at a low depth, or end of a dip.
  int dip_samples_ = 0;      // In the present dip.
  // Candidates on one side of the limit, without interruption.
  int candidate_side_ = 0;  // -1 below, 1 above, 0 at the limit.
  TimePoint candidate_since_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_CONCURRENCY_LIMIT_H_
