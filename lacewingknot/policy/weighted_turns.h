// Divides requests among targets in proportion to their weights.
//
// Smooth weighted round robin: over any run of requests each target's share is
// within one request of its weight, which random draws are not.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_WEIGHTED_TURNS_H_
#define LACEWINGKNOT_POLICY_WEIGHTED_TURNS_H_

#include <cstddef>
#include <span>
#include <vector>

namespace lacewingknot {

class WeightedTurns {
 public:
  WeightedTurns() = default;
  // `phase` in [0, 1) sets where in its cycle this daemon begins, so that
  // several daemons do not all begin with the same target.
  WeightedTurns(std::span<const double> weights, double phase);

  // Index of the target whose turn it is. Requires at least one weight.
  std::size_t Next();

 private:
  std::vector<double> weights_;
  std::vector<double> credit_;
  double total_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WEIGHTED_TURNS_H_
