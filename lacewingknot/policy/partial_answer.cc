#include "lacewingknot/policy/partial_answer.h"

#include <algorithm>

namespace lacewingknot {

bool HasSufficientCoverage(std::size_t answered, std::size_t shards,
                           double min_coverage) {
  if (answered == 0 || shards == 0) return false;
  const double coverage =
      static_cast<double>(answered) / static_cast<double>(shards);
  return coverage >= min_coverage;
}

QueryDecision DecideQuery(const QueryProgress& progress, TimePoint now) {
  const std::size_t reachable = progress.shards - progress.failed;
  if (!HasSufficientCoverage(reachable, progress.shards,
                             progress.min_coverage)) {
    return QueryDecision::kFail;
  }
  if (progress.answered == reachable) return QueryDecision::kAnswer;
  const bool is_sufficient = HasSufficientCoverage(
      progress.answered, progress.shards, progress.min_coverage);
  if (now >= progress.deadline) {
    return is_sufficient ? QueryDecision::kAnswer : QueryDecision::kFail;
  }
  if (is_sufficient && now >= progress.soft_deadline) {
    return QueryDecision::kAnswer;
  }
  return QueryDecision::kWait;
}

}  // namespace lacewingknot
