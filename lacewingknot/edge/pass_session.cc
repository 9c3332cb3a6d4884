#include "lacewingknot/edge/pass_session.h"

#include <utility>

namespace lacewingknot::edge {
namespace {

// When a client that found the service without room may come back.
constexpr Duration kRoomRetryAfter = std::chrono::milliseconds(250);
constexpr int kServerErrors = 500;

}  // namespace

void PassSession::Start() {
  service_ = route().services[route().turns->Next()];
  service_->OnFirstAttempt(started_at());
  const auto self = std::static_pointer_cast<PassSession>(shared_from_this());
  deadline_timer_ =
      core().timers().At(deadline(), [self] { self->OnDeadline(); });
  if (!Place(AttemptKind::kFirst, started_at())) Refuse("no_replica");
}

bool PassSession::Place(AttemptKind kind, TimePoint now) {
  Service::Wish wish{.tried = tried_, .usual = service_->usual()};
  UpstreamPtr upstream = service_->Choose(wish, now);
  wish.even_backing_off = true;
  if (!upstream) upstream = service_->Choose(wish, now);
  if (!upstream) return false;
  if (kind == AttemptKind::kRetry &&
      !service_->TrySpendExtra(ExtraNeed::kRetry, now)) {
    core().metrics().OnHedgeDenied("budget");
    last_cause_ = "no_budget";
    return false;
  }
  tried_.push_back(upstream);
  live_ = NewAttempt(deadline(), service_->usual(), true);
  const auto self = std::static_pointer_cast<PassSession>(shared_from_this());
  live_->done = [self, weak = std::weak_ptr(live_),
                 kind](AttemptResult result) {
    self->OnResult(weak.lock(), kind, std::move(result));
  };
  upstream->Submit(live_);
  return true;
}

bool PassSession::MayRunAgain() const {
  return runs_ == 0 ||
         (spec().repeat == Repeat::kIdempotent && runs_ < spec().max_attempts);
}

void PassSession::OnResult(const AttemptPtr& attempt, AttemptKind kind,
                           AttemptResult result) {
  const TimePoint now = BootClock::now();
  core().metrics().OnAttempt(kind, result.end, now - attempt->submitted_at);
  live_ = nullptr;
  if (finished()) return;
  last_cause_ =
      result.cause.empty() ? AttemptEndName(result.end) : result.cause;
  if (result.end == AttemptEnd::kAnswered) {
    service_->NoteLatency(now - attempt->submitted_at);
    OnAnswer(std::move(result), now);
    return;
  }
  if (result.end == AttemptEnd::kRefused) ++refusals_;
  if (result.end == AttemptEnd::kLost) ++runs_;
  const bool may_try =
      MayRunAgain() && refusals_ <= kMaxRefusals && now < deadline();
  if (may_try && Place(AttemptKind::kRetry, now)) return;
  if (runs_ == 0) {
    Refuse(last_cause_);
    return;
  }
  Finish({.status = kStatusBadGateway}, "failed", last_cause_);
}

void PassSession::OnAnswer(AttemptResult result, TimePoint now) {
  UpstreamReply& reply = result.reply;
  ++runs_;
  const bool is_success = reply.status < kServerErrors;
  // A success that nobody signed, or that names no request, proves nothing.
  const bool unsigned_success =
      IsSuccessStatus(reply.status) &&
      (reply.signature.empty() || reply.request_id != request().request_id);
  if (!is_success || unsigned_success) {
    last_cause_ = unsigned_success ? "answer_unsigned" : "upstream_failed";
    if (MayRunAgain() && now < deadline() && Place(AttemptKind::kRetry, now)) {
      return;
    }
    if (unsigned_success) {
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
  const bool may_have_run = runs_ > 0 || (live_ && live_->sent);
  if (may_have_run) {
    Finish({.status = kStatusGatewayTimeout}, "failed", "deadline");
    return;
  }
  Refuse("deadline");
}

void PassSession::Refuse(std::string_view cause) {
  Finish({.status = kStatusUnavailable, .retry_after = kRoomRetryAfter},
         "refused", cause);
}

void PassSession::AbandonAttempts() {
  core().timers().Cancel(deadline_timer_);
  if (live_) tried_.back()->Abandon(live_);
  live_ = nullptr;
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
