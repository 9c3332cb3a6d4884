#include "lacewingknot/edge/scatter_session.h"

#include <algorithm>
#include <array>
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
  return {.shards = shards_.size(),
          .answered = answered_,
          .lost = lost_,
          .min_share = spec().min_share,
          .answer_by = answer_by_,
          .deadline = deadline()};
}

void ScatterSession::Lose(Shard& shard, std::string_view cause) {
  shard.state = ShardState::kLost;
  shard.cause = cause;
  ++lost_;
}

void ScatterSession::Start() {
  const TimePoint now = started_at();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (route().services[i]->HasUsable()) continue;
    Lose(shards_[i], kCauseNoReplica);
  }
  if (JudgeQuery(Progress(), now) == QueryVerdict::kFail) {
    Refuse();
    return;
  }
  placing_ = true;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.state != ShardState::kWaiting) continue;
    shard.relay = core().relays().For(route().services[i]->relay_group(), now);
    if (!Place(i, AttemptKind::kFirst, now)) {
      Lose(shard, "no_replica_placeable");
    }
  }
  placing_ = false;
  SendGrants(now);
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

bool ScatterSession::is_urgent() const {
  return spec().target_latency <= kUrgentObjective;
}

bool ScatterSession::Place(std::size_t index, AttemptKind kind, TimePoint now) {
  Shard& shard = shards_[index];
  if (shard.relay && shard.relay->usable(now)) {
    GrantToRelay(index, kind, now);
    return true;
  }
  return PlaceHere(index, kind, now);
}

AttemptPtr ScatterSession::NewShardAttempt(std::size_t index,
                                           AttemptKind kind) {
  AttemptPtr attempt =
      NewAttempt(useful_until_, route().history->usual(), false);
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  attempt->done = [self, index, weak = std::weak_ptr(attempt),
                   kind](AttemptResult result) {
    self->OnResult(index, weak.lock(), kind, std::move(result));
  };
  return attempt;
}

void ScatterSession::GrantToRelay(std::size_t index, AttemptKind kind,
                                  TimePoint now) {
  Shard& shard = shards_[index];
  if (query_number_ == 0) query_number_ = core().NextQueryNumber();
  auto grant =
      std::find_if(grants_.begin(), grants_.end(),
                   [&](const Grant& one) { return one.relay == shard.relay; });
  if (grant == grants_.end()) {
    grants_.push_back({.relay = shard.relay});
    grant = grants_.end() - 1;
  }
  const AttemptPtr attempt = NewShardAttempt(index, kind);
  attempt->submitted_at = now;
  const std::uint64_t number = shard.relay->Add(attempt);
  grant->ask.attempts.push_back({.number = number,
                                 .service = route().services[index]->name(),
                                 .kind = kind});
  shard.live.push_back(
      {.attempt = attempt, .relay = shard.relay, .relay_number = number});
  shard.was_relayed = true;
}

void ScatterSession::SendGrants(TimePoint now) {
  auto grants = std::exchange(grants_, {});
  for (Grant& grant : grants) {
    RelayAsk& ask = grant.ask;
    ask.query = query_number_;
    ask.useful_ms = ToMillis(useful_until_ - now);
    ask.priority = spec().priority;
    ask.urgent = is_urgent();
    ask.usual_us = ToMicros(route().history->usual());
    // A relay that was asked before has the request.
    if (std::find(asked_.begin(), asked_.end(), grant.relay) == asked_.end()) {
      ask.head = outbound().head;
      ask.body = outbound().body;
      ask.request_id = outbound().request_id;
      asked_.push_back(grant.relay);
    }
    grant.relay->Ask(std::move(ask), now);
  }
}

UpstreamPtr ScatterSession::ChooseHere(Service& service, const Shard& shard,
                                       AttemptKind kind, TimePoint now) const {
  const Duration usual = route().history->usual();
  if (shard.was_relayed && shard.tried.empty()) {
    // Not the one that the relay has most likely asked, if there is another.
    const std::array likely{service.Preferred()};
    UpstreamPtr other =
        service.ChooseFor(kind, {.tried = likely, .usual = usual}, now);
    if (other) return other;
  }
  return service.ChooseFor(kind, {.tried = shard.tried, .usual = usual}, now);
}

bool ScatterSession::PlaceHere(std::size_t index, AttemptKind kind,
                               TimePoint now) {
  Shard& shard = shards_[index];
  Service& service = *route().services[index];
  const UpstreamPtr upstream = ChooseHere(service, shard, kind, now);
  if (!upstream) return false;
  if (kind == AttemptKind::kFirst) {
    service.OnFirstAttempt(now);
  } else if (!service.TrySpendExtra(NeedOf(kind, is_urgent()), now)) {
    ++denied_;
    core().metrics().OnHedgeDenied("budget");
    return false;
  }
  shard.tried.push_back(upstream);
  const AttemptPtr attempt = NewShardAttempt(index, kind);
  shard.live.push_back({.attempt = attempt, .upstream = upstream});
  upstream->Submit(attempt);
  return true;
}

void ScatterSession::OnResult(std::size_t index, const AttemptPtr& attempt,
                              AttemptKind kind, AttemptResult result) {
  const TimePoint now = BootClock::now();
  Shard& shard = shards_[index];
  const auto live = std::find_if(
      shard.live.begin(), shard.live.end(),
      [&](const LiveAttempt& one) { return one.attempt == attempt; });
  const bool relayed = live != shard.live.end() && live->relay;
  if (live != shard.live.end()) shard.live.erase(live);
  if (relayed) {
    core().metrics().OnRelayed(result.end);
  } else {
    core().metrics().OnAttempt(kind, result.end, now - attempt->submitted_at);
  }
  if (finished() || shard.state != ShardState::kWaiting) return;
  if (result.end == AttemptEnd::kAnswered) {
    const Duration latency = now - attempt->submitted_at;
    route().history->OnAttempt(latency);
    if (!relayed) route().services[index]->NoteLatency(latency);
  }
  if (result.end == AttemptEnd::kAnswered || result.end == AttemptEnd::kLost) {
    ++shard.runs;
    anything_ran_ = true;
  }
  if (TakePart(shard, result)) {
    route().history->OnShard(now - started_at());
    AbandonLive(shard);
  } else {
    NoteFailure(shard, attempt, result);
    const bool not_made = relayed && result.end == AttemptEnd::kNotSent;
    if (!not_made || !TakeBack(index, kind, result.cause, now)) {
      OnFailedAttempt(index, result, now);
    }
  }
  if (placing_) return;
  SendGrants(now);
  Judge(now);
}

void ScatterSession::NoteFailure(Shard& shard, const AttemptPtr& attempt,
                                 const AttemptResult& result) {
  shard.cause =
      result.cause.empty() ? AttemptEndName(result.end) : result.cause;
  if (!attempt->upstream.empty()) shard.failed_at += '@' + attempt->upstream;
}

bool ScatterSession::TakeBack(std::size_t index, AttemptKind kind,
                              std::string_view cause, TimePoint now) {
  Shard& shard = shards_[index];
  if (cause == kCauseNoBudget) ++denied_;
  shard.relay = nullptr;
  // It has asked nobody, if this was the only attempt.
  shard.was_relayed = shard.runs + shard.refusals > 0 || !shard.live.empty();
  return shard.live.empty() && PlaceHere(index, kind, now);
}

bool ScatterSession::TakePart(Shard& shard, AttemptResult& result) {
  if (result.end != AttemptEnd::kAnswered) return false;
  const UpstreamReply& reply = result.reply;
  if (!IsSuccessStatus(reply.status)) {
    result.cause = "upstream_failed";
    return false;
  }
  if (reply.signature.empty() || reply.request_id != request().request_id) {
    result.cause = "answer_unsigned";
    return false;
  }
  shard.state = ShardState::kAnswered;
  ++answered_;
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
  if (result.end == AttemptEnd::kRefused) ++shard.refusals;
  if (!shard.live.empty()) return;
  if (MayRetry(shard) && Place(index, AttemptKind::kRetry, now)) {
    ++retries_;
    return;
  }
  Lose(shard, shard.cause);
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
    if (placed) ++hedges_;
    // A relay may have no budget left, or not answer.
    again = again || !placed || shard.relay;
  }
  SendGrants(now);
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
  AbandonAtRelays();
  const Duration passed = BootClock::now() - started_at();
  for (Shard& shard : shards_) {
    if (!shard.live.empty()) route().history->OnShard(passed);
    AbandonLive(shard);
  }
}

void ScatterSession::AbandonAtRelays() {
  for (const RelayLinkPtr& relay : asked_) {
    const bool at_work =
        std::any_of(shards_.begin(), shards_.end(), [&](const Shard& shard) {
          return std::any_of(
              shard.live.begin(), shard.live.end(),
              [&](const LiveAttempt& live) { return live.relay == relay; });
        });
    if (at_work) relay->AbandonQuery(query_number_);
  }
}

void ScatterSession::AbandonLive(Shard& shard) {
  for (const LiveAttempt& live : shard.live) {
    if (live.upstream) live.upstream->Abandon(live.attempt);
    // A relay abandons the shard's other attempts by itself once it has a part.
    if (live.relay) live.relay->Forget(live.relay_number);
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
    missing += shard.failed_at;
    for (const UpstreamPtr& upstream : shard.tried) {
      missing += '@';
      missing += upstream->record().id;
    }
    if (shard.relay) missing += "@relay_" + shard.relay->address();
  }
  return "parts=" + std::to_string(answered) + "/" +
         std::to_string(shards_.size()) + " hedges=" + std::to_string(hedges_) +
         " retries=" + std::to_string(retries_) +
         " denied=" + std::to_string(denied_) + missing;
}

}  // namespace lacewingknot::edge
