#include "lacewingknot/policy/weighted_turns.h"

#include <algorithm>
#include <numeric>

namespace lacewingknot {

WeightedTurns::WeightedTurns(std::span<const double> weights, double phase)
    : weights_(weights.begin(), weights.end()),
      credit_(weights_.size(), 0),
      total_(std::accumulate(weights_.begin(), weights_.end(), 0.0)) {
  // Credits that add up to zero keep every later share exact.
  if (weights_.size() < 2) return;
  credit_.front() = phase * total_;
  credit_.back() = -phase * total_;
}

std::size_t WeightedTurns::Next() {
  for (std::size_t i = 0; i < weights_.size(); ++i) credit_[i] += weights_[i];
  const auto best = std::max_element(credit_.begin(), credit_.end());
  *best -= total_;
  return static_cast<std::size_t>(best - credit_.begin());
}

}  // namespace lacewingknot
