#include "lacewingknot/edge/team_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lacewingknot::edge {

std::string TeamsToJson(const TeamTable& teams, const TeamQuotas* quotas,
                        TimePoint now) {
  using nlohmann::json;
  json list = json::array();
  const std::size_t shown = std::min(teams.teams().size(), kMaxTeamsInReport);
  for (std::size_t i = 0; i < shown; ++i) {
    const Team& team = teams.teams()[i];
    json entry{{"name", team.name}};
    entry["priority"] = team.priority ? json(*team.priority) : json();
    if (team.rate_per_second > 0) {
      entry["rate_per_second"] = team.rate_per_second;
      entry["burst"] = team.burst;
    }
    if (team.rate_per_second > 0 && quotas != nullptr) {
      const TeamQuotas::State state = quotas->StateOf(team.name, now);
      entry["keeper"] = state.keeper;
      entry["tokens_held"] = state.tokens_held;
      entry["admitted"] = state.admitted;
      entry["refused"] = state.refused;
    }
    list.push_back(std::move(entry));
  }
  const json report{
      {"count", teams.teams().size()},
      {"quotas_enforced", quotas != nullptr},
      {"seconds",
       std::chrono::duration_cast<std::chrono::seconds>(TeamQuotas::kRecentTime)
           .count()},
      {"teams", std::move(list)}};
  // Names that are not UTF-8 must not end the control thread.
  return report.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace lacewingknot::edge
