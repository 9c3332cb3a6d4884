// One query, from fan-out to the merged answer.
//
// The plan is a state machine without I/O, clock or threads: events go in with
// the time, actions come out. It holds these invariants:
//
//  - Every part of an answer has the same index version. If the chosen version
//    is dying the whole fan-out restarts once on another; parts of the two are
//    never merged, and the attempt with better coverage is answered.
//  - Coverage is counted from parts merged, never from attempts sent.
//  - A part is merged only if its attempt is live and its shard and version
//    are those asked for. Everything else is late or crossed, and dropped.
//  - Retries that place work on an upstream, and hedges, spend one budget.
//  - The plan finishes exactly once, at the deadline at the latest.
//
// Not thread-safe: owned by one session.
//
// Example:
//   QueryPlan plan(spec, hooks);
//   Execute(plan.Start(now));
//   // on each event:
//   Execute(plan.OnPart(attempt, part, now));
//   // when the clock reaches plan.NextWake():
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
  TimePoint partial_at;  // The deadline if the caller waits for all shards.
  Duration attempt_timeout{};
  bool hedging = false;
};

// What the plan asks of the rest of the daemon.
struct QueryHooks {
  std::function<IndexVersion(std::span<const ShardTarget> shards,
                             std::span<const IndexVersion> avoid)>
      choose_version;
  std::function<Result<Route>(const RouteRequest& request)> choose_route;
  // Takes one retry or hedge from the budget; false if it is spent.
  std::function<bool()> spend_extra;
  // Time after which a first attempt is slow; none if that is not known yet.
  std::function<std::optional<Duration>()> hedge_delay;
  // Numbers attempts; never returns the same number twice.
  std::function<AttemptId()> next_attempt;
};

// A shard's part of an answer.
struct Part {
  std::string shard;
  IndexVersion version = kAnyVersion;
  std::vector<IndexVersion> versions;  // All that the upstream can serve.
  std::string items;                   // A JSON array.
  std::uint64_t item_count = 0;
};

struct AttemptFailure {
  ErrorType type;
  std::vector<IndexVersion> versions;  // With kVersionGone, what there is.
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
  std::size_t shard;
  Route route;
  IndexVersion version;
  Duration timeout;
};

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

  // When OnTimer is due next.
  TimePoint NextWake() const;

  bool finished() const { return finished_; }
  const QuerySpec& spec() const { return spec_; }
  // Events for attempts that were no longer live.
  std::size_t late_events() const { return late_events_; }

 private:
  struct ShardState {
    std::optional<Part> part;
    std::optional<ErrorType> failure;
    std::vector<UpstreamHandle> tried;
    std::size_t attempts = 0;
    std::size_t live = 0;
    std::optional<TimePoint> retry_at;
    std::optional<TimePoint> hedge_at;
  };

  struct LiveAttempt {
    std::size_t shard;
    UpstreamHandle upstream;
    bool probe;  // Asks one shard which versions there are.
  };

  enum class AttemptKind { kFirst, kRetry, kHedge, kProbe };

  void FanOut(TimePoint now, QueryActions& actions);
  void Probe(TimePoint now, QueryActions& actions);
  bool TrySend(std::size_t shard, AttemptKind kind, TimePoint now,
               QueryActions& actions);
  void Retry(std::size_t shard, const AttemptFailure& failure, TimePoint now,
             QueryActions& actions);
  void RetryLater(ShardState& state, TimePoint now);
  void RestartOrFail(std::size_t shard, TimePoint now, QueryActions& actions);
  void CancelAttempts(std::optional<std::size_t> shard, QueryActions& actions);
  void FinishIfDone(TimePoint now, QueryActions& actions);
  void Finish(ErrorType reason, QueryActions& actions);
  QueryAnswer Collect(ErrorType reason);

  QuerySpec spec_;
  QueryHooks hooks_;
  IndexVersion version_ = kAnyVersion;
  std::vector<IndexVersion> gone_;
  std::vector<ShardState> shards_;
  std::map<AttemptId, LiveAttempt> live_;
  std::optional<QueryAnswer> before_restart_;
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
