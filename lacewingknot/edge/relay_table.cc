#include "lacewingknot/edge/relay_table.h"

#include <algorithm>
#include <utility>

namespace lacewingknot::edge {
namespace {

bool Contains(std::span<const std::string> names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void RelayTable::set_members(const RelayCandidates& members,
                             const std::string& self) {
  members_ = members;
  own_address_ = self;
  UpdateFleet();
}

void RelayTable::set_mode(RelayMode mode) {
  if (mode == mode_) return;
  mode_ = mode;
  UpdateFleet();
}

void RelayTable::set_replica_data_centres(std::set<std::string> data_centres) {
  if (data_centres == replica_data_centres_) return;
  replica_data_centres_ = std::move(data_centres);
  UpdateLinks();
}

void RelayTable::UpdateFleet() {
  fleet_ = RelayFleet(members_, {.mode = mode_,
                                 .data_centre = options_.data_centre,
                                 .self = own_address_});
  UpdateLinks();
}

RelayLinkPtr RelayTable::FindOrOpenLink(const std::string& address) {
  if (address == own_address_) return nullptr;
  RelayLinkPtr& link = links_[address];
  if (!link) {
    link = std::make_shared<RelayLink>(
        RelayLink::Options{.io = options_.io,
                           .timers = options_.timers,
                           .address = address,
                           .answer_budget = options_.answer_budget,
                           .on_answer_dropped = options_.on_answer_dropped,
                           .on_statements = options_.on_statements});
    link->Open();
  }
  return link;
}

void RelayTable::UpdateLinks() {
  links_by_data_centre_.clear();
  std::set<std::string, std::less<>> wanted_addresses;
  const auto open_link = [&](const std::string& address) {
    wanted_addresses.insert(address);
    return FindOrOpenLink(address);
  };
  for (const std::string& data_centre : replica_data_centres_) {
    if (mode_ == RelayMode::kSpread) {
      const auto members = members_.find(data_centre);
      if (members == members_.end() || data_centre == options_.data_centre) {
        continue;
      }
      auto& links = links_by_data_centre_[data_centre].spread;
      for (const RelayCandidate& member : members->second) {
        links.push_back({.relay = member, .link = open_link(member.address)});
      }
      continue;
    }
    const RelayRanking& ranking = fleet_.RankingOf(data_centre);
    if (ranking.empty()) continue;
    auto& links = links_by_data_centre_[data_centre].by_group;
    for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
      for (const std::string& address : ranking.Relays(group)) {
        links[group].push_back(open_link(address));
      }
    }
  }
  std::erase_if(links_, [&](const auto& entry) {
    if (wanted_addresses.count(entry.first) > 0) return false;
    entry.second->Close();
    return true;
  });
}

RelayLinkPtr RelayTable::FindRelay(std::string_view data_centre,
                                   const Criteria& criteria,
                                   TimePoint now) const {
  const auto found = links_by_data_centre_.find(data_centre);
  if (found == links_by_data_centre_.end()) return nullptr;
  const DataCentreLinks& links = found->second;
  for (const RelayLinkPtr& link : links.by_group[criteria.group]) {
    if (!link || link->is_usable(now)) return link;
  }
  RelayLinkPtr best;
  double best_score = 0;
  for (const SpreadLink& candidate : links.spread) {
    if (!candidate.link || !candidate.link->is_usable(now)) continue;
    const double score = RendezvousScore(candidate.relay, criteria.query);
    if (best && score <= best_score) continue;
    best = candidate.link;
    best_score = score;
  }
  return best;
}

RelayTable::Choice RelayTable::ChooseRelay(const Criteria& criteria,
                                           TimePoint now) const {
  const auto& replica_data_centres = criteria.replica_data_centres;
  if (Contains(replica_data_centres, options_.data_centre) &&
      !Contains(criteria.excluded_data_centres, options_.data_centre)) {
    return {.relay = FindRelay(options_.data_centre, criteria, now),
            .data_centre = options_.data_centre};
  }
  // One relay of RelayMode::kSpread queries all shards of a query. Otherwise
  // the groups of a query are divided among the data centres.
  const std::size_t first =
      criteria.query + (mode_ == RelayMode::kSpread ? 0 : criteria.group);
  for (std::size_t step = 0; step < replica_data_centres.size(); ++step) {
    const std::string& data_centre =
        replica_data_centres[(first + step) % replica_data_centres.size()];
    if (Contains(criteria.excluded_data_centres, data_centre)) continue;
    if (RelayLinkPtr link = FindRelay(data_centre, criteria, now)) {
      return {.relay = std::move(link), .data_centre = data_centre};
    }
  }
  return {};
}

bool RelayTable::QueriesDirectly(
    std::span<const std::string> replica_data_centres) const {
  return mode_ == RelayMode::kSpread &&
         Contains(replica_data_centres, options_.data_centre);
}

std::optional<RelayRole> RelayTable::FindRole(
    std::span<const std::string> replica_data_centres,
    std::size_t group) const {
  return fleet_.RoleFor(replica_data_centres, group);
}

bool RelayTable::IsDelegatedToRelays(
    std::span<const std::string> replica_data_centres,
    std::size_t group) const {
  const auto place = FindRole(replica_data_centres, group);
  return place && !place->rank && place->direct_daemons == 0;
}

}  // namespace lacewingknot::edge
