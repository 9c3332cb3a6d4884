#include "lacewingknot/edge/scatter_session.h"

#include <algorithm>
#include <array>
#include <utility>

#include "lacewingknot/policy/record_merge.h"

namespace lacewingknot::edge {
namespace {

// Attempts expire after this multiple of the latency objective. By then the
// answer has gone out without them, and their slots serve newer requests
// better.
constexpr double kAttemptDeadlineInObjectives = 2.5;
// Requests with an objective up to this leave no time for a slow attempt.
constexpr Duration kMaxUrgentObjective = std::chrono::milliseconds(80);
// Missing shards named in one log line.
constexpr std::size_t kMaxLoggedShards = 6;

}  // namespace

ScatterSession::ScatterSession(Options options)
    : RequestSession(std::move(options)), shards_(route().services.size()) {
  soft_deadline_ = SoftDeadlineOfQuery(core(), route(), started_at(),
                                       deadline(), client_round_trip());
  attempt_deadline_ = std::min(
      deadline(),
      started_at() + std::chrono::duration_cast<Duration>(
                         spec().target_latency * kAttemptDeadlineInObjectives));
}

QueryProgress ScatterSession::Progress() const {
  return {.shards = shards_.size(),
          .answered = answered_shards_,
          .failed = failed_shards_,
          .min_coverage = spec().min_coverage,
          .soft_deadline = soft_deadline_,
          .deadline = deadline()};
}

void ScatterSession::MarkFailed(Shard& shard, std::string_view cause) {
  shard.state = ShardState::kFailed;
  shard.cause = cause;
  ++failed_shards_;
}

void ScatterSession::Start() {
  const TimePoint now = started_at();
  const QueryStart start =
      DecideQueryStart(route(), soft_deadline_, deadline(), now);
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (start.lacks_replica[i]) MarkFailed(shards_[i], kCauseNoReplica);
  }
  if (start.has_too_few_shards) {
    core().OnUpstreamsLacking();
    Refuse();
    return;
  }
  if (start.is_withheld_too_long) {
    RefuseWithheld(*start.withheld_until, now);
    return;
  }
  query_number_ = core().NextQueryNumber();
  if (core().is_enabled(Mechanism::kAdmission) &&
      !route().admission->Admit(now, sharing_team())) {
    RefuseByAdmission();
    return;
  }
  if (!start.withheld_until) {
    StartShards();
    return;
  }
  core().metrics().OnWait("waits");
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  start_timer_ = core().timers().At(*start.withheld_until,
                                    [self] { self->StartShards(); });
}

void ScatterSession::StartShards() {
  if (finished()) return;
  if (is_key_withdrawn()) {
    OnKeyWithdrawn();
    return;
  }
  const TimePoint now = BootClock::now();
  is_decision_deferred_ = true;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.state != ShardState::kPending) continue;
    const Service& service = *route().services[i];
    RelayTable::Choice choice =
        ChooseFirstRelay(core(), service, query_number_, now);
    if (choice.relay) {
      DelegateToRelay(i, AttemptKind::kFirst, std::move(choice), now);
    } else if (!StartFirstAttempt(i, now)) {
      MarkFailed(shard, route().services[i]->WithheldUntil(now)
                            ? kCauseWithheld
                            : kCauseNotPlaceable);
    }
  }
  is_decision_deferred_ = false;
  SendRelayRequests(now);
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  if (core().is_enabled(Mechanism::kHedging)) {
    hedge_timer_ = core().timers().At(
        now + route().latency_stats->HedgeDelay(spec().target_latency),
        [self] { self->StartHedges(); });
  }
  answer_timer_ = core().timers().At(
      soft_deadline_, [self] { self->Decide(BootClock::now()); });
  deadline_timer_ =
      core().timers().At(deadline(), [self] { self->OnDeadline(); });
  Decide(now);
}

bool ScatterSession::is_urgent() const {
  return core().is_enabled(Mechanism::kUrgentHedgesFirst) &&
         spec().target_latency <= kMaxUrgentObjective;
}

bool ScatterSession::StartAttempt(std::size_t index, AttemptKind kind,
                                  TimePoint now) {
  RelayTable::Choice choice = ChooseAnotherRelay(index, now);
  if (!choice.relay) return StartDirectAttempt(index, kind, now);
  DelegateToRelay(index, kind, std::move(choice), now);
  return true;
}

AttemptPtr ScatterSession::MakeShardAttempt(std::size_t index,
                                            AttemptKind kind) {
  AttemptPtr attempt = MakeAttempt(
      attempt_deadline_, route().latency_stats->mean_latency(), false);
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  attempt->on_done = [self, index, weak = std::weak_ptr(attempt),
                      kind](AttemptResult result) {
    self->OnResult(index, weak.lock(), kind, std::move(result));
  };
  return attempt;
}

UpstreamPtr ScatterSession::ChooseDirectUpstream(Service& service,
                                                 const Shard& shard,
                                                 AttemptKind kind,
                                                 TimePoint now) const {
  const Duration mean_latency = route().latency_stats->mean_latency();
  if (shard.was_relayed && shard.tried.empty()) {
    // Avoids the upstream that the relay has most likely queried already.
    const std::array likely{service.PreferredUpstream()};
    UpstreamPtr other = service.ChooseForAttempt(
        kind, {.tried = likely, .mean_latency = mean_latency}, now);
    if (other) return other;
  }
  return service.ChooseForAttempt(
      kind, {.tried = shard.tried, .mean_latency = mean_latency}, now);
}

bool ScatterSession::StartDirectAttempt(std::size_t index, AttemptKind kind,
                                        TimePoint now) {
  Shard& shard = shards_[index];
  Service& service = *route().services[index];
  const UpstreamPtr upstream = ChooseDirectUpstream(service, shard, kind, now);
  if (!upstream) return false;
  const std::string& data_centre = upstream->record().data_centre;
  if (shard.declined_attempts < kMaxDeclinedAttempts) {
    RelayLinkPtr relay =
        FindRelayBeside(core(), service, *upstream, query_number_, now);
    if (relay) {
      DelegateToRelay(index, kind,
                      {.relay = std::move(relay), .data_centre = data_centre},
                      now);
      return true;
    }
  }
  if (kind == AttemptKind::kFirst) {
    service.OnFirstAttempt(now);
  } else if (!service.TrySpendExtra(ExtraAttemptKindOf(kind, is_urgent()),
                                    now)) {
    ++denied_extra_attempts_;
    core().metrics().OnExtraAttemptDenied("budget");
    return false;
  }
  shard.tried.push_back(upstream);
  shard.last_relay = nullptr;
  AddDirectQuery(shard, data_centre);
  const AttemptPtr attempt = MakeShardAttempt(index, kind);
  shard.in_flight.push_back({.attempt = attempt, .upstream = upstream});
  upstream->Submit(attempt);
  return true;
}

void ScatterSession::OnResult(std::size_t index, const AttemptPtr& attempt,
                              AttemptKind kind, AttemptResult result) {
  const TimePoint now = BootClock::now();
  Shard& shard = shards_[index];
  const auto found = std::find_if(
      shard.in_flight.begin(), shard.in_flight.end(),
      [&](const AttemptInFlight& other) { return other.attempt == attempt; });
  const AttemptInFlight ended =
      found == shard.in_flight.end() ? AttemptInFlight{} : std::move(*found);
  if (found != shard.in_flight.end()) shard.in_flight.erase(found);
  const bool was_relayed = ended.relay != nullptr;
  if (was_relayed) {
    core().metrics().OnRelayed(result.end);
  } else {
    core().metrics().OnAttempt(kind, result.end, now - attempt->submitted_at);
  }
  if (finished()) return;
  if (shard.state == ShardState::kAnswered && ended.in_batch &&
      IsPart(attempt, result)) {
    ReplaceByBatchedPart(shard, result);
  }
  if (shard.state != ShardState::kPending) return;
  if (result.end == AttemptEnd::kAnswered) {
    const Duration latency = now - attempt->submitted_at;
    route().latency_stats->RecordAttemptLatency(latency);
    if (!was_relayed) route().services[index]->RecordLatency(latency);
  }
  if (result.end == AttemptEnd::kAnswered || result.end == AttemptEnd::kLost) {
    ++shard.runs;
    any_attempt_may_have_run_ = true;
  }
  if (AcceptPart(shard, attempt, !ended.in_batch, result)) {
    route().latency_stats->RecordShardLatency(now - started_at());
    AbandonDirectAttempts(shard);
  } else {
    RecordFailure(shard, attempt, result);
    UpdateBatchRelay(shard, ended);
    const bool was_declined = was_relayed && result.end == AttemptEnd::kNotSent;
    if (!was_declined ||
        !RestartDeclinedAttempt(index, kind, ended, result.cause, now)) {
      OnFailedAttempt(index, result, now);
    }
  }
  if (is_decision_deferred_) return;
  SendRelayRequests(now);
  Decide(now);
}

void ScatterSession::RecordFailure(Shard& shard, const AttemptPtr& attempt,
                                   const AttemptResult& result) {
  shard.cause =
      result.cause.empty() ? AttemptEndName(result.end) : result.cause;
  if (!attempt->upstream.empty()) {
    shard.failed_at_relays += '@' + attempt->upstream;
  }
}

bool ScatterSession::IsPart(const AttemptPtr& attempt,
                            const AttemptResult& result) {
  return result.end == AttemptEnd::kAnswered &&
         IsSuccessStatus(result.reply.status) &&
         IsPartOf(*attempt->request, result.reply);
}

bool ScatterSession::AcceptPart(Shard& shard, const AttemptPtr& attempt,
                                bool separate, AttemptResult& result) {
  if (!IsPart(attempt, result)) {
    if (result.end == AttemptEnd::kAnswered) {
      result.cause = IsSuccessStatus(result.reply.status) ? kCauseUnsigned
                                                          : "upstream_failed";
    }
    return false;
  }
  shard.state = ShardState::kAnswered;
  ++answered_shards_;
  shard.signature = std::move(result.reply.signature);
  shard.is_separate = separate;
  shard.records = std::move(result.reply.body);
  shard.held = std::move(result.reply.held);
  return true;
}

bool ScatterSession::CanRetry(const Shard& shard) const {
  if (is_key_withdrawn()) return false;
  return shard.runs + static_cast<std::int64_t>(shard.in_flight.size()) <
             spec().max_attempts &&
         shard.refusals <= kMaxRefusals;
}

void ScatterSession::OnFailedAttempt(std::size_t index,
                                     const AttemptResult& result,
                                     TimePoint now) {
  Shard& shard = shards_[index];
  if (result.end == AttemptEnd::kRefused) ++shard.refusals;
  if (!shard.in_flight.empty()) return;
  // Replicas whose relays declined have not been queried.
  std::erase_if(shard.queried_data_centres,
                [](const QueriedDataCentre& queried) {
                  return queried.state == QueriedDataCentre::State::kDeclined;
                });
  if (CanRetry(shard) && StartAttempt(index, AttemptKind::kRetry, now)) {
    ++retries_;
    return;
  }
  MarkFailed(shard, shard.cause);
}

void ScatterSession::StartHedges() {
  if (finished()) return;
  const TimePoint now = BootClock::now();
  bool hedge_again = false;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.state != ShardState::kPending || shard.in_flight.size() != 1) {
      continue;
    }
    if (!CanRetry(shard)) continue;
    const bool started = StartAttempt(i, AttemptKind::kHedge, now);
    if (finished()) return;
    if (started) ++hedges_;
    // Hedges again later: a relay may have no budget left, or not answer.
    hedge_again = hedge_again || !started || shard.last_relay;
  }
  SendRelayRequests(now);
  if (!hedge_again) return;
  const auto self =
      std::static_pointer_cast<ScatterSession>(shared_from_this());
  hedge_timer_ = core().timers().At(
      now + route().latency_stats->HedgeDelay(spec().target_latency),
      [self] { self->StartHedges(); });
}

void ScatterSession::Decide(TimePoint now) {
  if (finished()) return;
  switch (DecideQuery(Progress(), now)) {
    case QueryDecision::kWait:
      return;
    case QueryDecision::kAnswer:
      Answer();
      return;
    case QueryDecision::kFail:
      Refuse();
      return;
  }
}

void ScatterSession::OnDeadline() { Decide(BootClock::now()); }

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
  parts.insert(parts.end(), batches_.begin(), batches_.end());
  answer.headers += "\r\n" + names.missing_parts + ": " +
                    std::to_string(missing) + "\r\n" + names.request_id + ": " +
                    request().request_id + "\r\n";
  answer.body = MergeTopRecords(parts, spec().top_records);
  route().admission->OnEnded(QueryOutcome::kServed, BootClock::now());
  Finish(answer, missing == 0 ? "complete" : "partial",
         missing == 0 ? "" : "shards_missing");
}

void ScatterSession::RefuseByAdmission() {
  if (!sharing_team().empty() &&
      route().admission->ExceedsFairShare(sharing_team())) {
    core().OnFairnessRefusal(sharing_team(), "admission", spec().name);
  }
  Finish({.status = kStatusUnavailable,
          .retry_after = OverloadRetryAfter(query_number_)},
         "refused", kCauseOverload);
}

bool ScatterSession::IsOverloaded() const {
  constexpr std::array kOverloadCauses{
      std::string_view(kCauseNoBudget), std::string_view(kCauseBetterElsewhere),
      std::string_view(kCauseWithheld), std::string_view("abandoned"),
      std::string_view("refused")};
  std::size_t missing = 0;
  std::size_t overloaded = 0;
  for (const Shard& shard : shards_) {
    if (shard.state == ShardState::kAnswered) continue;
    ++missing;
    const bool is_slow =
        shard.state == ShardState::kPending && !shard.in_flight.empty();
    if (is_slow || std::find(kOverloadCauses.begin(), kOverloadCauses.end(),
                             shard.cause) != kOverloadCauses.end()) {
      ++overloaded;
    }
  }
  return 2 * overloaded > missing;
}

bool ScatterSession::MayHaveRun() const {
  return any_attempt_may_have_run_ ||
         std::any_of(shards_.begin(), shards_.end(), [](const Shard& shard) {
           return std::any_of(shard.in_flight.begin(), shard.in_flight.end(),
                              [](const AttemptInFlight& in_flight) {
                                return in_flight.attempt->sent;
                              });
         });
}

void ScatterSession::Refuse() {
  const TimePoint now = BootClock::now();
  const bool is_expired = now >= deadline();
  if (query_number_ != 0 && IsOverloaded()) {
    route().admission->OnEnded(QueryOutcome::kOverloaded, now);
  }
  // The client may take kStatusUnavailable as "not run", so it is given only if
  // no attempt can have run.
  if (MayHaveRun()) {
    Finish({.status = is_expired ? kStatusGatewayTimeout : kStatusBadGateway},
           "failed", is_expired ? "deadline" : "too_few_shards");
    return;
  }
  if (is_key_withdrawn()) {
    RefuseWithdrawnKey();
    return;
  }
  Finish({.status = kStatusUnavailable, .retry_after = kQueryRetryAfter},
         "refused", is_expired ? "deadline" : kCauseTooFewShards);
}

void ScatterSession::AbandonAttempts() {
  core().timers().Cancel(start_timer_);
  core().timers().Cancel(hedge_timer_);
  core().timers().Cancel(answer_timer_);
  core().timers().Cancel(deadline_timer_);
  AbandonAtRelays();
  const Duration elapsed = BootClock::now() - started_at();
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    if (shard.waiting) route().services[i]->waiting().Remove(*shard.waiting);
    shard.waiting.reset();
    if (shard.state == ShardState::kPending && !shard.in_flight.empty()) {
      route().latency_stats->RecordShardLatency(elapsed);
    }
    for (const AttemptInFlight& attempt : shard.in_flight) {
      if (attempt.relay) attempt.relay->AbandonAttempt(attempt.number_at_relay);
    }
    AbandonDirectAttempts(shard);
    shard.in_flight.clear();
  }
}

void ScatterSession::AbandonDirectAttempts(Shard& shard) {
  std::erase_if(shard.in_flight, [](const AttemptInFlight& attempt) {
    if (attempt.upstream) attempt.upstream->Abandon(attempt.attempt);
    return attempt.upstream != nullptr;
  });
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
    missing += shard.failed_at_relays;
    for (const UpstreamPtr& upstream : shard.tried) {
      missing += '@';
      missing += upstream->record().id;
    }
    if (shard.last_relay) missing += "@relay_" + shard.last_relay->address();
  }
  return "parts=" + std::to_string(answered) + "/" +
         std::to_string(shards_.size()) + " hedges=" + std::to_string(hedges_) +
         " retries=" + std::to_string(retries_) +
         " denied=" + std::to_string(denied_extra_attempts_) + missing;
}

}  // namespace lacewingknot::edge
