#include "lacewingknot/edge/scatter_session.h"

#include <algorithm>
#include <utility>

#include "lacewingknot/policy/record_merge.h"

namespace lacewingknot::edge {
namespace {

// Work on a shard is of little use later than this many objectives: the answer
// has gone out without it, and its slot serves newer requests better.
constexpr double kUsefulObjectives = 2.5;
// Our own delay between deciding to answer and sending.
constexpr Duration kSendingMargin = std::chrono::milliseconds(3);
// Merging and sending one part more, on the smallest VM (0.12 of a core).
constexpr Duration kSendingMarginPerShard = std::chrono::microseconds(80);
// Waits for the processor between a client's sending and its answer: before
// reading, and before the decision to answer.
constexpr int kLagsOnTheWay = 2;
// Part of the objective that is given up for them at the most.
constexpr int kLargestLagShare = 4;
// When a client that was refused for want of replicas may come back.
constexpr Duration kReplicaRetryAfter = std::chrono::milliseconds(300);
// Requests with an objective up to this cannot wait for a slow attempt.
constexpr Duration kUrgentObjective = std::chrono::milliseconds(80);
// Shards named in one log line.
constexpr std::size_t kMaxLoggedShards = 6;

}  // namespace

ScatterSession::ScatterSession(Options options)
    : RequestSession(std::move(options)), shards_(route().services.size()) {
  // The request waited for the processor like a timer, and so will the answer.
  const Duration lag = std::min(core().timers().lag() * kLagsOnTheWay,
                                spec().target_latency / kLargestLagShare);
  const Duration sending =
      kSendingMargin + kSendingMarginPerShard * shards_.size();
  answer_by_ = std::min(deadline(), started_at() + spec().target_latency -
                                        client_round_trip() - sending - lag);
  useful_until_ =
      std::min(deadline(),
               started_at() + std::chrono::duration_cast<Duration>(
                                  spec().target_latency * kUsefulObjectives));
}

QueryProgress ScatterSession::Progress() const {
  QueryProgress progress{.shards = shards_.size(),
                         .min_share = spec().min_share,
                         .answer_by = answer_by_,
                         .deadline = deadline()};
  for (const Shard& shard : shards_) {
    if (shard.state == ShardState::kAnswered) ++progress.answered;
    if (shard.state == ShardState::kLost) ++progress.lost;
  }
  return progress;
}

void ScatterSession::Start() {
  const TimePoint now = started_at();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (route().services[i]->HasUsable()) continue;
    shards_[i].state = ShardState::kLost;
    shards_[i].cause = "no_replica";
  }
  if (JudgeQuery(Progress(), now) == QueryVerdict::kFail) {
    Refuse();
    return;
  }
  placing_ = true;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (shards_[i].state != ShardState::kWaiting) continue;
    route().services[i]->OnFirstAttempt(now);
    if (!Place(i, AttemptKind::kFirst, now)) {
      shards_[i].state = ShardState::kLost;
      shards_[i].cause = "no_replica_placeable";
    }
  }
  placing_ = false;
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  hedge_timer_ = core().timers().At(
      now + route().history->HedgeDelay(spec().target_latency),
      [self] { self->Hedge(); });
  answer_timer_ =
      core().timers().At(answer_by_, [self] { self->Judge(BootClock::now()); });
  deadline_timer_ =
      core().timers().At(deadline(), [self] { self->Judge(BootClock::now()); });
  Judge(now);
}

ExtraNeed ScatterSession::NeedOf(AttemptKind kind) const {
  if (kind == AttemptKind::kRetry) return ExtraNeed::kRetry;
  return spec().target_latency <= kUrgentObjective ? ExtraNeed::kUrgentHedge
                                                   : ExtraNeed::kHedge;
}

bool ScatterSession::Place(std::size_t index, AttemptKind kind, TimePoint now) {
  Shard& shard = shards_[index];
  Service& service = *route().services[index];
  UpstreamPtr upstream = service.Choose(shard.tried, false, now);
  // The first attempt also probes replicas that are backing off.
  if (!upstream && kind == AttemptKind::kFirst) {
    upstream = service.Choose(shard.tried, true, now);
  }
  if (!upstream) return false;
  if (kind != AttemptKind::kFirst &&
      !service.TrySpendExtra(NeedOf(kind), now)) {
    ++denied_;
    core().metrics().OnHedgeDenied("budget");
    return false;
  }
  shard.tried.push_back(upstream);
  const AttemptPtr attempt = NewAttempt(useful_until_, false);
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  attempt->done = [self, index, weak = std::weak_ptr(attempt),
                   kind](AttemptResult result) {
    self->OnResult(index, weak.lock(), kind, std::move(result));
  };
  shard.live.push_back({.attempt = attempt, .upstream = upstream});
  upstream->Submit(attempt);
  return true;
}

void ScatterSession::OnResult(std::size_t index, const AttemptPtr& attempt,
                              AttemptKind kind, AttemptResult result) {
  const TimePoint now = BootClock::now();
  core().metrics().OnAttempt(kind, result.end, now - attempt->submitted_at);
  Shard& shard = shards_[index];
  std::erase_if(shard.live, [&](const LiveAttempt& live) {
    return live.attempt == attempt;
  });
  if (finished() || shard.state != ShardState::kWaiting) return;
  if (result.end == AttemptEnd::kAnswered) {
    const Duration latency = now - attempt->submitted_at;
    route().history->OnAttempt(latency);
    route().services[index]->NoteLatency(latency);
  }
  if (result.end == AttemptEnd::kAnswered || result.end == AttemptEnd::kLost) {
    ++shard.runs;
    anything_ran_ = true;
  }
  if (TakePart(shard, result)) {
    AbandonLive(shard);
  } else {
    OnFailedAttempt(index, result, now);
  }
  if (!placing_) Judge(now);
}

bool ScatterSession::TakePart(Shard& shard, AttemptResult& result) {
  if (result.end != AttemptEnd::kAnswered) return false;
  constexpr int kFirstFailure = 300;
  const UpstreamReply& reply = result.reply;
  if (reply.status < kStatusOk || reply.status >= kFirstFailure) {
    result.cause = "upstream_failed";
    return false;
  }
  if (reply.signature.empty() || reply.request_id != request().request_id) {
    result.cause = "answer_unsigned";
    return false;
  }
  shard.state = ShardState::kAnswered;
  shard.signature = std::move(result.reply.signature);
  shard.records = std::move(result.reply.body);
  return true;
}

bool ScatterSession::MayRetry(const Shard& shard) const {
  return shard.runs + static_cast<std::int64_t>(shard.live.size()) <
             spec().max_attempts &&
         shard.refusals <= kMaxRefusals;
}

void ScatterSession::OnFailedAttempt(std::size_t index,
                                     const AttemptResult& result,
                                     TimePoint now) {
  Shard& shard = shards_[index];
  shard.cause =
      result.cause.empty() ? AttemptEndName(result.end) : result.cause;
  if (result.end == AttemptEnd::kRefused) ++shard.refusals;
  if (!shard.live.empty()) return;
  if (MayRetry(shard) && Place(index, AttemptKind::kRetry, now)) {
    ++retries_;
    return;
  }
  shard.state = ShardState::kLost;
}

void ScatterSession::Hedge() {
  if (finished()) return;
  const TimePoint now = BootClock::now();
  bool again = false;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.state != ShardState::kWaiting || shard.live.size() != 1) continue;
    if (!MayRetry(shard)) continue;
    const bool placed = Place(i, AttemptKind::kHedge, now);
    if (finished()) return;
    if (placed) {
      ++hedges_;
    } else {
      again = true;
    }
  }
  if (!again) return;
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  hedge_timer_ = core().timers().At(
      now + route().history->HedgeDelay(spec().target_latency),
      [self] { self->Hedge(); });
}

void ScatterSession::Judge(TimePoint now) {
  if (finished()) return;
  switch (JudgeQuery(Progress(), now)) {
    case QueryVerdict::kWait:
      return;
    case QueryVerdict::kAnswer:
      Answer();
      return;
    case QueryVerdict::kFail:
      Refuse();
      return;
  }
}

void ScatterSession::Answer() {
  std::vector<std::string_view> parts;
  ClientAnswer answer{.status = kStatusOk};
  const HeaderNames& names = core().names();
  answer.headers = names.part_signatures + ": ";
  for (const Shard& shard : shards_) {
    if (shard.state != ShardState::kAnswered) continue;
    if (!parts.empty()) answer.headers += ", ";
    answer.headers += shard.signature;
    parts.push_back(shard.records);
  }
  const std::size_t missing = shards_.size() - parts.size();
  answer.headers += "\r\n" + names.missing_parts + ": " +
                    std::to_string(missing) + "\r\n" + names.request_id + ": " +
                    request().request_id + "\r\n";
  answer.body = MergeGreatestRecords(parts, spec().top_records);
  Finish(answer, missing == 0 ? "complete" : "partial",
         missing == 0 ? "" : "shards_missing");
}

void ScatterSession::Refuse() {
  const bool expired = BootClock::now() >= deadline();
  bool in_flight = anything_ran_;
  for (const Shard& shard : shards_) {
    for (const LiveAttempt& live : shard.live) {
      in_flight = in_flight || live.attempt->sent;
    }
  }
  // Only a request of which nothing ran may be called not run.
  if (in_flight) {
    Finish({.status = expired ? kStatusGatewayTimeout : kStatusBadGateway},
           "failed", expired ? "deadline" : "too_few_shards");
    return;
  }
  Finish({.status = kStatusUnavailable, .retry_after = kReplicaRetryAfter},
         "refused", expired ? "deadline" : "too_few_shards");
}

void ScatterSession::AbandonAttempts() {
  core().timers().Cancel(hedge_timer_);
  core().timers().Cancel(answer_timer_);
  core().timers().Cancel(deadline_timer_);
  for (Shard& shard : shards_) AbandonLive(shard);
}

void ScatterSession::AbandonLive(Shard& shard) {
  for (const LiveAttempt& live : shard.live) {
    live.upstream->Abandon(live.attempt);
  }
  shard.live.clear();
}

std::string ScatterSession::LogDetails() const {
  std::size_t answered = 0;
  std::size_t named = 0;
  std::string missing;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const Shard& shard = shards_[i];
    if (shard.state == ShardState::kAnswered) {
      ++answered;
      continue;
    }
    if (++named > kMaxLoggedShards) continue;
    missing += missing.empty() ? " missing=" : ",";
    missing += route().services[i]->name();
    missing += ':';
    missing += shard.cause.empty() ? "no_answer_yet" : shard.cause;
    for (const UpstreamPtr& upstream : shard.tried) {
      missing += '@';
      missing += upstream->record().id;
    }
  }
  return "parts=" + std::to_string(answered) + "/" +
         std::to_string(shards_.size()) + " hedges=" + std::to_string(hedges_) +
         " retries=" + std::to_string(retries_) +
         " denied=" + std::to_string(denied_) + missing;
}

}  // namespace lacewingknot::edge
