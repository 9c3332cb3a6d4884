#include "lacewingknot/policy/query_admission.h"

#include <algorithm>
#include <cmath>

namespace lacewingknot {
namespace {

// Queries admitted for each one served: a third of the admitted ones is on
// trial, so that the admitted rate grows when the overload ends.
constexpr double kAdmittedPerServed = 1.5;
// Largest share of queries that is refused.
constexpr double kMaxRefusedShare = 0.75;
// Fewer queries than this say nothing about the load.
constexpr double kMinQueries = 10;
// Time constant of the smoothed counts.
constexpr Duration kMemory = std::chrono::seconds(1);
// Time constant of the counts of teams. A daemon of a large fleet sees a team
// only every few seconds; a surge of a few seconds must show nevertheless.
constexpr Duration kTeamMemory = std::chrono::seconds(4);
// With this many refusals due, the next query is refused, whatever its team:
// many teams that send a query now and then never exceed a share.
constexpr double kMaxRefusalsDue = 16;

}  // namespace

double QueryAdmission::DecayFactor(Duration elapsed, Duration memory) {
  return std::exp(-std::chrono::duration<double>(elapsed) /
                  std::chrono::duration<double>(memory));
}

void QueryAdmission::Decay(TimePoint now) {
  const double factor =
      DecayFactor(std::max(now - updated_at_, Duration::zero()), kMemory);
  queries_ *= factor;
  served_ *= factor;
  updated_at_ = now;
}

double QueryAdmission::RefusedShare(TimePoint now) const {
  const double factor =
      DecayFactor(std::max(now - updated_at_, Duration::zero()), kMemory);
  const double queries = queries_ * factor;
  if (queries < kMinQueries) return 0;
  const double excess = queries - kAdmittedPerServed * served_ * factor;
  return std::clamp(excess / queries, 0.0, kMaxRefusedShare);
}

void QueryAdmission::CountDemand(std::string_view team, TimePoint now) {
  teams_.Decay(DecayFactor(std::max(now - teams_updated_at_, Duration::zero()),
                           kTeamMemory));
  teams_updated_at_ = now;
  teams_.CountDemand(team);
}

bool QueryAdmission::MayRefuse(std::string_view team, double refused_share) {
  if (teams_.team_count() < 2) return true;
  // Refusals that are overdue lower the shares; a few only wait for the next
  // query of a team that exceeds its share, so the first ones lower them least.
  const double due = (refusals_due_ - 1) / (kMaxRefusalsDue - 1);
  if (due >= 1) return true;
  teams_.Divide(teams_.total_demand() * (1 - refused_share) * (1 - due * due));
  // What chance explains does not count as an excess.
  const double allowance = teams_.AllowanceOf(team);
  return teams_.UseOf(team) >= allowance + std::sqrt(allowance) * (1 - due);
}

bool QueryAdmission::Admit(TimePoint now, std::string_view team) {
  CountDemand(team, now);
  const double refused_share = RefusedShare(now);
  refusals_due_ += refused_share;
  // Overdue refusals wait until there is overload again.
  if (refused_share == 0 || refusals_due_ < 1 ||
      !MayRefuse(team, refused_share)) {
    teams_.CountUse(team);
    return true;
  }
  refusals_due_ -= 1;
  Decay(now);
  ++queries_;
  return false;
}

void QueryAdmission::OnEnded(QueryOutcome outcome, TimePoint now) {
  Decay(now);
  ++queries_;
  if (outcome == QueryOutcome::kServed) ++served_;
}

}  // namespace lacewingknot
