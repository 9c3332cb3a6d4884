#include "lacewingknot/edge/relay_table.h"

#include <algorithm>
#include <utility>

namespace lacewingknot::edge {

void RelayTable::set_members(const RelayCandidates& members,
                             const std::string& self) {
  fleet_ = RelayFleet(members, options_.data_centre, self);
  own_address_ = self;
  UpdateLinks();
}

void RelayTable::set_replica_data_centres(std::set<std::string> data_centres) {
  if (data_centres == replica_data_centres_) return;
  replica_data_centres_ = std::move(data_centres);
  UpdateLinks();
}

RelayLinkPtr RelayTable::FindOrOpenLink(const std::string& address) {
  if (address == own_address_) return nullptr;
  RelayLinkPtr& link = links_[address];
  if (!link) {
    link = std::make_shared<RelayLink>(RelayLink::Options{
        .io = options_.io, .timers = options_.timers, .address = address});
    link->Open();
  }
  return link;
}

void RelayTable::UpdateLinks() {
  links_by_data_centre_.clear();
  std::set<std::string, std::less<>> wanted_addresses;
  for (const std::string& data_centre : replica_data_centres_) {
    const RelayRanking& ranking = fleet_.RankingOf(data_centre);
    if (ranking.empty()) continue;
    LinksByGroup& links = links_by_data_centre_[data_centre];
    for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
      for (const std::string& address : ranking.Relays(group)) {
        wanted_addresses.insert(address);
        links[group].push_back(FindOrOpenLink(address));
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
                                   std::size_t group, TimePoint now) const {
  const auto links = links_by_data_centre_.find(data_centre);
  if (links == links_by_data_centre_.end()) return nullptr;
  for (const RelayLinkPtr& link : links->second[group]) {
    if (!link || link->is_usable(now)) return link;
  }
  return nullptr;
}

RelayTable::Choice RelayTable::ChooseRelay(const Criteria& criteria,
                                           TimePoint now) const {
  const auto& replica_data_centres = criteria.replica_data_centres;
  const auto contains = [](std::span<const std::string> names,
                           const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  if (contains(replica_data_centres, options_.data_centre) &&
      !contains(criteria.excluded_data_centres, options_.data_centre)) {
    return {.relay = FindRelay(options_.data_centre, criteria.group, now),
            .data_centre = options_.data_centre};
  }
  for (std::size_t step = 0; step < replica_data_centres.size(); ++step) {
    const std::string& data_centre =
        replica_data_centres[(criteria.rotation + step) %
                             replica_data_centres.size()];
    if (contains(criteria.excluded_data_centres, data_centre)) continue;
    if (RelayLinkPtr link = FindRelay(data_centre, criteria.group, now)) {
      return {.relay = std::move(link), .data_centre = data_centre};
    }
  }
  return {};
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
