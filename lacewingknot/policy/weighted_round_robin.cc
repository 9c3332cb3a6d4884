#include "lacewingknot/policy/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace lacewingknot {

WeightedRoundRobin::WeightedRoundRobin(std::span<const double> weights,
                                       double phase)
    : weights_(weights.begin(), weights.end()),
      credits_(weights_.size(), 0),
      total_weight_(std::accumulate(weights_.begin(), weights_.end(), 0.0)) {
  // The initial credits sum to zero, which keeps the later shares exact.
  if (weights_.size() < 2) return;
  credits_.front() = phase * total_weight_;
  credits_.back() = -phase * total_weight_;
}

std::size_t WeightedRoundRobin::Next() {
  for (std::size_t i = 0; i < weights_.size(); ++i) credits_[i] += weights_[i];
  const auto best = std::max_element(credits_.begin(), credits_.end());
  *best -= total_weight_;
  return static_cast<std::size_t>(best - credits_.begin());
}

}  // namespace lacewingknot
