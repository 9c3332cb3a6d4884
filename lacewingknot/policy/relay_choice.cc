#include "lacewingknot/policy/relay_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lacewingknot {
namespace {

// Least weight, so that a share of zero takes part in the ranking.
constexpr double kLeastWeight = 1e-3;

// Parts of an allowance that go to the first and second relays of all data
// centres. The rest is for daemons that ask directly while a relay is lost; a
// first and a second relay have that part too.
constexpr std::array<double, RelayRanking::kRanks> kPartOfRank{0.5, 0.2};
constexpr double kPartOfOthers = 0.3;

// Weighted rendezvous hashing: the highest score wins, in proportion to weight.
double Score(const RelayCandidate& candidate, std::size_t group) {
  const std::uint64_t hash = XXH3_64bits_withSeed(
      candidate.address.data(), candidate.address.size(), group);
  const double unit =
      (static_cast<double>(hash) + 0.5) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1);
  return -std::max(candidate.processor_share, kLeastWeight) / std::log(unit);
}

}  // namespace

std::size_t RelayRanking::GroupOf(std::string_view service) {
  return XXH3_64bits(service.data(), service.size()) % kGroups;
}

double PartOfAllowance(double allowance, std::optional<std::size_t> rank,
                       std::size_t daemons, std::size_t data_centres) {
  const double each = allowance / static_cast<double>(daemons);
  if (!rank) return each * kPartOfOthers;
  return each * kPartOfOthers +
         allowance * kPartOfRank[*rank] / static_cast<double>(data_centres);
}

RelayRanking::RelayRanking(std::span<const RelayCandidate> candidates) {
  if (candidates.size() < kLeastDaemons) return;
  for (std::size_t group = 0; group < kGroups; ++group) {
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(candidates.size());
    for (const RelayCandidate& candidate : candidates) {
      scored.emplace_back(Score(candidate, group), candidate.address);
    }
    std::partial_sort(scored.begin(), scored.begin() + kRanks, scored.end(),
                      std::greater<>());
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      relays_[group].push_back(std::move(scored[rank].second));
    }
  }
}

}  // namespace lacewingknot
