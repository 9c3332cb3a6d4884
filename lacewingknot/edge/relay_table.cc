#include "lacewingknot/edge/relay_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingknot::edge {

void RelayTable::Update(RelayRanking ranking, const std::string& self) {
  ranking_ = std::move(ranking);
  self_ = self;
  std::set<std::string> wanted;
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    const auto relays = ranking_.Relays(group);
    wanted.insert(relays.begin(), relays.end());
  }
  wanted.erase(self_);
  std::erase_if(links_, [&](const auto& entry) {
    if (wanted.count(entry.first) > 0) return false;
    entry.second->Close();
    return true;
  });
  for (const std::string& address : wanted) {
    RelayLinkPtr& link = links_[address];
    if (link) continue;
    link = std::make_shared<RelayLink>(RelayLink::Options{
        .io = options_.io, .timers = options_.timers, .address = address});
    link->Open();
  }
  for (std::size_t group = 0; group < RelayRanking::kGroups; ++group) {
    by_group_[group].clear();
    for (const std::string& address : ranking_.Relays(group)) {
      by_group_[group].push_back(address == self_ ? nullptr : links_[address]);
    }
  }
}

RelayLinkPtr RelayTable::For(std::size_t group, TimePoint now) const {
  for (const RelayLinkPtr& link : by_group_[group]) {
    if (!link || link->usable(now)) return link;
  }
  return nullptr;
}

std::optional<std::size_t> RelayTable::OwnRank(std::size_t group) const {
  const auto relays = ranking_.Relays(group);
  const auto own = std::find(relays.begin(), relays.end(), self_);
  if (own == relays.end()) return std::nullopt;
  return static_cast<std::size_t>(own - relays.begin());
}

}  // namespace lacewingknot::edge
