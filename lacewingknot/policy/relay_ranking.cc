#include "lacewingknot/policy/relay_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lacewingknot {
namespace {

// Lower bound of the weight, so that a daemon whose processor share is zero is
// still ranked.
constexpr double kMinWeight = 1e-3;

// Fractions of a limit that go to the primary and to the backup relays of all
// data centres. The rest is divided equally among all daemons, relays included,
// for querying directly while a relay is lost.
constexpr std::array<double, RelayRanking::kRelaysPerGroup> kFractionOfRank{
    0.5, 0.2};
constexpr double kFractionOfAll = 0.3;

// Score of weighted rendezvous hashing: the probability that a candidate has
// the highest score is proportional to its weight.
double Score(const RelayCandidate& candidate, std::size_t group) {
  const std::uint64_t hash = XXH3_64bits_withSeed(
      candidate.address.data(), candidate.address.size(), group);
  const double uniform =
      (static_cast<double>(hash) + 0.5) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1);
  return -std::max(candidate.processor_share, kMinWeight) / std::log(uniform);
}

}  // namespace

std::size_t RelayRanking::GroupOf(std::string_view service) {
  return XXH3_64bits(service.data(), service.size()) % kGroupCount;
}

double ShareOfLimit(double allowance, const RelayRole& place,
                    std::size_t daemons) {
  const double equal_share =
      allowance * kFractionOfAll / static_cast<double>(daemons);
  const double per_data_centre =
      allowance / static_cast<double>(place.replica_data_centres);
  if (place.rank) {
    return equal_share + per_data_centre * kFractionOfRank[*place.rank];
  }
  if (place.direct_daemons == 0) return equal_share;
  return equal_share + per_data_centre * (1 - kFractionOfAll) /
                           static_cast<double>(place.direct_daemons);
}

RelayFleet::RelayFleet(const RelayCandidates& candidates,
                       std::string data_centre, std::string self)
    : data_centre_(std::move(data_centre)), self_(std::move(self)) {
  for (const auto& [name, daemons] : candidates) {
    if (daemons.empty()) continue;
    data_centres_[name] = {.daemons = daemons.size(),
                           .ranking = RelayRanking(daemons)};
  }
}

const RelayRanking& RelayFleet::RankingOf(std::string_view data_centre) const {
  static const RelayRanking no_relays;
  const auto found = data_centres_.find(data_centre);
  return found == data_centres_.end() ? no_relays : found->second.ranking;
}

std::optional<RelayRole> RelayFleet::RoleFor(
    std::span<const std::string> replica_data_centres,
    std::size_t group) const {
  RelayRole place{.replica_data_centres = 0};
  bool has_relays = false;
  bool own_has_replicas = false;
  for (const auto& [name, data_centre] : data_centres_) {
    const bool has_replicas =
        std::find(replica_data_centres.begin(), replica_data_centres.end(),
                  name) != replica_data_centres.end();
    if (has_replicas) ++place.replica_data_centres;
    own_has_replicas =
        own_has_replicas || (has_replicas && name == data_centre_);
    has_relays = has_relays || (has_replicas && !data_centre.ranking.empty());
  }
  if (place.replica_data_centres == 0 || !has_relays) return std::nullopt;
  if (!own_has_replicas) return place;
  const auto own = data_centres_.find(data_centre_);
  const RelayRanking& ranking = own->second.ranking;
  if (ranking.empty()) {
    place.direct_daemons = own->second.daemons;
    return place;
  }
  const auto relays = ranking.Relays(group);
  const auto found = std::find(relays.begin(), relays.end(), self_);
  if (found != relays.end()) {
    place.rank = static_cast<std::size_t>(found - relays.begin());
  }
  return place;
}

RelayRanking::RelayRanking(std::span<const RelayCandidate> candidates) {
  if (candidates.size() < kMinDaemons) return;
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(candidates.size());
    for (const RelayCandidate& candidate : candidates) {
      scored.emplace_back(Score(candidate, group), candidate.address);
    }
    std::partial_sort(scored.begin(), scored.begin() + kRelaysPerGroup,
                      scored.end(), std::greater<>());
    for (std::size_t rank = 0; rank < kRelaysPerGroup; ++rank) {
      relays_[group].push_back(std::move(scored[rank].second));
    }
  }
}

}  // namespace lacewingknot
