// One query, from the fan-out over its shards to the merged answer.
//
// Load pattern: each shard has a few replicas. Some are slow, shed requests or
// fail, and an index version may be dropped while a query runs.
//
// The plan is a state machine without I/O, clock or threads: events go in with
// the time, actions come out. It holds these invariants:
//
//  - Every part of an answer has the same index version. If upstreams drop the
//    chosen version, the whole fan-out restarts once on another. Parts of the
//    two versions are never merged; the answer is that with the better
//    coverage.
//  - Coverage is counted from parts merged, never from attempts sent.
//  - A part is merged only if its attempt is in flight and it has the shard and
//    version asked for. All other parts are late or mismatched, and dropped.
//  - Hedges, and retries after a failure that may have put load on an upstream,
//    are limited by one budget.
//  - The plan finishes exactly once, at the deadline at the latest.
//
// Not thread-safe: owned by one session.
//
// Example:
//   QueryPlan plan(spec, hooks);
//   Execute(plan.Start(now));
//   // On each event:
//   Execute(plan.OnPart(attempt, part, now));
//   // When the clock reaches plan.NextWake():
//   Execute(plan.OnTimer(now));

#ifndef LACEWINGKNOT_POLICY_QUERY_PLAN_H_
#define LACEWINGKNOT_POLICY_QUERY_PLAN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "lacewingknot/policy/upstream_table.h"

namespace lacewingknot {

using AttemptId = std::uint64_t;

struct QuerySpec {
  std::vector<ShardTarget> shards;
  TimePoint deadline;
  // When the query is answered with the parts that have arrived; equal to
  // `deadline` if the caller waits for all shards.
  TimePoint partial_at;
  Duration attempt_timeout{};
  bool hedging = false;
};

// Functions of the daemon that the plan calls.
struct QueryHooks {
  // Returns the index version to query, none of `avoid`; kAnyVersion if none is
  // known.
  std::function<IndexVersion(std::span<const ShardTarget> shards,
                             std::span<const IndexVersion> avoid)>
      choose_version;
  std::function<Result<Route>(const RouteRequest& request)> choose_route;
  // Takes one retry or hedge from the budget; returns false if it is spent.
  std::function<bool()> try_spend_extra_load;
  // Returns how long after an attempt was sent it is slow and is hedged; empty
  // if this is not known yet.
  std::function<std::optional<Duration>()> hedge_delay;
  // Returns a new attempt id; never the same twice.
  std::function<AttemptId()> next_attempt_id;
};

// One shard's part of an answer.
struct Part {
  std::string shard;
  IndexVersion version = kAnyVersion;
  std::vector<IndexVersion> versions;  // All that the upstream can serve.
  std::string items;                   // A JSON array.
  std::uint64_t item_count = 0;
};

struct AttemptFailure {
  ErrorType type;
  // With kVersionGone, all that the upstream can serve.
  std::vector<IndexVersion> versions;
};

struct MissingShard {
  std::string shard;
  ErrorType reason;
};

struct QueryAnswer {
  IndexVersion version = kAnyVersion;
  std::size_t shards_asked = 0;
  std::vector<Part> parts;
  std::vector<MissingShard> missing;
  std::size_t attempts = 0;
  std::size_t retries = 0;
  std::size_t hedges = 0;
  bool restarted = false;
};

struct SendAction {
  AttemptId attempt;
  std::size_t shard;  // Index in QuerySpec::shards.
  Route route;
  IndexVersion version;
  Duration timeout;
};

// What the caller of QueryPlan is to do.
struct QueryActions {
  std::vector<SendAction> send;
  std::vector<AttemptId> cancel;
  std::optional<QueryAnswer> finished;
};

class QueryPlan {
 public:
  QueryPlan(QuerySpec spec, QueryHooks hooks);

  QueryActions Start(TimePoint now);
  QueryActions OnPart(AttemptId attempt, Part part, TimePoint now);
  QueryActions OnFailure(AttemptId attempt, const AttemptFailure& failure,
                         TimePoint now);
  QueryActions OnTimer(TimePoint now);

  // Returns when OnTimer is to be called next.
  TimePoint NextWake() const;

  bool finished() const { return finished_; }
  const QuerySpec& spec() const { return spec_; }
  // Answers and failures dropped because their attempt was not in flight.
  std::size_t late_events() const { return late_events_; }

 private:
  struct ShardState {
    std::optional<Part> part;
    std::optional<ErrorType> last_failure;
    std::vector<UpstreamHandle> tried;
    std::size_t attempts = 0;
    std::size_t in_flight = 0;
    std::optional<TimePoint> retry_at;
    std::optional<TimePoint> hedge_at;
  };

  struct AttemptInFlight {
    std::size_t shard;
    UpstreamHandle upstream;
    bool is_probe;
  };

  // A probe queries one shard for any version, to learn which versions exist.
  enum class AttemptKind { kFirst, kRetry, kHedge, kProbe };

  // Sends a first attempt to every shard without a part.
  void FanOut(TimePoint now, QueryActions& actions);
  // Sends the next probe, schedules the next round of probes, or gives up.
  void Probe(TimePoint now, QueryActions& actions);
  // Returns false if there is no route.
  bool TrySend(std::size_t shard, AttemptKind kind, TimePoint now,
               QueryActions& actions);
  void Retry(std::size_t shard, const AttemptFailure& failure, TimePoint now,
             QueryActions& actions);
  void ScheduleRetry(ShardState& state, TimePoint now);
  // Restarts the fan-out on another version, because no replica of `shard` has
  // the chosen one. Does nothing after a restart, too close to the deadline, or
  // if no other version is known.
  void TryRestart(std::size_t shard, TimePoint now, QueryActions& actions);
  // Cancels the attempts in flight to `shard`, or to all shards if it is empty.
  void CancelAttempts(std::optional<std::size_t> shard, QueryActions& actions);
  void FinishIfDone(TimePoint now, QueryActions& actions);
  void Finish(ErrorType reason, QueryActions& actions);
  // Moves the parts into an answer. `reason` is given for missing shards that
  // have an attempt in flight or no failure.
  QueryAnswer CollectAnswer(ErrorType reason);

  QuerySpec spec_;
  QueryHooks hooks_;
  IndexVersion version_ = kAnyVersion;
  std::vector<IndexVersion> gone_versions_;
  std::vector<ShardState> shards_;
  std::map<AttemptId, AttemptInFlight> in_flight_;
  std::optional<QueryAnswer> answer_before_restart_;
  std::size_t probes_ = 0;
  std::size_t probe_rounds_ = 0;
  std::optional<TimePoint> probe_at_;
  std::size_t attempts_ = 0;
  std::size_t retries_ = 0;
  std::size_t hedges_ = 0;
  std::size_t late_events_ = 0;
  bool restarted_ = false;
  bool finished_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_QUERY_PLAN_H_
