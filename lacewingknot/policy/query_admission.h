// Admission of whole queries under overload.
//
// Load pattern: two or three times the usual queries arrive for some seconds
// while some replicas are slow or shed requests. A query needs nearly all of
// its shards, so that one overloaded shard fails it after the others have done
// their work for nothing. If every query is admitted, most fail; if as many are
// admitted as can be served, these are served in time.
//
// Adaptive throttling, as client-side throttling in "Site Reliability
// Engineering" (O'Reilly, 2016, chapter 21): a query is refused with a
// probability that follows from the queries that ended recently and the share
// of them that was served. While at least two thirds are served, none is
// refused. A part of the queries is always admitted, which shows when the
// overload has ended. Refusals are spread evenly instead of drawn.
//
// Refusals fall first on teams that exceed their fair share
// (policy/fair_share.h); their number does not depend on the teams. Without
// teams, all queries are of the team with the empty name.
//
// One object serves one route. No clock; not thread-safe; a value type.
//
// Example:
//   QueryAdmission admission;
//   if (!admission.Admit(now, team)) return Refuse();
//   ...
//   admission.OnEnded(QueryOutcome::kServed, now);

#ifndef LACEWINGKNOT_POLICY_QUERY_ADMISSION_H_
#define LACEWINGKNOT_POLICY_QUERY_ADMISSION_H_

#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/fair_share.h"

namespace lacewingknot {

enum class QueryOutcome {
  kServed,
  // Too few shards answered, because replicas shed requests or were too slow.
  kOverloaded,
};

class QueryAdmission {
 public:
  // Returns whether a query of `team` that arrives at `now` is to be admitted;
  // false counts it as refused. Every admitted query whose outcome is one of
  // QueryOutcome must be reported to OnEnded().
  bool Admit(TimePoint now, std::string_view team = {});
  void OnEnded(QueryOutcome outcome, TimePoint now);

  // Returns the share of queries that is refused at `now`, 0 to 1.
  double RefusedShare(TimePoint now) const;
  // Whether `team` demanded more than its fair share when a refusal was last
  // due.
  bool ExceedsFairShare(std::string_view team) const {
    return teams_.team_count() > 1 && teams_.ExceedsLevel(team);
  }

 private:
  // Counts a query of `team` as demand.
  void CountDemand(std::string_view team, TimePoint now);
  // Whether a refusal that is due may be that of a query of `team`.
  bool MayRefuse(std::string_view team, double refused_share);
  // Lets the counts decay until `now`.
  void Decay(TimePoint now);
  static double DecayFactor(Duration elapsed, Duration memory);

  // Smoothed counts of queries that were refused or ended, and of those that
  // were served.
  double queries_ = 0;
  double served_ = 0;
  TimePoint updated_at_{};
  // Below 1, unless a refusal is due now, or was due when a query of a team
  // arrived that does not exceed its fair share.
  double refusals_due_ = 0;
  FairShare teams_;  // Use: queries admitted.
  TimePoint teams_updated_at_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_QUERY_ADMISSION_H_
