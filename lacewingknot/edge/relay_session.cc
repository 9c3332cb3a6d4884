#include "lacewingknot/edge/relay_session.h"

#include <algorithm>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/policy/replica_choice.h"

namespace lacewingknot::edge {
namespace {

// Longer than the timeout of any route. Larger values in a message are reduced
// to it: sums with the clock's time must not overflow.
constexpr std::chrono::milliseconds kMaxPeerTime = std::chrono::hours(1);

// Returns the time of `count` units that a peer sent.
template <typename Unit>
Duration TimeFromPeer(std::int64_t count) {
  const std::int64_t longest =
      std::chrono::duration_cast<Unit>(kMaxPeerTime).count();
  return Unit(std::clamp(count, -longest, longest));
}

}  // namespace

void RelaySession::Start(boost::asio::ip::tcp::socket socket) {
  RelayChannel::Options channel = MakeWeakCallbacks(
      weak_from_this(), &RelaySession::OnMessage, &RelaySession::OnClosed);
  channel.budget = options_.core->unread_budget();
  channel_ =
      std::make_shared<RelayChannel>(std::move(socket), std::move(channel));
  channel_->Start();
}

void RelaySession::OnClosed(std::string_view /*cause*/) {
  while (!queries_.empty()) AbandonQuery(queries_.begin()->first);
  if (options_.on_closed) options_.on_closed(this);
}

void RelaySession::OnMessage(RelayMessage message) {
  if (auto* request = std::get_if<RelayAttemptRequest>(&message)) {
    OnAttemptRequest(std::move(*request));
  } else if (const auto* abandon = std::get_if<RelayAbandon>(&message)) {
    AbandonQuery(abandon->query);
  }
}

RelaySession::Query& RelaySession::FindOrAddQuery(RelayAttemptRequest& request,
                                                  TimePoint now) {
  const auto [found, added] = queries_.try_emplace(request.query);
  Query& query = found->second;
  if (!added) return query;
  query.request = std::make_shared<OutboundRequest>(
      OutboundRequest{.head = std::move(request.head),
                      .body = std::move(request.body),
                      .request_id = std::move(request.request_id)});
  query.deadline =
      now + TimeFromPeer<std::chrono::milliseconds>(request.time_left_ms);
  query.mean_latency =
      TimeFromPeer<std::chrono::microseconds>(request.mean_latency_us);
  query.priority = request.priority;
  query.urgent = request.is_urgent;
  query.max_batch_delay = std::clamp<Duration>(
      TimeFromPeer<std::chrono::microseconds>(request.max_batch_delay_us),
      Duration::zero(), kMaxBatchDelay);
  query.top_records = TopRecordsMerger(
      static_cast<std::size_t>(std::max<std::int64_t>(request.top_records, 0)));
  options_.core->timers().At(
      query.deadline + kQueryRetention,
      [weak = weak_from_this(), query_number = request.query] {
        const auto self = weak.lock();
        if (self) self->AbandonQuery(query_number);
      });
  return query;
}

void RelaySession::OnAttemptRequest(RelayAttemptRequest request) {
  const TimePoint now = BootClock::now();
  Query& query = FindOrAddQuery(request, now);
  query.outstanding_attempts += request.attempts.size();
  ScheduleSend(request.query, query, kMaxAcknowledgementDelay);
  for (const RelayAttempt& delegated : request.attempts) {
    StartAttempt(request.query, query, delegated, now);
  }
}

UpstreamPtr RelaySession::ChooseUpstream(Service& service, const Shard& shard,
                                         const Query& query,
                                         const RelayAttempt& delegated,
                                         TimePoint now,
                                         std::string_view& cause) const {
  // `head` is empty if the entry daemon sent the request over an earlier
  // connection: it does not resend it after a reconnect.
  if (query.request->head.empty() || now >= query.deadline) {
    cause = kCauseExpired;
    return nullptr;
  }
  if (delegated.kind == AttemptKind::kFirst) service.CountDemand();
  const bool uses_any_replica = options_.core->relay_table().QueriesDirectly(
      service.usable_data_centres());
  const Service::ReplicaCriteria criteria{.tried = shard.tried,
                                          .local_only = !uses_any_replica,
                                          .mean_latency = query.mean_latency};
  UpstreamPtr upstream =
      service.ChooseForAttempt(delegated.kind, criteria, now);
  if (!upstream && !uses_any_replica && !shard.refused.empty()) {
    // An upstream that refuses a part of its requests may take the next one.
    std::vector<UpstreamPtr> may_have_run = shard.tried;
    std::erase_if(may_have_run, [&](const UpstreamPtr& tried) {
      return std::find(shard.refused.begin(), shard.refused.end(), tried) !=
             shard.refused.end();
    });
    upstream = service.ChooseForAttempt(delegated.kind,
                                        {.tried = may_have_run,
                                         .local_only = true,
                                         .mean_latency = query.mean_latency},
                                        now);
  }
  if (!upstream) {
    cause = service.WithheldUntil(now) ? kCauseWithheld : kCauseNoReplica;
    return nullptr;
  }
  if (!uses_any_replica && !delegated.is_mandatory &&
      service.usable_data_centres().size() > 1) {
    const ReplicaLoad load = service.LoadOf(*upstream, query.mean_latency, now);
    if (ShouldDecline(load, query.mean_latency, service.choice()) ||
        (delegated.kind == AttemptKind::kFirst &&
         FailsTooOften(load, service.choice()))) {
      cause = kCauseBetterElsewhere;
      return nullptr;
    }
  }
  if (delegated.kind == AttemptKind::kFirst) {
    service.OnFirstAttempt(now);
  } else if (!service.TrySpendExtra(
                 ExtraAttemptKindOf(delegated.kind, query.urgent), now)) {
    cause = kCauseNoBudget;
    return nullptr;
  }
  return upstream;
}

void RelaySession::StartAttempt(std::uint64_t query_number, Query& query,
                                const RelayAttempt& delegated, TimePoint now) {
  Shard& shard = query.shards[delegated.service];
  std::string_view cause =
      shard.answered ? kCauseAnsweredAlready : kCauseNoReplica;
  const ServicePtr service = options_.core->FindService(delegated.service);
  const UpstreamPtr upstream =
      service && !shard.answered
          ? ChooseUpstream(*service, shard, query, delegated, now, cause)
          : nullptr;
  if (!upstream) {
    AddResult(query_number, query,
              {.number = delegated.number,
               .end = AttemptEnd::kNotSent,
               .cause = std::string(cause)});
    return;
  }
  shard.tried.push_back(upstream);
  auto attempt = std::make_shared<Attempt>();
  attempt->request = query.request;
  attempt->deadline = query.deadline;
  attempt->mean_latency = query.mean_latency;
  attempt->priority = query.priority;
  attempt->on_done =
      [weak = weak_from_this(), query_number, delegated, upstream,
       weak_attempt = std::weak_ptr(attempt)](AttemptResult result) {
        const auto self = weak.lock();
        if (!self) return;
        self->OnResult(query_number, delegated, weak_attempt.lock(), upstream,
                       std::move(result));
      };
  shard.attempts_in_flight.push_back(
      {.attempt = attempt, .upstream = upstream});
  upstream->Submit(attempt);
}

void RelaySession::OnResult(std::uint64_t query_number,
                            const RelayAttempt& delegated,
                            const AttemptPtr& attempt,
                            const UpstreamPtr& upstream, AttemptResult result) {
  const TimePoint now = BootClock::now();
  EdgeCore& core = *options_.core;
  core.metrics().OnAttempt(delegated.kind, result.end,
                           now - attempt->submitted_at);
  const auto found = queries_.find(query_number);
  if (found == queries_.end()) return;
  Query& query = found->second;
  Shard& shard = query.shards[delegated.service];
  std::erase_if(shard.attempts_in_flight, [&](const AttemptInFlight& live) {
    return live.attempt == attempt;
  });
  if (result.end == AttemptEnd::kRefused) shard.refused.push_back(upstream);
  const bool succeeded = result.end == AttemptEnd::kAnswered &&
                         IsSuccessStatus(result.reply.status);
  const bool is_part = succeeded && IsPartOf(*query.request, result.reply);
  if (succeeded && !is_part) result.cause = kCauseUnsigned;
  if (result.end == AttemptEnd::kAnswered) {
    if (const ServicePtr service = core.FindService(delegated.service)) {
      service->RecordLatency(now - attempt->submitted_at);
    }
  }
  if (is_part) {
    shard.answered = true;
    query.outstanding_attempts -= shard.attempts_in_flight.size();
    AbandonAttemptsInFlight(shard);
  } else {
    LogEvent(Event::kRelayAttemptFailed,
             {{"id", query.request->request_id},
              {"service", delegated.service},
              {"upstream", upstream->record().id},
              {"kind", AttemptKindName(delegated.kind)},
              {"end", AttemptEndName(result.end)},
              {"status", result.reply.status},
              {"cause", result.cause}});
  }
  if (result.reply.statement.says_something()) {
    query.unsent_statements[upstream->record().id] =
        MakeStatementReport(upstream->record(), upstream->gate(), now);
  }
  if (is_part) query.unsent_held.push_back(std::move(result.reply.held));
  if (is_part && !delegated.returns_own_records) {
    query.unsent_parts.push_back(std::move(result.reply.body));
    result.reply.body.clear();
  }
  AddResult(
      query_number, query,
      {.number = delegated.number,
       .end = result.end,
       .status = result.reply.status,
       .cause = std::string(result.cause),
       .upstream = is_part ? std::string() : upstream->record().id,
       .signature = is_part ? std::move(result.reply.signature) : std::string(),
       .records = is_part ? std::move(result.reply.body) : std::string()});
}

void RelaySession::AddResult(std::uint64_t query_number, Query& query,
                             RelayResult result) {
  query.unsent_results.push_back(std::move(result));
  --query.outstanding_attempts;
  if (query.outstanding_attempts == 0) {
    SendResults(query_number, query);
  } else {
    ScheduleSend(query_number, query, query.max_batch_delay);
  }
}

void RelaySession::ScheduleSend(std::uint64_t query_number, Query& query,
                                Duration delay) {
  if (query.has_pending_send) return;
  query.has_pending_send = true;
  options_.core->timers().At(BootClock::now() + delay,
                             [weak = weak_from_this(), query_number] {
                               const auto self = weak.lock();
                               if (self) self->OnSendTimer(query_number);
                             });
}

void RelaySession::OnSendTimer(std::uint64_t query_number) {
  const auto found = queries_.find(query_number);
  if (found == queries_.end() || !found->second.has_pending_send) return;
  SendResults(query_number, found->second);
}

void RelaySession::SendResults(std::uint64_t query_number, Query& query) {
  query.has_pending_send = false;
  const auto bodies = std::exchange(query.unsent_parts, {});
  const auto held = std::exchange(query.unsent_held, {});
  const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
  std::vector<StatementReport> statements;
  for (auto& [id, report] : std::exchange(query.unsent_statements, {})) {
    statements.push_back(std::move(report));
  }
  channel_->Send(RelayResults{
      .query = query_number,
      .results = std::exchange(query.unsent_results, {}),
      .records = parts.empty() ? std::string() : query.top_records.Add(parts),
      .statements = std::move(statements)});
}

void RelaySession::AbandonQuery(std::uint64_t query_number) {
  const auto found = queries_.find(query_number);
  if (found == queries_.end()) return;
  auto query = queries_.extract(found);
  for (auto& [service, shard] : query.mapped().shards) {
    AbandonAttemptsInFlight(shard);
  }
}

void RelaySession::AbandonAttemptsInFlight(Shard& shard) {
  for (const AttemptInFlight& live : shard.attempts_in_flight) {
    live.upstream->Abandon(live.attempt);
  }
  shard.attempts_in_flight.clear();
}

}  // namespace lacewingknot::edge
