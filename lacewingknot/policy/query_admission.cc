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

}  // namespace

double QueryAdmission::DecayFactor(Duration elapsed) {
  return std::exp(-std::chrono::duration<double>(elapsed) /
                  std::chrono::duration<double>(kMemory));
}

void QueryAdmission::Decay(TimePoint now) {
  const double factor =
      DecayFactor(std::max(now - updated_at_, Duration::zero()));
  queries_ *= factor;
  served_ *= factor;
  updated_at_ = now;
}

double QueryAdmission::RefusedShare(TimePoint now) const {
  const double factor =
      DecayFactor(std::max(now - updated_at_, Duration::zero()));
  const double queries = queries_ * factor;
  if (queries < kMinQueries) return 0;
  const double excess = queries - kAdmittedPerServed * served_ * factor;
  return std::clamp(excess / queries, 0.0, kMaxRefusedShare);
}

bool QueryAdmission::Admit(TimePoint now) {
  refusals_due_ += RefusedShare(now);
  if (refusals_due_ < 1) return true;
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
