#include "lacewingknot/policy/partial_answer.h"

#include <algorithm>

namespace lacewingknot {

bool IsSuccess(std::size_t answered, std::size_t shards, double min_share) {
  if (answered == 0 || shards == 0) return false;
  const double share =
      static_cast<double>(answered) / static_cast<double>(shards);
  return share >= min_share;
}

QueryVerdict JudgeQuery(const QueryProgress& progress, TimePoint now) {
  const std::size_t reachable = progress.shards - progress.lost;
  if (!IsSuccess(reachable, progress.shards, progress.min_share)) {
    return QueryVerdict::kFail;
  }
  if (progress.answered == reachable) return QueryVerdict::kAnswer;
  const bool enough =
      IsSuccess(progress.answered, progress.shards, progress.min_share);
  if (now >= progress.deadline) {
    return enough ? QueryVerdict::kAnswer : QueryVerdict::kFail;
  }
  if (enough && now >= progress.answer_by) return QueryVerdict::kAnswer;
  return QueryVerdict::kWait;
}

}  // namespace lacewingknot
