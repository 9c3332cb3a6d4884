#include <algorithm>

#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot {

void FleetContact::SetMembers(std::span<const Member> alive, TimePoint now) {
  std::map<std::string_view, std::size_t> counts;
  for (const Member& member : alive) ++counts[member.data_centre];
  alive_ = alive.size();
  for (const auto& [name, count] : counts) {
    const auto [found, is_new] =
        data_centres_.try_emplace(std::string(name), DataCentre{});
    DataCentre& data_centre = found->second;
    if (is_new) data_centre.heard_at = now;
    if (count >= data_centre.daemons ||
        now - data_centre.counted_at > kMemory) {
      data_centre.daemons = count;
      data_centre.counted_at = now;
    }
  }
  std::erase_if(data_centres_, [&](const auto& entry) {
    return !counts.contains(entry.first) &&
           now - entry.second.counted_at > kMemory;
  });
}

void FleetContact::OnHeard(std::string_view data_centre, TimePoint now) {
  const auto found = data_centres_.find(data_centre);
  if (found != data_centres_.end()) found->second.heard_at = now;
}

bool FleetContact::HasMajority(TimePoint now) const {
  std::size_t total = 0;
  std::size_t reached = 0;
  bool reaches_first = false;
  for (const auto& [name, data_centre] : data_centres_) {
    const bool is_first = total == 0;
    total += data_centre.daemons;
    if (now - data_centre.heard_at <= kLifetime ||
        (name == data_centre_ && data_centre.daemons <= kFewDaemons)) {
      reached += data_centre.daemons;
      reaches_first = reaches_first || is_first;
    } else if (name == data_centre_) {
      ++reached;  // This daemon.
    }
  }
  if (total <= kFewDaemons) return true;
  return (reached * 2 > total || (reached * 2 == total && reaches_first)) &&
         alive_ * 2 >= total;
}

std::vector<std::string> FleetContact::TakeDueProbes(TimePoint now) {
  std::size_t total = 0;
  std::size_t expected = 0;  // In contact, or about to be.
  std::vector<std::pair<std::string_view, DataCentre*>> stale;
  for (auto& [name, data_centre] : data_centres_) {
    total += data_centre.daemons;
    const bool is_alone = name == data_centre_ && data_centre.daemons <= 1;
    if (is_alone || now - data_centre.heard_at < kProbeAfter) {
      expected += data_centre.daemons;
    } else {
      stale.emplace_back(name, &data_centre);
    }
  }
  const auto is_unanswered = [&](const DataCentre& data_centre) {
    return data_centre.probed_at > data_centre.heard_at &&
           now - data_centre.probed_at >= kProbeInterval;
  };
  // Those that did not answer last, then the largest.
  std::stable_sort(stale.begin(), stale.end(),
                   [&](const auto& left, const auto& right) {
                     const bool is_left_last = is_unanswered(*left.second);
                     const bool is_right_last = is_unanswered(*right.second);
                     if (is_left_last != is_right_last) return is_right_last;
                     return left.second->daemons > right.second->daemons;
                   });
  std::vector<std::string> due;
  for (const auto& [name, data_centre] : stale) {
    if (expected * 2 > total) break;
    if (!is_unanswered(*data_centre)) expected += data_centre->daemons;
    if (now - data_centre->probed_at < kProbeInterval) continue;
    data_centre->probed_at = now;
    due.emplace_back(name);
  }
  return due;
}

}  // namespace lacewingknot
