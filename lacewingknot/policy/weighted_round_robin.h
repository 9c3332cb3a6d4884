// Smooth weighted round robin: distributes requests among targets in proportion
// to their weights.
//
// Over any run of requests, each target's count is within one request of its
// share by weight, which random selection does not achieve.
//
// Not thread-safe; a value type.
//
// Example:
//   WeightedRoundRobin selector(weights, 0.25);
//   Send(targets[selector.Next()]);

#ifndef LACEWINGKNOT_POLICY_WEIGHTED_ROUND_ROBIN_H_
#define LACEWINGKNOT_POLICY_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <span>
#include <vector>

namespace lacewingknot {

class WeightedRoundRobin {
 public:
  WeightedRoundRobin() = default;
  // `phase`, in [0, 1), sets the starting point in the cycle, so that several
  // daemons do not all start with the same target.
  WeightedRoundRobin(std::span<const double> weights, double phase);

  // Returns the index of the next target. Requires at least one weight.
  std::size_t Next();

 private:
  std::vector<double> weights_;
  std::vector<double> credits_;
  double total_weight_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WEIGHTED_ROUND_ROBIN_H_
