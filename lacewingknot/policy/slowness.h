// How much slower than usual a replica is.
//
// Load pattern: requests of several kinds, whose work differs by a factor of
// three, meet replicas that stop for 200 ms every few seconds and some that are
// many times slower for seconds. A smoothed latency mixes the kinds, and takes
// the answers that a short stop held up for slowness: the replica is avoided
// for seconds after it is well again, and its work crosses data centres.
//
// Latency counts as a multiple of what is usual for its kind. Answers that come
// in one burst were held up by one cause and count once, by the least delayed.
// One sample raises the estimate by a bounded part, so that it takes several to
// move work away. The estimate drifts back while nothing is heard.
//
// Not thread-safe; a value type.
//
// Example:
//   Slowness slowness;
//   slowness.Add(latency, usual, now);
//   Duration expected = usual * slowness.Factor(now);

#ifndef LACEWINGKNOT_POLICY_SLOWNESS_H_
#define LACEWINGKNOT_POLICY_SLOWNESS_H_

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

class Slowness {
 public:
  // Takes a latency where `usual` was to be expected.
  void Add(Duration latency, Duration usual, TimePoint now);

  // Multiple of the usual latency to expect; 1 if nothing is known.
  double Factor(TimePoint now) const;

 private:
  // Weight of the newest sample.
  static constexpr double kWeight = 0.25;
  // A sample counts as at most so many times the estimate.
  static constexpr double kMostRise = 4;
  // Samples closer together than this belong to one burst.
  static constexpr Duration kBurst = std::chrono::milliseconds(8);
  // Half-life of the estimate while nothing is heard.
  static constexpr double kForgetHalfLifeSeconds = 3;

  double before_ = 1;  // The estimate before the burst.
  double least_ = 1;   // Least sample of the burst.
  double factor_ = 1;
  TimePoint last_at_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_SLOWNESS_H_
