// Estimate of how much slower than normal a replica is.
//
// Load pattern: requests of several kinds, whose cost differs by a factor of
// three, go to replicas that pause for 200 ms every few seconds, and some of
// which are many times slower for seconds. A smoothed latency mixes the kinds
// and mistakes the responses that a short pause delayed for slowness: the
// replica is avoided for seconds after it has recovered, and its requests cross
// data centres.
//
// A latency counts as a multiple of the mean latency of its kind of request.
// Responses in one burst were delayed by one cause and count as one sample,
// that of the least delayed. One sample raises the estimate by a bounded
// factor, so that several are needed to move requests away. Without samples,
// the estimate decays to 1.
//
// Not thread-safe; a value type.
//
// Example:
//   Slowness slowness;
//   slowness.Add(latency, mean_latency, now);
//   Duration expected = std::chrono::duration_cast<Duration>(
//       mean_latency * slowness.Factor(now));

#ifndef LACEWINGKNOT_POLICY_SLOWNESS_H_
#define LACEWINGKNOT_POLICY_SLOWNESS_H_

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class SlownessEstimator {
 public:
  // Adds the latency of a request whose kind has `mean_latency`.
  void Add(Duration latency, Duration mean_latency, TimePoint now);

  // Returns the multiple of the mean latency to expect; 1 without samples.
  double Factor(TimePoint now) const;

 private:
  // Weight of the newest sample.
  static constexpr double kWeight = 0.25;
  // A sample counts as at most this multiple of the estimate.
  static constexpr double kMaxSampleFactor = 4;
  // Samples closer together than this belong to one burst.
  static constexpr Duration kBurstGap = std::chrono::milliseconds(8);
  // Half-life of the excess of the estimate over 1 while there are no samples.
  static constexpr double kDecayHalfLifeSeconds = 3;

  double before_burst_ = 1;  // The estimate before the current burst.
  double burst_min_ = 1;     // Least sample of the current burst.
  double factor_ = 1;        // The estimate at `last_at_`.
  TimePoint last_at_{};      // Time of the latest sample.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_SLOWNESS_H_
