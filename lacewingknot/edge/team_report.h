// What operators see of the teams (lacewingknotctl teams).

#ifndef LACEWINGKNOT_EDGE_TEAM_REPORT_H_
#define LACEWINGKNOT_EDGE_TEAM_REPORT_H_

#include <string>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/team_quotas.h"
#include "lacewingknot/edge/team_table.h"

namespace lacewingknot::edge {

// Teams that a report shows at most, so that its size is bounded.
inline constexpr std::size_t kMaxTeamsInReport = 1'000;

// Returns a JSON object: the teams with their priority, rate and burst, and for
// those with a quota the keeper, the tokens that this daemon holds, and the
// requests that it admitted and refused lately. It holds no key and no digest.
// `quotas` is null if none are enforced.
std::string TeamsToJson(const TeamTable& teams, const TeamQuotas* quotas,
                        TimePoint now);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TEAM_REPORT_H_
