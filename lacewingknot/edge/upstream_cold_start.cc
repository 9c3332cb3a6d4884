// The part of Upstream that notices a cold start which its record does not
// show.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "lacewingknot/edge/upstream.h"

namespace lacewingknot::edge {

void Upstream::set_cold_start(ColdStart cold_start) {
  cold_start_ = std::move(cold_start);
  cold_presumption_.set_cold_time(cold_start_.cold_time);
}

bool Upstream::IsCold(TimePoint now) const {
  if (!cold_start_.is_limited) return false;
  return options_.record.cold_until > now || cold_presumption_.Holds(now);
}

bool Upstream::PassesColdRateLimit(double share, TimePoint now) const {
  if (!IsCold(now)) return true;
  const auto waiting = std::count_if(
      queue_.begin(), queue_.end(),
      [](const AttemptPtr& attempt) { return !attempt->is_health_check; });
  return cold_rate_limiter_->Allows(share, static_cast<std::size_t>(waiting),
                                    now);
}

void Upstream::CountSent(const Attempt& attempt, TimePoint now) {
  if (!cold_start_.is_limited || attempt.is_health_check) return;
  cold_rate_limiter_->OnSent(/*as_warm=*/!IsCold(now), now);
}

void Upstream::VerifyCold(TimePoint now) {
  if (cold_start_.health_path.empty() || now < next_health_check_at_ ||
      !cold_presumption_.IsUnverified(now) || !is_usable()) {
    return;
  }
  next_health_check_at_ = now + kHealthCheckInterval;
  // Posted, because callers are choosing a replica.
  boost::asio::post(*options_.io, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->CheckHealth();
  });
}

void Upstream::CheckHealth() {
  if (!is_usable()) return;
  const TimePoint now = BootClock::now();
  auto attempt = std::make_shared<Attempt>();
  attempt->request = std::make_shared<OutboundRequest>(OutboundRequest{
      .head = "GET " + cold_start_.health_path +
              " HTTP/1.1\r\nHost: " + options_.record.address + "\r\n"});
  attempt->deadline = now + kHealthCheckTimeout;
  attempt->priority = kHealthCheckPriority;
  attempt->is_health_check = true;
  attempt->submitted_at = now;
  Enqueue(attempt);
  options_.timers->At(attempt->deadline, [self = shared_from_this(), attempt] {
    self->Abandon(attempt);
  });
  Dispatch();
}

bool Upstream::HasOpenConnection() const {
  return CountInState(UpstreamConnection::State::kIdle) > 0 ||
         CountInState(UpstreamConnection::State::kBusy) > 0;
}

void Upstream::OnBrokenOff(std::string_view cause) {
  const TimePoint now = BootClock::now();
  if (now - broken_off_at_ > kBreakOffSpan) broken_off_at_ = now;
  // Newer connections prove nothing: a load balancer, or the backlog of the
  // listening socket, accepts them also while no process answers.
  const bool has_older = std::any_of(
      connections_.begin(), connections_.end(),
      [this](const ConnectionPtr& connection) {
        return connection->state() != UpstreamConnection::State::kClosed &&
               connection->opened_at() < broken_off_at_;
      });
  if (!has_older) OnRestartSign(cause);
}

void Upstream::PresumeColdIfUnconfirmed() {
  const TimePoint now = BootClock::now();
  // Without health checks a warm upstream would be limited for its cold time.
  if (!cold_start_.is_limited || cold_start_.health_path.empty() ||
      !options_.store_age || HasOpenConnection() ||
      now - answered_at_ < kStateLifetime ||
      cold_presumption_.IsUnverified(now)) {
    return;
  }
  const auto age = options_.store_age(now);
  if (!age || *age < kStateLifetime) return;
  if (cold_presumption_.OnRestartSign(now) && options_.on_cold_presumption) {
    options_.on_cold_presumption(options_.record, true, "unconfirmed");
  }
  VerifyCold(now);
}

void Upstream::OnRestartSign(std::string_view cause) {
  if (!cold_start_.is_limited || retired_) return;
  next_health_check_at_ = {};
  if (cold_presumption_.OnRestartSign(BootClock::now()) &&
      options_.on_cold_presumption) {
    options_.on_cold_presumption(options_.record, true, cause);
  }
  FailQueue("presumed_cold");
}

}  // namespace lacewingknot::edge
