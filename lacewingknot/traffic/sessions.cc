#include "lacewingknot/traffic/sessions.h"

#include "lacewingknot/base/event_log.h"

namespace lacewingknot {

QuerySession::QuerySession(TrafficCore& core, QueryRequest request,
                           QuerySpec spec, QueryDone done)
    : core_(core),
      request_(std::move(request)),
      service_(core.StateOf(request_.service)),
      started_at_(core.Now()),
      plan_(std::move(spec), MakeHooks()),
      done_(std::move(done)),
      timer_(core.io()) {
  const auto& settings = core_.table().settings();
  const double quantile =
      settings->EffectivePolicy(request_.service).hedge_quantile;
  hedge_delay_ = service_.latency.Quantile(quantile);
}

QueryHooks QuerySession::MakeHooks() {
  return {
      .choose_version =
          [this](std::span<const ShardTarget> shards,
                 std::span<const IndexVersion> avoid) {
            return core_.table().ChooseVersion(shards, avoid, core_.Now());
          },
      .choose_route =
          [this](const RouteRequest& request) {
            return core_.table().ChooseRoute(request, core_.Now());
          },
      .try_spend_extra_load = [this] { return service_.budget.TrySpend(); },
      .hedge_delay = [this] { return hedge_delay_; },
      .next_attempt_id = [this] { return core_.NextAttempt(); },
  };
}

void QuerySession::Start() {
  service_.budget.OnFirstAttempts(
      static_cast<double>(plan_.spec().shards.size()));
  Execute(plan_.Start(core_.Now()));
}

void QuerySession::Execute(QueryActions actions) {
  for (AttemptId attempt : actions.cancel) core_.CancelAttempt(attempt);
  for (const SendAction& action : actions.send) {
    core_.SendQuery(
        action, plan_.spec().shards[action.shard], request_.query,
        request_.service,
        [self = shared_from_this(), attempt = action.attempt](
            Result<Part> part, std::vector<IndexVersion> versions) {
          const TimePoint now = self->core_.Now();
          self->Execute(
              part ? self->plan_.OnPart(attempt, std::move(part.value()), now)
                   : self->plan_.OnFailure(
                         attempt, {part.error().type, std::move(versions)},
                         now));
        });
  }
  if (!actions.finished) {
    if (!plan_.finished()) SetTimer();
    return;
  }
  timer_.cancel();
  core_.OnSessionEnded();
  const QueryAnswer& answer = *actions.finished;
  core_.metrics().OnQuery(request_.service, answer, core_.Now() - started_at_);
  if (!answer.missing.empty()) {
    LogEvent(Event::kQueryPartial,
             {{"service", request_.service},
              {"answered", answer.parts.size()},
              {"asked", answer.shards_asked},
              {"reason", ErrorTypeName(answer.missing.front().reason)}});
  }
  done_(std::move(*actions.finished));
}

void QuerySession::SetTimer() {
  const Duration wait = plan_.NextWake() - core_.Now();
  timer_.expires_after(std::max(wait, Duration::zero()));
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (error) return;
        self->Execute(self->plan_.OnTimer(self->core_.Now()));
      });
}

WriteSession::WriteSession(TrafficCore& core, WriteRequest request,
                           WriteSpec spec, WriteDone done)
    : core_(core),
      request_(std::move(request)),
      started_at_(core.Now()),
      plan_(
          std::move(spec),
          [&core](const RouteRequest& route) {
            return core.table().ChooseRoute(route, core.Now());
          },
          [&core] { return core.NextAttempt(); }),
      done_(std::move(done)),
      timer_(core.io()) {}

void WriteSession::Start() {
  timer_.expires_after(plan_.spec().deadline - core_.Now());
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) self->Execute(self->plan_.OnDeadline());
      });
  Execute(plan_.Start(core_.Now()));
}

void WriteSession::Execute(WriteActions actions) {
  if (actions.cancel) core_.pool().Cancel(*actions.cancel);
  if (actions.send) Send(*actions.send);
  if (!actions.finished) return;
  timer_.cancel();
  core_.OnSessionEnded();
  const WriteResult& result = *actions.finished;
  core_.write_deduplicator().OnFinished(request_.id, result.outcome);
  core_.metrics().OnWrite(request_.service, result.outcome,
                          core_.Now() - started_at_);
  if (result.outcome != WriteOutcome::kDone) {
    const Event event = result.outcome == WriteOutcome::kNotRun
                            ? Event::kWriteNotRun
                            : Event::kWriteUnknown;
    LogEvent(event, {{"service", request_.service},
                     {"id", request_.id},
                     {"reason", ErrorTypeName(*result.reason)}});
  }
  done_(std::move(*actions.finished));
}

void WriteSession::Send(const SendAction& action) {
  const SubRequest request{.attempt = core_.WireId(action.attempt),
                           .shard = plan_.spec().shard.shard,
                           .query = request_.body};
  core_.pool().Submit(
      action.attempt, action.route.upstream, action.timeout,
      [request, id = request_.id](Duration time_left) {
        SubRequest timed = request;
        timed.time_left = time_left;
        return MakeWriteCall(id, timed);
      },
      [self = shared_from_this(), attempt = action.attempt](CallResult result) {
        self->OnCallResult(attempt, std::move(result));
      });
}

void WriteSession::OnCallResult(AttemptId attempt, CallResult result) {
  const TimePoint now = core_.Now();
  if (!result.reply) {
    const WriteOutcome outcome =
        result.sent ? WriteOutcome::kUnknown : WriteOutcome::kNotRun;
    Execute(plan_.OnFailure(attempt, outcome, result.reply.error().type, now));
    return;
  }
  WriteReply reply =
      ParseWriteReply(core_.WireId(attempt), result.reply.value());
  if (reply.outcome == WriteOutcome::kDone) {
    Execute(plan_.OnDone(attempt, std::move(reply.body)));
  } else {
    Execute(plan_.OnFailure(attempt, reply.outcome, reply.reason, now));
  }
}

}  // namespace lacewingknot
