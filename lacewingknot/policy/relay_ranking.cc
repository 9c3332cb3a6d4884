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

// Connections that each daemon must be allowed to hold to each upstream for
// RelayMode::kSpread: as many as the requests that an upstream usually serves
// at a time.
constexpr std::int64_t kMinDirectConnections = 2;

}  // namespace

RelayMode RelayModeFor(std::int64_t connections, std::size_t daemons) {
  return connections >=
                 kMinDirectConnections * static_cast<std::int64_t>(daemons)
             ? RelayMode::kSpread
             : RelayMode::kConcentrated;
}

double RendezvousScore(const RelayCandidate& candidate, std::uint64_t key) {
  const std::uint64_t hash = XXH3_64bits_withSeed(
      candidate.address.data(), candidate.address.size(), key);
  const double uniform =
      (static_cast<double>(hash) + 0.5) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1);
  return -std::max(candidate.processor_share, kMinWeight) / std::log(uniform);
}

std::size_t RelayRanking::GroupOf(std::string_view service) {
  return XXH3_64bits(service.data(), service.size()) % kGroupCount;
}

double ShareOfLimit(double allowance, const RelayRole& place,
                    std::size_t daemons) {
  const double equal_share =
      allowance * kFractionOfAll / static_cast<double>(daemons);
  if (place.rank) {
    return equal_share + allowance /
                             static_cast<double>(place.replica_data_centres) *
                             kFractionOfRank[*place.rank];
  }
  if (place.direct_daemons == 0) return equal_share;
  const auto known = static_cast<double>(place.known_daemons);
  return equal_share + allowance * (1 - kFractionOfAll) *
                           std::min(1.0, known / static_cast<double>(daemons)) /
                           static_cast<double>(place.direct_daemons);
}

RelayFleet::RelayFleet(const RelayCandidates& candidates, Options options)
    : options_(std::move(options)) {
  for (const auto& [name, daemons] : candidates) {
    if (daemons.empty()) continue;
    known_daemons_ += daemons.size();
    DataCentre& data_centre = data_centres_[name];
    data_centre.daemons = daemons.size();
    if (options_.mode == RelayMode::kConcentrated) {
      data_centre.ranking = RelayRanking(daemons);
    }
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
  RelayRole place{.replica_data_centres = 0, .known_daemons = known_daemons_};
  std::size_t daemons_beside_replicas = 0;
  const DataCentre* own = nullptr;
  for (const auto& [name, data_centre] : data_centres_) {
    if (std::find(replica_data_centres.begin(), replica_data_centres.end(),
                  name) == replica_data_centres.end()) {
      continue;
    }
    ++place.replica_data_centres;
    daemons_beside_replicas += data_centre.daemons;
    if (name == options_.data_centre) own = &data_centre;
  }
  if (place.replica_data_centres == 0) return std::nullopt;
  if (own == nullptr) return place;
  if (options_.mode == RelayMode::kSpread) {
    place.direct_daemons = daemons_beside_replicas;
    return place;
  }
  const auto relays = own->ranking.Relays(group);
  const auto found = std::find(relays.begin(), relays.end(), options_.self);
  if (found != relays.end()) {
    place.rank = static_cast<std::size_t>(found - relays.begin());
  }
  return place;
}

RelayRanking::RelayRanking(std::span<const RelayCandidate> candidates) {
  const std::size_t relays = std::min(kRelaysPerGroup, candidates.size());
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    std::vector<std::pair<double, std::string>> scored;
    scored.reserve(candidates.size());
    for (const RelayCandidate& candidate : candidates) {
      scored.emplace_back(RendezvousScore(candidate, group), candidate.address);
    }
    std::partial_sort(scored.begin(),
                      scored.begin() + static_cast<std::ptrdiff_t>(relays),
                      scored.end(), std::greater<>());
    for (std::size_t rank = 0; rank < relays; ++rank) {
      relays_[group].push_back(std::move(scored[rank].second));
    }
  }
}

}  // namespace lacewingknot
