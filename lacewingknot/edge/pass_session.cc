#include "lacewingknot/edge/pass_session.h"

#include <algorithm>
#include <span>
#include <utility>

#include "lacewingknot/edge/relay_messages.h"

namespace lacewingknot::edge {
namespace {

constexpr int kFirstServerErrorStatus = 500;

}  // namespace

void PassSession::Start() {
  service_ = route().services[route().target_selector->Next()];
  service_->OnFirstAttempt(started_at());
  service_->CountDemand();
  const auto self = std::static_pointer_cast<PassSession>(shared_from_this());
  deadline_timer_ =
      core().timers().At(deadline(), [self] { self->OnDeadline(); });
  if (!service_->HasWaitingAhead(started_at()) &&
      StartAttempt(AttemptKind::kFirst, started_at())) {
    return;
  }
  if (!Wait(AttemptKind::kFirst, started_at())) {
    Refuse(service_->WithheldUntil(started_at()) ? kCauseWithheld
                                                 : kCauseNoReplica);
  }
}

bool PassSession::Wait(AttemptKind kind, TimePoint now) {
  if (!service_->WithheldUntil(now)) return false;
  // Upstreams that refused it may take it when they open again.
  first_excluded_ = tried_.size();
  const auto self = std::static_pointer_cast<PassSession>(shared_from_this());
  waiting_ = service_->waiting().Add(
      {.priority = priority(),
       .team = std::string(sharing_team()),
       .latest_start =
           LatestStartOfSingle(*service_, spec(), started_at(), deadline()),
       .start = [self,
                 kind](TimePoint turn) { return self->OnTurn(kind, turn); },
       .on_too_late =
           [self] {
             self->waiting_.reset();
             self->Refuse(kCauseWithheld);
           }},
      now);
  core().metrics().OnWait(waiting_ ? "waits" : "too_late");
  return waiting_.has_value();
}

bool PassSession::OnTurn(AttemptKind kind, TimePoint now) {
  if (is_key_withdrawn()) {
    waiting_.reset();
    OnKeyWithdrawn();
    return true;
  }
  if (StartAttempt(kind, now)) {
    waiting_.reset();
    return true;
  }
  if (service_->WithheldUntil(now)) return false;
  waiting_.reset();
  Refuse(last_cause_.empty() ? kCauseNoReplica : last_cause_);
  return true;
}

bool PassSession::StartAttempt(AttemptKind kind, TimePoint now) {
  // Retries too fall back to replicas that are backing off.
  const UpstreamPtr upstream = service_->ChooseForAttempt(
      AttemptKind::kFirst,
      {.tried = std::span(tried_).subspan(first_excluded_),
       .mean_latency = service_->mean_latency()},
      now);
  if (!upstream) return false;
  if (kind == AttemptKind::kRetry &&
      !service_->TrySpendExtra(ExtraAttemptKind::kRetry, now)) {
    core().metrics().OnExtraAttemptDenied("budget");
    last_cause_ = "no_budget";
    return false;
  }
  tried_.push_back(upstream);
  in_flight_ = MakeAttempt(deadline(), service_->mean_latency(), true);
  const auto self = std::static_pointer_cast<PassSession>(shared_from_this());
  in_flight_->on_done = [self, weak = std::weak_ptr(in_flight_),
                         kind](AttemptResult result) {
    self->OnResult(weak.lock(), kind, std::move(result));
  };
  upstream->Submit(in_flight_);
  return true;
}

bool PassSession::CanRunAgain() const {
  if (is_key_withdrawn()) return false;
  return runs_ == 0 || (spec().retry_policy == RetryPolicy::kIdempotent &&
                        runs_ < spec().max_attempts);
}

void PassSession::OnResult(const AttemptPtr& attempt, AttemptKind kind,
                           AttemptResult result) {
  const TimePoint now = BootClock::now();
  core().metrics().OnAttempt(kind, result.end, now - attempt->submitted_at);
  in_flight_ = nullptr;
  if (finished()) return;
  last_cause_ =
      result.cause.empty() ? AttemptEndName(result.end) : result.cause;
  if (result.end == AttemptEnd::kAnswered) {
    service_->RecordLatency(now - attempt->submitted_at);
    OnAnswer(std::move(result), now);
    return;
  }
  if (result.end == AttemptEnd::kRefused) ++refusals_;
  if (result.end == AttemptEnd::kLost) ++runs_;
  const bool can_retry =
      CanRunAgain() && refusals_ <= kMaxRefusals && now < deadline();
  if (can_retry && StartAttempt(AttemptKind::kRetry, now)) return;
  if (can_retry && runs_ == 0 && Wait(AttemptKind::kRetry, now)) return;
  if (runs_ == 0) {
    if (is_key_withdrawn()) {
      RefuseWithdrawnKey();
    } else {
      Refuse(last_cause_);
    }
    return;
  }
  Finish({.status = kStatusBadGateway}, "failed", last_cause_);
}

void PassSession::OnKeyWithdrawn() {
  // The answer to an attempt that was sent is passed back.
  if (in_flight_ && in_flight_->sent) return;
  if (runs_ == 0) {
    RefuseWithdrawnKey();
    return;
  }
  Finish({.status = kStatusBadGateway}, "failed", kCauseKeyWithdrawn);
}

std::string_view PassSession::WithheldAnswerCause(
    const UpstreamReply& reply) const {
  // A success without a signature or without this request's id does not prove
  // that the request ran.
  if (IsSuccessStatus(reply.status) && !IsPartOf(outbound(), reply)) {
    return "answer_unsigned";
  }
  if (spec().retry_policy == RetryPolicy::kAtMostOnce &&
      StatesNotRun(reply.status)) {
    return "not_run_unconfirmed";
  }
  return {};
}

void PassSession::OnAnswer(AttemptResult result, TimePoint now) {
  UpstreamReply& reply = result.reply;
  ++runs_;
  const bool is_success = reply.status < kFirstServerErrorStatus;
  const std::string_view withheld_cause = WithheldAnswerCause(reply);
  if (!is_success || !withheld_cause.empty()) {
    last_cause_ = withheld_cause.empty() ? "upstream_failed" : withheld_cause;
    if (CanRunAgain() && now < deadline() &&
        StartAttempt(AttemptKind::kRetry, now)) {
      return;
    }
    if (!withheld_cause.empty()) {
      Finish({.status = kStatusBadGateway}, "failed", last_cause_);
      return;
    }
  }
  Finish({.status = reply.status,
          .reason = std::move(reply.reason),
          .headers = std::move(reply.forwarded_headers),
          .body = std::move(reply.body)},
         is_success ? "complete" : "failed",
         is_success ? std::string_view() : last_cause_);
}

void PassSession::OnDeadline() {
  if (finished()) return;
  const bool may_have_run = runs_ > 0 || (in_flight_ && in_flight_->sent);
  if (may_have_run) {
    Finish({.status = kStatusGatewayTimeout}, "failed", "deadline");
    return;
  }
  Refuse("deadline");
}

void PassSession::Refuse(std::string_view cause) {
  Finish({.status = kStatusUnavailable,
          .retry_after = SingleRetryAfter(*service_, priority(), sharing_team(),
                                          BootClock::now())},
         "refused", cause);
}

void PassSession::AbandonAttempts() {
  core().timers().Cancel(deadline_timer_);
  if (waiting_) service_->waiting().Remove(*waiting_);
  waiting_.reset();
  if (in_flight_) tried_.back()->Abandon(in_flight_);
  in_flight_ = nullptr;
}

std::string PassSession::LogDetails() const {
  std::string details = "attempts=" + std::to_string(tried_.size());
  for (const UpstreamPtr& upstream : tried_) {
    details += " upstream=" + upstream->record().id;
  }
  if (!last_cause_.empty()) details += " last=" + std::string(last_cause_);
  return details;
}

}  // namespace lacewingknot::edge
