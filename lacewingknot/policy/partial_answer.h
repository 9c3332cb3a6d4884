// Decides when a query over many shards is answered, with all parts or without
// some of them.
//
// Load pattern: one or two shards of twenty are stopped, dead or slow. Waiting
// for them makes the whole answer miss its latency objective, while an answer
// without them still has most of its value.
//
// Units: coverage is a fraction of the shards, 0 to 1.
//
// Pure: no clock, no I/O. Thread-safe.
//
// Example:
//   switch (DecideQuery({.shards = 20, .answered = 18, .failed = 1,
//                       .min_coverage = 0.85, .soft_deadline = soft_deadline,
//                       .deadline = deadline},
//                      now)) {
//     case QueryDecision::kWait: return;
//     case QueryDecision::kAnswer: Answer(); return;
//     case QueryDecision::kFail: Refuse(); return;
//   }

#ifndef LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_
#define LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_

#include <cstddef>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// The state of one query.
struct QueryProgress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  // Shards that have failed for good: every allowed attempt failed, or no
  // replica is alive.
  std::size_t failed = 0;
  // Least coverage of a successful answer.
  double min_coverage = 0;
  // Latest time at which an answer meets the latency objective.
  TimePoint soft_deadline{};
  // Latest time at which the query may end.
  TimePoint deadline{};
};

enum class QueryDecision {
  kWait,
  kAnswer,  // With the parts that have arrived.
  kFail,    // `min_coverage` cannot be reached any more.
};

// Returns whether parts of `answered` shards out of `shards` make a successful
// answer. An answer without any part never is, whatever `min_coverage` is.
bool HasSufficientCoverage(std::size_t answered, std::size_t shards,
                           double min_coverage);

// Decides what to do with a query at `now`. The query fails as soon as
// `min_coverage` cannot be reached, and is answered as soon as every shard that
// has not failed has answered. Otherwise it waits for the missing shards until
// `soft_deadline`, or longer until the coverage suffices, and never past
// `deadline`.
QueryDecision DecideQuery(const QueryProgress& progress, TimePoint now);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_PARTIAL_ANSWER_H_
