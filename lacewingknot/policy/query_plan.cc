#include "lacewingknot/policy/query_plan.h"

#include <algorithm>

namespace lacewingknot {
namespace {

// Attempts for one shard at one version, hedges included.
constexpr std::size_t kMaxAttemptsPerShard = 5;

// Pause before the replicas that failed are tried again, doubled each time.
constexpr Duration kRetryPause = std::chrono::milliseconds(10);
constexpr std::size_t kMaxPauseDoublings = 4;

// Shards asked in one round, one after another, which versions there are, and
// rounds before the query gives up.
constexpr std::size_t kProbesPerRound = 3;
constexpr std::size_t kMaxProbeRounds = 6;

// A restart needs at least this part of an attempt's time before the deadline.
constexpr int kRestartFraction = 2;

// Failures that placed no work on an upstream: the retry costs nothing extra.
bool PlacedNoWork(ErrorType type) {
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

Duration PauseAfter(std::size_t failures) {
  return kRetryPause * (1 << std::min(failures, kMaxPauseDoublings));
}

}  // namespace

QueryPlan::QueryPlan(QuerySpec spec, QueryHooks hooks)
    : spec_(std::move(spec)), hooks_(std::move(hooks)) {}

QueryActions QueryPlan::Start(TimePoint now) {
  QueryActions actions;
  shards_.assign(spec_.shards.size(), {});
  version_ = hooks_.choose_version(spec_.shards, gone_);
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
    probe_at_ = now + PauseAfter(probe_rounds_);
    return;
  }
  // Without a version no shard can be asked, as parts might differ.
  for (ShardState& state : shards_) {
    if (!state.failure) state.failure = ErrorType::kNoUsableUpstream;
  }
}

void QueryPlan::FanOut(TimePoint now, QueryActions& actions) {
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    if (shards_[shard].part) continue;
    if (!TrySend(shard, AttemptKind::kFirst, now, actions)) {
      RetryLater(shards_[shard], now);
    }
  }
  const bool all_gone =
      live_.empty() && !shards_.empty() &&
      std::all_of(shards_.begin(), shards_.end(), [](const ShardState& state) {
        return state.failure == ErrorType::kVersionGone;
      });
  if (all_gone) RestartOrFail(0, now, actions);
}

bool QueryPlan::TrySend(std::size_t shard, AttemptKind kind, TimePoint now,
                        QueryActions& actions) {
  ShardState& state = shards_[shard];
  const bool hedge = kind == AttemptKind::kHedge;
  const RouteRequest request{.replicas = spec_.shards[shard].replicas,
                             .version = version_,
                             .tried = state.tried,
                             .direct_only = hedge,
                             .warm_only = hedge};
  Result<Route> route = hooks_.choose_route(request);
  if (!route) {
    if (!hedge) state.failure = route.error().type;
    return false;
  }
  const AttemptId attempt = hooks_.next_attempt();
  const Route& chosen = route.value();
  state.tried.push_back(chosen.upstream);
  ++state.attempts;
  ++state.live;
  ++attempts_;
  live_[attempt] = {.shard = shard,
                    .upstream = chosen.upstream,
                    .probe = kind == AttemptKind::kProbe};
  if (spec_.hedging && kind != AttemptKind::kHedge) {
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
  const auto at = live_.find(attempt);
  if (finished_ || at == live_.end()) {
    ++late_events_;
    return actions;
  }
  const LiveAttempt live = at->second;
  ShardState& state = shards_[live.shard];
  const bool expected = part.shard == spec_.shards[live.shard].shard &&
                        (live.probe || part.version == version_) &&
                        part.version != kAnyVersion;
  if (!expected) {
    return OnFailure(attempt, {ErrorType::kMismatchedAnswer, {}}, now);
  }
  live_.erase(at);
  --state.live;
  if (live.probe) {
    version_ = hooks_.choose_version(spec_.shards, gone_);
    if (version_ == kAnyVersion) version_ = part.version;
    if (part.version == version_) state.part = std::move(part);
    state.tried.clear();
    state.hedge_at.reset();
    CancelAttempts(std::nullopt, actions);
    FanOut(now, actions);
  } else {
    state.part = std::move(part);
    CancelAttempts(live.shard, actions);
  }
  state.failure.reset();
  FinishIfDone(now, actions);
  return actions;
}

QueryActions QueryPlan::OnFailure(AttemptId attempt,
                                  const AttemptFailure& failure,
                                  TimePoint now) {
  QueryActions actions;
  const auto at = live_.find(attempt);
  if (finished_ || at == live_.end()) {
    ++late_events_;
    return actions;
  }
  const LiveAttempt live = at->second;
  live_.erase(at);
  ShardState& state = shards_[live.shard];
  --state.live;
  state.failure = failure.type;
  if (live.probe) {
    if (live_.empty()) Probe(now, actions);
  } else if (state.live == 0) {
    Retry(live.shard, failure, now, actions);
  }
  FinishIfDone(now, actions);
  return actions;
}

void QueryPlan::Retry(std::size_t shard, const AttemptFailure& failure,
                      TimePoint now, QueryActions& actions) {
  ShardState& state = shards_[shard];
  state.hedge_at.reset();
  if (state.attempts >= kMaxAttemptsPerShard) return;
  if (!PlacedNoWork(failure.type) && !hooks_.spend_extra()) return;
  if (TrySend(shard, AttemptKind::kRetry, now, actions)) {
    ++retries_;
    return;
  }
  if (failure.type == ErrorType::kVersionGone) {
    state.failure = ErrorType::kVersionGone;
    RestartOrFail(shard, now, actions);
    return;
  }
  state.failure = failure.type;
  RetryLater(state, now);
}

void QueryPlan::RetryLater(ShardState& state, TimePoint now) {
  if (state.attempts >= kMaxAttemptsPerShard) return;
  if (state.failure == ErrorType::kVersionGone) return;
  state.tried.clear();
  state.retry_at = now + PauseAfter(state.attempts);
}

void QueryPlan::RestartOrFail(std::size_t shard, TimePoint now,
                              QueryActions& actions) {
  if (restarted_) return;
  if (spec_.deadline - now < spec_.attempt_timeout / kRestartFraction) return;
  gone_.push_back(version_);
  const IndexVersion next = hooks_.choose_version(spec_.shards, gone_);
  if (next == kAnyVersion) return;
  shards_[shard].failure = ErrorType::kVersionGone;
  before_restart_ = Collect(ErrorType::kVersionGone);
  restarted_ = true;
  CancelAttempts(std::nullopt, actions);
  version_ = next;
  shards_.assign(spec_.shards.size(), {});
  FanOut(now, actions);
}

void QueryPlan::CancelAttempts(std::optional<std::size_t> shard,
                               QueryActions& actions) {
  for (auto at = live_.begin(); at != live_.end();) {
    if (shard && at->second.shard != *shard) {
      ++at;
      continue;
    }
    --shards_[at->second.shard].live;
    actions.cancel.push_back(at->first);
    at = live_.erase(at);
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
      const bool can_hedge =
          state.live == 1 && state.attempts < kMaxAttemptsPerShard &&
          spec_.shards[shard].replicas.size() > 1 && hooks_.spend_extra();
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
        RetryLater(state, now);
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
      !live_.empty() || probe_at_ ||
      std::any_of(shards_.begin(), shards_.end(), [](const ShardState& state) {
        return !state.part && state.retry_at.has_value();
      });
  if (waiting && now < spec_.deadline) return;
  Finish(ErrorType::kDeadlineExceeded, actions);
}

QueryAnswer QueryPlan::Collect(ErrorType reason) {
  QueryAnswer answer;
  answer.version = version_;
  answer.shards_asked = shards_.size();
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    ShardState& state = shards_[shard];
    if (state.part) {
      answer.parts.push_back(std::move(*state.part));
      continue;
    }
    // An attempt still in flight is missing because time ran out, whatever an
    // earlier attempt met.
    const bool out_of_time = state.live > 0 || !state.failure;
    answer.missing.push_back(
        {spec_.shards[shard].shard, out_of_time ? reason : *state.failure});
  }
  return answer;
}

void QueryPlan::Finish(ErrorType reason, QueryActions& actions) {
  QueryAnswer answer = Collect(reason);
  const bool earlier_is_better =
      before_restart_ && before_restart_->parts.size() > answer.parts.size();
  if (earlier_is_better) answer = std::move(*before_restart_);
  answer.attempts = attempts_;
  answer.retries = retries_;
  answer.hedges = hedges_;
  answer.restarted = restarted_;
  CancelAttempts(std::nullopt, actions);
  finished_ = true;
  actions.finished = std::move(answer);
}

}  // namespace lacewingknot
