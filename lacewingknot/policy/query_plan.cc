#include "lacewingknot/policy/query_plan.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Attempts for one shard at one version, hedges included.
constexpr std::size_t kMaxAttemptsPerShard = 5;

// Backoff before the replicas that failed are tried again, doubled each time.
constexpr Duration kInitialRetryBackoff = std::chrono::milliseconds(10);
constexpr std::size_t kMaxBackoffDoublings = 4;

// Probes sent in one round, one after another, each to another shard, and
// rounds after which the query gives up.
constexpr std::size_t kProbesPerRound = 3;
constexpr std::size_t kMaxProbeRounds = 6;

// The fan-out restarts only if at least the attempt timeout divided by this is
// left before the deadline.
constexpr int kRestartTimeDivisor = 2;

// Returns whether the failed attempt put no load on an upstream, so that its
// retry is no extra load.
bool PutNoLoadOnUpstream(ErrorType type) {
  switch (type) {
    case ErrorType::kConnectFailed:
    case ErrorType::kNotSent:
    case ErrorType::kNotReady:
    case ErrorType::kLimitReached:
    case ErrorType::kNoUsableUpstream:
    case ErrorType::kPeerUnreachable:
    case ErrorType::kUpstreamDraining:
    case ErrorType::kVersionGone:
    case ErrorType::kWrongShard:
      return true;
    default:
      return false;
  }
}

Duration RetryBackoff(std::size_t doublings) {
  return kInitialRetryBackoff *
         (1 << std::min(doublings, kMaxBackoffDoublings));
}

}  // namespace

QueryPlan::QueryPlan(QuerySpec spec, QueryHooks hooks)
    : spec_(std::move(spec)), hooks_(std::move(hooks)) {}

QueryActions QueryPlan::Start(TimePoint now) {
  QueryActions actions;
  shards_.assign(spec_.shards.size(), {});
  version_ = hooks_.choose_version(spec_.shards, gone_versions_);
  if (version_ == kAnyVersion) {
    Probe(now, actions);
  } else {
    FanOut(now, actions);
  }
  FinishIfDone(now, actions);
  return actions;
}

void QueryPlan::Probe(TimePoint now, QueryActions& actions) {
  probe_at_.reset();
  const std::size_t per_round = std::min(kProbesPerRound, spec_.shards.size());
  while (probes_ < per_round * (probe_rounds_ + 1)) {
    const std::size_t shard = probes_++ % spec_.shards.size();
    shards_[shard].tried.clear();
    if (TrySend(shard, AttemptKind::kProbe, now, actions)) return;
  }
  if (++probe_rounds_ < kMaxProbeRounds) {
    probe_at_ = now + RetryBackoff(probe_rounds_);
    return;
  }
  // Without a version no shard can be queried, because the parts might have
  // different versions.
  for (ShardState& state : shards_) {
    if (!state.last_failure) state.last_failure = ErrorType::kNoUsableUpstream;
  }
}

void QueryPlan::FanOut(TimePoint now, QueryActions& actions) {
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    if (shards_[shard].part) continue;
    if (!TrySend(shard, AttemptKind::kFirst, now, actions)) {
      ScheduleRetry(shards_[shard], now);
    }
  }
  const bool version_gone_everywhere =
      in_flight_.empty() && !shards_.empty() &&
      std::all_of(shards_.begin(), shards_.end(), [](const ShardState& state) {
        return state.last_failure == ErrorType::kVersionGone;
      });
  if (version_gone_everywhere) TryRestart(0, now, actions);
}

bool QueryPlan::TrySend(std::size_t shard, AttemptKind kind, TimePoint now,
                        QueryActions& actions) {
  ShardState& state = shards_[shard];
  const bool is_hedge = kind == AttemptKind::kHedge;
  const RouteRequest request{.replicas = spec_.shards[shard].replicas,
                             .version = version_,
                             .tried = state.tried,
                             .direct_only = is_hedge,
                             .warm_only = is_hedge};
  Result<Route> route = hooks_.choose_route(request);
  if (!route) {
    if (!is_hedge) state.last_failure = route.error().type;
    return false;
  }
  const AttemptId attempt = hooks_.next_attempt_id();
  const Route& chosen = route.value();
  state.tried.push_back(chosen.upstream);
  ++state.attempts;
  ++state.in_flight;
  ++attempts_;
  in_flight_[attempt] = {.shard = shard,
                         .upstream = chosen.upstream,
                         .is_probe = kind == AttemptKind::kProbe};
  if (spec_.hedging && !is_hedge) {
    const auto delay = hooks_.hedge_delay();
    if (delay) state.hedge_at = now + *delay;
  }
  actions.send.push_back(
      {.attempt = attempt,
       .shard = shard,
       .route = chosen,
       .version = version_,
       .timeout = std::min(spec_.attempt_timeout, spec_.deadline - now)});
  return true;
}

QueryActions QueryPlan::OnPart(AttemptId attempt, Part part, TimePoint now) {
  QueryActions actions;
  const auto at = in_flight_.find(attempt);
  if (finished_ || at == in_flight_.end()) {
    ++late_events_;
    return actions;
  }
  const AttemptInFlight sent = at->second;
  ShardState& state = shards_[sent.shard];
  const bool is_expected = part.shard == spec_.shards[sent.shard].shard &&
                           (sent.is_probe || part.version == version_) &&
                           part.version != kAnyVersion;
  if (!is_expected) {
    return OnFailure(attempt, {ErrorType::kMismatchedAnswer, {}}, now);
  }
  in_flight_.erase(at);
  --state.in_flight;
  if (sent.is_probe) {
    version_ = hooks_.choose_version(spec_.shards, gone_versions_);
    if (version_ == kAnyVersion) version_ = part.version;
    if (part.version == version_) state.part = std::move(part);
    state.tried.clear();
    state.hedge_at.reset();
    CancelAttempts(std::nullopt, actions);
    FanOut(now, actions);
  } else {
    state.part = std::move(part);
    CancelAttempts(sent.shard, actions);
  }
  state.last_failure.reset();
  FinishIfDone(now, actions);
  return actions;
}

QueryActions QueryPlan::OnFailure(AttemptId attempt,
                                  const AttemptFailure& failure,
                                  TimePoint now) {
  QueryActions actions;
  const auto at = in_flight_.find(attempt);
  if (finished_ || at == in_flight_.end()) {
    ++late_events_;
    return actions;
  }
  const AttemptInFlight sent = at->second;
  in_flight_.erase(at);
  ShardState& state = shards_[sent.shard];
  --state.in_flight;
  state.last_failure = failure.type;
  if (sent.is_probe) {
    if (in_flight_.empty()) Probe(now, actions);
  } else if (state.in_flight == 0) {
    Retry(sent.shard, failure, now, actions);
  }
  FinishIfDone(now, actions);
  return actions;
}

void QueryPlan::Retry(std::size_t shard, const AttemptFailure& failure,
                      TimePoint now, QueryActions& actions) {
  ShardState& state = shards_[shard];
  state.hedge_at.reset();
  if (state.attempts >= kMaxAttemptsPerShard) return;
  if (!PutNoLoadOnUpstream(failure.type) && !hooks_.try_spend_extra_load()) {
    return;
  }
  if (TrySend(shard, AttemptKind::kRetry, now, actions)) {
    ++retries_;
    return;
  }
  if (failure.type == ErrorType::kVersionGone) {
    state.last_failure = ErrorType::kVersionGone;
    TryRestart(shard, now, actions);
    return;
  }
  state.last_failure = failure.type;
  ScheduleRetry(state, now);
}

void QueryPlan::ScheduleRetry(ShardState& state, TimePoint now) {
  if (state.attempts >= kMaxAttemptsPerShard) return;
  if (state.last_failure == ErrorType::kVersionGone) return;
  state.tried.clear();
  state.retry_at = now + RetryBackoff(state.attempts);
}

void QueryPlan::TryRestart(std::size_t shard, TimePoint now,
                           QueryActions& actions) {
  if (restarted_) return;
  if (spec_.deadline - now < spec_.attempt_timeout / kRestartTimeDivisor) {
    return;
  }
  gone_versions_.push_back(version_);
  const IndexVersion next = hooks_.choose_version(spec_.shards, gone_versions_);
  if (next == kAnyVersion) return;
  shards_[shard].last_failure = ErrorType::kVersionGone;
  answer_before_restart_ = CollectAnswer(ErrorType::kVersionGone);
  restarted_ = true;
  CancelAttempts(std::nullopt, actions);
  version_ = next;
  shards_.assign(spec_.shards.size(), {});
  FanOut(now, actions);
}

void QueryPlan::CancelAttempts(std::optional<std::size_t> shard,
                               QueryActions& actions) {
  for (auto at = in_flight_.begin(); at != in_flight_.end();) {
    if (shard && at->second.shard != *shard) {
      ++at;
      continue;
    }
    --shards_[at->second.shard].in_flight;
    actions.cancel.push_back(at->first);
    at = in_flight_.erase(at);
  }
}

QueryActions QueryPlan::OnTimer(TimePoint now) {
  QueryActions actions;
  if (finished_) return actions;
  if (now >= spec_.deadline || now >= spec_.partial_at) {
    Finish(ErrorType::kDeadlineExceeded, actions);
    return actions;
  }
  if (probe_at_ && now >= *probe_at_) Probe(now, actions);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    ShardState& state = shards_[shard];
    if (state.part) continue;
    if (state.hedge_at && now >= *state.hedge_at) {
      state.hedge_at.reset();
      const bool can_hedge = state.in_flight == 1 &&
                             state.attempts < kMaxAttemptsPerShard &&
                             spec_.shards[shard].replicas.size() > 1 &&
                             hooks_.try_spend_extra_load();
      if (can_hedge && TrySend(shard, AttemptKind::kHedge, now, actions)) {
        ++hedges_;
      }
    }
    if (state.retry_at && now >= *state.retry_at) {
      state.retry_at.reset();
      ++state.attempts;
      if (TrySend(shard, AttemptKind::kRetry, now, actions)) {
        ++retries_;
      } else {
        ScheduleRetry(state, now);
      }
    }
  }
  FinishIfDone(now, actions);
  return actions;
}

TimePoint QueryPlan::NextWake() const {
  TimePoint wake = std::min(spec_.deadline, spec_.partial_at);
  if (probe_at_) wake = std::min(wake, *probe_at_);
  for (const ShardState& state : shards_) {
    if (state.part) continue;
    if (state.hedge_at) wake = std::min(wake, *state.hedge_at);
    if (state.retry_at) wake = std::min(wake, *state.retry_at);
  }
  return wake;
}

void QueryPlan::FinishIfDone(TimePoint now, QueryActions& actions) {
  if (finished_) return;
  const bool waiting =
      !in_flight_.empty() || probe_at_ ||
      std::any_of(shards_.begin(), shards_.end(), [](const ShardState& state) {
        return !state.part && state.retry_at.has_value();
      });
  if (waiting && now < spec_.deadline) return;
  Finish(ErrorType::kDeadlineExceeded, actions);
}

QueryAnswer QueryPlan::CollectAnswer(ErrorType reason) {
  QueryAnswer answer;
  answer.version = version_;
  answer.shards_asked = shards_.size();
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    ShardState& state = shards_[shard];
    if (state.part) {
      answer.parts.push_back(std::move(*state.part));
      continue;
    }
    // A shard with an attempt in flight is missing because time ran out,
    // however an earlier attempt failed.
    const bool ran_out_of_time = state.in_flight > 0 || !state.last_failure;
    answer.missing.push_back({spec_.shards[shard].shard,
                              ran_out_of_time ? reason : *state.last_failure});
  }
  return answer;
}

void QueryPlan::Finish(ErrorType reason, QueryActions& actions) {
  QueryAnswer answer = CollectAnswer(reason);
  const bool first_answer_is_better =
      answer_before_restart_ &&
      answer_before_restart_->parts.size() > answer.parts.size();
  if (first_answer_is_better) answer = std::move(*answer_before_restart_);
  answer.attempts = attempts_;
  answer.retries = retries_;
  answer.hedges = hedges_;
  answer.restarted = restarted_;
  CancelAttempts(std::nullopt, actions);
  finished_ = true;
  actions.finished = std::move(answer);
}

}  // namespace lacewingknot
