// When a query over many shards is answered with the parts that are there.
//
// Load pattern: one or two shards of twenty are stopped, dead or slow. Waiting
// for them costs the whole answer its latency objective, while an answer
// without them is still worth most of its value.
//
// Pure: no clock, no I/O.

#ifndef LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_
#define LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_

#include <cstddef>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

struct QueryProgress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  // Shards for which nothing more can arrive: every allowed attempt failed, or
  // no replica is alive.
  std::size_t lost = 0;
  double min_share = 0;
  TimePoint answer_by{};  // Last moment at which the answer is in time.
  TimePoint deadline{};   // Last moment at which there is an answer at all.
};

enum class QueryVerdict {
  kWait,
  kAnswer,
  kFail,  // The least share cannot be reached any more.
};

// Whether `answered` of `shards` suffice for a success.
bool IsSuccess(std::size_t answered, std::size_t shards, double min_share);

QueryVerdict JudgeQuery(const QueryProgress& progress, TimePoint now);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_
