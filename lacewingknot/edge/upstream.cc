#include "lacewingknot/edge/upstream.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lacewingknot::edge {
Upstream::Upstream(Options options)
    : options_(std::move(options)),
      ramp_(options_.process_started_at),
      limit_({.seed = static_cast<std::uint64_t>(
                  BootClock::now().time_since_epoch().count())}),
      // Daemons must not draw the same lots.
      gate_({.random_seed = static_cast<std::uint64_t>(
                 BootClock::now().time_since_epoch().count())}) {
  was_usable_ = is_usable();
  limit_.set_slots(options_.record.slots);
  reported_limit_ = limit_.limit();
}

void Upstream::Submit(AttemptPtr attempt) {
  const TimePoint now = BootClock::now();
  attempt->submitted_at = now;
  if (!is_usable()) {
    attempt->Finish({.end = AttemptEnd::kNotSent, .cause = "unusable"});
    return;
  }
  Enqueue(std::move(attempt));
  gate_.OnSent(now);
  Dispatch();
}

void Upstream::Enqueue(AttemptPtr attempt) {
  // Behind all queued attempts that are at least as urgent.
  const auto position = std::find_if(
      queue_.begin(), queue_.end(), [&](const AttemptPtr& waiting) {
        return waiting->priority > attempt->priority;
      });
  queue_.insert(position, std::move(attempt));
}

bool Upstream::Preconnect(bool in_use, TimePoint now) {
  if (was_preconnected_ && !in_use) return false;
  if (!is_usable() || !connections_.empty() || now < backoff_until_) {
    return false;
  }
  was_preconnected_ = true;
  OpenConnection();
  return true;
}

void Upstream::Abandon(const AttemptPtr& attempt) {
  if (attempt->finished || attempt->abandoned) return;
  attempt->abandoned = true;
  attempt->on_done = nullptr;
  if (!attempt->sent) {
    std::erase(queue_, attempt);
    return;
  }
  options_.timers->At(
      BootClock::now() + kAbandonGrace, [self = shared_from_this(), attempt] {
        for (const ConnectionPtr& connection : self->connections_) {
          if (connection->attempt() != attempt) continue;
          const ConnectionPtr kept = connection;
          kept->Close("abandoned");
          return;
        }
      });
}

std::optional<UnusableReason> Upstream::unusable_reason() const {
  if (options_.record.draining) return UnusableReason::kDraining;
  if (evacuated_) return UnusableReason::kEvacuated;
  if (gate_.is_leaving()) return UnusableReason::kLeaving;
  if (misdirected_) return UnusableReason::kMisdirected;
  if (retired_) return UnusableReason::kRetired;
  return std::nullopt;
}

void Upstream::ApplyUsability(std::string_view cause) {
  const bool usable = is_usable();
  if (std::exchange(was_usable_, usable) == usable) return;
  if (options_.on_usability_change) options_.on_usability_change();
  if (!usable) FailQueue(cause);
}

void Upstream::Retire() {
  retired_ = true;
  ApplyUsability();
  CloseIdle("retired");
}

void Upstream::FailQueue(std::string_view cause) {
  auto waiting = std::exchange(queue_, {});
  for (const AttemptPtr& attempt : waiting) {
    attempt->Finish({.end = AttemptEnd::kNotSent, .cause = cause});
  }
}

void Upstream::CloseIdle(std::string_view cause) {
  const auto connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    if (connection->state() == UpstreamConnection::State::kIdle) {
      connection->Close(cause);
    }
  }
}

void Upstream::RemoveClosed() {
  std::erase_if(connections_, [](const ConnectionPtr& connection) {
    return connection->state() == UpstreamConnection::State::kClosed;
  });
}

std::size_t Upstream::CountInState(UpstreamConnection::State state) const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [&](const ConnectionPtr& connection) {
                      return connection->state() == state;
                    }));
}

void Upstream::CloseExpired(TimePoint now) {
  std::vector<ConnectionPtr> expired;
  for (const ConnectionPtr& connection : connections_) {
    if (connection->state() != UpstreamConnection::State::kIdle) continue;
    const Duration idle_time =
        connection->idle_timeout()
            ? *connection->idle_timeout() - kIdleTimeoutMargin
            : kDefaultIdleTimeout;
    if (now - connection->idle_since() >= idle_time) {
      expired.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : expired) {
    connection->Close("idle_too_long");
  }
}

bool Upstream::CloseOneIdle(std::string_view cause) {
  for (const ConnectionPtr& connection : connections_) {
    if (connection->state() != UpstreamConnection::State::kIdle) continue;
    const ConnectionPtr kept = connection;
    kept->Close(cause);
    return true;
  }
  return false;
}

Upstream::ConnectionPtr Upstream::IdleConnectionFor(
    const Attempt& attempt) const {
  ConnectionPtr best;
  for (const ConnectionPtr& connection : connections_) {
    if (connection->state() != UpstreamConnection::State::kIdle ||
        connection->HasCarried(*attempt.request)) {
      continue;
    }
    // The most recently used one, so that surplus connections time out.
    if (!best || connection->idle_since() > best->idle_since()) {
      best = connection;
    }
  }
  return best;
}

void Upstream::Dispatch() {
  // Sending and closing call back into this upstream. Such nested calls only
  // request another pass, as a pass is already iterating over the connections.
  dispatch_again_ = true;
  if (dispatching_) return;
  dispatching_ = true;
  while (std::exchange(dispatch_again_, false)) DispatchOnce();
  dispatching_ = false;
}

bool Upstream::SendNextQueued(TimePoint now) {
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const ConnectionPtr connection = IdleConnectionFor(*queue_[i]);
    if (!connection) continue;
    AttemptPtr attempt = std::move(queue_[i]);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
    CountSent(*attempt, now);
    if (options_.learns_limit) {
      attempt->depth = static_cast<std::int64_t>(
                           CountInState(UpstreamConnection::State::kBusy)) +
                       1;
      limit_.OnSent(attempt->depth, now);
    }
    connection->Send(std::move(attempt), now);
    return true;
  }
  return false;
}

void Upstream::DispatchOnce() {
  const TimePoint now = BootClock::now();
  CloseExpired(now);
  while (CountInState(UpstreamConnection::State::kIdle) > 0 &&
         SendNextQueued(now)) {
  }
  RemoveClosed();
  std::size_t opening = CountInState(UpstreamConnection::State::kConnecting);
  while (opening < queue_.size()) {
    // An idle connection that is left has carried every queued request.
    const bool has_room =
        static_cast<std::int64_t>(connections_.size()) < ramp_.Allowed(now);
    if (!has_room && !CloseOneIdle("carried_before")) break;
    OpenConnection();
    ++opening;
  }
}

void Upstream::OpenConnection() {
  PresumeColdIfUnconfirmed();
  const std::weak_ptr<Upstream> weak = weak_from_this();
  auto connection = std::make_shared<UpstreamConnection>(
      *options_.io,
      UpstreamConnection::Options{
          .endpoint = options_.endpoint,
          .names = options_.names,
          .upstream_id = options_.record.id,
          .has_keep_alive_probes = !options_.has_short_attempts,
          .answer_budget = options_.answer_budget,
          .on_answer_dropped = options_.on_answer_dropped,
          .on_open =
              [weak] {
                if (const auto self = weak.lock()) self->OnOpened();
              },
          .on_exchange_end =
              [weak](const AttemptPtr& attempt, AttemptResult result) {
                if (const auto self = weak.lock()) {
                  self->OnExchange(attempt, std::move(result));
                } else {
                  attempt->Finish(std::move(result));
                }
              },
          .on_closed =
              [weak](bool opened, std::string_view cause) {
                if (const auto self = weak.lock()) {
                  self->OnClosed(opened, cause);
                }
              }});
  connections_.push_back(connection);
  connection->Open();
  if (options_.on_connection_opened) options_.on_connection_opened();
  options_.timers->At(BootClock::now() + kConnectTimeout,
                      [self = shared_from_this(), connection] {
                        self->OnConnectTimeout(connection);
                      });
}

void Upstream::OnConnectTimeout(const ConnectionPtr& connection) {
  if (connection->state() == UpstreamConnection::State::kConnecting) {
    connection->Close("connect_timeout");
  }
}

void Upstream::OnOpened() {
  cold_presumption_.OnConnected(BootClock::now());
  Dispatch();
}

void Upstream::OnClosed(bool opened, std::string_view cause) {
  RemoveClosed();
  if (!opened) {
    OnRestartSign(cause);
  } else if (IsBrokenOffByUpstream(cause)) {
    OnBrokenOff(cause);
  }
  if (!opened) {
    RecordFailure("connect_failed", BootClock::now());
    if (connections_.empty()) FailQueue("connect_failed");
  }
  if (!queue_.empty()) Dispatch();
}

void Upstream::OnExchange(const AttemptPtr& attempt, AttemptResult result) {
  const TimePoint now = BootClock::now();
  RecordOutcome(*attempt, result, now);
  if (options_.learns_limit) RecordDepth(*attempt, result, now);
  RecordStatement(result.reply, now);
  if (result.end == AttemptEnd::kLost && IsBrokenOffByUpstream(result.cause)) {
    OnBrokenOff(result.cause);
  }
  if (retired_) CloseIdle("retired");
  // The freed connection goes to queued attempts before the session receives
  // this result and submits more.
  if (!queue_.empty()) Dispatch();
  RemoveClosed();
  attempt->Finish(std::move(result));
}

void Upstream::RecordOutcome(const Attempt& attempt,
                             const AttemptResult& result, TimePoint now) {
  const Duration latency = now - attempt.sent_at;
  constexpr int kFirstServerErrorStatus = 500;
  // An upstream that names a wait or leaves has not failed.
  const UpstreamStatement& statement = result.reply.statement;
  if (result.end != AttemptEnd::kLost &&
      (statement.wait || statement.is_leaving)) {
    return;
  }
  // Health checks say nothing about the time that requests take.
  if (attempt.is_health_check && result.end == AttemptEnd::kAnswered) return;
  switch (result.end) {
    case AttemptEnd::kAnswered:
      slowness_.Add(latency, attempt.mean_latency, now);
      if (result.reply.status >= kFirstServerErrorStatus) {
        failure_share_.OnFailure(now);
      } else {
        RecordSuccess();
      }
      return;
    case AttemptEnd::kRefused:
      if (result.reply.status == kMisdirectedStatus) OnMisdirected();
      failure_share_.OnFailure(now);
      return;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kLost:
      slowness_.Add(latency, attempt.mean_latency, now);
      if (result.cause == "abandoned") {
        // If one connection gets no answer, the other connections to the
        // upstream are likely dead too.
        CloseIdle("silent");
      }
      RecordFailure(result.cause, now);
      return;
  }
}

void Upstream::RecordDepth(const Attempt& attempt, const AttemptResult& result,
                           TimePoint now) {
  if (attempt.is_health_check || attempt.mean_latency <= Duration::zero()) {
    return;
  }
  const ConcurrencyLimit::Sample sample{.depth = attempt.depth,
                                        .sent_at = attempt.sent_at,
                                        .usual = attempt.mean_latency};
  switch (result.end) {
    case AttemptEnd::kAnswered:
      // The time of an error says nothing about that of the work.
      if (!IsSuccessStatus(result.reply.status)) return;
      limit_.OnAnswer(sample, now);
      break;
    case AttemptEnd::kRefused:
      if (result.reply.status == kMisdirectedStatus ||
          result.reply.statement.is_leaving) {
        return;
      }
      limit_.OnRefusal(sample, now);
      break;
    case AttemptEnd::kLost:
      limit_.OnLost(sample, now);
      return;
    case AttemptEnd::kNotSent:
      return;
  }
  // A refusal takes no time.
  if (options_.on_attempt_observed && result.end == AttemptEnd::kAnswered) {
    options_.on_attempt_observed(
        {.limit = limit_.limit(),
         .depth = attempt.depth,
         .time_multiple = static_cast<double>((now - attempt.sent_at).count()) /
                          static_cast<double>(attempt.mean_latency.count())});
  }
  const std::int64_t limit = limit_.limit();
  if (std::abs(limit - reported_limit_) * 4 < reported_limit_) return;
  if (limit == reported_limit_) return;
  const std::int64_t before = std::exchange(reported_limit_, limit);
  if (options_.on_limit_change) {
    options_.on_limit_change(options_.record, before, limit);
  }
}

void Upstream::RecordStatement(const UpstreamReply& reply, TimePoint now) {
  // Without a status there was no answer; another upstream's answer says
  // nothing about this one.
  if (reply.status == 0 || reply.status == kMisdirectedStatus) return;
  answered_at_ = now;
  OnStatementChange(gate_.OnAnswer(reply.statement, now), {});
  if (reply.cold_remaining) {
    const bool was_unverified = cold_presumption_.IsUnverified(now);
    cold_presumption_.OnStated(*reply.cold_remaining, now);
    if (was_unverified && options_.on_cold_presumption) {
      options_.on_cold_presumption(options_.record,
                                   cold_presumption_.Holds(now), "stated");
    }
  }
}

void Upstream::OnStatementChange(const UpstreamGate::Changes& changes,
                                 std::string_view from) {
  // Attempts that wait for a connection must not be sent either.
  if (changes.leaving) ApplyUsability("leaving");
  if (changes.wait && from.empty()) FailQueue("waiting");
  if (changes.any() && options_.on_statement_change) {
    options_.on_statement_change(options_.record, gate_, changes, from);
  }
}

std::optional<DemandReport> Upstream::TakeDueDemandReport(TimePoint now) {
  const auto demand = gate_.TakeDueDemand(now);
  if (!demand) return std::nullopt;
  return DemandReport{.upstream = options_.record.id,
                      .incarnation = options_.record.incarnation,
                      .per_second = demand->per_second,
                      .interval = demand->interval};
}

void Upstream::OnDemandSum(const DemandSum& sum, TimePoint now) {
  if (sum.incarnation != options_.record.incarnation) return;
  gate_.OnDemandSum(sum.per_second, now);
}

void Upstream::OnReport(const StatementReport& report, std::string_view from,
                        TimePoint now) {
  OnStatementChange(gate_.OnReport({.is_leaving = report.is_leaving,
                                    .wait = report.wait,
                                    .rate = report.rate},
                                   now - report.age, now),
                    from);
}

void Upstream::Restore(const StatementTable::Known& known, TimePoint now) {
  const StatementReport& report = known.report;
  if (known.is_own_wait) {
    gate_.OnAnswer({.is_leaving = report.is_leaving,
                    .wait = report.wait,
                    .rate = report.rate},
                   now);
  } else {
    OnReport(report, "earlier", now);
  }
}

StatementReport MakeStatementReport(const UpstreamRecord& record,
                                    const UpstreamGate& gate, TimePoint now) {
  return {.upstream = record.id,
          .incarnation = record.incarnation,
          .is_leaving = gate.is_leaving(),
          .wait = std::max(gate.wait_until() - now, Duration::zero()),
          .rate = gate.rate_limiter().stated(),
          .age = now - gate.answered_at()};
}

void Upstream::RecordFailure(std::string_view cause, TimePoint now) {
  failure_share_.OnFailure(now);
  ++consecutive_failures_;
  // A single lost exchange is weak evidence of a failure; a failed connect
  // shows that no process listens.
  if (consecutive_failures_ < 2 && cause != "connect_failed") return;
  const int doublings = std::min(consecutive_failures_ - 1, 5);
  const Duration backoff =
      std::min<Duration>(kInitialBackoff * (1 << doublings), kMaxBackoff);
  const bool was_good = backoff_until_ < now;
  backoff_until_ = now + backoff;
  if (was_good && consecutive_failures_ == 2 && options_.on_health_change) {
    options_.on_health_change(options_.record, "failing", cause);
  }
}

void Upstream::RecordSuccess() {
  failure_share_.OnSuccess();
  if (consecutive_failures_ >= 2 && options_.on_health_change) {
    options_.on_health_change(options_.record, "working", "answered");
  }
  consecutive_failures_ = 0;
  backoff_until_ = {};
}

void Upstream::OnMisdirected() {
  if (misdirected_) return;
  misdirected_ = true;
  if (options_.on_health_change) {
    options_.on_health_change(options_.record, "replaced", "misdirected");
  }
  ApplyUsability("misdirected");
  CloseIdle("misdirected");
  options_.timers->At(BootClock::now() + kMisdirectedBackoff,
                      [weak = weak_from_this()] {
                        if (const auto self = weak.lock()) {
                          self->misdirected_ = false;
                          self->ApplyUsability();
                        }
                      });
}

ReplicaLoad Upstream::CurrentLoad(Duration usual, TimePoint now) const {
  ReplicaLoad load;
  load.slots = options_.record.slots;
  load.is_local = options_.is_local;
  load.queued = static_cast<std::int64_t>(queue_.size());
  load.is_backing_off = now < backoff_until_ || now < gate_.avoided_until();
  for (const ConnectionPtr& connection : connections_) {
    if (connection->state() != UpstreamConnection::State::kBusy) continue;
    ++load.in_flight;
    load.oldest_in_flight_age = std::max(load.oldest_in_flight_age,
                                         now - connection->attempt()->sent_at);
  }
  load.expected_latency =
      std::chrono::duration_cast<Duration>(usual * slowness_.Factor(now));
  load.failure_share = failure_share_.Value(now);
  if (options_.learns_limit) {
    load.limit = std::min(limit_.Limit(now), ramp_.Allowed(now));
    const std::int64_t requests = load.in_flight + load.queued;
    load.time_at_next_depth = limit_.ExpectedTime(
        requests + 1, usual,
        std::chrono::duration_cast<Duration>(load.expected_latency *
                                             DepthFactor(requests, load.slots)),
        now);
  }
  return load;
}

}  // namespace lacewingknot::edge
